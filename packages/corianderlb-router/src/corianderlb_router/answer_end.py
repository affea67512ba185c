"""Tell whether an answer that ends with its connection was ended by its process.

An answer without length and chunks has no other mark of its end, and the kernel closes
the connections of a process that dies in order too. Such an answer is taken for whole
only if its process is still there afterwards, and so has closed the connection itself::

    if await ends.judge(instance, ended_at) is not AnswerEnd.CLOSED:
        ...  # The answer may be a part.

A doubt goes against the answer: a whole one that counts as cut costs another attempt,
while a cut one that counts as whole misleads its caller.
"""

from __future__ import annotations

import enum
import math
from typing import Final

import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.part_index import IncarnationKey

from .connection import ConnectFailedError, Connection
from .path_watch import InstanceProbe
from .transport import MAX_IDLE_S, ConnectionPool

MIN_RESTART_S: Final = 0.1
"""Time within which no process ends and is back at its address."""

SETTLE_S: Final = 0.02
"""Time for which a new connection has to stay open: the listening socket of a process
that dies may outlive its connections by a moment."""

CONNECT_TIMEOUT_S: Final = 0.25
"""Timeout of that connection."""

CLOCK_S: Final = 0.02
"""What the time of an end may be wrong by: the kernel's clock for it is coarse."""

PROBE_WAIT_S: Final = 0.03
"""Time after which a connection is opened too if an instance that was asked for its
start has not answered: it tells something only within ``MIN_RESTART_S``."""


class AnswerEnd(enum.Enum):
    """What is known of the end of an answer that has no mark of it."""

    CLOSED = "closed"
    """The process that answered has closed the connection."""
    DIED = "died"
    """That process is gone."""
    UNKNOWN = "unknown"
    """Nothing tells whether that process is still there."""


@dataclass(frozen=True)
class _Finding:
    """What was found out about an instance."""

    end: AnswerEnd
    """End of the answers that ended since then."""
    there_since: float = -math.inf
    """Since when the process that is there now has been there, as far as is known."""

    def end_of(self, ended_at: float) -> AnswerEnd:
        """Return the end of an answer that ended at a time."""
        return self.end if self.there_since < ended_at else AnswerEnd.UNKNOWN


@dataclass(frozen=True)
class _Witnesses:
    """Connections that are open after an answer has ended, and older than its end."""

    since: float
    """Since when one of them is open."""
    n_ended: int
    """Others that have ended, with that of the answer."""


class _Question:
    """Question about one instance, which answers that ended before it share."""

    def __init__(self) -> None:
        self.is_answered = trio.Event()
        self.asked_at = trio.current_time()
        self.finding: _Finding | None = None
        """The answer; None if the request that asked has been given up."""


