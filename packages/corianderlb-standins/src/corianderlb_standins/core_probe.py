"""Probes of costs inside one process: decisions, catalogue, keys and messages.

Each measures the very code that a router runs. Times are processor time of this
process, the least of several rounds, since anything else the machine does only adds.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable
from typing import ClassVar, Final

from corianderlb_core import load_vector
from corianderlb_core.catalogue import Catalogue, ServiceClass, key_of
from corianderlb_core.change import apply_change
from corianderlb_core.codec import to_cbor
from corianderlb_core.identity import (
    AccountId,
    AttemptId,
    Incarnation,
    InstanceId,
    Presence,
    RequestId,
)
from corianderlb_core.instance_load import InstanceLoad, InstanceSet
from corianderlb_core.journal import CallRecord, CallState, ShardHead, StoredAnswer
from corianderlb_core.load import LoadReport
from corianderlb_core.load_vector import LoadSample
from corianderlb_core.message import (
    Grant,
    GrantRequest,
    Heartbeat,
    LoadVector,
    MemberState,
    decode,
    encode,
)
from corianderlb_core.placement import (
    N_CANDIDATES,
    ModelCost,
    PlacementPolicy,
    PlacementQuery,
)
from corianderlb_core.placement_registry import make_policy
from corianderlb_core.prefix import PrefixScope, prefix_keys
from corianderlb_core.request import RequestFacts
from corianderlb_core.settings import PlacementSettings
from corianderlb_core.status import (
    AttemptReport,
    CandidateReport,
    DecisionReport,
    EntryReference,
)

from .builder import a_change, an_account
from .slope import Probe

ROUNDS: Final = 5
"""Rounds of which the quickest counts."""

MICRO: Final = 1e6
"""Microseconds in a second."""

PIECE_CHARS: Final = 4000
"""Characters of one piece of a prompt."""


def least_us(work: Callable[[], object], n_calls: int) -> float:
    """Return the least processor time of a call over several rounds, in us."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(n_calls):
            work()
        best = min(best, time.process_time() - started)
    return best / n_calls * MICRO


