"""Synchronisation of the serving state with the store and with peers."""

from __future__ import annotations

import random
from typing import Final

import eliot
import trio

from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.message import (
    StateAnswer,
    StateChanges,
    StateObjects,
    StateOffer,
    StateRequest,
)
from corianderlb_core.rendezvous import rank

from .interface import PeerNetwork
from .object_feed import FeedListing, HistoryGoneError, ObjectFeed
from .pause_watch import PauseWatch
from .serving_state import AppliedChanges, ServingState
from .shared_read import SharedRead
from .store import StoreError

WATCH_S: Final = 3.0
"""Seconds that a watch waits; each watch is a billed call. With one second, a router
made 270 calls in a minute without any change. Kernel keepalive probes
detect dead connections, and offers of peers reveal that a store withholds answers."""

RETRY_S: Final = 0.15
MAX_RETRY_S: Final = 0.6
"""First and longest mean delay after a failed call to the store."""

MAX_RETRY_S_PER_ROUTER: Final = 0.02
"""Longest mean delay in a large fleet, per router, so that the calls to a store that is
away do not grow with the fleet. Routers hear of its changes from the first that it
answers."""

MAX_RETRY_WAIT_S: Final = 5.0
"""Longest time for which a kind waits for the store to answer for another kind."""

OFFER_S: Final = 1.0
"""Seconds between two offers to peers."""

LONG_OFFER_S: Final = 3.0
"""Seconds between two offers in a large fleet, where offers arrive several times a
second."""

MIN_OFFER_FACTOR: Final = 0.8
"""Smallest random factor of the offer interval; the factor spreads the offers of
routers."""

AGE_QUERY_INTERVAL_S: Final = 0.15
"""Seconds between offers while the age of replaced weights is unknown. Until it is
known, the router accepts no answers that were generated with these weights."""

AGE_QUERY_PHASE_S: Final = 3.0
"""Seconds for which ``AGE_QUERY_INTERVAL_S`` applies; long enough to connect to peers
after a start."""

MAX_OPEN_QUERIES: Final = 64
"""Limit of queries to peers that are tracked for an answer."""

QUERY_AFTER_S: Final = WATCH_S + 0.2
"""Age of this router's last read from which peers are queried for newer state."""

COALESCE_S: Final = 0.02
"""Seconds during which further changes are combined into one offer."""

STORE_SILENT_S: Final = 0.4
"""Seconds since the last read after which, if the last call to the store also failed, a
peer's newer state is requested at once."""

LATE_ANSWER_S: Final = 0.5
"""Delay after the end of a watch's wait from which its answer counts as late: the store
withheld it or this router was paused, and its changes may have happened long before."""

OWN_READ_TTL_S: Final = WATCH_S + 1.0
"""Age of a router's last read up to which its answers confirm state for peers: the wait
of a watch plus the time of its answer."""

PEER_AHEAD_GRACE_S: Final = 0.4
"""Seconds that a peer may be ahead before its state is requested while the store seems
to answer; a watch normally returns the change first."""

REQUEST_INTERVAL_S: Final = 0.4
"""Shortest interval between two requests for one kind."""

LONG_WATCH_S: Final = 12.0
"""Seconds that a watch waits in a large fleet. Peers that have read the store more
recently confirm the state and announce changes withheld from other routers."""

LONG_WATCH_S_PER_ROUTER: Final = 0.3
MAX_LONG_WATCH_S: Final = 30.0
"""In a larger fleet watches last longer, so that the fleet's calls do not grow with it:
seconds per router, and the maximum."""

MIN_WATCH_FACTOR: Final = 0.2
"""Smallest random factor of a watch in a large fleet; the factors are 1 on the mean."""

LARGE_FLEET: Final = 12
"""Number of routers from which a fleet counts as large: with ``LONG_WATCH_S`` one of
them reads the store each second."""

N_INSTANCE_WATCHERS: Final = 4
"""Routers of a large fleet that watch the instances and pass changes on to the others.
Each change ends their watches, so the number does not grow with the fleet; it covers
routers that are paused or that the store does not answer."""

