"""Tell whether an answer that ends with its connection was ended by its process.

An answer without length and chunks has no other mark of its end, and the kernel closes
the connections of a process that dies in order too. Such an answer is taken for whole
only if its process is still there afterwards, and so has closed the connection itself::

    if await ends.judge(instance, age_s) is not AnswerEnd.CLOSED:
        ...  # The answer may be a part.

A doubt goes against the answer: a whole one that counts as cut costs another attempt,
while a cut one that counts as whole misleads its caller.
"""

from __future__ import annotations

import enum
from typing import Final

import trio

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.part_index import IncarnationKey

from .connection import ConnectFailedError
from .path_watch import InstanceProbe
from .transport import ConnectionPool

MIN_RESTART_S: Final = 0.1
"""Time within which no process ends and is back at its address."""

SETTLE_S: Final = 0.02
"""Time for which a new connection has to stay open: the listening socket of a process
that dies may outlive its connections by a moment."""

CONNECT_TIMEOUT_S: Final = 0.25
"""Timeout of that connection."""

MAX_CONNECTIONS: Final = 2
"""Connections to try: an instance with too many of them resets a new one."""


class AnswerEnd(enum.Enum):
    """What is known of the end of an answer that has no mark of it."""

    CLOSED = "closed"
    """The process that answered has closed the connection."""
    DIED = "died"
    """That process is gone."""
    UNKNOWN = "unknown"
    """Nothing tells whether that process is still there."""


class _Question:
    """Question about one instance, which answers that ended before it share."""

    def __init__(self) -> None:
        self.is_answered = trio.Event()
        self.asked_at = trio.current_time()
        self.end: AnswerEnd | None = None
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

    async def judge(self, instance: ForwardInstance, age_s: float) -> AnswerEnd:
        """Return what ended an answer of an instance ``age_s`` seconds ago.

        Answers that end while a question is open share the next one, so that an
        instance that marks no end is asked once per round trip.
        """
        key, since = instance.incarnation_key, trio.current_time()
        while True:
            question = self._questions.get(key)
            if question is None:
                return await self._ask(instance, age_s)
            await question.is_answered.wait()
            if question.asked_at >= since and question.end is not None:
                return question.end

    async def _ask(self, instance: ForwardInstance, age_s: float) -> AnswerEnd:
        key, question = instance.incarnation_key, _Question()
        self._questions[key] = question
        try:
            question.end = await self._find_out(instance, question.asked_at - age_s)
        finally:
            del self._questions[key]
            question.is_answered.set()
        return question.end

    async def _find_out(self, instance: ForwardInstance, ended_at: float) -> AnswerEnd:
        if self._probe is not None and instance.born_ms:
            born_ms = await self._probe.born_ms(instance)
            if born_ms:
                is_same = born_ms == instance.born_ms
                return AnswerEnd.CLOSED if is_same else AnswerEnd.DIED
        for _ in range(MAX_CONNECTIONS):
            try:
                conn = await self._pool.take(
                    instance.address, fresh=True, connect_s=CONNECT_TIMEOUT_S
                )
            except ConnectFailedError as exc:
                return AnswerEnd.DIED if exc.refused else AnswerEnd.UNKNOWN
            is_soon = trio.current_time() - ended_at < MIN_RESTART_S
            await trio.sleep(SETTLE_S)
            is_open = not conn.is_dropped
            await conn.close()
            if is_open:
                return AnswerEnd.CLOSED if is_soon else AnswerEnd.UNKNOWN
        return AnswerEnd.UNKNOWN