def allocated_bytes(make: Callable[[], object]) -> float:
    """Return the bytes that what ``make`` returns keeps allocated."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = make()
        after, _ = tracemalloc.get_traced_memory()
        del kept
        return float(after - before)
    finally:
        tracemalloc.stop()


class PlacementProbe(Probe):
    """Time one decision of the default policy against the instances of an upstream."""

    name: ClassVar[str] = "placement decision"
    x_unit: ClassVar[str] = "upstream instances"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (5, 50, 133, 930)

    async def measure(self, size: int) -> float:
        """Return the processor time of a decision in microseconds."""
        rng = random.Random(7)
        policy = make_policy(PlacementSettings(), rng)
        instances = _instances(size)
        queries = [_query(instances, n) for n in range(64)]
        return least_us(lambda: _decide(policy, rng.choice(queries)), 200)


class PrefixProbe(Probe):
    """Time the keys of a prompt's prefixes."""

    name: ClassVar[str] = "prefix keys of a prompt"
    x_unit: ClassVar[str] = "pieces"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (1, 4, 16, 64)

    async def measure(self, size: int) -> float:
        """Return the processor time for one prompt in microseconds."""
        text = "kiln log " * (size * PIECE_CHARS // 9 + 1)
        scope = PrefixScope("salt", "w1")
        return least_us(lambda: prefix_keys(text, scope, PIECE_CHARS), 50)


class CatalogueMemoryProbe(Probe):
    """Weigh a catalogue in memory."""

    name: ClassVar[str] = "catalogue in memory"
    x_unit: ClassVar[str] = "entries"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (50, 250, 1000)

    async def measure(self, size: int) -> float:
        """Return the bytes that the catalogue keeps allocated."""
        return allocated_bytes(lambda: _catalogue(size))


class ChangeProbe(Probe):
    """Time the application of one change to a catalogue."""

    name: ClassVar[str] = "applying a change"
    x_unit: ClassVar[str] = "entries"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (50, 250, 1000)

    async def measure(self, size: int) -> float:
        """Return the processor time of one change in microseconds."""
        catalogue = _catalogue(size)
        change = a_change(catalogue.version + 1, an_account("changed"))
        return least_us(lambda: apply_change(catalogue, change), 100)


class HeartbeatBytesProbe(Probe):
    """Weigh a heartbeat by the members whose state it carries."""

    name: ClassVar[str] = "heartbeat frame"
    x_unit: ClassVar[str] = "members"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (1, 10, 100)

    async def measure(self, size: int) -> float:
        """Return the bytes of the frame."""
        return float(len(encode(_heartbeat(size))))


class HeartbeatTimeProbe(Probe):
    """Time writing and reading a heartbeat."""

    name: ClassVar[str] = "heartbeat, written and read"
    x_unit: ClassVar[str] = "members"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (1, 10, 100)

    async def measure(self, size: int) -> float:
        """Return the processor time of both in microseconds."""
        heartbeat = _heartbeat(size)
        return least_us(lambda: decode(encode(heartbeat)), 100)


class JournalBytesProbe(Probe):
    """Weigh the head of a journal shard by its records, with short answers."""

    name: ClassVar[str] = "journal shard head"
    x_unit: ClassVar[str] = "records"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (10, 100, 400)

    async def measure(self, size: int) -> float:
        """Return the bytes of the object in the store."""
        return float(len(to_cbor(ShardHead(tuple(map(_record, range(size)))))))


class VectorBytesProbe(Probe):
    """Weigh a load vector by the upstream instances of the region."""

    name: ClassVar[str] = "load vector frame"
    x_unit: ClassVar[str] = "upstream instances"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (120, 465, 930)

    async def measure(self, size: int) -> float:
        """Return the bytes of the frame."""
        return float(len(encode(_vector(size))))


class VectorTimeProbe(Probe):
    """Time packing, writing, reading and unpacking a load vector."""

    name: ClassVar[str] = "load vector, written and read"
    x_unit: ClassVar[str] = "upstream instances"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (120, 465, 930)

    async def measure(self, size: int) -> float:
        """Return the processor time of all four in microseconds."""

        def work() -> None:
            message = decode(encode(_vector(size)))
            assert isinstance(message, LoadVector)
            load_vector.unpack(message.packed, size)

        return least_us(work, 20)


class GrantBytesProbe(Probe):
    """Weigh the exchange of a grant, question and answer, by limited entries."""

    name: ClassVar[str] = "grants asked and answered"
    x_unit: ClassVar[str] = "entries"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (1, 10, 100)

    async def measure(self, size: int) -> float:
        """Return the bytes of all frames."""
        return float(sum(_grant_bytes(n) for n in range(size)))


class MemberMemoryProbe(Probe):
    """Weigh the table of routers in memory."""

    name: ClassVar[str] = "members in memory"
    x_unit: ClassVar[str] = "routers"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (10, 100, 410)

    async def measure(self, size: int) -> float:
        """Return the bytes that the members' states keep allocated."""
        return allocated_bytes(lambda: [_member(n) for n in range(size)])


class InstanceMemoryProbe(Probe):
    """Weigh what a router keeps of upstream instances."""

    name: ClassVar[str] = "upstream instances in memory"
    x_unit: ClassVar[str] = "upstream instances"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (10, 100, 930)

    async def measure(self, size: int) -> float:
        """Return the bytes that the instances' loads keep allocated."""
        return allocated_bytes(lambda: _instances(size))


class DecisionMemoryProbe(Probe):
    """Weigh the decisions that a router keeps for explanations."""

    name: ClassVar[str] = "decisions in memory"
    x_unit: ClassVar[str] = "decisions"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (100, 500, 2000)

    async def measure(self, size: int) -> float:
        """Return the bytes that the reports keep allocated."""
        return allocated_bytes(lambda: [_report(n) for n in range(size)])


CORE_PROBES: Final[tuple[Probe, ...]] = (
    PlacementProbe(),
    PrefixProbe(),
    CatalogueMemoryProbe(),
    ChangeProbe(),
    HeartbeatBytesProbe(),
    HeartbeatTimeProbe(),
    JournalBytesProbe(),
    VectorBytesProbe(),
    VectorTimeProbe(),
    GrantBytesProbe(),
    MemberMemoryProbe(),
    InstanceMemoryProbe(),
    DecisionMemoryProbe(),
)
"""All probes that need no other process."""


def _decide(policy: PlacementPolicy, query: PlacementQuery) -> None:
    candidates = policy.choose(query)
    policy.dispatched(query.facts, candidates[0], query.now)


def _instances(n_instances: int) -> InstanceSet:
    loads = []
    for n in range(n_instances):
        load = InstanceLoad(Incarnation(InstanceId(f"ember-llm-{n}"), 1), "pnw-a")
        report = LoadReport(epoch=1, n_running=n % 7, queued_prefill_s=n % 5 / 10)
        load.apply_report(report, 0.0, 0.0)
        loads.append(load)
    return InstanceSet.of("ember-llm", 1, loads)


def _query(instances: InstanceSet, n: int) -> PlacementQuery:
    text = f"customer {n % 8} " * 400 + f"site {n % 16} " * 400 + f"batch {n} " * 400
    facts = RequestFacts(
        request_id=RequestId(f"req-{n}"),
        account=AccountId("northwest-charcoal"),
        service_class=ServiceClass.URGENT,
        target="ember-llm",
        upstream="ember-llm",
        arrived_at=0.0,
        deadline=60.0,
        prefix_keys=prefix_keys(text, PrefixScope("salt", "w1"), PIECE_CHARS),
    )
    return PlacementQuery(facts, instances, ModelCost(0.1, 0.02), now=1.0)


def _catalogue(n_entries: int) -> Catalogue:
    entries = [an_account(f"account-{n}") for n in range(n_entries)]
    return Catalogue(
        1,
        {key_of(entry): entry for entry in entries},
        {key_of(entry): 1 for entry in entries},
    )


def _heartbeat(n_members: int) -> Heartbeat:
    return Heartbeat(1, 1600, tuple(_member(n) for n in range(n_members)))


def _member(n: int) -> MemberState:
    return MemberState(
        instance=InstanceId(f"router-{n}"),
        epoch=1_790_000_000_000 + n,
        heartbeat=n,
        presence=Presence.LIVE,
        zone="pnw-a",
        region="pnw",
        address=f"10.0.0.{n}:8080",
        peer_address=f"10.0.0.{n}:8081",
        catalogue_version=1600,
        in_force_since="2026-01-01T00:00:00Z",
    )


def _vector(n_instances: int) -> LoadVector:
    samples = [LoadSample(n, n % 7 / 10, n % 9, n % 5 / 2) for n in range(n_instances)]
    return LoadVector(1 << 60, load_vector.pack(samples))


def _grant_bytes(n: int) -> int:
    entry = f"account/northwest-charcoal-{n}"
    question = GrantRequest(entry, InstanceId("router-1"), 2.5, 900.0, 3, 2, n, 0.0)
    answer = Grant(entry, 2.5, 900.0, 3, 3.0, n, 0.0)
    return len(encode(question)) + len(encode(answer))


def _report(n: int) -> DecisionReport:
    candidates = tuple(
        CandidateReport(f"ember-llm-{m}", 1, m, 0, 0.1, "home of the first 9 pieces")
        for m in range(N_CANDIDATES)
    )
    names = ("account/a", "model/ember-llm", "upstream/ember-llm")
    return DecisionReport(
        decision_id=f"router-1-{n:032x}",
        request_id=f"{n:032x}",
        account="northwest-charcoal",
        target="ember-llm",
        service_class="urgent",
        catalogue_version=n,
        policy="default",
        at=f"2026-01-01T00:00:00.{n:06d}+00:00",
        candidates=candidates,
        attempts=(AttemptReport(f"{n:032x}.1", "ember-llm-1", 1, 0, 0.001, 1.0),),
        rested_on=tuple(EntryReference(name, "team", 1) for name in names),
    )


def _record(n: int) -> CallRecord:
    return CallRecord(
        key=n.to_bytes(16, "big"),
        digest=n.to_bytes(16, "big"),
        attempt_id=AttemptId(f"{n:032x}"),
        router=InstanceId("router-1"),
        epoch=1_790_000_000_000,
        begun_at=1_790_000_000.0,
        state=CallState.FINISHED,
        answer=StoredAnswer(200, (("content-type", "application/json"),), b"x" * 60),
    )
