"""Admission of requests to engines by fair shares of the fleet's room.

The decisions are made by ``corianderlb_core.fair_room``; this module feeds it with the
configuration, the engines' answers and the reports of the other routers, and lets
requests wait.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import field
from typing import Final

import eliot
import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.fair_room import FairRoom, RoomRefusal, RoomReport
from corianderlb_core.forwarding import ForwardAccount, ForwardConfiguration, Prompt
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import RoomState, RoomUpdate
from corianderlb_core.part_index import IncarnationKey
from corianderlb_core.room_rate import RoomFlow
from corianderlb_core.room_share import RoomKey

from .engine_table import EngineTable
from .interface import PeerNetwork
from .serving_state import ServingState

REQUEST_TOKENS: Final = 300.0
"""Cost of a request beside its prefill, in tokens: about one step of an engine."""

SPEED_UNITS: Final = 1000
"""Units, of a mean engine's rate, in which reports name the usable engines."""

RELEASE_INTERVAL_S: Final = 0.005
"""Interval at which waiting requests may be admitted: far below the objectives."""

READ_LEARN_RATE: Final = 0.02
"""Weight of one request in the share of shared tokens that engines prefill."""

LOG_INTERVAL_S: Final = 1.0
"""Interval at which the accounts' use of scarce room is logged."""


class RoomFullError(Exception):
    """Raised for a request that can't be admitted in time."""

    def __init__(self, refusal: RoomRefusal, detail: str) -> None:
        super().__init__(detail)
        self.refusal = refusal


@dataclass
class _Room:
    """The room of one upstream."""

    room: FairRoom[trio.Event] = field(default_factory=FairRoom)
    read_share: float = 1.0
    """Share of the shared tokens of prompts that engines prefill."""
    logged_at: float = -math.inf


class FleetRooms:
    """Admits the requests of this router to the engines of each upstream."""

    def __init__(
        self,
        state: ServingState,
        engines: EngineTable,
        peers: PeerNetwork,
        is_enabled: bool,
        n_sharing: Callable[[], int] | None = None,
    ) -> None:
        self.is_enabled = is_enabled
        self._state = state
        self._engines = engines
        self._peers = peers
        self._n_sharing = n_sharing or peers.n_sharing
        self._rooms: dict[str, _Room] = {}
        self._weights: dict[str, float] = {}
        self._configuration: ForwardConfiguration | None = None
        self._release_requested = trio.Event()
        peers.subscribe(RoomUpdate, self.on_room_update)

    # Admission.

    async def enter(
        self,
        upstream: str,
        key: RoomKey,
        prompt: Prompt,
        limit_s: float,
        begins_now: Callable[[], bool],
    ) -> None:
        """Wait until a request may be sent; raise ``RoomFullError`` if it can't be.

        It waits for ``limit_s`` at most. ``begins_now`` returns whether some engine is
        estimated to begin it in time.
        """
        found = self._room(upstream)
        now = trio.current_time()
        cost = self._cost(found, prompt)
        admitted = trio.Event()
        asked = found.room.ask(admitted, key, cost, limit_s, now, begins_now)
        if isinstance(asked, RoomRefusal):
            raise self._full(found, key, asked, now)
        if not asked.in_queue:
            return
        self._release_requested.set()
        try:
            with trio.move_on_after(limit_s):
                await admitted.wait()
            if asked.in_queue and found.room.admit_idle(key, cost, begins_now):
                found.room.queue.remove(asked)
                return
        finally:
            found.room.leave(asked)
        if not admitted.is_set():
            now = trio.current_time()
            raise self._full(found, key, found.room.refusal(key, cost, now), now)

    @property
    def n_waiting(self) -> int:
        """Number of requests that wait for room."""
        return sum(len(found.room.queue) for found in self._rooms.values())

    @property
    def n_refused(self) -> int:
        """Number of requests that were refused for lack of room."""
        return sum(found.room.n_refused for found in self._rooms.values())

    def turn_away(
        self, upstream: str, key: RoomKey, prompt: Prompt
    ) -> RoomRefusal | None:
        """Record that no engine can begin an admitted request in time."""
        found = self._rooms.get(upstream)
        if found is None:
            return None
        now, cost = trio.current_time(), self._cost(found, prompt)
        found.room.give_back(key, cost, now)
        return found.room.refusal(key, cost, now)

    def is_rated(self, upstream: str) -> bool:
        """Return whether the room is known, so that few requests wait at engines."""
        found = self._rooms.get(upstream)
        return found is not None and not found.room.is_open

    def own_share(self, upstream: str) -> float:
        """Return this router's part of what all routers are asked for."""
        return self._room(upstream).room.own_share

    def _full(
        self, found: _Room, key: RoomKey, refusal: RoomRefusal, now: float
    ) -> RoomFullError:
        asked, entitled = found.room.amounts(key)
        detail = (
            f"{key.account} asks for {asked:.0f} tokens a second at priority "
            f"{key.urgency} and is entitled to {entitled:.0f} of "
            f"{found.room.rate.per_s:.0f}; {refusal.wait_s * 1000:.0f} ms to wait"
        )
        return RoomFullError(refusal, detail)

    @staticmethod
    def _cost(found: _Room, prompt: Prompt) -> float:
        n_own = prompt.n_prompt - prompt.n_shared
        return REQUEST_TOKENS + n_own + found.read_share * prompt.n_shared

    # Attempts.

    def sent(
        self,
        upstream: str,
        key: str,
        engine: IncarnationKey,
        n_missing: int,
        prompt: Prompt,
        objective_s: float,
        due_s: float,
    ) -> None:
        """Record an attempt whose first token is due in ``due_s``."""
        if not self.is_enabled or not math.isfinite(due_s):
            return
        found, now = self._room(upstream), trio.current_time()
        cost = REQUEST_TOKENS + n_missing
        found.room.sent(key, engine, cost, objective_s, now + due_s)
        if prompt.n_shared:
            n_own = prompt.n_prompt - prompt.n_shared
            read_share = max(0.0, (n_missing - n_own) / prompt.n_shared)
            found.read_share += READ_LEARN_RATE * (read_share - found.read_share)

    def first_token(self, upstream: str, key: str) -> None:
        """Record the first token of an attempt."""
        found = self._rooms.get(upstream)
        if found is not None:
            found.room.first_token(key, trio.current_time())

    def ended(self, upstream: str, key: str) -> None:
        """Record the end of an attempt."""
        found = self._rooms.get(upstream)
        if found is not None:
            found.room.ended(key)

    # The fleet.

    async def on_room_update(self, sender: InstanceId, update: RoomUpdate) -> None:
        """Merge the report of a peer."""
        if not self.is_enabled:
            return
        now = trio.current_time()
        for state in update.rooms:
            self._room(state.upstream).room.merge(sender, _report_of(state), now)

    async def run(self) -> None:
        """Report to the peers and admit those who wait, until cancelled."""
        if not self.is_enabled:
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report)
            nursery.start_soon(self._release)

    async def _report(self) -> None:
        while True:
            await trio.sleep(self._engines.update_interval_s)
            self.update()

    def update(self) -> None:
        """Follow the fleet, and report what the peers have to know."""
        now = trio.current_time()
        self._apply_configuration()
        states = []
        for upstream, found in self._rooms.items():
            room = found.room
            room.weights = self._weights
            room.n_routers = max(1, self._n_sharing())
            usable = self._engines.usable(upstream)
            n_taken = usable.n_taken
            if not room.hears_others(now):
                n_taken *= room.n_routers
            room.update(usable.rates, n_taken, usable.n_places, now)
            if room.should_report(now):
                states.append(_state_of(upstream, room.report(now)))
            if room.is_pressed(now) and now >= found.logged_at + LOG_INTERVAL_S:
                found.logged_at = now
                _log(upstream, room)
        if states:
            self._peers.broadcast(RoomUpdate(tuple(states)))

    async def _release(self) -> None:
        while True:
            await self._release_requested.wait()
            self._release_requested = trio.Event()
            await trio.sleep(RELEASE_INTERVAL_S)
            now = trio.current_time()
            for found in self._rooms.values():
                if not len(found.room.queue):
                    continue
                for ticket in found.room.release(now):
                    ticket.item.set()
                if len(found.room.queue):
                    self._release_requested.set()

    def _apply_configuration(self) -> None:
        cfg = self._state.configuration
        if cfg is not None and cfg is not self._configuration:
            self._configuration = cfg
            self._weights = room_weights(cfg.accounts)

    def _room(self, upstream: str) -> _Room:
        found = self._rooms.get(upstream)
        if found is None:
            found = self._rooms[upstream] = _Room()
        return found


