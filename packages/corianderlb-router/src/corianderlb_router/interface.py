"""Interfaces between the router's components, so that each can be tested alone.

The data path (dispatch, streams, calls) uses these abstract classes; the tasks that
maintain shared state implement them. Reads are synchronous and served from memory, so
that a slow store or peer cannot delay a request.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Collection, Sequence
from typing import TYPE_CHECKING, Any, Final, TypeAlias

from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import (
    AttemptId,
    Incarnation,
    InstanceId,
    Presence,
    RequestId,
)
from corianderlb_core.message import MemberState, Message
from corianderlb_core.request import (
    AttemptOutcome,
    Candidate,
    Decision,
    Refusal,
    RequestFacts,
)

if TYPE_CHECKING:
    from corianderlb_core.catalogue import Catalogue
    from corianderlb_core.load import LoadReport


@dataclass(frozen=True)
class CatalogueInForce:
    """Catalogue in force on this router."""

    catalogue: Catalogue
    since: str
    """When it came into force on this router, ISO 8601 in UTC."""
    confirmed_at: float
    """When the store or a peer last confirmed it as newest, on the router's clock."""


class CatalogueSource(ABC):
    """Source of the catalogue in force; its version never decreases."""

    @abstractmethod
    def current(self) -> CatalogueInForce | None:
        """Return the catalogue in force, or None before the first one arrives."""

    def is_stale(self) -> bool:
        """Return whether the catalogue was last confirmed too long ago to be used."""
        return False


@dataclass(frozen=True)
class UpstreamInstance:
    """State of one upstream instance as seen by this router."""

    instance: InstanceId
    upstream: str
    """Catalogue name of the upstream."""
    address: str
    zone: str
    epoch: int
    """Epoch of the newest known incarnation; 0 if unknown."""
    usable: bool
    """False while it drains, is retired after failures, or is not listed."""
    report: LoadReport | None
    """Newest load report of this incarnation."""
    reported_at: float
    """When the report was made, on the router's clock."""


class UpstreamDirectory(ABC):
    """Directory of upstream instances; a draining incarnation stays draining."""

    @abstractmethod
    def instances(self, upstream: str) -> Sequence[UpstreamInstance]:
        """Return the instances of an upstream, usable or not."""

    @abstractmethod
    def observe_epoch(self, instance: InstanceId, epoch: int) -> None:
        """Record the epoch of an answer; a newer one discards the earlier state."""

    @abstractmethod
    def mark_leaving(self, instance: InstanceId, epoch: int) -> None:
        """Mark this incarnation as draining and announce it to the peers."""

    @abstractmethod
    def record_rest(self, instance: InstanceId, rest_s: float) -> None:
        """Send an instance nothing for a time; 0 for none."""

    @abstractmethod
    def set_retired(self, instance: InstanceId, retired: bool) -> None:
        """Make an instance unusable after failures, or usable after passing probes."""


class Placer(ABC):
    """Chooses upstream instances for requests from in-memory state."""

    @abstractmethod
    def place(
        self,
        facts: RequestFacts,
        catalogue: Catalogue,
        avoid: Collection[InstanceId] = (),
    ) -> Decision | Refusal:
        """Return the candidates, best first, except those in ``avoid``.

        Also places calls of plain services. Refuses with ``NO_UPSTREAM`` when no
        instance is usable.
        """

    @abstractmethod
    def attempt_started(self, facts: RequestFacts, candidate: Candidate) -> None:
        """Count an attempt that is about to be sent."""

    def first_token(self, facts: RequestFacts, incarnation: Incarnation) -> None:
        """Record the first token, which shows that the request left the queue."""

    def imported(self, facts: RequestFacts, n_asked: int, n_imported: int) -> None:
        """Record how many of the requested pieces an engine imported."""

    @abstractmethod
    def attempt_ended(self, facts: RequestFacts, outcome: AttemptOutcome) -> None:
        """Release the attempt's load and learn from its outcome."""


N_FORWARDS: Final = 4
"""Peers to which a router forwards an update. With four copies from each, a router that
was left out by the origin stays so in 1 of 50 cases. Forwarded to all of 30 peers, one
announcement of an engine's weights took 930 messages."""

Handler: TypeAlias = Callable[[InstanceId, Any], Awaitable[None]]
"""Called with the sending peer and the message."""


