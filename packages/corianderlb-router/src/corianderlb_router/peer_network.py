"""Join the routers by a sparse overlay of links, and know which of them live.

Each router keeps links to a few others, chosen by ``corianderlb_core.overlay``. Over
each link goes a heartbeat a second with the catalogue version and news of members. A
broadcast goes one link far: who learns something new from it broadcasts it in turn, so
it reaches every router over as many links as it takes, and old news stop by themselves.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import Final

import eliot
import trio

from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.membership import MAX_GAP_S, Membership, MergeResult
from corianderlb_core.message import (
    CrashReport,
    Heartbeat,
    MemberState,
    Message,
    SuspectCleared,
    UpstreamLeaving,
    UpstreamRestarted,
    encode,
)
from corianderlb_core.overlay import choose_links
from corianderlb_core.quarantine import HOLD_S
from corianderlb_core.settings import PeerSettings

from ._handshake import PeerIdentity, SealedLink, accept, introduce
from ._link_table import LinkTable
from ._peer_connection import PeerConnection, PeerCounters
from .interface import Handler, PeerNetwork
from .peer_link import FrameRefusedError, LinkClosedError, PeerLink, PeerTransport
from .store import InstanceList

HANDSHAKE_S: Final = 3.0
"""Longest time from an open link to its proof, in seconds."""

MAX_UNPROVED: Final = 32
"""Links without a proof at a time; a stranger cannot use up memory with more."""

KEPT: Final = (UpstreamLeaving, UpstreamRestarted, CrashReport, SuspectCleared)
"""Broadcasts that a router which links later must hear of as well."""

N_KEPT: Final = 128
"""Broadcasts kept for later links at most."""

KEPT_S: Final = HOLD_S
"""Seconds for which they are kept: a router that starts must refuse what the others
refuse."""

N_COPIES: Final = 4
"""Peers to whom a router passes news on. With four copies from each, one that was left
out stays so in 1 of 50 cases. Sent on to all of 30 peers, each word on one engine's
weights took 930 messages."""

DIAL_AGAIN_S: Final = 2.0
"""Mean seconds between two tries to reach a router."""

LOST_AGAIN_S: Final = 10.0
"""Mean seconds between two tries to reach some suspected router."""

STRANGER_LOG_S: Final = 60.0
"""Least seconds between two log lines about links without a proof."""

MIN_BEAT_GAP_S: Final = 0.05
"""Least time between two heartbeats, however much news there is."""

N_BEATS_KEPT: Final = 256
"""Own heartbeats whose times are remembered; more are far older than any use."""

RANDOM_MEMBER_EVERY: Final = 10
"""Heartbeats to one that carries the state of a random member on top."""


class OverlayNetwork(PeerNetwork):
    """Keep the links, the membership and the flooding of one router.

    ``run`` listens, dials and beats until cancelled. ``version`` gives the catalogue
    version and since when it is in force, for the heartbeats.
    """

    def __init__(
        self,
        own: MemberState,
        key: bytes,
        transport: PeerTransport,
        cfg: PeerSettings,
        rng: random.Random,
    ) -> None:
        self.counters = PeerCounters()
        """What went over the links."""
        self.version: Callable[[], tuple[int, str]] = lambda: (0, "")
        """Asked for the version in force and since when, at each heartbeat."""
        max_gap_s = max(MAX_GAP_S, 2 * cfg.heartbeat_s)
        self._membership = Membership(own, cfg.suspect_after_s, max_gap_s)
        self._identity = PeerIdentity(own.instance, own.epoch, own.zone, own.region)
        self._key = key
        self._transport = transport
        self._cfg = cfg
        self._rng = rng
        self._links = LinkTable(own.instance)
        self._dialling: set[InstanceId] = set()
        self._handlers: dict[type, list[Handler]] = defaultdict(list)
        self._kept: deque[tuple[float, Message]] = deque(maxlen=N_KEPT)
        self._n_beats = 0
        self._n_unproved = 0
        self._stranger_logged_at = -math.inf
        self._told_newer_self = False
        self._beat_wanted = trio.Event()
        self._links_wanted = trio.Event()
        self._beat_times: dict[int, float] = {}
        self._listed = trio.Event()

    def subscribe(self, cls: type, handler: Handler) -> None:
        """Have a handler called for each arriving message of a class.

        The next message of that peer waits for the handler, so a long task belongs
        into the handler's own actor.
        """
        self._handlers[cls].append(handler)

    def send(self, peer: InstanceId, message: Message) -> bool:
        """Queue a message to a linked peer; False when there is no link to it now."""
        conn = self._links.get(peer)
        return conn is not None and conn.post(encode(message))

    def broadcast(self, message: Message) -> int:
        """Queue a message to the linked peers; return how many."""
        frame = encode(message)
        if isinstance(message, KEPT):
            self._kept.append((trio.current_time(), message))
        return sum(conn.post(frame) for conn in self._links)

    def forward_update(self, message: Message) -> int:
        """Queue news that a peer told to those that may not have them.

        The first sender has told all that are linked to it. A few copies from each of
        them reach the rest, and those whose link to it is broken.
        """
        frame = encode(message)
        links = list(self._links)
        chosen = self._rng.sample(links, min(N_COPIES, len(links)))
        return sum(conn.post(frame) for conn in chosen)

    def members(self) -> Sequence[MemberState]:
        """Return the routers thought to run, this one included.

        Those with presence LEAVING finish what they have; give them nothing new.
        """
        return self._membership.members()

    def reach(self) -> float:
        """Return the part of the other routers that a link works to now."""
        n_others = len(self._membership.members()) - 1
        return min(1.0, len(self._links) / n_others) if n_others > 0 else 1.0

    def linked(self) -> Sequence[InstanceId]:
        """Return the routers that a link works to now."""
        return self._links.names()

    def candidates(self) -> Sequence[MemberState]:
        """Return the other routers that a link may be kept to, heard of or listed."""
        return self._membership.candidates()

    def has_known_peers(self) -> bool:
        """Tell whether there should be other routers, in reach or not."""
        others = (*self._membership.candidates(), *self._membership.lost())
        return any(state.presence is Presence.LIVE for state in others)

    def take_list(self, listed: InstanceList) -> bool:
        """Take the platform's list of instances; False for an older one."""
        taken = self._membership.take_list(listed.revision, listed.instances)
        self._links_wanted.set()
        self._listed.set()
        return taken

    async def wait_instance_list(self) -> None:
        """Return once the platform's list was read."""
        await self._listed.wait()

    def set_addresses(self, address: str, peer_address: str) -> None:
        """Tell the others where this router is reached, once it is bound."""
        self._membership.set_addresses(address, peer_address)
        self.heartbeat_now()

    def announce_leaving(self) -> None:
        """Tell the others that this router leaves; it keeps its links."""
        self._membership.leave()
        self.heartbeat_now()

    def heartbeat_now(self) -> None:
        """Send the next heartbeat at once, since there is news."""
        self._beat_wanted.set()

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep the overlay until cancelled; the status tells ``host:port``."""
        async with trio.open_nursery() as nursery:
            address = await nursery.start(self._transport.serve, self._take_link)
            task_status.started(address)
            nursery.start_soon(self._keep_beating)
            await self._keep_links(nursery)

    async def _keep_beating(self) -> None:
        while True:
            self._beat()
            await trio.sleep(MIN_BEAT_GAP_S)
            with trio.move_on_after(self._cfg.heartbeat_s - MIN_BEAT_GAP_S):
                await self._beat_wanted.wait()
            self._beat_wanted = trio.Event()

    def _beat(self) -> None:
        self._n_beats += 1
        own = self._membership.beat(*self.version())
        n_random = 0 if self._n_beats % RANDOM_MEMBER_EVERY else 1
        states, suspected = self._membership.news(self._rng, n_random)
        self._remember_beat(own.heartbeat)
        for conn in self._links:
            beat = Heartbeat(
                own.heartbeat,
                own.catalogue_version,
                tuple(states),
                tuple(suspected),
                conn.heard_beat,
            )
            conn.post(encode(beat))

    def _remember_beat(self, number: int) -> None:
        self._beat_times[number] = trio.current_time()
        if len(self._beat_times) > N_BEATS_KEPT:
            del self._beat_times[min(self._beat_times)]

    def heartbeat_sent_at(self, number: int) -> float | None:
        """Return when this router made a heartbeat, or None for none of the latest."""
        return self._beat_times.get(number)

    async def _keep_links(self, nursery: trio.Nursery) -> None:
        lost_at = trio.current_time() + self._wait_s(LOST_AGAIN_S)
        while True:
            now = trio.current_time()
            on_time = self._membership.look(now)
            self._close_silent(now, on_time)
            for state in (*self._wanted(), *self._seeds()):
                self._dial_soon(nursery, state)
            lost = self._membership.lost()
            if lost and now >= lost_at:
                lost_at = now + self._wait_s(LOST_AGAIN_S)
                self._dial_soon(nursery, self._rng.choice(lost))
            with trio.move_on_after(self._cfg.heartbeat_s / 2):
                await self._links_wanted.wait()
            self._links_wanted = trio.Event()

    def _wanted(self) -> list[MemberState]:
        """Return the routers to link to that no link goes to yet."""
        candidates = self._membership.candidates()
        by_name = {state.instance: state for state in candidates}
        chosen = choose_links(self._membership.own, candidates, self._cfg.n_peers)
        missing = [by_name[name] for name in chosen if name not in self._links]
        return [state for state in missing if state.peer_address]

    def _seeds(self) -> list[MemberState]:
        """Return whom to try when nobody is linked, by address alone."""
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

    def _close_silent(self, now: float, on_time: bool) -> None:
        for conn in self._links:
            if not on_time:
                # This process slept: the silence was here, not there.
                conn.last_heard = now
            elif now - conn.last_heard >= self._cfg.silent_after_s:
                self.counters.n_links_silent += 1
                eliot.log_message(message_type="peer:silent", peer=conn.peer.instance)
                conn.close()

    def _dial_soon(self, nursery: trio.Nursery, state: MemberState) -> None:
        if state.instance in self._dialling or state.instance in self._links:
            return
        self._dialling.add(state.instance)
        nursery.start_soon(self._dial, state)

    async def _dial(self, state: MemberState) -> None:
        """Try once to reach a router, and run the link for as long as it lasts."""
        proved = False
        try:
            async with self._transport.dial(state.peer_address) as link:
                sealed = await self._prove(link, partial(introduce, link))
                if sealed is not None:
                    proved = True
                    await self._run_link(sealed, dialled=True)
        except LinkClosedError:
            pass
        if not proved and state.instance not in self._links:
            self.counters.n_dials_failed += 1
            self._membership.record_unreachable(state.instance, trio.current_time())
            await trio.sleep(self._wait_s(DIAL_AGAIN_S))
        self._dialling.discard(state.instance)

    async def _take_link(self, link: PeerLink) -> None:
        """Run a link that another router opened."""
        if self._n_unproved >= MAX_UNPROVED:
            self.counters.n_strangers += 1
            return
        self._n_unproved += 1
        try:
            sealed = await self._prove(link, partial(accept, link))
        finally:
            self._n_unproved -= 1
        if sealed is not None:
            await self._run_link(sealed, dialled=False)

    async def _prove(
        self, link: PeerLink, handshake: Callable[..., object]
    ) -> SealedLink | None:
        """Return the link once both sides proved the key, or None."""
        try:
            with trio.fail_after(HANDSHAKE_S):
                sealed = await handshake(self._identity, self._key)
        except FrameRefusedError:
            self.counters.n_refused += 1
        except (LinkClosedError, trio.TooSlowError) as exc:
            self._count_stranger(str(exc))
        else:
            if sealed.peer.instance != self._identity.instance:
                return sealed
        await link.aclose()
        return None

    def _count_stranger(self, reason: str) -> None:
        """Count a link that proved nothing; log the first, and one a minute at most."""
        self.counters.n_strangers += 1
        now = trio.current_time()
        if now - self._stranger_logged_at >= STRANGER_LOG_S:
            self._stranger_logged_at = now
            eliot.log_message(message_type="peer:not_proved", reason=reason)

    async def _run_link(self, link: SealedLink, dialled: bool) -> None:
        now = trio.current_time()
        conn = PeerConnection(link, dialled, self.counters, now)
        name = conn.peer.instance
        if not self._links.add(conn):
            await link.aclose()
            return
        self.counters.n_links_opened += 1
        self._membership.record_reachable(name)
        eliot.log_message(message_type="peer:linked", peer=name, epoch=conn.peer.epoch)
        self._greet(conn)
        try:
            await conn.run(self._handle)
        finally:
            if self._links.remove(conn):
                self._membership.record_unreachable(name, trio.current_time())
                eliot.log_message(message_type="peer:unlinked", peer=name)
            with trio.move_on_after(HANDSHAKE_S, shield=True):
                await link.aclose()

    def _greet(self, conn: PeerConnection) -> None:
        """Tell a new peer all there is to know, and what was broadcast of late."""
        own = self._membership.beat(*self.version())
        states, suspected = self._membership.full_state()
        beat = Heartbeat(
            own.heartbeat, own.catalogue_version, tuple(states), tuple(suspected)
        )
        conn.post(encode(beat))
        oldest = trio.current_time() - KEPT_S
        for kept_at, message in self._kept:
            if kept_at >= oldest:
                conn.post(encode(_aged(message, trio.current_time() - kept_at)))

    async def _handle(self, conn: PeerConnection, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self._take_heartbeat(conn, message)
        for handler in self._handlers[type(message)]:
            await handler(conn.peer.instance, message)

    def _take_heartbeat(self, conn: PeerConnection, beat: Heartbeat) -> None:
        now = trio.current_time()
        member = self._membership
        learned = [member.merge(state, now) for state in beat.members]
        learned += [member.merge_suspicion(word, now) for word in beat.suspected]
        peer = conn.peer
        conn.heard_beat = beat.heartbeat
        learned.append(
            member.merge_heartbeat(
                peer.instance, peer.epoch, beat.heartbeat, beat.catalogue_version, now
            )
        )
        if MergeResult.CHANGED in learned:
            self.heartbeat_now()
        if member.newer_own_epoch is not None and not self._told_newer_self:
            self._told_newer_self = True
            eliot.log_message(
                message_type="peer:newer_self", epoch=member.newer_own_epoch
            )

    def _wait_s(self, mean_s: float) -> float:
        return mean_s * self._rng.uniform(0.5, 1.5)


def _aged(message: Message, waited_s: float) -> Message:
    """Return a kept message as it is to be told some time later."""
    if isinstance(message, CrashReport):
        return dataclasses.replace(message, age_s=message.age_s + waited_s)
    return message
