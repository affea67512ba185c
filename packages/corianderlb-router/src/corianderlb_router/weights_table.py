"""Weights versions and load phases of the engines, as known to this router.

The lease holder announces to the other routers which engines take no new requests,
which are loading and which have finished. Engine responses show the current version.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import field
from typing import Final

import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import WeightsAnnouncement, WeightsUpdate
from corianderlb_core.part_index import IncarnationKey
from corianderlb_core.weights_rollout import EnginePhase

from .interface import PeerNetwork
from .serving_state import ServingState

LOADING_TTL_S: Final = 6.0
"""Time until an announced load expires when its end is not announced; covers several
loads and the runs that must complete first."""

EMPTYING_TTL_S: Final = 2.5
"""Time until an announced emptying or clearing phase expires. The holder repeats the
announcement; when the holder is lost, the engine serves again."""

BATCH_DELAY_S: Final = 0.04
"""Time for which announcements are collected into one update; loads start and end in
groups."""

ANNOUNCEMENTS_PER_TOKEN: Final = 1 << 24
"""Maximum number of announcements per holder. The fencing token forms the high part of
the sequence number, so that a later holder's announcements supersede earlier ones."""

MAX_KNOWN_INCARNATIONS: Final = 4096
"""Incarnations whose latest sequence number is kept; the oldest are evicted."""

DRAIN_PHASES: Final = (EnginePhase.EMPTYING, EnginePhase.CLEARING)
"""Phases in which runs move away from an engine."""


def keeps_phase_start(before: EnginePhase, phase: EnginePhase) -> bool:
    """Return whether a phase keeps the start time of the phase before it."""
    return before in DRAIN_PHASES and phase in DRAIN_PHASES


@dataclass
class _Engine:
    """Known weights versions and phase of one engine incarnation."""

    versions: dict[str, int] = field(default_factory=dict)
    phase: EnginePhase = EnginePhase.SERVING
    phase_until: float = -math.inf
    phase_started_at: float = -math.inf
    """Start of the current phase; emptying and clearing share one start time."""
    replaced_weights: tuple[str, int] = ("", 0)
    """Model and version that the engine had when it began to load."""
    changed: trio.Event = field(default_factory=trio.Event)
    """Set and replaced when the phase changes."""


