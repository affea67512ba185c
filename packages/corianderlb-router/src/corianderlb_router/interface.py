"""The seams between the router's parts, so that each can be tested by itself.

The data path (dispatch, streams, calls) asks the abstract classes here; the tasks for
shared state implement them. Reads are plain functions that never wait: the data path
works from what is in memory, and a slow store or peer cannot slow a request.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

from corianderlb_core.catalogue import Catalogue
from corianderlb_core.identity import AttemptId, Incarnation, InstanceId, RequestId
from corianderlb_core.load import LoadReport
from corianderlb_core.message import MemberState, Message
from corianderlb_core.request import (
    AttemptOutcome,
    Candidate,
    Decision,
    Refusal,
    RequestFacts,
)


@dataclass(frozen=True)
class InForce:
    """Hold the catalogue that this router decides under."""

    catalogue: Catalogue
    since: str
    """When it came into force here, ISO 8601 in UTC."""
    confirmed_at: float
    """Router's clock when the store or a peer last confirmed that it is the newest."""


class CatalogueSource(ABC):
    """Give the catalogue in force; its version never goes down."""

    @abstractmethod
    def current(self) -> InForce | None:
        """Return what is in force, or None before the first catalogue arrived."""

    def is_stale(self) -> bool:
        """Tell whether what is in force may have been replaced too long ago."""
        return False


@dataclass(frozen=True)
class UpstreamInstance:
    """Hold what is known here about one instance of an upstream."""

    instance: InstanceId
    upstream: str
    """Catalogue name of the upstream."""
    address: str
    zone: str
    epoch: int
    """Of the newest life heard of; 0 before the first word from it."""
    usable: bool
    """False while it leaves, is retired after failures, or is out of the list."""
    report: LoadReport | None
    """The newest load report of this life."""
    reported_at: float
    """Router's clock at the time the report was made."""


class UpstreamDirectory(ABC):
    """Know the instances of the upstreams; what is leaving stays leaving."""

    @abstractmethod
    def instances(self, upstream: str) -> Sequence[UpstreamInstance]:
        """Return the instances of an upstream, usable or not."""

    @abstractmethod
    def observe_epoch(self, instance: InstanceId, epoch: int) -> None:
        """Take note of the epoch in an answer; a newer one drops the old knowledge."""

    @abstractmethod
    def mark_leaving(self, instance: InstanceId, epoch: int) -> None:
        """Stop new work to this life of the instance, and tell the peers."""

    @abstractmethod
    def set_retired(self, instance: InstanceId, retired: bool) -> None:
        """Make an instance unusable after failures, or usable again once proved."""


class Placer(ABC):
    """Choose upstream instances for requests, from what is in memory."""

    @abstractmethod
    def place(
        self,
        facts: RequestFacts,
        catalogue: Catalogue,
        avoid: Collection[InstanceId] = (),
    ) -> Decision | Refusal:
        """Return the candidates, best first, without those to avoid.

        A plain service is placed here too. The refusal is ``NO_UPSTREAM`` when no
        usable instance is left.
        """

    @abstractmethod
    def attempt_started(self, facts: RequestFacts, candidate: Candidate) -> None:
        """Count an attempt that is about to be sent."""

    def first_token(self, facts: RequestFacts, incarnation: Incarnation) -> None:
        """Learn that the first token came, so that the request left the queue."""

    def imported(self, facts: RequestFacts, n_asked: int, n_imported: int) -> None:
        """Learn how many of the pieces an import order brought."""

    @abstractmethod
    def attempt_ended(self, facts: RequestFacts, outcome: AttemptOutcome) -> None:
        """Take back the count and learn from how the attempt went."""


Handler: TypeAlias = Callable[[InstanceId, Any], Awaitable[None]]
"""Takes the sending peer and the message."""


class PeerNetwork(ABC):
    """Exchange messages with other routers; delivery is best effort."""

    @abstractmethod
    def subscribe(self, cls: type, handler: Handler) -> None:
        """Have a handler called for each arriving message of a class."""

    @abstractmethod
    def send(self, peer: InstanceId, message: Message) -> bool:
        """Queue a message to a peer; False when there is no way to it now."""

    @abstractmethod
    def broadcast(self, message: Message) -> int:
        """Queue a message to the connected peers; return how many."""

    def pass_on(self, message: Message) -> int:
        """Queue news that a peer told to those that may not have them; return how
        many."""
        return self.broadcast(message)

    @abstractmethod
    def members(self) -> Sequence[MemberState]:
        """Return the routers thought to be live, this one included."""

    def reach(self) -> float:
        """Return the part of the other routers whose broadcasts arrive here."""
        return 1.0


class Slot(ABC):
    """Hold a request's place in the limits until it is released."""

    @abstractmethod
    def release(self, used_tokens: int) -> None:
        """Give the place back and settle the tokens; a second call does nothing."""


class Admission(ABC):
    """Hold the limits and the waiting of requests."""

    @abstractmethod
    async def admit(self, facts: RequestFacts) -> Slot | Refusal:
        """Return a slot when it is the request's turn, or a refusal at once."""


@dataclass(frozen=True)
class CallAnswer:
    """Hold the whole answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class BegunCall:
    """Tell that this attempt alone may run the call."""

    attempt_id: AttemptId
    key: bytes = b""
    """The journal's key of the call."""
    send_before: float = math.inf
    """Router's clock. The first byte leaves before this or never: a router that was
    paused longer abandons the call as not run, since its record may be gone."""


@dataclass(frozen=True)
class EarlierAnswer:
    """Tell that the call ran before, with this answer."""

    answer: CallAnswer


class CallJournal(ABC):
    """Let a non-repeatable call run at most once over all routers."""

    @abstractmethod
    async def begin(
        self, facts: RequestFacts, key: str
    ) -> BegunCall | EarlierAnswer | Refusal:
        """Record the call before its first byte goes upstream.

        Only ``BegunCall`` allows sending. A refusal carries the true code: not run,
        in progress, outcome unknown, or the key was used with another body. The
        request's ``body_digest`` has to cover method, path and body.
        """

    @abstractmethod
    async def finish(self, call: BegunCall, answer: CallAnswer) -> None:
        """Record the answer, so that a repeat gets it."""

    @abstractmethod
    async def abandon(self, call: BegunCall, ran: bool) -> None:
        """Record that no answer came: never started, or outcome unknown."""


class Quarantine(ABC):
    """Refuse requests that crash upstreams, over all routers."""

    @abstractmethod
    def check(self, facts: RequestFacts) -> Refusal | None:
        """Return a refusal when the request crashed too many upstreams."""

    @abstractmethod
    def must_run_apart(self, facts: RequestFacts) -> bool:
        """Tell whether the request is a suspect that must not share an instance."""

    @abstractmethod
    def rank(self, facts: RequestFacts) -> int:
        """Return the place of a suspect among all, the same on all routers."""

    @abstractmethod
    def report_crash(
        self, instance: InstanceId, epoch: int, suspects: Sequence[bytes]
    ) -> None:
        """Count a crash against the body digests that were in flight there."""

    @abstractmethod
    def report_success(self, request_id: RequestId, body_digest: bytes) -> None:
        """Clear a suspect that ran to its end."""