def room_weights(accounts: tuple[ForwardAccount, ...]) -> dict[str, float]:
    """Return the weights of accounts: by their caps, and 1 without a cap.

    Caps of one unit are compared with their mean, so that an account with a mean cap
    weighs as much as one without.
    """
    rates: dict[str, list[float]] = {}
    for account in accounts:
        if account.cap is not None and account.cap.rate_per_s > 0:
            rates.setdefault(account.cap.unit.value, []).append(account.cap.rate_per_s)
    weights = {}
    for account in accounts:
        if account.cap is not None and account.cap.rate_per_s > 0:
            of_unit = rates[account.cap.unit.value]
            mean = sum(of_unit) / len(of_unit)
            weights[account.name] = account.cap.rate_per_s / mean
    return weights


def _state_of(upstream: str, report: RoomReport) -> RoomState:
    flow = report.flow
    return RoomState(
        upstream,
        round(report.capacity) if math.isfinite(report.capacity) else 0,
        report.is_pressed,
        round(flow.served),
        round(flow.in_time),
        round(flow.late),
        round(flow.waiting),
        tuple(
            (key.account, key.urgency, round(amount))
            for key, amount in report.asked.items()
            if amount >= 1.0
        ),
        round(SPEED_UNITS * report.speed),
    )


def _report_of(state: RoomState) -> RoomReport:
    asked = {
        RoomKey(urgency, account): max(0.0, float(per_s))
        for account, urgency, per_s in state.asked
    }
    return RoomReport(
        float(state.capacity) if state.capacity > 0 else math.inf,
        state.is_pressed,
        RoomFlow(
            float(state.served),
            float(state.in_time),
            float(state.late),
            float(state.waiting),
        ),
        asked,
        state.speed / SPEED_UNITS,
    )


def _log(upstream: str, room: FairRoom[trio.Event]) -> None:
    eliot.log_message(
        message_type="room:accounts",
        upstream=upstream,
        capacity=round(room.rate.capacity) if room.rate.capacity < math.inf else None,
        admitted_per_s=round(room.rate.per_s) if room.rate.per_s < math.inf else None,
        accounts={
            name: [
                round(account.asked_per_s),
                round(account.entitled_per_s),
                account.n_admitted,
                account.n_refused,
            ]
            for name, account in room.accounts().items()
        },
    )
