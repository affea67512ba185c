"""What this router believes of the engines' weights, and of engines that change them.

The holder of the orders tells the other routers which engines take no new work, which
load and which are done; answers of engines tell the version that they have.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

import trio

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import WeightsNews, WeightsWord
from corianderlb_core.part_index import Life
from corianderlb_core.weights_roll import EnginePhase

from .interface import PeerNetwork
from .serving_state import ServingState

LOADING_S: Final = 6.0
"""How long word of a load counts without its end: several loads, and runs that must
end first."""

EMPTYING_S: Final = 2.5
"""How long word that an engine takes no new work counts. Its holder repeats it; when
the holder is lost, the engine serves again until the next one decides."""

GATHER_WORDS_S: Final = 0.04
"""How long words on weights wait for others: loads start and end in groups, and one
takes twenty times as long."""

WORDS_A_TOKEN: Final = 1 << 24
"""Words of one holder of the orders at most: with its fencing token as the high part
of their number, all words of a later holder go before those of an earlier one."""

MAX_HEARD_WORDS: Final = 4096
"""Lives whose newest word on weights is remembered; the oldest have long ended."""

LEAVE_PHASES: Final = (EnginePhase.EMPTYING, EnginePhase.CLEARING)
"""Phases in which runs leave an engine."""


def goes_on(before: EnginePhase, phase: EnginePhase) -> bool:
    """Return whether the time of one phase counts for the next."""
    return before in LEAVE_PHASES and phase in LEAVE_PHASES


@dataclass
class _Engine:
    versions: dict[str, int] = field(default_factory=dict)
    phase: EnginePhase = EnginePhase.SERVING
    phase_until: float = -math.inf
    since: float = -math.inf
    """When it was first wanted for that; clearing goes on from emptying."""
    loads_from: tuple[str, int] = ("", 0)
    """Model and version that it had as it began to load."""
    changed: trio.Event = field(default_factory=trio.Event)
    """Set, and replaced, when the phase changes."""


class WeightsBoard:
    """Hold each engine's version and phase, and spread them among routers."""

    def __init__(self, state: ServingState, peers: PeerNetwork) -> None:
        self._state = state
        self._peers = peers
        self._engines: dict[Life, _Engine] = {}
        self._word_number = 0
        self._heard_words: dict[Life, int] = {}
        """Number of the newest word on each life. Words reach a router over several
        others, and those on two engines may overtake each other."""
        self._words: list[WeightsWord] = []
        """Own words that the peers have not been told yet."""
        self._words_wanted = trio.Event()
        peers.subscribe(WeightsNews, self.on_weights_news)

    def version(self, instance: ForwardInstance, model: str) -> int:
        """Return the version that an engine is believed to have; 0 for none."""
        listed = dict(instance.weights).get(model, 0)
        return max(listed, self._engine(instance).versions.get(model, 0))

    def learn(self, instance: ForwardInstance, model: str, version: int) -> None:
        """Take note of the version that an engine has shown to have."""
        engine = self._engine(instance)
        if version > engine.versions.get(model, 0):
            engine.versions[model] = version
            self._state.saw_weights(model, version)

    def phase(self, instance: ForwardInstance) -> EnginePhase:
        """Return what an engine is wanted for now."""
        engine = self._engine(instance)
        if engine.phase_until <= trio.current_time():
            return EnginePhase.SERVING
        if engine.phase is EnginePhase.LOADING:
            # The word may be old, or the one that the load is over be lost.
            model, version = engine.loads_from
            if model and self.version(instance, model) > version:
                return EnginePhase.SERVING
        return engine.phase

    def phase_since(self, instance: ForwardInstance) -> float:
        """Return when an engine was first wanted for what it is wanted for now."""
        return self._engine(instance).since

    def set_phase(self, instance: ForwardInstance, phase: EnginePhase) -> None:
        """Take note of what an engine is wanted for from now on."""
        engine = self._engine(instance)
        now = trio.current_time()
        # A word that has lapsed and comes again is news to those who wait for it.
        before = self.phase(instance)
        is_news = phase is not before
        if is_news and not goes_on(before, phase):
            engine.since = now
        lasts_s = LOADING_S if phase is EnginePhase.LOADING else EMPTYING_S
        engine.phase_until = now + lasts_s
        engine.phase = phase
        if not is_news:
            return
        engine.changed.set()
        engine.changed = trio.Event()
        if phase is EnginePhase.SERVING:
            self._state.changed.set()
            self._state.changed = trio.Event()

    async def wait_leaving(self, instance: ForwardInstance) -> None:
        """Return once the runs of an engine are to leave it."""
        while self.phase(instance) not in LEAVE_PHASES:
            await self._engine(instance).changed.wait()

    def tell(
        self, instance: ForwardInstance, model: str, phase: EnginePhase, token: int
    ) -> None:
        """Tell the peers what the holder of the orders wants of an engine."""
        self.set_phase(instance, phase)
        version = self.version(instance, model)
        self._engine(instance).loads_from = (model, version)
        self._word_number = max(self._word_number + 1, token * WORDS_A_TOKEN)
        self._heard_words[instance.life] = self._word_number
        word = WeightsWord(*instance.life, model, version, phase, self._word_number)
        self._words.append(word)
        self._words_wanted.set()

    async def on_weights_news(self, sender: InstanceId, news: WeightsNews) -> None:
        """Take the words of the router that gives the orders, and pass on what is new.

        Words on one engine are taken in the order of their numbers, whichever way
        they come.
        """
        fresh = [word for word in news.words if self._take_word(word)]
        if fresh:
            self._peers.pass_on(WeightsNews(tuple(fresh)))

    def _take_word(self, word: WeightsWord) -> bool:
        """Take one word; return whether it was news."""
        life = (word.instance, word.born_ms)
        if word.number <= self._heard_words.get(life, 0):
            return False
        self._heard_words[life] = word.number
        if len(self._heard_words) > MAX_HEARD_WORDS:
            del self._heard_words[next(iter(self._heard_words))]
        self._word_number = max(self._word_number, word.number)
        instance = self._state.instance(word.instance)
        if instance is not None and instance.life == life:
            self.learn(instance, word.model, word.version)
            self.set_phase(instance, word.phase)
            self._engine(instance).loads_from = (word.model, word.version)
        return True

    def forget(self, life: Life) -> None:
        """Drop what was known of a life that is over."""
        self._engines.pop(life, None)
        self._heard_words.pop(life, None)

    async def run(self) -> None:
        """Tell the peers of own words, some at a time, until cancelled."""
        while True:
            await self._words_wanted.wait()
            await trio.sleep(GATHER_WORDS_S)
            self._words_wanted = trio.Event()
            words = tuple(self._words)
            self._words.clear()
            self._peers.broadcast(WeightsNews(words))

    def _engine(self, instance: ForwardInstance) -> _Engine:
        return self._engines.setdefault(instance.life, _Engine())