class WeightsTable:
    """Table of each engine's weights version and phase, shared with the peers."""

    def __init__(
        self,
        state: ServingState,
        peers: PeerNetwork,
        on_loaded: Callable[[ForwardInstance], None] = lambda instance: None,
    ) -> None:
        self._state = state
        self._on_loaded = on_loaded
        self._peers = peers
        self._engines: dict[IncarnationKey, _Engine] = {}
        self.n_versions_learned = 0
        """Counts the changes of what ``version`` returns."""
        self._not_serving: set[IncarnationKey] = set()
        """Engines whose announced phase was not serving; it may have expired."""
        self._sequence = 0
        self._latest_sequences: dict[IncarnationKey, int] = {}
        """Sequence number of the latest announcement per incarnation. Announcements
        arrive via several peers, so those about different engines may be reordered."""
        self._pending: list[WeightsAnnouncement] = []
        """Own announcements that have not been sent yet."""
        self._pending_event = trio.Event()
        peers.subscribe(WeightsUpdate, self.on_weights_update)

    def version(self, instance: ForwardInstance, model: str) -> int:
        """Return the known weights version of an engine, or 0 if it is unknown."""
        listed = next((n for name, n in instance.weights if name == model), 0)
        return max(listed, self._engine(instance).versions.get(model, 0))

    def learn(self, instance: ForwardInstance, model: str, version: int) -> None:
        """Record the version that an engine has reported."""
        engine = self._engine(instance)
        if version > engine.versions.get(model, 0):
            is_load = 0 < self.version(instance, model) < version
            engine.versions[model] = version
            self.n_versions_learned += 1
            if is_load:
                self._on_loaded(instance)
            self._state.record_engine_weights(model, version)

    @property
    def all_serve(self) -> bool:
        """Whether every engine is serving for sure."""
        return not self._not_serving

    def phase(self, instance: ForwardInstance) -> EnginePhase:
        """Return the current phase of an engine."""
        if instance.incarnation_key not in self._not_serving:
            return EnginePhase.SERVING
        engine = self._engine(instance)
        if engine.phase_until <= trio.current_time():
            return EnginePhase.SERVING
        if engine.phase is EnginePhase.LOADING:
            # The announcement may be stale, or the one that ends the load may be lost.
            model, version = engine.replaced_weights
            if model and self.version(instance, model) > version:
                return EnginePhase.SERVING
        return engine.phase

    def phase_since(self, instance: ForwardInstance) -> float:
        """Return when the current phase of an engine started."""
        return self._engine(instance).phase_started_at

    def set_phase(self, instance: ForwardInstance, phase: EnginePhase) -> None:
        """Record a new phase for an engine."""
        engine = self._engine(instance)
        now = trio.current_time()
        # Compare with the effective phase: a phase that expired and is announced again
        # must wake up the waiting runs.
        before = self.phase(instance)
        is_change = phase is not before
        if is_change and not keeps_phase_start(before, phase):
            engine.phase_started_at = now
        ttl_s = LOADING_TTL_S if phase is EnginePhase.LOADING else EMPTYING_TTL_S
        engine.phase_until = now + ttl_s
        engine.phase = phase
        if phase is EnginePhase.SERVING:
            self._not_serving.discard(instance.incarnation_key)
        else:
            self._not_serving.add(instance.incarnation_key)
        if not is_change:
            return
        engine.changed.set()
        engine.changed = trio.Event()
        if phase is EnginePhase.SERVING:
            self._state.changed.set()
            self._state.changed = trio.Event()

    async def wait_until_draining(self, instance: ForwardInstance) -> None:
        """Wait until runs must move away from an engine."""
        while self.phase(instance) not in DRAIN_PHASES:
            await self._engine(instance).changed.wait()

    def announce(
        self, instance: ForwardInstance, model: str, phase: EnginePhase, token: int
    ) -> None:
        """Record the phase of an engine and announce it to the peers."""
        self.set_phase(instance, phase)
        version = self.version(instance, model)
        self._engine(instance).replaced_weights = (model, version)
        self._sequence = max(self._sequence + 1, token * ANNOUNCEMENTS_PER_TOKEN)
        self._latest_sequences[instance.incarnation_key] = self._sequence
        announcement = WeightsAnnouncement(
            *instance.incarnation_key, model, version, phase, self._sequence
        )
        self._pending.append(announcement)
        self._pending_event.set()

    async def on_weights_update(
        self, sender: InstanceId, update: WeightsUpdate
    ) -> None:
        """Merge announcements of the lease holder and forward those that are new.

        Announcements about one engine apply in the order of their sequence numbers,
        whichever path they take.
        """
        learned = [
            announcement for announcement in update.words if self._merge(announcement)
        ]
        if learned:
            self._peers.forward_update(WeightsUpdate(tuple(learned)))

    def _merge(self, announcement: WeightsAnnouncement) -> bool:
        """Merge one announcement; return whether it was new."""
        incarnation_key = (announcement.instance, announcement.born_ms)
        if announcement.number <= self._latest_sequences.get(incarnation_key, 0):
            return False
        self._latest_sequences[incarnation_key] = announcement.number
        if len(self._latest_sequences) > MAX_KNOWN_INCARNATIONS:
            del self._latest_sequences[next(iter(self._latest_sequences))]
        self._sequence = max(self._sequence, announcement.number)
        instance = self._state.incarnation(incarnation_key)
        if instance is not None:
            self.learn(instance, announcement.model, announcement.version)
            self.set_phase(instance, announcement.phase)
            self._engine(instance).replaced_weights = (
                announcement.model,
                announcement.version,
            )
        return True

    def forget(self, incarnation_key: IncarnationKey) -> None:
        """Drop the state of an engine incarnation that has ended."""
        self._engines.pop(incarnation_key, None)
        self._not_serving.discard(incarnation_key)
        self._latest_sequences.pop(incarnation_key, None)

    async def run(self) -> None:
        """Broadcast own announcements in batches until cancelled."""
        while True:
            await self._pending_event.wait()
            await trio.sleep(BATCH_DELAY_S)
            self._pending_event = trio.Event()
            batch = tuple(self._pending)
            self._pending.clear()
            self._peers.broadcast(WeightsUpdate(batch))

    def _engine(self, instance: ForwardInstance) -> _Engine:
        engine = self._engines.get(instance.incarnation_key)
        if engine is None:
            engine = self._engines[instance.incarnation_key] = _Engine()
        return engine
