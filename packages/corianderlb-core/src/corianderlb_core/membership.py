"""Know which routers live, from the platform's lagging list and from heartbeats.

What is known of a router belongs to one life of it, its epoch. The list may name
routers that are long gone, and old word of a router may arrive after newer word; so an
older epoch, heartbeat or list never replaces a newer one, and a life that is leaving
stays leaving.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from .identity import InstanceId, InstanceRecord, Presence, Role
from .message import MemberState, Suspicion

MAX_GAP_S: Final = 3.0
"""Longest time between two looks that does not count as a pause, unless told."""

FORGET_AFTER_S: Final = 600.0
"""How long a suspected router that the list does not name is still tried."""

N_SPREADS: Final = 8
"""Heartbeats that carry a piece of news on; about twice the diameter of the overlay."""


class Learned(Enum):
    """Tell what a word about a router was worth."""

    NOTHING = "nothing"
    """Old or known."""
    FRESH = "fresh"
    """A later heartbeat of a router that is known to live."""
    NEWS = "news"
    """Something that other routers should hear of."""


@dataclass
class _Known:
    state: MemberState
    heard: bool = True
    """False for a router that only the platform's list has told of."""
    suspected_since: float | None = None
    out_of_reach_since: float | None = None


class Membership:
    """Hold the members as this router knows them; time comes in as ``now``.

    For example ``hear(state, now)`` takes a peer's word, and ``members()`` then lists
    the router unless it is suspected.
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
        self._known: dict[InstanceId, _Known] = {}
        self._listed: dict[InstanceId, InstanceRecord] = {}
        self._list_revision = -1
        self._looked_at: float | None = None
        self._news: dict[InstanceId, int] = {}
        self.newer_self: int | None = None
        """Epoch of a newer life of this router that others know of, if there is one.

        The others then ignore what this one says. It happens when the clock of the
        instance went back between two starts; a start with the right clock mends it.
        """

    @property
    def own(self) -> MemberState:
        """This router as the others see it."""
        return self._own

    def beat(self, catalogue_version: int, in_force_since: str) -> MemberState:
        """Count one more heartbeat of this router and return its state."""
        self._own = dataclasses.replace(
            self._own,
            heartbeat=self._own.heartbeat + 1,
            catalogue_version=catalogue_version,
            in_force_since=in_force_since,
        )
        return self._own

    def set_addresses(self, address: str, peer_address: str) -> None:
        """Note where this router is reached."""
        self._own = dataclasses.replace(
            self._own, address=address, peer_address=peer_address
        )
        self._spread(self._own.instance)

    def leave(self) -> None:
        """Note that this router is leaving; there is no way back in this life."""
        self._own = dataclasses.replace(self._own, presence=Presence.LEAVING)
        self._spread(self._own.instance)

    def members(self) -> tuple[MemberState, ...]:
        """Return the routers thought to run, this one included, by name.

        One that is leaving is among them until it has gone, since it still finishes
        its requests; take those whose presence is LIVE for new duties.
        """
        running = [
            self._with_list(known.state)
            for known in self._known.values()
            if known.heard and known.suspected_since is None
        ]
        return tuple(sorted([self._own, *running], key=lambda item: item.instance))

    def state_of(self, instance: InstanceId) -> MemberState | None:
        """Return what is known of a router, suspected or not."""
        known = self._known.get(instance)
        return known.state if known else None

    def candidates(self) -> tuple[MemberState, ...]:
        """Return the routers a link may be kept to: members, and listed ones unheard.

        A fresh router knows nobody but from the list. A listed one that cannot be
        reached is left out like a suspected member: the list names the dead for long,
        and each of them would take the place of a link that works.
        """
        return tuple(
            self._with_list(known.state)
            for known in self._known.values()
            if known.suspected_since is None
        )

    def lost(self) -> tuple[MemberState, ...]:
        """Return the suspected routers, which are worth a try now and then.

        Two regions that lost each other suspect each other as a whole; without a try
        they would stay apart after the way is back.
        """
        return tuple(
            self._with_list(known.state)
            for known in self._known.values()
            if known.suspected_since is not None
        )

    def hear(self, state: MemberState, now: float) -> Learned:
        """Take a word about a router, from itself or through others."""
        if state.instance == self._own.instance:
            return self._hear_of_self(state)
        known = self._known.get(state.instance)
        if known is None or not known.heard:
            self._known[state.instance] = _Known(state)
            self._spread(state.instance)
            return Learned.NEWS
        before = known.state
        if state.epoch == before.epoch and _left(state, before):
            # Leaving is final for this life, also when a later heartbeat came first.
            state = dataclasses.replace(
                state,
                presence=Presence.LEAVING,
                heartbeat=max(state.heartbeat, before.heartbeat),
            )
        elif _age(state) <= _age(before):
            return Learned.NOTHING
        if state == before:
            return Learned.NOTHING
        revived = known.suspected_since is not None and _age(state) > _age(before)
        known.state = state
        if revived:
            known.suspected_since = None
        if revived or _news_in(state, before):
            self._spread(state.instance)
            return Learned.NEWS
        return Learned.FRESH

    def hear_heartbeat(
        self, instance: InstanceId, epoch: int, heartbeat: int, version: int, now: float
    ) -> Learned:
        """Take a heartbeat over a direct link of a router that is known."""
        known = self._known.get(instance)
        if known is None or known.state.epoch != epoch:
            return Learned.NOTHING
        state = dataclasses.replace(
            known.state, heartbeat=heartbeat, catalogue_version=version
        )
        return self.hear(state, now)

    def hear_suspicion(self, suspicion: Suspicion, now: float) -> Learned:
        """Take a peer's word that a router does not answer."""
        if suspicion.instance == self._own.instance:
            if suspicion.epoch != self._own.epoch:
                return Learned.NOTHING
            # Others would take this router out of their members; a heartbeat later
            # than the one in the accusation brings it back everywhere.
            heartbeat = max(self._own.heartbeat, suspicion.heartbeat) + 1
            self._own = dataclasses.replace(self._own, heartbeat=heartbeat)
            self._spread(self._own.instance)
            return Learned.NEWS
        known = self._known.get(suspicion.instance)
        if known is None or not known.heard or known.suspected_since is not None:
            return Learned.NOTHING
        if (suspicion.epoch, suspicion.heartbeat) < _age(known.state):
            return Learned.NOTHING
        known.suspected_since = now
        self._spread(suspicion.instance)
        return Learned.NEWS

    def take_list(self, revision: int, records: Iterable[InstanceRecord]) -> bool:
        """Take the platform's list; return False for one older than the last."""
        if revision < self._list_revision:
            return False
        self._list_revision = revision
        self._listed = {
            record.instance: record
            for record in records
            if record.role is Role.ROUTER and record.instance != self._own.instance
        }
        self._know_listed()
        return True

    def in_reach(self, instance: InstanceId) -> None:
        """Note that a link to a router works."""
        known = self._known.get(instance)
        if known is not None:
            known.out_of_reach_since = None

    def out_of_reach(self, instance: InstanceId, now: float) -> None:
        """Note that a link to a router broke or could not be made."""
        known = self._known.get(instance)
        if known is not None and known.out_of_reach_since is None:
            known.out_of_reach_since = now

    def look(self, now: float) -> bool:
        """Suspect routers out of reach for too long; return whether it was on time.

        A router that was stopped for a minute finds all its links silent at once. It
        would take every other for dead, and hand out their duties, though it was the
        one that slept. So after a pause all waits start anew.
        """
        late = self._looked_at is not None and now - self._looked_at > self._max_gap_s
        self._looked_at = now
        for known in self._known.values():
            if known.out_of_reach_since is None:
                continue
            if late:
                known.out_of_reach_since = now
            elif now - known.out_of_reach_since >= self._suspect_after_s:
                self._suspect(known, now)
        self._forget(now)
        return not late

    def news(
        self, rng: random.Random, n_random: int = 0
    ) -> tuple[list[MemberState], list[Suspicion]]:
        """Return what the next heartbeats should carry, and count it as carried.

        ``n_random`` members come on top, which mends what got lost on the way.
        """
        names = list(self._news)
        for name in names:
            self._news[name] -= 1
            if self._news[name] <= 0:
                del self._news[name]
        others = [
            name
            for name, known in self._known.items()
            if known.heard and name not in names
        ]
        names += rng.sample(others, min(n_random, len(others)))
        return self._split(names)

    def everything(self) -> tuple[list[MemberState], list[Suspicion]]:
        """Return all that is known, for a link that just opened."""
        return self._split([self._own.instance, *self._known])

    def _split(
        self, names: Sequence[InstanceId]
    ) -> tuple[list[MemberState], list[Suspicion]]:
        states: list[MemberState] = []
        suspected: list[Suspicion] = []
        for name in names:
            known = self._known.get(name)
            if name == self._own.instance:
                states.append(self._own)
            elif known is not None and known.heard:
                states.append(known.state)
                if known.suspected_since is not None:
                    suspected.append(_suspicion(known.state))
        return states, suspected

    def _suspect(self, known: _Known, now: float) -> None:
        if known.suspected_since is None:
            known.suspected_since = now
            if known.heard:
                self._spread(known.state.instance)

    def _know_listed(self) -> None:
        """Add the routers that only the list tells of; drop those it tells no more."""
        unheard = [name for name, known in self._known.items() if not known.heard]
        for name in unheard:
            if name not in self._listed:
                del self._known[name]
        for name, record in self._listed.items():
            known = self._known.get(name)
            if known is None:
                self._known[name] = _Known(_state_of_record(record), heard=False)
            elif not known.heard:
                known.state = _state_of_record(record)

    def _forget(self, now: float) -> None:
        for name, known in list(self._known.items()):
            since = known.suspected_since
            if since is None or name in self._listed:
                continue
            if now - since >= FORGET_AFTER_S:
                del self._known[name]
                self._news.pop(name, None)

    def _hear_of_self(self, state: MemberState) -> Learned:
        """Outdo an old word about this router that still goes round."""
        if state.epoch > self._own.epoch:
            self.newer_self = state.epoch
        if _age(state) <= _age(self._own) or state.epoch != self._own.epoch:
            return Learned.NOTHING
        self._own = dataclasses.replace(self._own, heartbeat=state.heartbeat + 1)
        self._spread(self._own.instance)
        return Learned.NEWS

    def _with_list(self, state: MemberState) -> MemberState:
        """Return the state, leaving if the platform's list says so."""
        record = self._listed.get(state.instance)
        if record is not None and record.presence is Presence.LEAVING:
            return dataclasses.replace(state, presence=Presence.LEAVING)
        return state

    def _spread(self, instance: InstanceId) -> None:
        self._news[instance] = N_SPREADS


def _age(state: MemberState) -> tuple[int, int]:
    return state.epoch, state.heartbeat


def _left(state: MemberState, before: MemberState) -> bool:
    return Presence.LEAVING in (state.presence, before.presence)


def _news_in(state: MemberState, before: MemberState) -> bool:
    """Tell whether others should hear of it, more than of one more heartbeat."""
    return state.epoch != before.epoch or state.presence is not before.presence


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
