"""Keep streams at the software version that began them, over all routers.

While an upstream has instances of several software versions, a router announces the
version of each stream to some peers before it sends the request. A router that is asked
for the rest of a stream asks its peers. While there has been one version for as long as
a stream can last, nothing is announced: it is the one that began all streams.
"""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Iterator, Sequence
from dataclasses import field, replace
from typing import Final

import eliot
import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import (
    ForwardConfiguration,
    ForwardInstance,
    ForwardRoute,
    RepeatKind,
)
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import (
    StreamOrigin,
    StreamOriginAnswer,
    StreamOriginRequest,
    StreamOriginsUpdate,
)
from corianderlb_core.part_index import IncarnationKey
from corianderlb_core.stream_origin import (
    UNKNOWN_VERSION,
    KnownOrigin,
    OriginTable,
    VersionHistory,
    may_have_begun_since,
)

from .interface import PeerNetwork
from .serving_state import ServingState
from .stream_records import SETTLED_S, StreamRecords

N_KEEPERS: Final = 8
"""Peers to which the origin of a stream is announced. Of 78 routers with 16 links each,
five in six then have a link to one of them; of 9 routers, all."""

ASK_TIMEOUT_S: Final = 0.25
"""Longest wait for the answers of peers. A peer that hangs must not hold a stream up
for longer than its caller notices."""

MIN_LIFETIME_S: Final = 15.0
"""Shortest time for which streams are remembered, whatever the route's timeout."""

MAX_LIFETIME_S: Final = 600.0
"""Longest time for which streams are remembered; bounds the memory of unread ones."""

UNANNOUNCED_S: Final = 2.0
"""Time after a second version appeared in which a stream that no peer knows is one that
was begun before. Its router may have ended before it could announce it."""

OBSERVE_INTERVAL_S: Final = 0.05
"""Shortest interval at which the instances are looked at without a request."""

CLOCK_ERROR_S: Final = 0.5
"""Largest difference between the wall clocks of a router and an instance."""

ENTRY_WAIT_S: Final = 3.0
"""Longest wait for the entry of a process that has begun a stream before it is listed,
as long as one for an instance of a stream's version."""

MAX_ORIGINS_PER_MESSAGE: Final = 500
"""Maximum number of streams in one message."""

MAX_ASKS: Final = 1000
"""Maximum number of requests to the peers at the same time."""


async def _never_current() -> bool:
    """Return that the instances could not be read again."""
    return False


@dataclass(frozen=True)
class ResumedOrigin:
    """Where a resumed stream has to go on."""

    upstream: str
    version: str
    source: str
    """How it was learnt: ``own``, ``peer``, ``only`` version, ``stored`` by its router,
    or alone ``before``."""


@dataclass
class _Ask:
    """A request to the peers and the answers received so far."""

    n_expected: int
    sole: tuple[str, str] | None = None
    """Upstream and version that this router knows as the only one."""
    answers: list[StreamOriginAnswer] = field(default_factory=list)
    done: trio.Event = field(default_factory=trio.Event)

    @property
    def origin(self) -> StreamOrigin | None:
        found = (answer.origins[0] for answer in self.answers if answer.origins)
        return next(found, None)

    @property
    def has_majority(self) -> bool:
        """Whether at least half of the peers that were asked have answered."""
        return 0 < self.n_expected <= 2 * len(self.answers)

    @property
    def is_decided(self) -> bool:
        """Whether further answers would change nothing."""
        if self.origin is not None or len(self.answers) >= self.n_expected:
            return True
        # With one version, a peer that has just died need not be waited for.
        known = {version for answer in self.answers for version in answer.versions}
        return self.has_majority and self.sole is not None and known == {self.sole}