class PeerNetwork(ABC):
    """Messaging between routers; delivery is best effort."""

    @abstractmethod
    def subscribe(self, cls: type, handler: Handler) -> None:
        """Register a handler for received messages of a class."""

    @abstractmethod
    def send(self, peer: InstanceId, message: Message) -> bool:
        """Queue a message to a peer; return False if the peer is unreachable."""

    @abstractmethod
    def broadcast(self, message: Message) -> int:
        """Queue a message to all connected peers; return their number."""

    def broadcast_later(self, message: Message) -> int:
        """Queue a message that may wait for another one, to leave in the same write.

        It waits for about a heartbeat interval at most.
        """
        return self.broadcast(message)

    def forward_update(self, message: Message, n_peers: int = N_FORWARDS) -> int:
        """Queue a peer's update to some peers that may lack it; return their number."""
        return self.broadcast(message)

    @property
    def last_broadcast_at(self) -> float:
        """When a message was last queued to all peers, on the router's clock."""
        return -math.inf

    @abstractmethod
    def members(self) -> Sequence[MemberState]:
        """Return the routers believed to be live, including this one."""

    @property
    def own(self) -> InstanceId:
        """Name of this router."""
        raise NotImplementedError

    def n_members(self) -> int:
        """Return the number of members."""
        return len(self.members())

    def n_known(self) -> int:
        """Return the number of members and of routers that are listed to run."""
        return self.n_members()

    def n_live(self) -> int:
        """Return the number of members that are not leaving."""
        return sum(state.presence is Presence.LIVE for state in self.members())

    def has_live_peers(self) -> bool:
        """Return whether another router is known that is live and not leaving."""
        return any(
            state.presence is Presence.LIVE and state.instance != self.own
            for state in self.members()
        )

    def n_running(self) -> int:
        """Return the number of routers that may be running, reachable or not."""
        return self.n_members()

    def n_sharing(self) -> int:
        """Return the number of routers that may use a part of an allowance."""
        return self.n_running()

    def running_names(self) -> tuple[InstanceId, ...]:
        """Return the routers that may be running, with this one, in order."""
        return tuple(sorted(state.instance for state in self.members()))

    def has_met_peers(self) -> bool:
        """Return whether another router was ever heard."""
        return True

    def has_list(self) -> bool:
        """Return whether the store's list of routers was ever read."""
        return True

    def heard_share(self, within_s: float) -> float:
        """Return the fraction of the other running routers that are heard.

        A link on which nothing arrived for ``within_s`` counts as not heard.
        """
        return 1.0

    def reach(self) -> float:
        """Return the fraction of the other routers whose broadcasts arrive here."""
        return 1.0


class Slot(ABC):
    """An admitted request's share of the limits, held until released."""

    @abstractmethod
    def release(self, used_tokens: int) -> None:
        """Release the slot and charge the tokens used; later calls have no effect."""


class Admission(ABC):
    """Admission control: enforces limits and queues requests."""

    @abstractmethod
    async def admit(self, facts: RequestFacts) -> Slot | Refusal:
        """Wait for a slot, or refuse immediately."""


@dataclass(frozen=True)
class CallAnswer:
    """Complete answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class BegunCall:
    """Exclusive permission to run a call."""

    attempt_id: AttemptId
    key: bytes = b""
    """Key of the call in the journal."""
    send_before: float = math.inf
    """Latest time to send the first byte, on the router's clock. A router paused for
    longer abandons the call as not run, since its journal record may have expired."""


@dataclass(frozen=True)
class RecordedAnswer:
    """Recorded answer of a call that ran before."""

    answer: CallAnswer


class CallJournal(ABC):
    """Ensures that a non-repeatable call runs at most once over all routers."""

    @abstractmethod
    async def begin(
        self, facts: RequestFacts, key: str
    ) -> BegunCall | RecordedAnswer | Refusal:
        """Record the call before its first byte is sent upstream.

        Only ``BegunCall`` permits sending. The code of a refusal says whether the call
        did not run, is in progress, has an unknown outcome, or reuses a key with
        another body. ``facts.body_digest`` must cover method, path and body.
        """

    @abstractmethod
    async def finish(self, call: BegunCall, answer: CallAnswer) -> None:
        """Record the answer, to be replayed to repeated calls."""

    @abstractmethod
    async def abandon(self, call: BegunCall, ran: bool) -> None:
        """Record a call without an answer; ``ran`` if its outcome is unknown."""


class Quarantine(ABC):
    """Refuses requests that crash upstreams, shared by all routers."""

    @abstractmethod
    def check(self, facts: RequestFacts) -> Refusal | None:
        """Return a refusal when the request crashed too many upstreams."""

    @abstractmethod
    def must_run_alone(self, facts: RequestFacts) -> bool:
        """Return whether the request is a suspect that must not share an instance."""

    @abstractmethod
    def rank(self, facts: RequestFacts) -> int:
        """Return the rank of a suspect among all suspects, equal on all routers."""

    @abstractmethod
    def report_crash(
        self, instance: InstanceId, epoch: int, suspects: Sequence[bytes]
    ) -> None:
        """Count a crash against the body digests that were in flight there."""

    @abstractmethod
    def report_success(self, request_id: RequestId, body_digest: bytes) -> None:
        """Clear a suspect that completed."""
