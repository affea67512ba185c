"""Overlay network between the routers, with membership and flooding.

Each router keeps links to a few others, chosen by ``corianderlb_core.overlay``. Each
link carries periodic heartbeats with the catalogue version and membership updates. A
broadcast travels one hop. For messages that must reach every router, the handler of a
receiver that learns something new sends it on, and drops duplicates.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections import defaultdict, deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Sequence
from contextlib import asynccontextmanager
from functools import partial
from itertools import chain
from operator import itemgetter
from typing import Final, TypeAlias

import eliot
import trio

from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.membership import (
    MAX_GAP_S,
    Membership,
    MergeResult,
    sampled_share,
)
from corianderlb_core.message import (
    TUNNEL,
    CrashReport,
    Heartbeat,
    LinkClosing,
    MemberState,
    Message,
    SuspectCleared,
    Suspicion,
    TunnelRequest,
    UpstreamLeaving,
    UpstreamRestarted,
    encode,
    form_for,
    level_of,
)
from corianderlb_core.quarantine import DEFAULT_QUARANTINE_S
from corianderlb_core.settings import PeerSettings

from ._handshake import AuthenticatedLink, PeerIdentity, accept, initiate
from ._link_choice import LinkChoice
from ._link_table import LinkTable
from ._peer_connection import PeerConnection, PeerCounters
from .connection_guard import ConnectionGuard
from .interface import N_FORWARDS, Handler, PeerNetwork
from .peer_link import FrameRefusedError, LinkClosedError, PeerLink, PeerTransport
from .store import InstanceList

HANDSHAKE_TIMEOUT_S: Final = 3.0
"""Timeout for authenticating an open link."""

MAX_UNAUTHENTICATED: Final = 32
"""Maximum number of concurrent unauthenticated links; bounds their memory use."""

REPLAYED_TYPES: Final = (
    UpstreamLeaving,
    UpstreamRestarted,
    CrashReport,
    SuspectCleared,
)
"""Broadcasts that are replayed to routers that link later."""

MAX_REPLAYED: Final = 256
"""Maximum number of broadcasts of each type stored for replay: a crash is reported by
each router that had requests on the instance."""

REPLAY_S: Final = DEFAULT_QUARANTINE_S
"""How long broadcasts are replayed: as long as a quarantine, so that a starting router
refuses the same requests as the others."""

DIAL_RETRY_S: Final = 2.0
"""Mean interval between attempts to dial a router."""

SUSPECT_RETRY_S: Final = 10.0
"""Mean interval between attempts to dial a random suspected router."""

AUTH_FAILURE_LOG_INTERVAL_S: Final = 60.0
"""Minimum interval between log lines about failed authentication."""

MIN_HEARTBEAT_GAP_S: Final = 0.05
"""Minimum interval between heartbeats, whatever the rate of updates."""

HEARTBEAT_GAP_S_PER_LINK: Final = 0.01
"""Minimum interval between heartbeats per link, so that many changes of the membership
at once, as when all routers start, leave in few heartbeats."""

MAX_WAIT_SHARE: Final = 0.5
"""Share of the heartbeat interval for which a heartbeat without changes waits for
another message, to leave in the same write."""

MAX_HEARTBEAT_TIMES: Final = 256
"""Maximum number of own heartbeats whose send times are stored."""

RANDOM_MEMBER_EVERY: Final = 10
"""Every n-th heartbeat also carries the state of a random member."""


TunnelHandler: TypeAlias = Callable[[AuthenticatedLink], Awaitable[None]]


class OverlayNetwork(PeerNetwork):
    """Links, membership and flooding of one router.

    ``run`` listens, dials and sends heartbeats until cancelled. ``version`` returns the
    catalogue version and the time it came into force, for the heartbeats.
    """

    def __init__(
        self,
        own: MemberState,
        key: bytes,
        transport: PeerTransport,
        cfg: PeerSettings,
        rng: random.Random,
        guard: ConnectionGuard | None = None,
    ) -> None:
        self.counters = PeerCounters()
        """Traffic over the links."""
        self.version: Callable[[], tuple[int, str]] = lambda: (0, "")
        """Called at each heartbeat for the version in force and its start time."""
        max_gap_s = max(MAX_GAP_S, 2 * cfg.heartbeat_s)
        self._membership = Membership(own, cfg.suspect_after_s, max_gap_s)
        self._identity = PeerIdentity(own.instance, own.epoch, own.zone, own.region)
        self._key = key
        self._transport = transport
        self._cfg = cfg
        self._rng = rng
        self._guard = guard or ConnectionGuard()
        self._links = LinkTable(own.instance)
        self._dialling: set[InstanceId] = set()
        self._handlers: dict[type, list[Handler]] = defaultdict(list)
        self._replayable: dict[type, deque[tuple[float, Message]]] = defaultdict(
            lambda: deque(maxlen=MAX_REPLAYED)
        )
        self._link_choice = LinkChoice(self._membership, self._links, cfg.n_peers)
        self._n_heartbeats = 0
        self._n_unauthenticated = 0
        self._auth_failure_logged_at = -math.inf
        self._has_logged_newer_epoch = False
        self._heartbeat_requested = trio.Event()
        self._due: dict[PeerConnection, None] = {}
        """Links with messages to send, in order."""
        self._must_send = trio.Event()
        self._links_check_requested = trio.Event()
        self._heartbeat_times: dict[int, float] = {}
        self._list_received = trio.Event()
        self._last_broadcast_at = -math.inf
        self.serve_tunnel: TunnelHandler = AuthenticatedLink.aclose
        """Serves a tunnel that a peer has opened until it ends."""

    def subscribe(self, cls: type, handler: Handler) -> None:
        """Register a handler for received messages of a class.

        The next message of the same peer waits until the handler returns, so long work
        belongs in an ``Actor``.
        """
        self._handlers[cls].append(handler)

    def send(self, peer: InstanceId, message: Message) -> bool:
        """Queue a message to a peer; return False if it is not linked."""
        conn = self._links.get(peer)
        if conn is None or conn.peer.level < level_of(message):
            return False
        return self._post((conn,), message) == 1

    @staticmethod
    def _post(
        links: Iterable[PeerConnection], message: Message, can_wait: bool = False
    ) -> int:
        """Queue a message to links, encoded once in each form; return their number."""
        frames: dict[type, bytes] = {}
        n_posted = 0
        for conn in links:
            form = form_for(message, conn.peer.level)
            frame = frames.get(form)
            if frame is None:
                frame = frames[form] = encode(message, form)
            n_posted += conn.post(frame, can_wait)
        return n_posted

    def broadcast(self, message: Message) -> int:
        """Queue a message to all linked peers; return their number."""
        self._last_broadcast_at = trio.current_time()
        if isinstance(message, REPLAYED_TYPES):
            self._replayable[type(message)].append((self._last_broadcast_at, message))
        return self._post(self._links_for(message), message)

    def broadcast_later(self, message: Message) -> int:
        """Queue a message that may wait for another one to all linked peers."""
        return self._post(self._links_for(message), message, can_wait=True)

    @property
    def last_broadcast_at(self) -> float:
        """When a message was last queued to all peers, on the router's clock."""
        return self._last_broadcast_at

    def _links_for(self, message: Message) -> list[PeerConnection]:
        """Return the links whose peer understands a message."""
        level = level_of(message)
        return [conn for conn in self._links if conn.peer.level >= level]

    def forward_update(self, message: Message, n_peers: int = N_FORWARDS) -> int:
        """Queue an update from a peer to a few random peers; return their number.

        The origin has sent it to all its linked peers. A few copies from each of them
        reach the other routers, including those whose link to the origin is broken.
        """
        links = self._links_for(message)
        chosen = self._rng.sample(links, min(n_peers, len(links)))
        return self._post(chosen, message)

    def members(self) -> Sequence[MemberState]:
        """Return the routers believed to be running, including this one.

        Routers with presence LEAVING complete their requests; assign them no new work.
        """
        return self._membership.members()

    @property
    def own(self) -> InstanceId:
        """Name of this router."""
        return self._identity.instance

    def is_member(self, instance: InstanceId) -> bool:
        """Return whether a router is believed to be running."""
        return self._membership.is_member(instance)

    def n_members(self) -> int:
        """Return the number of members."""
        return self._membership.n_members

    def n_known(self) -> int:
        """Return the number of members and of routers that are listed to run."""
        return 1 + self._membership.n_candidates

    def n_live(self) -> int:
        """Return the number of members that are not leaving."""
        return self._membership.n_live

    def n_running(self) -> int:
        """Return the number of routers that may be running, reachable or not."""
        return 1 + self._membership.n_candidates + self._membership.n_lost

    def n_sharing(self) -> int:
        """Return the number of routers that may use a part of an allowance."""
        return self._membership.n_sharing

    def running_names(self) -> tuple[InstanceId, ...]:
        """Return the routers that may be running, with this one, in order."""
        return self._membership.running_names

    def has_met_peers(self) -> bool:
        """Return whether another router was ever heard."""
        return self._membership.has_met_peers

    def has_list(self) -> bool:
        """Return whether the store's list of routers was ever read."""
        return self._membership.has_list

    def heard_share(self, within_s: float) -> float:
        """Return the fraction of the other running routers that are heard.

        Routers without a link count as heard like those with one.
        """
        n_others = self.n_running() - 1
        if n_others <= 0:
            return 1.0
        oldest = trio.current_time() - within_s
        # Suspected routers are not members; their silent links count only once.
        is_heard = [
            conn.last_received_at >= oldest
            for conn in self._links
            if self._membership.is_member(conn.peer.instance)
        ]
        n_reachable = self._membership.n_reachable
        share = sampled_share(sum(is_heard), len(is_heard), n_reachable)
        return share * min(1.0, n_reachable / n_others)

    def reach(self) -> float:
        """Return the fraction of the other routers that are linked."""
        n_others = self._membership.n_members - 1
        return min(1.0, len(self._links) / n_others) if n_others > 0 else 1.0

    def linked(self) -> Sequence[InstanceId]:
        """Return the linked routers."""
        return self._links.names()

    def candidates(self) -> Sequence[MemberState]:
        """Return the other routers eligible for a link, announced or listed."""
        return self._membership.candidates()

    def has_known_peers(self) -> bool:
        """Return whether other live routers are known, reachable or not."""
        others = (*self._membership.candidates(), *self._membership.lost())
        return any(state.presence is Presence.LIVE for state in others)

    def merge_list(self, listed: InstanceList) -> bool:
        """Apply the platform's list of instances; return False for an older one."""
        taken = self._membership.merge_list(listed.revision, listed.instances)
        self._links_check_requested.set()
        self._list_received.set()
        return taken

    async def wait_instance_list(self) -> None:
        """Wait until the platform's list of instances was received."""
        await self._list_received.wait()

    def set_addresses(self, address: str, peer_address: str) -> None:
        """Announce the bound addresses of this router."""
        self._membership.set_addresses(address, peer_address)
        self.heartbeat_now()

    def announce_leaving(self) -> None:
        """Announce that this router is leaving; its links stay open."""
        self._membership.leave()
        self.heartbeat_now()

    def heartbeat_now(self) -> None:
        """Send the next heartbeat without waiting for the interval."""
        self._heartbeat_requested.set()

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the overlay until cancelled; start with the bound ``host:port``."""
        async with trio.open_nursery() as nursery:
            address = await nursery.start(self._transport.serve, self._accept_link)
            task_status.started(address)
            nursery.start_soon(self._send_heartbeats)
            nursery.start_soon(self._send_due)
            await self._maintain_links(nursery)

    def _record_due(self, conn: PeerConnection) -> None:
        self._due[conn] = None
        self._must_send.set()

    async def _send_due(self) -> None:
        """Send the messages of all links that were queued in a pass of the loop."""
        while True:
            await self._must_send.wait()
            self._must_send = trio.Event()
            due = list(self._due)
            self._due.clear()
            for conn in due:
                self._send_due_of(conn)

    def _send_due_of(self, conn: PeerConnection) -> None:
        """Send the queued messages of a link; one that fails is closed alone."""
        has_sent = False
        with self._guard.confine("peers", conn.peer.instance):
            conn.send_due()
            has_sent = True
        if not has_sent:
            conn.close()

    async def _send_heartbeats(self) -> None:
        while True:
            self._send_heartbeat()
            with trio.move_on_after(MAX_WAIT_SHARE * self._cfg.heartbeat_s):
                await trio.sleep(self._heartbeat_gap_s())
                await self._heartbeat_requested.wait()
            for conn in self._links:
                conn.flush()
            with trio.move_on_after((1 - MAX_WAIT_SHARE) * self._cfg.heartbeat_s):
                await self._heartbeat_requested.wait()
            self._heartbeat_requested = trio.Event()

    def _heartbeat_gap_s(self) -> float:
        return max(MIN_HEARTBEAT_GAP_S, HEARTBEAT_GAP_S_PER_LINK * len(self._links))

    def _send_heartbeat(self) -> None:
        self._n_heartbeats += 1
        own = self._membership.beat(*self.version())
        n_random = 0 if self._n_heartbeats % RANDOM_MEMBER_EVERY else 1
        states, suspected = self._membership.take_announcements(self._rng, n_random)
        self._record_heartbeat_time(own.heartbeat)
        for conn in self._links:
            if conn.has_dropped:
                self._post_full_state(conn, own)
            else:
                can_wait = not (states or suspected)
                self._post_heartbeat(conn, own, states, suspected, can_wait)

    def _post_full_state(self, conn: PeerConnection, own: MemberState) -> None:
        """Send the full membership to a peer that may lack changes of it."""
        states, suspected = self._membership.full_state()
        conn.has_dropped = not self._post_heartbeat(conn, own, states, suspected)

    @staticmethod
    def _post_heartbeat(
        conn: PeerConnection,
        own: MemberState,
        states: Sequence[MemberState],
        suspected: Sequence[Suspicion],
        can_wait: bool = False,
    ) -> bool:
        beat = Heartbeat(
            own.heartbeat,
            own.catalogue_version,
            tuple(states),
            tuple(suspected),
            conn.last_heartbeat,
        )
        return conn.post(encode(beat), can_wait)

    def _record_heartbeat_time(self, number: int) -> None:
        self._heartbeat_times[number] = trio.current_time()
        if len(self._heartbeat_times) > MAX_HEARTBEAT_TIMES:
            del self._heartbeat_times[min(self._heartbeat_times)]

    def heartbeat_sent_at(self, number: int) -> float | None:
        """Return when a recent own heartbeat was sent, or None if unknown."""
        return self._heartbeat_times.get(number)

    async def _maintain_links(self, nursery: trio.Nursery) -> None:
        suspect_retry_at = trio.current_time() + self._jittered_s(SUSPECT_RETRY_S)
        while True:
            now = trio.current_time()
            was_running = self._membership.update_suspicions(now)
            self._close_silent_links(now, was_running)
            missing = self._link_choice.missing(now)
            for state in (*missing, *self._seed_candidates()):
                self._start_dial(nursery, state)
            surplus = self._link_choice.surplus(now)
            if surplus is not None:
                surplus.close_surplus()
            lost = self._membership.lost()
            if lost and now >= suspect_retry_at:
                suspect_retry_at = now + self._jittered_s(SUSPECT_RETRY_S)
                self._start_dial(nursery, self._rng.choice(lost))
            with trio.move_on_after(self._cfg.heartbeat_s / 2):
                await self._links_check_requested.wait()
            self._links_check_requested = trio.Event()

    def _seed_candidates(self) -> list[MemberState]:
        """Return the seed addresses to dial if no router is linked."""
        if self._links:
            return []
        own = self._membership.own
        return [
            dataclasses.replace(
                own, instance=InstanceId(address), epoch=0, peer_address=address
            )
            for address in self._cfg.seeds
            if address != own.peer_address
        ]

    def _close_silent_links(self, now: float, was_running: bool) -> None:
        for conn in self._links:
            if not was_running:
                # This process was paused: the silence says nothing about the peer.
                conn.last_received_at = now
            elif now - conn.last_received_at >= self._cfg.silent_after_s:
                self.counters.n_links_silent += 1
                eliot.log_message(message_type="peer:silent", peer=conn.peer.instance)
                conn.close()

    def _start_dial(self, nursery: trio.Nursery, state: MemberState) -> None:
        if state.instance in self._dialling or state.instance in self._links:
            return
        self._dialling.add(state.instance)
        nursery.start_soon(self._dial, state)

    async def _dial(self, state: MemberState) -> None:
        """Dial a router once, and run the link until it closes."""
        has_run = False
        with self._guard.confine("peers", state.peer_address):
            has_run = await self._run_dialled_link(state.peer_address)
        if not has_run and state.instance not in self._links:
            self.counters.n_dials_failed += 1
            self._membership.record_unreachable(state.instance, trio.current_time())
            await trio.sleep(self._jittered_s(DIAL_RETRY_S))
        self._dialling.discard(state.instance)

    async def _run_dialled_link(self, address: str) -> bool:
        """Dial an address; return whether an authenticated link has run."""
        try:
            async with self._transport.dial(address) as link:
                auth_link = await self._authenticate(link, partial(initiate, link))
                if auth_link is None:
                    return False
                await self._run_link(auth_link, dialled=True)
        except LinkClosedError:
            return False
        return True

    async def _accept_link(self, link: PeerLink) -> None:
        """Authenticate and run a link that another router opened."""
        if self._n_unauthenticated >= MAX_UNAUTHENTICATED:
            self.counters.n_strangers += 1
            return
        self._n_unauthenticated += 1
        try:
            auth_link = await self._authenticate(link, partial(accept, link))
        finally:
            self._n_unauthenticated -= 1
        if auth_link is None:
            return
        if auth_link.peer.purpose == TUNNEL:
            await self.serve_tunnel(auth_link)
        else:
            await self._run_link(auth_link, dialled=False)

    def tunnel_peers(self) -> Sequence[MemberState]:
        """Return the linked routers that may be asked for a tunnel."""
        level = level_of(TunnelRequest("", 0))
        linked = {
            conn.peer.instance for conn in self._links if conn.peer.level >= level
        }
        return [
            state
            for state in self._membership.members()
            if state.instance in linked and state.presence is Presence.LIVE
        ]

    @asynccontextmanager
    async def dial_tunnel(self, peer: MemberState) -> AsyncIterator[AuthenticatedLink]:
        """Open an authenticated link for a tunnel; raise ``LinkClosedError``."""
        identity = dataclasses.replace(self._identity, purpose=TUNNEL)
        async with self._transport.dial(peer.peer_address) as link:
            try:
                handshake = partial(initiate, link)
                auth_link = await self._authenticate(link, handshake, identity)
                if auth_link is None or auth_link.peer.instance != peer.instance:
                    raise LinkClosedError(f"{peer.peer_address} is not {peer.instance}")
                yield auth_link
            finally:
                # A closing handshake would wait for a peer that may be frozen.
                with trio.CancelScope(shield=True):
                    await link.abort()

    async def _authenticate(
        self,
        link: PeerLink,
        handshake: Callable[..., object],
        identity: PeerIdentity | None = None,
    ) -> AuthenticatedLink | None:
        """Return the authenticated link, or None.

        It is None when the handshake failed or the peer is this router itself.
        """
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                auth_link = await handshake(identity or self._identity, self._key)
        except FrameRefusedError:
            self.counters.n_refused += 1
        except (LinkClosedError, trio.TooSlowError) as exc:
            self._count_auth_failure(str(exc))
        else:
            if auth_link.peer.instance != self._identity.instance:
                return auth_link
        await link.aclose()
        return None

    def _count_auth_failure(self, reason: str) -> None:
        """Count a failed authentication; rate-limit its log line."""
        self.counters.n_strangers += 1
        now = trio.current_time()
        if now - self._auth_failure_logged_at >= AUTH_FAILURE_LOG_INTERVAL_S:
            self._auth_failure_logged_at = now
            eliot.log_message(message_type="peer:not_proved", reason=reason)

    async def _run_link(self, link: AuthenticatedLink, dialled: bool) -> None:
        now = trio.current_time()
        conn = PeerConnection(link, dialled, self.counters, now, self._record_due)
        name = conn.peer.instance
        if not self._links.add(conn):
            await link.aclose()
            return
        self.counters.n_links_opened += 1
        self._membership.record_reachable(name)
        eliot.log_message(message_type="peer:linked", peer=name, epoch=conn.peer.epoch)
        self._send_initial_state(conn)
        try:
            await conn.run(self._handle)
        finally:
            if self._links.remove(conn):
                if not conn.is_surplus:
                    self._membership.record_unreachable(name, trio.current_time())
                eliot.log_message(message_type="peer:unlinked", peer=name)
            with trio.move_on_after(HANDSHAKE_TIMEOUT_S, shield=True):
                await link.aclose()

    def _send_initial_state(self, conn: PeerConnection) -> None:
        """Send the full membership and the recent broadcasts to a new peer."""
        self._post_full_state(conn, self._membership.beat(*self.version()))
        oldest = trio.current_time() - REPLAY_S
        kept = chain.from_iterable(self._replayable.values())
        for sent_at, message in sorted(kept, key=itemgetter(0)):
            if sent_at >= oldest:
                conn.post(encode(_add_age(message, trio.current_time() - sent_at)))

    async def _handle(self, conn: PeerConnection, message: Message) -> None:
        if isinstance(message, LinkClosing):
            conn.is_surplus = True
        elif isinstance(message, Heartbeat):
            self._merge_heartbeat(conn, message)
        for handler in self._handlers[type(message)]:
            await handler(conn.peer.instance, message)

    def _merge_heartbeat(self, conn: PeerConnection, beat: Heartbeat) -> None:
        now = trio.current_time()
        member = self._membership
        outcomes = [member.merge(state, now) for state in beat.members]
        outcomes += [
            member.merge_suspicion(suspicion, now) for suspicion in beat.suspected
        ]
        peer = conn.peer
        conn.last_heartbeat = beat.heartbeat
        outcomes.append(
            member.merge_heartbeat(
                peer.instance, peer.epoch, beat.heartbeat, beat.catalogue_version, now
            )
        )
        if MergeResult.CHANGED in outcomes:
            self.heartbeat_now()
        if member.newer_own_epoch is not None and not self._has_logged_newer_epoch:
            self._has_logged_newer_epoch = True
            eliot.log_message(
                message_type="peer:newer_self", epoch=member.newer_own_epoch
            )

    def _jittered_s(self, mean_s: float) -> float:
        return mean_s * self._rng.uniform(0.5, 1.5)


def _add_age(message: Message, stored_s: float) -> Message:
    """Return a stored message with its age adjusted for the time in storage."""
    if isinstance(message, CrashReport):
        return dataclasses.replace(message, age_s=message.age_s + stored_s)
    return message