class StreamOrigins:
    """Knows the software version that began each stream, or asks the peers for it."""

    def __init__(
        self,
        state: ServingState,
        peers: PeerNetwork,
        wall_clock: Callable[[], float] = time.time,
        refresh: Callable[[], Awaitable[bool]] = _never_current,
        records: StreamRecords | None = None,
        is_current: Callable[[], bool] = lambda: True,
        may_lack_restarts: Callable[[float], bool] = lambda seen_at: False,
    ) -> None:
        """Read the instances again with ``refresh``, which returns whether it could.

        ``is_current`` tells whether they were read since this process stood still,
        ``may_lack_restarts`` whether one may have restarted unnoticed since a time.
        Without ``records``, streams are forgotten once all their routers are gone.
        """
        self._state = state
        self._peers = peers
        self._wall_clock = wall_clock
        self._table = OriginTable()
        self._histories: dict[str, VersionHistory] = {}
        self._entries: dict[str, ForwardInstance] = {}
        self._present: Counter[tuple[str, str]] = Counter()
        """Number of instances by upstream and software version."""
        self._observed_change = -1
        self._lifetime_of: ForwardConfiguration | None = None
        self._kept_lifetime_s = MIN_LIFETIME_S
        self._refresh = refresh
        self._is_current = is_current
        self._may_lack_restarts = may_lack_restarts
        self._records = records
        self._asks: dict[int, _Ask] = {}
        self._n_asks = 0
        self._doubted_revisions: dict[IncarnationKey, int] = {}
        self._gone: dict[IncarnationKey, tuple[float, int]] = {}
        """When the process of an entry may have ended, and the revision of the entry
        then."""
        peers.subscribe(StreamOriginsUpdate, self.on_update)
        peers.subscribe(StreamOriginRequest, self.on_request)
        peers.subscribe(StreamOriginAnswer, self.on_answer)

    def __len__(self) -> int:
        return len(self._table)

    async def run(self) -> None:
        """Watch the software versions of the instances until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            if self._records is not None:
                nursery.start_soon(
                    self._records.run, self._to_record, lambda: self._lifetime_s
                )

    async def _watch(self) -> None:
        while True:
            changed = self._state.changed
            self._observe()
            await changed.wait()
            await trio.sleep(OBSERVE_INTERVAL_S)

    # Streams that this router begins.

    def began(self, key: bytes, instance: ForwardInstance, route: ForwardRoute) -> None:
        """Record the version of a stream whose request is about to be sent.

        Peers have to know it before the first event reaches the caller, since this
        router may be killed right after it.
        """
        self._observe()
        now = trio.current_time()
        origin = KnownOrigin(
            key,
            instance.upstream,
            instance.software_version,
            now + self._lifetime_s,
            instance.incarnation_key,
            round(self._wall_clock() * 1000),
        )
        known = self._table.find(key, now)
        self._table.record(origin, now)
        if known is not None and known.version == origin.version:
            return
        is_covered = self._observed_s(route, now) >= self._lifetime_s
        if not is_covered or len(self._recent(route, now)) > 1:
            self._announce([origin], is_correction=known is not None)

    def sent(self, key: bytes, instance: ForwardInstance) -> None:
        """Record that the request of a stream that began is sent only now.

        Connections and tunnels can take longer than an instance needs to restart, so
        the process that runs the stream may have started since ``began``.
        """
        origin = self._table.find(key, trio.current_time())
        if origin is None or origin.incarnation != instance.incarnation_key:
            return
        sent = replace(origin, began_ms=round(self._wall_clock() * 1000))
        self._table.record(sent, trio.current_time())
        self._observe()
        known = self._entries.get(instance.instance)
        if known is not None and self.has_changed(instance, instance.software_version):
            self._correct_streams(instance, known)

    def first_event(self, key: bytes) -> None:
        """Record that the first event of a stream is about to go to its caller."""
        self._table.record_first_event(key, trio.current_time())
        if self._records is not None:
            self._records.due()

    def _to_record(self) -> Iterator[KnownOrigin]:
        """Return the streams that the store has to know if all routers end now.

        These are none while one version has served for long enough.
        """
        now = trio.current_time()
        for name, history in self._histories.items():
            is_new = now - history.since < self._lifetime_s
            is_mixed = len(history.recent(now, self._lifetime_s)) > 1
            if is_mixed or (is_new and self._has_newcomer({name}, self._lifetime_s)):
                for origin in self._table.own(name, now):
                    if origin.first_event_at <= now:
                        yield origin

    async def confirm(
        self, key: bytes, instance: ForwardInstance, started_ms: int
    ) -> bool:
        """Return whether the version of a stream that an instance began is known.

        ``started_ms`` is the start of another process than that of the entry, which
        answers in its place now. If it may have begun the stream, its own entry is
        waited for, which corrects the version. Without that no router knows it.
        """
        now, now_ms = trio.current_time(), round(self._wall_clock() * 1000)
        origin = self._table.find(key, now)
        if origin is None or origin.incarnation != instance.incarnation_key:
            return True
        if origin.began_ms < may_have_begun_since(started_ms, now_ms):
            return True
        with trio.move_on_after(ENTRY_WAIT_S):
            await self._refresh()
            while True:
                changed = self._state.changed
                if self._state.incarnation((instance.instance, started_ms)):
                    self._observe()
                    return self.version_of(key) != UNKNOWN_VERSION
                await changed.wait()
        unknown = replace(origin, version=UNKNOWN_VERSION)
        self._table.record(unknown, trio.current_time())
        self._announce([unknown], is_correction=True)
        return False

    def has_begun(self, key: bytes, instance: ForwardInstance) -> bool:
        """Return whether the process of an entry is taken to have begun a stream."""
        origin = self._table.find(key, trio.current_time())
        return origin is not None and origin.incarnation == instance.incarnation_key

    def version_of(self, key: bytes) -> str | None:
        """Return the version that began a stream; None if it is not known here."""
        origin = self._table.find(key, trio.current_time())
        return origin.version if origin else None

    # Instances.

    def record_doubt(self, instance: ForwardInstance, is_gone: bool = False) -> None:
        """Record that an instance gave no answer, so that it may have restarted.

        Its version is not known then before it renews its entry. ``is_gone`` tells that
        its process has ended: a connection was refused, or another start was told.
        """
        known = self._state.incarnation(instance.incarnation_key)
        if known is not None:
            self._doubted_revisions[known.incarnation_key] = known.revision
            if is_gone:
                self.record_break(instance)

    def record_break(self, instance: ForwardInstance) -> None:
        """Record that an answer broke off, so that its process may have ended.

        New streams ask only then, since a full instance resets new connections often.
        """
        known = self._state.incarnation(instance.incarnation_key)
        if known is not None:
            found = trio.current_time(), known.revision
            self._gone[known.incarnation_key] = found

    @property
    def is_current(self) -> bool:
        """Whether the versions of the instances may be trusted.

        Any instance can have restarted with other software, under its name and address,
        while this process stood still.
        """
        return self._is_current()

    async def make_current(self) -> bool:
        """Read the instances again if need be; return whether they may be trusted."""
        if self._is_current():
            return True
        was_read = await self._refresh()
        self._observe()
        return was_read and self._is_current()

    def runs_version(self, instance: ForwardInstance, version: str) -> bool:
        """Return whether an instance is known to run a software version now."""
        known = self._state.incarnation(instance.incarnation_key)
        if known is None or self._is_doubted(known):
            return False
        return known.software_version == version

    def _is_doubted(self, known: ForwardInstance) -> bool:
        doubted_revision = self._doubted_revisions.get(known.incarnation_key, -1)
        return known.revision <= doubted_revision

    def may_have_restarted(self, instance: ForwardInstance, seen_at: float) -> bool:
        """Return whether the entry of an instance may be older than its process.

        ``seen_at`` is when its process was last seen to be the one of the entry.
        """
        known = self._state.incarnation(instance.incarnation_key)
        if known is None or self._may_lack_restarts(seen_at):
            return True
        gone_at, revision = self._gone.get(known.incarnation_key, (-math.inf, -1))
        return seen_at <= gone_at and known.revision <= revision

    def has_changed(self, instance: ForwardInstance, version: str) -> bool:
        """Return whether an instance turned out to have restarted with other software.

        Its entry can arrive after a request was sent to it, and before the first event.
        """
        known = self._state.instance(instance.instance)
        return (
            known is not None
            and known.incarnation_key != instance.incarnation_key
            and known.software_version != version
        )

    # Streams that a caller resumes.

    async def resolve(
        self, key: bytes | None, route: ForwardRoute
    ) -> ResumedOrigin | None:
        """Return where a stream has to go on, or None if that cannot be known.

        ``key`` is None for a caller that does not name the stream.
        """
        origin = await self._find_origin(key, route)
        is_known = origin is not None and origin.version != UNKNOWN_VERSION
        return origin if is_known else None

    async def _find_origin(
        self, key: bytes | None, route: ForwardRoute
    ) -> ResumedOrigin | None:
        if not await self.make_current():
            return None
        self._observe()
        now = trio.current_time()
        known = self._table.find(key, now) if key else None
        if known is not None:
            return ResumedOrigin(known.upstream, known.version, "own")
        ask = await self._ask(key, route)
        if ask.origin is not None:
            return self._learn(ask.origin)
        is_current = self._is_vouched(ask)
        if not is_current:
            # Peers can't tell whether another version has joined lately.
            is_current = await self._refresh()
            self._observe()
        sole = self._sole_version(route, ask.answers) if is_current else None
        if sole is not None:
            return ResumedOrigin(*sole, "only")
        stored = await self._records.find(key) if self._records and key else None
        if stored is not None:
            return ResumedOrigin(*stored, "stored")
        unsettled = await self._find_unsettled(key) if key else None
        if unsettled is not None:
            return unsettled
        excluded = self._exclude(route, ask.answers) if is_current else None
        if excluded is None:
            versions, _ = self._known_versions(route, ask.answers)
            eliot.log_message(
                message_type="stream:unknown",
                peers=ask.n_expected,
                answers=len(ask.answers),
                current=is_current,
                versions=sorted(version for _, version in versions),
                record=self._records.state_of(key) if self._records and key else "",
            )
        return excluded

    async def _find_unsettled(self, key: bytes) -> ResumedOrigin | None:
        """Return the origin of a stream that was recorded right after its begin.

        Its instance must have the same start in an entry that is read after the stream
        can be settled: it did not restart with other software before the stream.
        """
        found = self._records.find_unsettled(key) if self._records else None
        if found is None:
            return None
        await trio.sleep(SETTLED_S)
        if not await self._refresh() or not await self.make_current():
            return None
        self._observe()
        known = self._state.incarnation(found.incarnation)
        if known is None or known.software_version != found.version:
            return None
        return ResumedOrigin(found.upstream, found.version, "stored")

    def _sole_version(
        self, route: ForwardRoute, answers: Sequence[StreamOriginAnswer]
    ) -> tuple[str, str] | None:
        """Return the upstream and version that alone served for long enough."""
        versions, observed_s = self._known_versions(route, answers)
        is_covered = observed_s >= self._lifetime_s
        return next(iter(versions)) if is_covered and len(versions) == 1 else None

    def _known_versions(
        self, route: ForwardRoute, answers: Sequence[StreamOriginAnswer]
    ) -> tuple[set[tuple[str, str]], float]:
        """Return the recent versions that any router has seen, and for how long."""
        now = trio.current_time()
        versions = set(self._recent(route, now))
        observed_s = self._observed_s(route, now)
        for answer in answers:
            versions.update(answer.versions)
            observed_s = max(observed_s, answer.observed_ms / 1000)
        return versions, observed_s

    def _is_vouched(self, ask: _Ask) -> bool:
        """Return whether enough routers have told which versions they know.

        A router that is cut off, or was paused, may lack the newest version.
        """
        if ask.n_expected == 0:
            return self._peers.n_running() <= 1
        return ask.has_majority

    def _exclude(
        self, route: ForwardRoute, answers: Sequence[StreamOriginAnswer]
    ) -> ResumedOrigin | None:
        """Return where a stream that no router knows must have begun, if that is clear.

        ``answers`` are those of the peers, none of which knows it.
        """
        versions, _ = self._known_versions(route, answers)
        names = {share.upstream for share in route.shares}
        if len(versions) == 1:
            has_newcomer = self._has_newcomer(names, self._lifetime_s)
            return None if has_newcomer else ResumedOrigin(*versions.pop(), "only")
        now = trio.current_time()
        sole = {
            (name, history.sole_before_mix(now, UNANNOUNCED_S))
            for name, history in self._histories_of(route)
        }
        if len(sole) != 1 or not next(iter(sole))[1]:
            return None
        origin = ResumedOrigin(*sole.pop(), "before")
        # The others may have joined long before this router saw them.
        has_just_joined = all(
            self._has_started_within(instance, UNANNOUNCED_S + CLOCK_ERROR_S)
            for instance in self._instances_of(names)
            if instance.software_version != origin.version
        )
        return origin if has_just_joined else None

    def _instances_of(self, upstreams: Collection[str]) -> list[ForwardInstance]:
        return [i for i in self._state.all_instances() if i.upstream in upstreams]

    def _has_started_within(self, instance: ForwardInstance, seconds: float) -> bool:
        oldest_ms = (self._wall_clock() - seconds) * 1000
        return instance.born_ms > oldest_ms

    def _has_newcomer(self, upstreams: Collection[str], seconds: float) -> bool:
        """Return whether an instance of some upstreams started within some seconds.

        It may have replaced one of another version. Without a newcomer, the versions of
        now are those of before.
        """
        return any(
            not instance.born_ms or self._has_started_within(instance, seconds)
            for instance in self._instances_of(upstreams)
        )

    async def _ask(self, key: bytes | None, route: ForwardRoute) -> _Ask:
        """Ask the peers for a stream; return once one knows it or all have answered.

        Without a key they tell which versions they know.
        """
        ask = _Ask(0, self._sole_version(route, ()))
        if len(self._asks) >= MAX_ASKS:
            return ask
        self._n_asks += 1
        number = self._n_asks
        names = tuple(share.upstream for share in route.shares)
        self._asks[number] = ask
        try:
            request = StreamOriginRequest(number, key or b"", names)
            ask.n_expected = self._peers.broadcast(request)
            if ask.n_expected:
                with trio.move_on_after(ASK_TIMEOUT_S):
                    await ask.done.wait()
        finally:
            del self._asks[number]
        return ask

    def _learn(self, announced: StreamOrigin) -> ResumedOrigin:
        """Record an origin that a peer has named, and keep it known."""
        origin = self._record_announced(announced)
        return ResumedOrigin(origin.upstream, origin.version, "peer")

    # Messages of peers.

    async def on_update(self, sender: InstanceId, update: StreamOriginsUpdate) -> None:
        """Keep origins that a peer announces."""
        for announced in update.origins:
            self._record_announced(announced)

    async def on_request(self, sender: InstanceId, req: StreamOriginRequest) -> None:
        """Answer a peer that was asked for the rest of a stream."""
        self._observe()
        now = trio.current_time()
        known = self._table.find(req.key, now)
        found = [(name, self._histories.get(name)) for name in req.upstreams]
        versions = tuple(
            (name, version)
            for name, history in found
            if history
            for version in sorted(history.recent(now, self._lifetime_s))
        )
        observed_s = min((now - h.since if h else 0.0 for _, h in found), default=0.0)
        origins = (known.announcement(now),) if known else ()
        answer = StreamOriginAnswer(
            req.ask, origins, versions, max(0, round(observed_s * 1000))
        )
        self._peers.send(sender, answer)

    async def on_answer(self, sender: InstanceId, answer: StreamOriginAnswer) -> None:
        """Record the answer of a peer."""
        ask = self._asks.get(answer.ask)
        if ask is None:
            return
        ask.answers.append(answer)
        if ask.is_decided:
            ask.done.set()

    def _record_announced(self, announced: StreamOrigin) -> KnownOrigin:
        now = trio.current_time()
        left_s = min(announced.left_ms / 1000, MAX_LIFETIME_S)
        origin = KnownOrigin(
            announced.key, announced.upstream, announced.version, now + left_s
        )
        self._table.record(origin, now)
        return origin

    def _announce(
        self, origins: Sequence[KnownOrigin], is_correction: bool = False
    ) -> None:
        """Announce origins to some peers, corrected ones to all.

        A peer that has the version of before would go on with it.
        """
        now = trio.current_time()
        for start in range(0, len(origins), MAX_ORIGINS_PER_MESSAGE):
            part = origins[start : start + MAX_ORIGINS_PER_MESSAGE]
            update = StreamOriginsUpdate(tuple(o.announcement(now) for o in part))
            if is_correction:
                self._peers.broadcast(update)
            else:
                self._peers.forward_update(update, N_KEEPERS)

    # Software versions of the instances.

    @property
    def _lifetime_s(self) -> float:
        """How long callers may resume a stream: as long as their routes let them wait.

        One time for all routes: a version has to stay known for the longest of them.
        """
        cfg = self._state.configuration
        if cfg is not self._lifetime_of:
            self._lifetime_of = cfg
            routes = cfg.routes if cfg else ()
            timeouts = [r.timeout_s for r in routes if r.kind is RepeatKind.STREAM]
            longest_s = max((MIN_LIFETIME_S, *timeouts))
            self._kept_lifetime_s = min(longest_s, MAX_LIFETIME_S)
        return self._kept_lifetime_s

    def _histories_of(self, route: ForwardRoute) -> list[tuple[str, VersionHistory]]:
        now = trio.current_time()
        names = dict.fromkeys(share.upstream for share in route.shares)
        return [
            (name, self._histories.get(name) or VersionHistory(now)) for name in names
        ]

    def _recent(self, route: ForwardRoute, now: float) -> set[tuple[str, str]]:
        """Return the upstreams and versions that can have begun a stream of a route."""
        return {
            (name, version)
            for name, history in self._histories_of(route)
            for version in history.recent(now, self._lifetime_s)
        }

    def _observed_s(self, route: ForwardRoute, now: float) -> float:
        """Return for how long this router has known the versions of a route."""
        return min(now - history.since for _, history in self._histories_of(route))

    def _observe(self) -> None:
        """Record the present versions if the instances have changed.

        Entries are renewed all the time, so only those that are new objects are looked
        at.
        """
        if self._observed_change == self._state.n_engine_changes:
            return
        self._observed_change = self._state.n_engine_changes
        instances = self._state.all_instances()
        present = self._present.copy()
        for instance in instances:
            before = self._entries.get(instance.instance)
            if before is not instance:
                self._replace_entry(before, instance)
        if len(self._entries) > len(instances):
            self._drop_entries_except({instance.instance for instance in instances})
        if +self._present != +present:
            self._observe_versions()

    def _replace_entry(
        self, before: ForwardInstance | None, instance: ForwardInstance
    ) -> None:
        self._entries[instance.instance] = instance
        self._present[instance.upstream, instance.software_version] += 1
        if before is None:
            return
        self._present[before.upstream, before.software_version] -= 1
        if before.software_version != instance.software_version:
            self._correct_streams(before, instance)

    def _correct_streams(
        self, before: ForwardInstance, instance: ForwardInstance
    ) -> None:
        """Correct the streams of an instance that restarted with another version."""
        if not (before.born_ms and instance.born_ms):
            return
        corrected = self._table.correct(
            before.incarnation_key,
            instance.incarnation_key,
            instance.software_version,
            trio.current_time(),
            round(self._wall_clock() * 1000),
        )
        if corrected:
            self._announce(corrected, is_correction=True)

    def _drop_entries_except(self, names: set[str]) -> None:
        """Drop the entries of instances that are gone."""
        for name in [name for name in self._entries if name not in names]:
            gone = self._entries.pop(name)
            self._present[gone.upstream, gone.software_version] -= 1
            self._doubted_revisions.pop(gone.incarnation_key, None)
            self._gone.pop(gone.incarnation_key, None)

    def _observe_versions(self) -> None:
        """Record the present versions; announce own streams if they are mixed now."""
        now = trio.current_time()
        present: dict[str, set[str]] = {name: set() for name in self._histories}
        for upstream, version in +self._present:
            present.setdefault(upstream, set()).add(version)
        for name, versions in present.items():
            history = self._histories.get(name)
            if history is None:
                history = self._histories[name] = VersionHistory(now)
            if history.observe(versions, now, self._lifetime_s):
                eliot.log_message(
                    message_type="upstream:software",
                    upstream=name,
                    versions=sorted(history.recent(now, self._lifetime_s)),
                )
                # Those begun while there was one version were not announced.
                self._announce(self._table.own(name, now))
