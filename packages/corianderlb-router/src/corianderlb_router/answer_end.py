"""Tell whether an answer that ends with its connection was ended by its process.

An answer without length and chunks has no other mark of its end, and the kernel closes
the connections of a process that dies in order too. So does a process that is asked to
end: it closes its answers first and exits later. Such an answer is taken for whole only
if its process is still there some time afterwards::

    end = await ends.judge(instance, ended_at, ended_at + STAY_S)
    if end is not AnswerEnd.CLOSED:
        ...  # The answer may be a part.

A doubt goes against the answer: a whole one that counts as cut costs another attempt,
while a cut one that counts as whole misleads its caller.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
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

STAY_S: Final = 1.2
"""Time for which a process has to outlive the answer that it has ended. Callers may
leave a stream that is silent for two seconds."""

SHARED_S: Final = 0.1
"""Part of that time within which answers share the question whether it is there."""

WATCH_INTERVAL_S: Final = 0.1
"""Interval at which connections are looked at meanwhile."""

WATCH_KEPT_S: Final = 2.0
"""Age up to which an open connection serves for that: its upstream may close one that
is idle for five seconds, which would look like the end of its process."""


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
    covers_until: float = math.inf
    """Time from which ends need a question of their own."""

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
    has_answered: bool
    """Whether one of them has carried an answer, so that a process has accepted it."""


class _Question:
    """Question about one instance, which answers that ended before it share."""

    def __init__(self) -> None:
        self.is_answered = trio.Event()
        self.asked_at = trio.current_time()
        self.finding: _Finding | None = None
        """The answer; None if the request that asked has been given up."""


class _Questions:
    """Questions to instances, which all requests share that come before one is asked.

    An instance is asked once per round trip, however many answers it ends meanwhile.
    """

    def __init__(
        self, ask: Callable[[ForwardInstance, float], Awaitable[_Finding]]
    ) -> None:
        """Use ``ask`` to ask an instance about an answer that ended at a time."""
        self._ask = ask
        self._open: dict[IncarnationKey, _Question] = {}
        self._answered: dict[IncarnationKey, _Question] = {}
        """The latest ones that were answered."""

    def is_open(self, key: IncarnationKey) -> bool:
        """Return whether a question to an instance is not answered yet."""
        return key in self._open

    async def ask(
        self, instance: ForwardInstance, ended_at: float, since: float
    ) -> _Finding:
        """Return the answer to a question that was asked after a time."""
        key = instance.incarnation_key
        while question := self._open.get(key):
            await question.is_answered.wait()
        question = self._answered.get(key)
        if question is not None and question.asked_at >= since:
            found = question.finding
            if found is not None and ended_at < found.covers_until:
                return found
        return await self._ask_now(instance, ended_at)

    async def _ask_now(self, instance: ForwardInstance, ended_at: float) -> _Finding:
        key, question = instance.incarnation_key, _Question()
        self._open[key] = question
        try:
            question.finding = await self._ask(instance, ended_at)
            self._answered[key] = question
        finally:
            del self._open[key]
            question.is_answered.set()
        self._forget_old()
        return question.finding

    def _forget_old(self) -> None:
        oldest = trio.current_time() - SHARED_S
        for key, question in list(self._answered.items()):
            if question.asked_at < oldest:
                del self._answered[key]


class AnswerEnds:
    """Asks instances that have ended an answer whether they are still there."""

    def __init__(
        self, pool: ConnectionPool, probe: InstanceProbe | None = None
    ) -> None:
        """Use ``probe`` to ask instances for their start, if they can be asked."""
        self._pool = pool
        self._probe = probe
        self._looks = _Questions(self._look)
        self._questions = _Questions(self._find_out)
        self._held: dict[IncarnationKey, list[Connection]] = {}
        """Open connections to instances that were asked lately, the oldest first."""

    async def judge(
        self,
        instance: ForwardInstance,
        ended_at: float,
        settles_at: float = -math.inf,
    ) -> AnswerEnd:
        """Return what ended an answer of an instance at a time.

        The process must be there until ``settles_at``; if it is found to have gone
        before, this returns at once.
        """
        await self._close_idle(instance.incarnation_key)
        now, is_watched = trio.current_time(), True
        if now < settles_at:
            seen = await self._looks.ask(instance, ended_at, now)
            if seen.end is AnswerEnd.DIED:
                return seen.end
            conns = self._open_conns(instance, ended_at)
            held = self._held.get(instance.incarnation_key, ())
            is_watched = all(conn.shows_close for conn in held)
            while not await _stay_open(conns, settles_at):
                now = trio.current_time()
                found = await self._questions.ask(instance, ended_at, now)
                if found.end_of(ended_at) is not AnswerEnd.CLOSED:
                    return found.end_of(ended_at)
                # They were closed alone.
                conns = []
        since = max(now, min(settles_at, trio.current_time()) - SHARED_S)
        found = await self._questions.ask(instance, ended_at, since)
        # If none can be watched, a process was there at both times.
        return found.end_of(ended_at) if is_watched else found.end

    async def _look(self, instance: ForwardInstance, ended_at: float) -> _Finding:
        """Have an idle connection open that will show whether the process has gone.

        Those of other answers end with them.
        """
        now, held = trio.current_time(), self._held.get(instance.incarnation_key, ())
        times = [conn.opened_at for conn in _still_open(held)]
        if times and now - max(times) < WATCH_KEPT_S:
            return _Finding(AnswerEnd.CLOSED, _there_since(min(times)))
        return await self._connect(instance)

    def _open_conns(
        self, instance: ForwardInstance, ended_at: float
    ) -> list[Connection]:
        """Return open connections to the process that has ended an answer."""
        return _still_open(self._conns_to_process(instance, ended_at))

    def _conns_to_process(
        self, instance: ForwardInstance, ended_at: float
    ) -> list[Connection]:
        """Return connections, ended ones too, that the process may have accepted."""
        before = ended_at + MIN_RESTART_S - CLOCK_S
        return self._pool.opened_before(instance.address, before)

    async def _find_out(self, instance: ForwardInstance, ended_at: float) -> _Finding:
        probe = self._probe
        if probe is None or not instance.born_ms or not probe.tells_start(instance):
            return await self._look_at_connections(instance, ended_at)
        told: list[_Finding] = []
        seen: list[_Finding] = []
        async with trio.open_nursery() as nursery:

            async def look() -> None:
                await trio.sleep(PROBE_WAIT_S)
                seen.append(await self._look_at_connections(instance, ended_at))

            nursery.start_soon(look)
            if born_ms := await probe.born_ms(instance):
                is_same = born_ms == instance.born_ms
                end = AnswerEnd.CLOSED if is_same else AnswerEnd.DIED
                told.append(_Finding(end))
                nursery.cancel_scope.cancel()
        return (told or seen)[0]

    async def _look_at_connections(
        self, instance: ForwardInstance, ended_at: float
    ) -> _Finding:
        """Find out what open connections, or a new one, tell of an instance.

        They tell less than its start: a lost segment delays the end of a connection,
        and one that has carried no answer may never have reached a process.
        """
        witnesses = await self._look_for_witnesses(instance, ended_at)
        if witnesses is None:
            found = await self._connect(instance)
        else:
            found = _Finding(AnswerEnd.CLOSED, witnesses.since)
            if witnesses.n_ended > 1:
                # They may have ended with their process, and the end of one be late.
                connected = await self._connect(instance)
                if connected.end is AnswerEnd.DIED:
                    return connected
            if witnesses.has_answered:
                return found
        if self._probe is None or found.end is not AnswerEnd.CLOSED:
            return found
        answered_at = self._pool.newest_answered(instance.address)
        if ended_at < answered_at:
            # A request that was sent later shows it without a question.
            return replace(found, covers_until=answered_at)
        answers = await self._probe.answers(instance)
        return found if answers else _Finding(AnswerEnd.UNKNOWN)

    async def _look_for_witnesses(
        self, instance: ForwardInstance, ended_at: float
    ) -> _Witnesses | None:
        """Return what is known of connections that may outlive the answer.

        None if there is none that is older than the end of the answer. It needs no
        question, and shows the same process however late this one comes to look.
        """
        conns = self._conns_to_process(instance, ended_at)
        if not _still_open(conns):
            return None
        now = trio.current_time()
        await trio.sleep_until(max(now, ended_at + SETTLE_S) + SETTLE_S)
        left = _still_open(conns)
        if not left:
            return None
        n_ended = len(conns) - len(left)
        proven = [conn for conn in left if conn.has_answered]
        since = min(conn.opened_at for conn in proven or left)
        return _Witnesses(_there_since(since), n_ended, bool(proven))

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
        """Leave a connection open, which tells later whether its process is there."""
        conn.idle_since = trio.current_time()
        self._held.setdefault(instance.incarnation_key, []).append(conn)

    async def _close_idle(self, used: IncarnationKey) -> None:
        """Close connections that have ended, or to instances not asked for a while.

        Of those to the instance that is used the oldest one stays, which tells most.
        """
        now, dropped = trio.current_time(), []
        for key, conns in list(self._held.items()):
            if key == used or self._questions.is_open(key):
                conns[0].idle_since = now
            kept = [c for c in _still_open(conns) if now - c.idle_since <= MAX_IDLE_S]
            dropped += [conn for conn in conns if conn not in kept]
            if kept:
                self._held[key] = kept
            else:
                del self._held[key]
        # Other ends may be judged while a connection closes.
        for conn in dropped:
            await conn.close()


async def _stay_open(conns: Sequence[Connection], until: float) -> bool:
    """Wait until a time; return False as soon as all of some connections have ended."""
    while (left_s := until - trio.current_time()) > 0:
        if conns and not _still_open(conns):
            return False
        await trio.sleep(min(WATCH_INTERVAL_S, left_s))
    return True


def _still_open(conns: Sequence[Connection]) -> list[Connection]:
    """Return those connections that neither side has ended."""
    return [conn for conn in conns if not conn.has_closed]


def _there_since(opened_at: float) -> float:
    """Return since when the process of a connection has been there at least."""
    return opened_at - MIN_RESTART_S + CLOCK_S
