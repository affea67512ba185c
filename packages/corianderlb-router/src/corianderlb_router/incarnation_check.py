"""Ask instances for their incarnation before a stream goes on or begins there.

An instance can restart with other software under its name and address, and serve before
its new entry has reached the store or this router. Whoever answers is told from the
instance that was meant by the time of its start alone::

    if await check.has_restarted(instance):
        ...  # The entry is that of a process which is gone.

A stream that goes on always asks. One that begins asks only while the entry may be old,
since most streams go on nowhere; its instance is asked once it breaks off.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Final

import trio

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.part_index import IncarnationKey

from .path_watch import InstanceProbe

SHARED_S: Final = 0.1
"""Time for which an answer is shared: far less than a process takes to start."""

SEEN_KEPT_S: Final = 60.0
"""Time for which it is kept when an instance was last that of its entry."""


class _Question:
    """Question to one instance, which requests that come meanwhile share."""

    def __init__(self) -> None:
        self.is_answered = trio.Event()
        self.asked_at = trio.current_time()
        self.born_ms: int | None = None
        """The answer; None if the request that asked has been given up."""


class IncarnationCheck:
    """Compares the start of the process that answers with that of the entry."""

    def __init__(self, probe: InstanceProbe) -> None:
        self._probe = probe
        self._questions: dict[IncarnationKey, _Question] = {}
        self._seen_at: OrderedDict[IncarnationKey, float] = OrderedDict()

    def seen_at(self, instance: ForwardInstance) -> float:
        """Return when the process of the entry answered last; -inf if never.

        It is inf for an instance that tells no start, which is asked for nothing.
        """
        if not self._probe.tells_start(instance):
            return math.inf
        return self._seen_at.get(instance.incarnation_key, -math.inf)

    async def has_restarted(self, instance: ForwardInstance) -> bool:
        """Return whether another process than that of the entry answers.

        False also if none answers, or one that doesn't tell when it started.
        """
        return await self._ask_start(instance) not in (0, instance.born_ms)

    async def restarted_ms(self, instance: ForwardInstance) -> int:
        """Return the start of another process than that of the entry, which answers.

        It is in Unix milliseconds; 0 if that of the entry answers, or none that tells.
        """
        if not (instance.born_ms and self._probe.tells_start(instance)):
            return 0
        born_ms = await self._ask_start(instance)
        return 0 if born_ms == instance.born_ms else max(0, born_ms)

    async def _ask_start(self, instance: ForwardInstance) -> int:
        key, now = instance.incarnation_key, trio.current_time()
        question = self._questions.get(key)
        if question is None or now - question.asked_at >= SHARED_S:
            return await self._ask(instance)
        await question.is_answered.wait()
        if question.born_ms is None:
            return await self._ask(instance)
        return question.born_ms

    async def _ask(self, instance: ForwardInstance) -> int:
        key, question = instance.incarnation_key, _Question()
        self._questions[key] = question
        try:
            question.born_ms = born_ms = await self._probe.born_ms(instance)
            if born_ms == instance.born_ms:
                self._seen_at[key] = question.asked_at
                self._seen_at.move_to_end(key)
        finally:
            question.is_answered.set()
            self._forget_old()
        return born_ms

    def _forget_old(self) -> None:
        oldest = trio.current_time() - SHARED_S
        for key, question in list(self._questions.items()):
            if question.asked_at < oldest and question.is_answered.is_set():
                del self._questions[key]
        oldest = trio.current_time() - SEEN_KEPT_S
        while self._seen_at and next(iter(self._seen_at.values())) < oldest:
            self._seen_at.popitem(last=False)
