"""Keep the serving state close to the store, and close to the peers without it."""

from __future__ import annotations

import random
from typing import Final

import eliot
import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.message import StateAnswer, StateObjects, StateOffer, StateRequest

from .interface import PeerNetwork
from .object_feed import FeedListing, HistoryGoneError, ObjectFeed
from .pause_watch import PauseWatch
from .serving_state import ServingState
from .store import StoreError

WATCH_S: Final = 3.0
"""How long a watch waits. Each one is a call that is paid for: with one second, a
router made 270 calls in a minute without any news. Dead connections show by probes of
the kernel, and a store that holds the watch back shows by the peers' offers."""

RETRY_S: Final = 0.15
MAX_RETRY_S: Final = 0.6
"""First and longest mean pause after a failed call to the store."""

OFFER_S: Final = 1.0
"""Pause between two offers to the peers."""

LONG_OFFER_S: Final = 3.0
"""The same in a large fleet, where some peer's offer comes several times a second."""

MIN_OFFER_SHARE: Final = 0.8
"""Least part of that pause: offers of many routers spread."""

SEEK_OFFER_S: Final = 0.15
"""The same of a router that has just come to lack the age of replaced weights: until it
learns it, it takes none of them."""

SEEK_S: Final = 3.0
"""How long it asks that often: some times what it takes to be linked after a start."""

MAX_ASKS: Final = 64
"""Questions to peers that may still be answered."""

UNREAD_S: Final = WATCH_S + 0.2
"""Age of this router's own reading from which peers are asked whether there is news."""

GROUP_S: Final = 0.02
"""Time in which further changes join one offer."""

ALONE_S: Final = 0.4
"""Silence of the store after which a peer's newer state is asked for."""

HELD_BACK_S: Final = 0.5
"""Time beyond its own after which a watch was held back, or this router was paused.
What it tells may then have happened long before."""

CONFIRMED_S: Final = WATCH_S + 1.0
"""Age of a router's own reading up to which its offers speak for the store: a watch
and the time that its answer may take."""

BEHIND_S: Final = 0.4
"""How long a peer may know of something newer before it is asked for, although the
store seems to answer: a watch tells within a tenth of it."""

ASK_AGAIN_S: Final = 0.4
"""Least time between two requests for one kind."""

LONG_WATCH_S: Final = 12.0
"""The same in a large fleet. At any moment some peer has read the store within the last
second and tells so, and of changes that a silent store holds back from others."""

LARGE_FLEET: Final = 12
"""Routers from which a fleet counts as large: with watches of 12 s one of them then
reads the store each second."""

GATHER_S_PER_ROUTER: Final = 0.015
MAX_GATHER_S: Final = 0.5
"""Pause after a change of instances until they are watched again, for each router of
the fleet and at most. Each change ends a watch of every router: with 50 engines that
load weights in turn, 31 routers made 8,200 calls in 50 s, most of them for one entry.
Peers that knew sooner are not asked meanwhile, and work that reaches an instance half
a second after it began to leave is served."""


