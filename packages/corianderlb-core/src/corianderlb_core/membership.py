"""Track the live routers from heartbeats and the platform's instance list.

State belongs to one incarnation of a router, identified by its epoch. The platform's
list lags and may name routers that have stopped, and updates can arrive out of order.
An older epoch, heartbeat or list therefore never replaces a newer one, and an
incarnation that is leaving stays leaving.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Final

from .data_class import dataclass
from .identity import InstanceId, InstanceRecord, Presence, Role
from .message import MemberState, Suspicion

MAX_GAP_S: Final = 3.0
"""Default interval between two checks above which the process counts as paused."""

FORGET_AFTER_S: Final = 600.0
"""Time for which a suspected router that is not in the platform's list is retried."""

MAX_ROUTERS: Final = 4096
"""Most other routers that are known; more that a peer names are ignored."""


def sampled_share(n_heard: int, n_links: int, n_others: int) -> float:
    """Return the fraction of the other routers that are heard, from that of the links.

    The links are a sample of the routers. Where only some are heard, the estimate is
    lowered by its standard error, since the router with the highest one of a part of
    the fleet would decide for all in it. For example 8 of 16 links, of 24 others, give
    0.43.
    """
    if not n_links or n_heard >= n_links:
        return float(n_links > 0)
    share = n_heard / n_links
    n_unlinked = max(0, n_others - n_links)
    variance = share * (1 - share) / n_links * n_unlinked / max(1, n_others - 1)
    return max(0.0, share - math.sqrt(variance))


class MergeResult(Enum):
    """Effect of merging an announcement about a router."""

    IGNORED = "nothing"
    """Stale or already known."""
    HEARTBEAT = "fresh"
    """A later heartbeat of a live router."""
    CHANGED = "news"
    """A change that is announced to other routers."""


@dataclass
class _KnownRouter:
    """Last known state of another router, and whether it is suspected."""

    state: MemberState
    is_known_from_peers: bool = True
    """False for a router known only from the platform's list."""
    suspected_since: float | None = None
    unreachable_since: float | None = None

    @property
    def is_member(self) -> bool:
        """Whether it is presumed to run: peers know it, and it is not suspected."""
        return self.is_known_from_peers and self.suspected_since is None