class AnswerEnds:
    """Asks instances that have ended an answer whether they are still there."""

    def __init__(
        self, pool: ConnectionPool, probe: InstanceProbe | None = None
    ) -> None:
        """Use ``probe`` to ask instances for their start, if they can be asked."""
        self._pool = pool
        self._probe = probe
        self._questions: dict[IncarnationKey, _Question] = {}
        self._held: dict[IncarnationKey, Connection] = {}
        """Open connections to instances that were asked lately."""

    async def judge(self, instance: ForwardInstance, ended_at: float) -> AnswerEnd:
        """Return what ended an answer of an instance at a time.

        Answers that end while a question is open share the next one, so that an
        instance that marks no end is asked once per round trip.
        """
        key, since = instance.incarnation_key, trio.current_time()
        while True:
            question = self._questions.get(key)
            if question is None:
                return (await self._ask(instance, ended_at)).end_of(ended_at)
            await question.is_answered.wait()
            if question.asked_at >= since and question.finding is not None:
                return question.finding.end_of(ended_at)

    async def _ask(self, instance: ForwardInstance, ended_at: float) -> _Finding:
        key, question = instance.incarnation_key, _Question()
        self._questions[key] = question
        try:
            await self._close_idle()
            question.finding = await self._find_out(instance, ended_at)
        finally:
            del self._questions[key]
            question.is_answered.set()
        return question.finding

    async def _find_out(self, instance: ForwardInstance, ended_at: float) -> _Finding:
        probe = self._probe
        if probe is None or not instance.born_ms or not probe.tells_start(instance):
            return await self._look_at_connections(instance, ended_at)
        told: list[_Finding] = []
        is_done = trio.Event()
        async with trio.open_nursery() as nursery:

            async def ask_start() -> None:
                if born_ms := await probe.born_ms(instance):
                    is_same = born_ms == instance.born_ms
                    end = AnswerEnd.CLOSED if is_same else AnswerEnd.DIED
                    told.append(_Finding(end))
                    nursery.cancel_scope.cancel()
                is_done.set()

            nursery.start_soon(ask_start)
            with trio.move_on_after(PROBE_WAIT_S):
                await is_done.wait()
            seen = await self._look_at_connections(instance, ended_at)
            if seen.end_of(ended_at) is not AnswerEnd.UNKNOWN:
                nursery.cancel_scope.cancel()
        return told[0] if told else seen

    async def _look_at_connections(
        self, instance: ForwardInstance, ended_at: float
    ) -> _Finding:
        """Find out what open connections, or a new one, tell of an instance.

        They tell less than its start: a lost segment delays the end of a connection.
        """
        witnesses = await self._look_for_witnesses(instance, ended_at)
        if witnesses is None:
            return await self._connect(instance)
        if witnesses.n_ended > 1:
            # They may have ended with their process, and the end of one be late.
            found = await self._connect(instance)
            if found.end is AnswerEnd.DIED:
                return found
        return _Finding(AnswerEnd.CLOSED, witnesses.since)

    async def _look_for_witnesses(
        self, instance: ForwardInstance, ended_at: float
    ) -> _Witnesses | None:
        """Return what is known of connections that may outlive the answer.

        None if there is none that is older than the end of the answer. It needs no
        question, and shows the same process however late this one comes to look.
        """
        conns = self._pool.opened_before(instance.address, ended_at - CLOCK_S)
        if all(conn.has_closed for conn in conns):
            return None
        now = trio.current_time()
        await trio.sleep_until(max(now, ended_at + SETTLE_S) + SETTLE_S)
        times = [conn.opened_at for conn in conns if not conn.has_closed]
        if not times:
            return None
        return _Witnesses(min(times) + CLOCK_S, len(conns) - len(times))

    async def _connect(self, instance: ForwardInstance) -> _Finding:
        """Find out whether anybody listens, and goes on doing so.

        An instance with too many connections resets a new one. If the next one is
        accepted, the reset came from a process and not from the end of its socket.
        """
        for is_first in (True, False):
            try:
                conn = await self._pool.take(
                    instance.address, fresh=True, connect_s=CONNECT_TIMEOUT_S
                )
            except ConnectFailedError as exc:
                has_refused = isinstance(exc.__cause__, ConnectionRefusedError)
                return _Finding(AnswerEnd.DIED if has_refused else AnswerEnd.UNKNOWN)
            accepted_at = trio.current_time()
            is_held = False
            try:
                if is_first:
                    await trio.sleep(SETTLE_S)
                    is_held = not conn.is_dropped
                if is_held or not is_first:
                    break
            finally:
                await (self._hold(instance, conn) if is_held else conn.close())
        return _Finding(AnswerEnd.CLOSED, accepted_at - MIN_RESTART_S)

    async def _hold(self, instance: ForwardInstance, conn: Connection) -> None:
        """Leave a connection open, which tells later whether its process is there.

        An older one tells more.
        """
        key = instance.incarnation_key
        held = self._held.get(key, conn)
        kept, other = (conn, held) if held.has_closed else (held, conn)
        self._held[key] = kept
        kept.idle_since = trio.current_time()
        if other is not kept:
            await other.close()

    async def _close_idle(self) -> None:
        """Close connections to instances that weren't asked for a while."""
        now = trio.current_time()
        for key, conn in list(self._held.items()):
            if key in self._questions:
                conn.idle_since = now
            elif now - conn.idle_since > MAX_IDLE_S:
                del self._held[key]
                await conn.close()