class StateFollower:
    """Run a task for each kind of object, and exchange state with peers."""

    def __init__(
        self,
        feed: ObjectFeed,
        state: ServingState,
        peers: PeerNetwork,
        rng: random.Random,
    ) -> None:
        self._feed = feed
        self._state = state
        self._peers = peers
        self._rng = rng
        self._asked_at: dict[str, float] = {}
        self._behind_since: dict[str, float] = {}
        self._pauses = PauseWatch()
        self._asks: dict[int, float] = {}
        """By number: when peers were asked."""
        self._n_asks = 0
        self._due_at: dict[str, float] = {}
        """By kind: when the store's next answer is due."""
        peers.subscribe(StateOffer, self.on_state_offer)
        peers.subscribe(StateAnswer, self.on_state_answer)
        peers.subscribe(StateRequest, self.on_state_request)
        peers.subscribe(StateObjects, self.on_state_objects)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pauses.run)
            for kind in self._state.kinds:
                nursery.start_soon(self._follow, kind)
            nursery.start_soon(self._keep_offering)

    async def _follow(self, kind: str) -> None:
        n_failed = 0
        must_list = True
        settled_until = float("-inf")
        while True:
            try:
                if must_list or self._state.settles_at > settled_until:
                    settles_at = self._state.settles_at
                    await self._list(kind)
                    must_list = False
                    if trio.current_time() >= settles_at:
                        settled_until = settles_at
                has_news = await self._watch(kind)
                n_failed = 0
                if has_news and kind == self._state.instances_kind:
                    await trio.sleep(self._gather_s())
            except HistoryGoneError:
                must_list = True
                eliot.log_message(message_type="store:history_gone", kind=kind)
            except StoreError:
                self._state.store_lost(min(trio.current_time(), self._due_at[kind]))
                # A store that lost its state of mind may also have lost the watch's
                # place: a list costs little and settles what was missed.
                n_failed += 1
                must_list = True
                await trio.sleep(self._pause(n_failed))

    async def _list(self, kind: str) -> None:
        started_at = self._due_at[kind] = trio.current_time()
        listing: FeedListing = await self._feed.list(kind)
        self._state.store_answered()
        self._state.apply_listing(kind, listing, started_at)

    async def _watch(self, kind: str) -> bool:
        """Wait for changes of a kind; return whether there were any."""
        table = self._state.tables[kind]
        wait_s = self._watch_s()
        left_s = self._state.settles_at - trio.current_time()
        if left_s > 0:
            wait_s = max(0.1, min(wait_s, left_s))
        started_at = trio.current_time()
        self._due_at[kind] = started_at + wait_s
        told = await self._feed.watch(kind, table.revision, wait_s)
        arrived_at = self._pauses.arrived_after()
        is_held_back = arrived_at - table.read_at > wait_s + HELD_BACK_S
        unchanged_at = table.read_at if is_held_back else arrived_at
        in_time = not (is_held_back or self._pauses.has_just_woken)
        as_of = unchanged_at if told.changes else min(started_at + wait_s, arrived_at)
        self._state.store_answered()
        self._state.apply_changes(
            kind, told, max(started_at, as_of), None if in_time else unchanged_at
        )
        return bool(told.changes)

    def _watch_s(self) -> float:
        return LONG_WATCH_S if self._is_large_fleet else WATCH_S

    @property
    def _is_large_fleet(self) -> bool:
        return len(self._peers.members()) >= LARGE_FLEET

    def _gather_s(self) -> float:
        return min(MAX_GATHER_S, GATHER_S_PER_ROUTER * len(self._peers.members()))

    def _pause(self, n_failed: int) -> float:
        longest = min(MAX_RETRY_S, RETRY_S * 2 ** (n_failed - 1))
        return longest * self._rng.uniform(0.5, 1.5)

    # Peers.

    async def _keep_offering(self) -> None:
        while True:
            changed = self._state.changed
            self._peers.broadcast(self._offer())
            with trio.move_on_after(
                self._offer_s() * self._rng.uniform(MIN_OFFER_SHARE, 1.2)
            ):
                await changed.wait()
                # Changes come in groups; one offer tells of all of them.
                await trio.sleep(max(GROUP_S, self._gather_s() / 2))

    def _offer(self) -> StateOffer:
        return StateOffer(self._revisions(), self._ask() if self._may_ask() else 0)

    def _revisions(self) -> tuple[tuple[str, int], ...]:
        tables = self._state.tables
        return tuple((kind, table.changed_at) for kind, table in tables.items())

    @property
    def _is_confirmed(self) -> bool:
        """Whether this router itself has lately read the store."""
        read_at = self._state.tables[self._state.configuration_kind].read_at
        return trio.current_time() - read_at < CONFIRMED_S

    def _may_ask(self) -> bool:
        """Return whether an offer should ask what peers may know and this router not.

        Each linked peer answers, and offers come at each change as well.
        """
        now = trio.current_time()
        pause_s = MIN_OFFER_SHARE * self._offer_s()
        if now - self._asks.get(self._n_asks, float("-inf")) < pause_s:
            return False
        if self._state.seeks_ages_for_s is not None:
            return True
        read_at = min(table.read_at for table in self._state.tables.values())
        return now - read_at > UNREAD_S

    def _ask(self) -> int:
        """Return the number of a new question to peers."""
        self._n_asks += 1
        self._asks[self._n_asks] = trio.current_time()
        self._asks.pop(self._n_asks - MAX_ASKS, None)
        return self._n_asks

    def _offer_s(self) -> float:
        seeks_for_s = self._state.seeks_ages_for_s
        if seeks_for_s is not None and seeks_for_s < SEEK_S:
            return SEEK_OFFER_S
        return LONG_OFFER_S if self._is_large_fleet else OFFER_S

    async def on_state_offer(self, sender: InstanceId, offer: StateOffer) -> None:
        """Ask for a peer's newer state while the store is out of reach."""
        if offer.ask:
            self._peers.send(sender, self._answer(offer.ask))
        now = trio.current_time()
        wanted = []
        for kind, revision in offer.revisions:
            table = self._state.tables.get(kind)
            if table is None:
                continue
            if self._is_known(kind, revision):
                self._behind_since.pop(kind, None)
                continue
            behind_since = self._behind_since.setdefault(kind, now)
            is_read = now - table.read_at < ALONE_S or not self._state.is_store_lost
            if is_read and now - behind_since < BEHIND_S + self._gather_s():
                continue
            if now - self._asked_at.get(kind, float("-inf")) >= ASK_AGAIN_S:
                self._asked_at[kind] = now
                wanted.append(kind)
        if wanted:
            instances = self._state.tables[self._state.instances_kind]
            knows_none = not instances.revision
            req = StateRequest(tuple(wanted), self._ask(), knows_none)
            self._peers.send(sender, req)

    def _answer(self, ask: int) -> StateAnswer:
        named = self._state.named_ages()
        return StateAnswer(ask, self._revisions(), self._is_confirmed, named)

    def _is_known(self, kind: str, revision: int) -> bool:
        """Return whether a peer's revision of a kind is no news."""
        table = self._state.tables.get(kind)
        return table is not None and revision <= max(table.changed_at, table.revision)

    async def on_state_answer(self, sender: InstanceId, told: StateAnswer) -> None:
        """Take a peer's answer, which counts from the question."""
        asked_at = self._asks.get(told.ask)
        if asked_at is None:
            return
        if told.is_confirmed:
            for kind, revision in told.revisions:
                if self._is_known(kind, revision):
                    self._state.confirm(kind, asked_at)
        if not self._pauses.has_woken_since(asked_at):
            self._state.hear_named(told.named, asked_at)

    async def on_state_request(self, sender: InstanceId, req: StateRequest) -> None:
        """Answer with the objects of the kinds asked for.

        A router that started while entries were missing does not know that they had
        lapsed, and gives its list only to those that have none.
        """
        for kind in req.kinds:
            table = self._state.tables.get(kind)
            if table is None or not table.revision:
                continue
            is_doubtful = kind == self._state.instances_kind and not req.knows_none
            if is_doubtful and self._state.may_lack_lapsed:
                continue
            objects = tuple(table.objects.values())
            told = StateObjects(
                kind, table.revision, objects, req.ask, self._is_confirmed
            )
            self._peers.send(sender, told)

    async def on_state_objects(self, sender: InstanceId, told: StateObjects) -> None:
        """Take a peer's state if it is newer than what is known here."""
        as_of = self._asks.get(told.ask) if told.is_confirmed else None
        if self._state.apply_peer(told.kind, told.revision, told.objects, as_of):
            eliot.log_message(
                message_type="state:from_peer",
                kind=told.kind,
                revision=told.revision,
                peer=sender,
            )