class Membership:
    """Membership of the fleet as seen by this router.

    ``merge(state, now)`` merges an announcement from a peer, and ``members()`` then
    lists the router unless it is suspected. ``now`` is this router's clock in seconds.
    """

    def __init__(
        self,
        own: MemberState,
        suspect_after_s: float = 5.0,
        max_gap_s: float = MAX_GAP_S,
    ) -> None:
        self._own = own
        self._suspect_after_s = suspect_after_s
        self._max_gap_s = max_gap_s
        self._known: dict[InstanceId, _KnownRouter] = {}
        self._listed: dict[InstanceId, InstanceRecord] = {}
        self._list_revision = -1
        self._checked_at: float | None = None
        self._unannounced: dict[InstanceId, None] = {}
        """Routers whose state changed since the last heartbeat, in order."""
        self.version = 0
        """Incremented when a member or candidate is added, removed or changed in more
        than its heartbeat; results computed from the membership stay valid until
        then."""
        self._names: tuple[InstanceId, ...] | None = None
        """Names of the members, sorted; None until they are computed again."""
        self._n_candidates: int | None = None
        """Number of candidates; None until it is computed again."""
        self._n_live: int | None = None
        """Number of live members; None until it is computed again."""
        self._n_reachable: int | None = None
        """Number of reachable members; None until it is computed again."""
        self._suspected: tuple[_KnownRouter, ...] | None = None
        """Suspected routers; None until they are computed again."""
        self.newer_own_epoch: int | None = None
        """Epoch of a newer incarnation of this router that peers know of, or None.

        Peers ignore the announcements of this incarnation then. This happens when the
        clock of the instance went back between two starts; a restart with the correct
        clock repairs it.
        """

    @property
    def own(self) -> MemberState:
        """The state that this router announces about itself."""
        return self._own

    def beat(self, catalogue_version: int, in_force_since: str) -> MemberState:
        """Increment this router's heartbeat and return its state."""
        self._own = dataclasses.replace(
            self._own,
            heartbeat=self._own.heartbeat + 1,
            catalogue_version=catalogue_version,
            in_force_since=in_force_since,
        )
        return self._own

    def set_addresses(self, address: str, peer_address: str) -> None:
        """Set and announce the addresses of this router."""
        self._own = dataclasses.replace(
            self._own, address=address, peer_address=peer_address
        )
        self._set_changed()
        self._schedule_announcement(self._own.instance)

    def leave(self) -> None:
        """Announce that this router is leaving, which is final for this incarnation."""
        self._own = dataclasses.replace(self._own, presence=Presence.LEAVING)
        self._set_changed()
        self._schedule_announcement(self._own.instance)

    def members(self) -> tuple[MemberState, ...]:
        """Return the routers presumed to run, including this one, sorted by name.

        A leaving router is included until it stops, since it still finishes its
        requests. Assign new responsibilities only to routers whose presence is LIVE.
        """
        return tuple(self._current_state(name) for name in self._member_names())

    @property
    def n_reachable(self) -> int:
        """Number of other members to which no link broke or could not be opened."""
        if self._n_reachable is None:
            self._n_reachable = sum(
                known.is_member and known.unreachable_since is None
                for known in self._known.values()
            )
        return self._n_reachable

    def is_member(self, instance: InstanceId) -> bool:
        """Return whether another router is presumed to run."""
        known = self._known.get(instance)
        return known is not None and known.is_member

    @property
    def n_members(self) -> int:
        """Number of routers presumed to run, including this one."""
        return len(self._member_names())

    @property
    def n_live(self) -> int:
        """Number of members that are not leaving, including this router."""
        if self._n_live is None:
            self._n_live = sum(
                state.presence is Presence.LIVE for state in self.members()
            )
        return self._n_live

    def _member_names(self) -> tuple[InstanceId, ...]:
        if self._names is None:
            running = [name for name, known in self._known.items() if known.is_member]
            self._names = tuple(sorted([self._own.instance, *running]))
        return self._names

    def _current_state(self, name: InstanceId) -> MemberState:
        if name == self._own.instance:
            return self._own
        return self._with_listed_presence(self._known[name].state)

    def _set_changed(self) -> None:
        """Drop what was computed from the set of routers and their presence."""
        self.version += 1
        self._names = None
        self._n_candidates = None
        self._n_live = None
        self._n_reachable = None
        self._suspected = None

    def state_of(self, instance: InstanceId) -> MemberState | None:
        """Return the last known state of a router, suspected or not."""
        known = self._known.get(instance)
        return known.state if known else None

    def candidates(self) -> tuple[MemberState, ...]:
        """Return the routers to link to: members, and routers known only from the list.

        A router that has just started knows other routers only from the list. An
        unreachable listed router is left out like a suspected member: the list keeps
        stopped routers for long, and each would displace a working link.
        """
        return tuple(
            self._with_listed_presence(known.state)
            for known in self._known.values()
            if known.suspected_since is None
        )

    @property
    def n_candidates(self) -> int:
        """Number of ``candidates``."""
        if self._n_candidates is None:
            self._n_candidates = len(self.candidates())
        return self._n_candidates

    @property
    def n_lost(self) -> int:
        """Number of routers that were members and may run beyond a partition.

        Those that left by themselves are not counted, nor those suspected for longer
        than ``FORGET_AFTER_S`` or known only from the list, which keeps stopped routers
        for long.
        """
        return sum(
            known.is_known_from_peers and self._may_run(known)
            for known in self._suspected_routers()
        )

    @property
    def has_met_peers(self) -> bool:
        """Whether another router is known from peers, suspected or not."""
        return any(known.is_known_from_peers for known in self._known.values())

    @property
    def n_sharing(self) -> int:
        """Number of routers, with this one, that may use a part of an allowance.

        Suspected routers count, since they may run beyond a partition, also if they are
        only listed. A router that has met no other yet counts all that are listed.
        """
        if self.has_met_peers:
            return (
                1
                + self.n_candidates
                + sum(map(self._may_run, self._suspected_routers()))
            )
        return 1 + len(self._known)

    @property
    def has_list(self) -> bool:
        """Whether the platform's list was ever merged."""
        return self._list_revision >= 0

    def _may_run(self, known: _KnownRouter) -> bool:
        """Return whether a suspected router may run beyond a partition."""
        since, now = known.suspected_since, self._checked_at
        if since is None or (now is not None and now - since >= FORGET_AFTER_S):
            return False
        return self._with_listed_presence(known.state).presence is Presence.LIVE

    @property
    def running_names(self) -> tuple[InstanceId, ...]:
        """Names of all routers that may run, this one included, in order."""
        others = (*self.candidates(), *self.lost())
        return tuple(sorted({self._own.instance, *(s.instance for s in others)}))

    def lost(self) -> tuple[MemberState, ...]:
        """Return the suspected routers, to be retried occasionally.

        After a network partition both sides suspect each other; without retries they
        would stay separated once the network is repaired.
        """
        return tuple(
            self._with_listed_presence(known.state)
            for known in self._suspected_routers()
        )

    def _suspected_routers(self) -> tuple[_KnownRouter, ...]:
        if self._suspected is None:
            self._suspected = tuple(
                known
                for known in self._known.values()
                if known.suspected_since is not None
            )
        return self._suspected

    def merge(self, state: MemberState, now: float) -> MergeResult:
        """Merge the state of a router, received from itself or from a peer."""
        if state.instance == self._own.instance:
            return self._merge_own_state(state)
        known = self._known.get(state.instance)
        if known is None and len(self._known) >= MAX_ROUTERS:
            return MergeResult.IGNORED
        if known is None or not known.is_known_from_peers:
            self._known[state.instance] = _KnownRouter(state)
            self._set_changed()
            self._schedule_announcement(state.instance)
            return MergeResult.CHANGED
        before = known.state
        if state.epoch == before.epoch and _is_leaving(state, before):
            # Leaving is final for an incarnation, even if a later heartbeat came first.
            state = dataclasses.replace(
                state,
                presence=Presence.LEAVING,
                heartbeat=max(state.heartbeat, before.heartbeat),
            )
        elif _sequence(state) <= _sequence(before):
            return MergeResult.IGNORED
        if state == before:
            return MergeResult.IGNORED
        revived = known.suspected_since is not None and _sequence(state) > _sequence(
            before
        )
        known.state = state
        if revived:
            known.suspected_since = None
        if revived or _is_membership_change(state, before):
            self._set_changed()
            self._schedule_announcement(state.instance)
            return MergeResult.CHANGED
        return MergeResult.HEARTBEAT

    def merge_heartbeat(
        self, instance: InstanceId, epoch: int, heartbeat: int, version: int, now: float
    ) -> MergeResult:
        """Merge a heartbeat that a known router sent over a direct link."""
        known = self._known.get(instance)
        if known is None or known.state.epoch != epoch:
            return MergeResult.IGNORED
        state = dataclasses.replace(
            known.state, heartbeat=heartbeat, catalogue_version=version
        )
        return self.merge(state, now)

    def merge_suspicion(self, suspicion: Suspicion, now: float) -> MergeResult:
        """Merge a peer's report that a router does not answer."""
        if suspicion.instance == self._own.instance:
            if suspicion.epoch != self._own.epoch:
                return MergeResult.IGNORED
            # Peers would remove this router from their members. A heartbeat later than
            # the one in the suspicion refutes it.
            heartbeat = max(self._own.heartbeat, suspicion.heartbeat) + 1
            self._own = dataclasses.replace(self._own, heartbeat=heartbeat)
            self._schedule_announcement(self._own.instance)
            return MergeResult.CHANGED
        known = self._known.get(suspicion.instance)
        if (
            known is None
            or not known.is_known_from_peers
            or known.suspected_since is not None
        ):
            return MergeResult.IGNORED
        if (suspicion.epoch, suspicion.heartbeat) < _sequence(known.state):
            return MergeResult.IGNORED
        known.suspected_since = now
        self._set_changed()
        self._schedule_announcement(suspicion.instance)
        return MergeResult.CHANGED

    def merge_list(self, revision: int, records: Iterable[InstanceRecord]) -> bool:
        """Merge the platform's list; return False if it is older than the last one."""
        if revision < self._list_revision:
            return False
        self._list_revision = revision
        self._listed = {
            record.instance: record
            for record in records
            if record.role is Role.ROUTER and record.instance != self._own.instance
        }
        self._merge_listed()
        self._set_changed()
        return True

    def record_reachable(self, instance: InstanceId) -> None:
        """Record that a link to a router works."""
        known = self._known.get(instance)
        if known is not None:
            known.unreachable_since = None
            self._n_reachable = None

    def record_unreachable(self, instance: InstanceId, now: float) -> None:
        """Record that a link to a router broke or could not be opened."""
        known = self._known.get(instance)
        if known is not None and known.unreachable_since is None:
            known.unreachable_since = now
            self._n_reachable = None

    def update_suspicions(self, now: float) -> bool:
        """Suspect routers unreachable for too long; return False after a pause.

        A process that was suspended finds all its links timed out at once. It would
        suspect every other router and take over their work, so after a pause of this
        process all timeouts restart.
        """
        was_paused = (
            self._checked_at is not None and now - self._checked_at > self._max_gap_s
        )
        self._checked_at = now
        for known in self._known.values():
            if known.unreachable_since is None:
                continue
            if was_paused:
                known.unreachable_since = now
            elif now - known.unreachable_since >= self._suspect_after_s:
                self._suspect(known, now)
        self._forget(now)
        return not was_paused

    def take_announcements(
        self, rng: random.Random, n_random: int = 0
    ) -> tuple[list[MemberState], list[Suspicion]]:
        """Return the changes since the last heartbeat, for every link.

        Links are reliable, so each change crosses a link once; a link that opens later
        or drops a frame gets the full state. ``n_random`` further members are added, to
        repair lost announcements.
        """
        names = list(self._unannounced)
        self._unannounced.clear()
        others = [
            name
            for name, known in self._known.items()
            if known.is_known_from_peers and name not in names
        ]
        names += rng.sample(others, min(n_random, len(others)))
        return self._states_and_suspicions(names)

    def full_state(self) -> tuple[list[MemberState], list[Suspicion]]:
        """Return the full state, for a link that has just opened."""
        return self._states_and_suspicions([self._own.instance, *self._known])

    def _states_and_suspicions(
        self, names: Sequence[InstanceId]
    ) -> tuple[list[MemberState], list[Suspicion]]:
        states: list[MemberState] = []
        suspected: list[Suspicion] = []
        for name in names:
            known = self._known.get(name)
            if name == self._own.instance:
                states.append(self._own)
            elif known is not None and known.is_known_from_peers:
                states.append(known.state)
                if known.suspected_since is not None:
                    suspected.append(_suspicion(known.state))
        return states, suspected

    def _suspect(self, known: _KnownRouter, now: float) -> None:
        if known.suspected_since is None:
            known.suspected_since = now
            self._set_changed()
            if known.is_known_from_peers:
                self._schedule_announcement(known.state.instance)

    def _merge_listed(self) -> None:
        """Add routers known only from the list; remove those no longer in it."""
        list_only = [
            name for name, known in self._known.items() if not known.is_known_from_peers
        ]
        for name in list_only:
            if name not in self._listed:
                del self._known[name]
        for name, record in self._listed.items():
            known = self._known.get(name)
            if known is None:
                self._known[name] = _KnownRouter(
                    _state_of_record(record), is_known_from_peers=False
                )
            elif not known.is_known_from_peers:
                known.state = _state_of_record(record)

    def _forget(self, now: float) -> None:
        for name, known in list(self._known.items()):
            since = known.suspected_since
            if since is None or name in self._listed:
                continue
            if now - since >= FORGET_AFTER_S:
                del self._known[name]
                self._set_changed()
                self._unannounced.pop(name, None)

    def _merge_own_state(self, state: MemberState) -> MergeResult:
        """Merge an announcement of a peer about this router.

        A newer epoch is recorded. A later heartbeat of this incarnation is exceeded, so
        that peers accept the next one.
        """
        if state.epoch > self._own.epoch:
            self.newer_own_epoch = state.epoch
        if _sequence(state) <= _sequence(self._own) or state.epoch != self._own.epoch:
            return MergeResult.IGNORED
        self._own = dataclasses.replace(self._own, heartbeat=state.heartbeat + 1)
        self._schedule_announcement(self._own.instance)
        return MergeResult.CHANGED

    def _with_listed_presence(self, state: MemberState) -> MemberState:
        """Return the state, with presence LEAVING if the platform's list has it."""
        record = self._listed.get(state.instance)
        if record is not None and record.presence is Presence.LEAVING:
            return dataclasses.replace(state, presence=Presence.LEAVING)
        return state

    def _schedule_announcement(self, instance: InstanceId) -> None:
        self._unannounced[instance] = None


def _sequence(state: MemberState) -> tuple[int, int]:
    return state.epoch, state.heartbeat


def _is_leaving(state: MemberState, before: MemberState) -> bool:
    return Presence.LEAVING in (state.presence, before.presence)


def _is_membership_change(state: MemberState, before: MemberState) -> bool:
    """Return whether two states differ in more than heartbeat and catalogue version."""
    return (
        state.epoch != before.epoch
        or state.presence is not before.presence
        or state.address != before.address
        or state.peer_address != before.peer_address
    )


def _suspicion(state: MemberState) -> Suspicion:
    return Suspicion(state.instance, state.epoch, state.heartbeat)


def _state_of_record(record: InstanceRecord) -> MemberState:
    return MemberState(
        instance=record.instance,
        epoch=0,
        heartbeat=0,
        presence=record.presence,
        zone=record.zone,
        region=record.region,
        address=record.address,
        peer_address=record.peer_address,
        catalogue_version=0,
    )