WATCHERS_KEY: Final = b"instances"
"""Key by which rendezvous hashing chooses the watchers."""

LOOK_WAIT_S: Final = 0.001
"""Seconds that a router which does not watch the instances waits for their changes when
it reads them, once in the time of a watch. A fleet makes several such reads a second,
which find a change that the watchers miss."""

LOOK_CHECK_S: Final = 1.0
"""Seconds between two checks of whether such a read is due earlier."""

REWATCH_DELAY_S_PER_ROUTER: Final = 0.015
MAX_REWATCH_DELAY_S: Final = 0.5
"""Delay after a change of instances until they are watched again: seconds per router of
the fleet, and the maximum. Each change ends the watch of every router, so without the
delay a series of changes costs one call per router and change: 31 routers made 8,200
calls in 50 s while 50 engines loaded weights in turn. An instance that
begins to leave still serves requests during the delay."""


READ_TIMEOUT_S: Final = 0.5
"""Timeout of a read for which a request waits."""


class StateFollower:
    """Follows each kind of object in the store and exchanges state with peers."""

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
        self._requested_at: dict[str, float] = {}
        self._behind_since: dict[str, float] = {}
        self._pauses = PauseWatch()
        self._queries: dict[int, float] = {}
        """By query number: when the query was sent."""
        self._n_queries = 0
        self._retrying: str | None = None
        """The kind for which a store that is away is asked; the others wait."""
        self._answered = trio.Event()
        """Set, and replaced by a new event, when the store answers."""
        self._due_at: dict[str, float] = {}
        """By kind: when the store's next answer is due."""
        self._instances_read = SharedRead(self._read_instances, READ_TIMEOUT_S)
        peers.subscribe(StateOffer, self.on_state_offer)
        peers.subscribe(StateAnswer, self.on_state_answer)
        peers.subscribe(StateRequest, self.on_state_request)
        peers.subscribe(StateObjects, self.on_state_objects)
        peers.subscribe(StateChanges, self.on_state_changes)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pauses.run)
            for kind in self._state.kinds:
                nursery.start_soon(self._follow, kind)
            nursery.start_soon(self._run_offers)

    async def refresh_instances(self) -> bool:
        """Read the instances now; return whether the store answered in time."""
        return await self._instances_read.read()

    @property
    def are_instances_current(self) -> bool:
        """Whether the instances were read since this process last stood still."""
        table = self._state.tables[self._state.instances_kind]
        return not self._pauses.has_resumed_since(table.read_at)

    def may_lack_restarts(self, seen_at: float) -> bool:
        """Whether an instance may have restarted without a change that was read.

        ``seen_at`` is when it last was the one of its entry. While the store doesn't
        answer, no change arrives.
        """
        table = self._state.tables[self._state.instances_kind]
        has_paused = self._pauses.has_resumed_since(max(table.read_at, seen_at))
        return has_paused or self._state.is_store_lost

    async def _read_instances(self) -> None:
        kind, started_at = self._state.instances_kind, trio.current_time()
        listing = await self._feed.list(kind)
        self._pass_on(kind, self._state.apply_listing(kind, listing, started_at))

    async def _follow(self, kind: str) -> None:
        n_failed = 0
        must_list = True
        settled_until = float("-inf")
        while True:
            try:
                if must_list or self._state.removals_apply_at > settled_until:
                    removals_apply_at = self._state.removals_apply_at
                    await self._list(kind)
                    must_list = False
                    if trio.current_time() >= removals_apply_at:
                        settled_until = removals_apply_at
                is_instances = kind == self._state.instances_kind
                is_watcher = not is_instances or self._watches_instances()
                wait_s = self._watch_s() if is_watcher else LOOK_WAIT_S
                has_changes = await self._watch(kind, wait_s)
                n_failed = 0
                if not is_watcher:
                    await self._wait_for_look(settled_until)
                elif is_instances and has_changes:
                    await trio.sleep(self._rewatch_delay_s())
            except HistoryGoneError:
                self._record_answer()
                must_list = True
                eliot.log_message(message_type="store:history_gone", kind=kind)
            except StoreError:
                self._state.record_store_loss(
                    min(trio.current_time(), self._due_at[kind])
                )
                # The store may have lost the position of the watch; a full list
                # recovers the changes that were missed.
                n_failed += 1
                must_list = True
                await self._wait_to_retry(kind, n_failed)

    def _record_answer(self) -> None:
        """Record that the store answers, and let the kinds that wait for it ask."""
        self._state.record_store_answer()
        self._retrying = None
        self._answered.set()
        self._answered = trio.Event()

    async def _wait_to_retry(self, kind: str, n_failed: int) -> None:
        """Wait after a failed call; a store that is away is asked for one kind."""
        if self._retrying in (None, kind):
            self._retrying = kind
            await trio.sleep(self._retry_delay_s(n_failed))
        else:
            with trio.move_on_after(MAX_RETRY_WAIT_S * self._rng.uniform(0.7, 1.0)):
                await self._answered.wait()

    async def _list(self, kind: str) -> None:
        started_at = self._due_at[kind] = trio.current_time()
        listing: FeedListing = await self._feed.list(kind)
        self._record_answer()
        applied = self._state.apply_listing(kind, listing, started_at)
        self._pass_on(kind, applied)

    def _watches_instances(self) -> bool:
        """Return whether this router watches the instances for the others too."""
        if not self._is_large_fleet:
            return True
        members = self._peers.members()
        live = [state.instance for state in members if state.presence is Presence.LIVE]
        return self._peers.own in rank(WATCHERS_KEY, live)[:N_INSTANCE_WATCHERS]

    async def _wait_for_look(self, settled_until: float) -> None:
        """Wait until this router should read the instances again."""
        look_at = trio.current_time() + self._watch_s() * self._rng.uniform(0.5, 1.5)
        while (now := trio.current_time()) < look_at:
            settles_at = self._state.removals_apply_at
            if settles_at > settled_until:
                # After an outage, missing entries count as removed from that time.
                look_at = min(look_at, max(now, settles_at))
            await trio.sleep(min(LOOK_CHECK_S, max(0.0, look_at - now)))
            if self._watches_instances():
                return

    def _pass_on(self, kind: str, applied: AppliedChanges | None) -> None:
        """Announce changes of the instances to a fleet in which few watch them."""
        if applied is None or kind != self._state.instances_kind:
            return
        is_first_list = not applied.after_revision
        if is_first_list or not self._is_large_fleet:
            return
        self._peers.broadcast(
            StateChanges(
                kind,
                applied.after_revision,
                applied.revision,
                applied.objects,
                applied.removed,
            )
        )

    async def _watch(self, kind: str, wait_s: float) -> bool:
        """Wait for changes of a kind; return whether there were any."""
        table = self._state.tables[kind]
        remaining_s = self._state.removals_apply_at - trio.current_time()
        if remaining_s > 0:
            wait_s = max(0.1, min(wait_s, remaining_s))
        started_at = trio.current_time()
        self._due_at[kind] = started_at + wait_s
        update = await self._feed.watch(kind, table.revision, wait_s)
        arrived_at = self._pauses.earliest_arrival_at()
        is_late = arrived_at - table.read_at > wait_s + LATE_ANSWER_S
        # A late answer proves only that its changes are newer than the previous read.
        unchanged_at = table.read_at if is_late else arrived_at
        in_time = not (is_late or self._pauses.has_just_resumed)
        as_of = unchanged_at if update.changes else min(started_at + wait_s, arrived_at)
        self._record_answer()
        applied = self._state.apply_changes(
            kind, update, max(started_at, as_of), None if in_time else unchanged_at
        )
        self._pass_on(kind, applied)
        return bool(update.changes)

    def _watch_s(self) -> float:
        if not self._is_large_fleet:
            return WATCH_S
        scaled_s = LONG_WATCH_S_PER_ROUTER * self._peers.n_known()
        mean_s = min(MAX_LONG_WATCH_S, max(LONG_WATCH_S, scaled_s))
        # A change ends the watches of all routers at once. With watches of one length,
        # all would read the store together from then on and confirm nothing meanwhile.
        return mean_s * self._rng.uniform(MIN_WATCH_FACTOR, 2.0 - MIN_WATCH_FACTOR)

    @property
    def _is_large_fleet(self) -> bool:
        # Listed routers count too: after a start few are linked yet.
        return self._peers.n_known() >= LARGE_FLEET

    def _rewatch_delay_s(self) -> float:
        return min(
            MAX_REWATCH_DELAY_S, REWATCH_DELAY_S_PER_ROUTER * self._peers.n_members()
        )

    def _retry_delay_s(self, n_failed: int) -> float:
        longest_s = MAX_RETRY_S
        if self._is_large_fleet:
            longest_s = max(longest_s, MAX_RETRY_S_PER_ROUTER * self._peers.n_known())
        mean_s = min(longest_s, RETRY_S * 2 ** (n_failed - 1))
        return mean_s * self._rng.uniform(0.5, 1.5)

    # Exchange with peers.

    async def _run_offers(self) -> None:
        offered: tuple[tuple[str, int], ...] = ()
        while True:
            revisions = self._revisions_to_offer()
            changed = self._state.changed
            if revisions == offered and not self._queries_ages_often:
                self._peers.broadcast_later(self._offer())
            else:
                self._peers.broadcast(self._offer())
            offered = revisions
            with trio.move_on_after(
                self._offer_s() * self._rng.uniform(MIN_OFFER_FACTOR, 1.2)
            ):
                while (
                    self._revisions_to_offer() == offered
                    and not self._queries_ages_often
                ):
                    await changed.wait()
                    changed = self._state.changed
                # Combine changes that follow each other into one offer.
                await trio.sleep(max(COALESCE_S, self._rewatch_delay_s() / 2))

    def _revisions_to_offer(self) -> tuple[tuple[str, int], ...]:
        """Return the revisions whose change is offered at once.

        In a large fleet changes of the instances are announced themselves.
        """
        return tuple(
            (kind, revision)
            for kind, revision in self._revisions()
            if kind != self._state.instances_kind or not self._is_large_fleet
        )

    def _offer(self) -> StateOffer:
        if not self._may_query():
            return StateOffer(self._revisions())
        needs_confirmation = self._state.ages_unknown_for_s is None
        return StateOffer(self._revisions(), self._open_query(), needs_confirmation)

    def _revisions(self) -> tuple[tuple[str, int], ...]:
        tables = self._state.tables
        return tuple((kind, table.changed_at) for kind, table in tables.items())

    @property
    def _has_recent_read(self) -> bool:
        """Whether this router has recently read the store itself."""
        read_at = self._state.tables[self._state.configuration_kind].read_at
        return trio.current_time() - read_at < OWN_READ_TTL_S

    def _may_query(self) -> bool:
        """Return whether the next offer should include a query.

        Queries are limited by interval because every linked peer answers, and offers
        are also sent at each change.
        """
        now = trio.current_time()
        pause_s = MIN_OFFER_FACTOR * self._offer_s()
        if now - self._queries.get(self._n_queries, float("-inf")) < pause_s:
            return False
        if self._state.ages_unknown_for_s is not None:
            return True
        read_at = min(table.read_at for table in self._state.tables.values())
        return now - read_at > QUERY_AFTER_S

    def _open_query(self) -> int:
        """Register a new query to peers and return its number."""
        self._n_queries += 1
        self._queries[self._n_queries] = trio.current_time()
        self._queries.pop(self._n_queries - MAX_OPEN_QUERIES, None)
        return self._n_queries

    @property
    def _queries_ages_often(self) -> bool:
        """Whether the age of a version has become unknown just now."""
        unknown_for_s = self._state.ages_unknown_for_s
        return unknown_for_s is not None and unknown_for_s < AGE_QUERY_PHASE_S

    def _offer_s(self) -> float:
        if self._queries_ages_often:
            return AGE_QUERY_INTERVAL_S
        return LONG_OFFER_S if self._is_large_fleet else OFFER_S

    async def on_state_offer(self, sender: InstanceId, offer: StateOffer) -> None:
        """Answer a peer's query, and request its state if this router is behind."""
        if offer.ask and (self._has_recent_read or not offer.needs_confirmation):
            self._peers.send(sender, self._answer(offer))
        now = trio.current_time()
        outdated_kinds = []
        for kind, revision in offer.revisions:
            table = self._state.tables.get(kind)
            if table is None:
                continue
            if self._is_known(kind, revision):
                self._behind_since.pop(kind, None)
                continue
            behind_since = self._behind_since.setdefault(kind, now)
            is_store_reachable = (
                now - table.read_at < STORE_SILENT_S or not self._state.is_store_lost
            )
            if (
                is_store_reachable
                and now - behind_since < PEER_AHEAD_GRACE_S + self._rewatch_delay_s()
            ):
                continue
            if self._may_request(kind):
                outdated_kinds.append(kind)
        if outdated_kinds:
            self._request(tuple(outdated_kinds), sender)

    async def on_state_changes(self, sender: InstanceId, changes: StateChanges) -> None:
        """Apply changes that a peer read, and pass on those that are new here."""
        if changes.kind != self._state.instances_kind:
            # What is read of the other kinds is also dated, which changes are not.
            return
        if self._state.lacks_changes_before(changes.kind, changes.after_revision):
            if self._may_request(changes.kind):
                self._request((changes.kind,), sender)
        elif self._state.apply_peer_changes(changes):
            self._peers.forward_update(changes)

    def _may_request(self, kind: str) -> bool:
        """Return whether a kind may be requested now; count it as requested."""
        now = trio.current_time()
        if now - self._requested_at.get(kind, float("-inf")) < REQUEST_INTERVAL_S:
            return False
        self._requested_at[kind] = now
        return True

    def _request(self, kinds: tuple[str, ...], peer: InstanceId) -> None:
        instances = self._state.tables[self._state.instances_kind]
        knows_none = not instances.revision
        self._peers.send(peer, StateRequest(kinds, self._open_query(), knows_none))

    def _answer(self, offer: StateOffer) -> StateAnswer:
        ages = () if offer.needs_confirmation else self._state.published_ages()
        return StateAnswer(offer.ask, self._revisions(), self._has_recent_read, ages)

    def _is_known(self, kind: str, revision: int) -> bool:
        """Return whether this router's state is at least as new as a peer's."""
        table = self._state.tables.get(kind)
        return table is not None and revision <= max(table.changed_at, table.revision)

    async def on_state_answer(self, sender: InstanceId, answer: StateAnswer) -> None:
        """Apply a peer's answer, which is valid as of the time of the query."""
        queried_at = self._queries.get(answer.ask)
        if queried_at is None:
            return
        if answer.is_confirmed:
            for kind, revision in answer.revisions:
                if self._is_known(kind, revision):
                    self._state.confirm(kind, queried_at)
        if not self._pauses.has_resumed_since(queried_at):
            self._state.merge_published_ages(answer.named, queried_at)

    async def on_state_request(self, sender: InstanceId, req: StateRequest) -> None:
        """Send the objects of the requested kinds.

        A router that started during a store outage cannot tell expired entries from
        removed ones, so it sends its instances only to peers that know none.
        """
        for kind in req.kinds:
            table = self._state.tables.get(kind)
            if table is None or not table.revision:
                continue
            may_be_incomplete = (
                kind == self._state.instances_kind and not req.knows_none
            )
            if may_be_incomplete and self._state.may_lack_expired_entries:
                continue
            objects = tuple(table.objects.values())
            reply = StateObjects(
                kind, table.revision, objects, req.ask, self._has_recent_read
            )
            self._peers.send(sender, reply)

    async def on_state_objects(
        self, sender: InstanceId, received: StateObjects
    ) -> None:
        """Apply a peer's state if it is newer than this router's."""
        as_of = self._queries.get(received.ask) if received.is_confirmed else None
        if self._state.apply_peer(
            received.kind, received.revision, received.objects, as_of
        ):
            eliot.log_message(
                message_type="state:from_peer",
                kind=received.kind,
                revision=received.revision,
                peer=sender,
            )
