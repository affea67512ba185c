"""Probes of the cost of decisions, catalogue, prefix keys and messages.

The probes run a router's own code within this process. Times are CPU time, and the
minimum of several rounds, because other load on the machine only adds to them.
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
"""Number of rounds; the fastest is reported."""

US_PER_S: Final = 1e6
"""Microseconds per second."""

PIECE_CHARS: Final = 4000
"""Characters per piece."""


def min_cpu_us(operation: Callable[[], object], n_calls: int) -> float:
    """Return the minimum CPU time per call over several rounds, in microseconds."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(n_calls):
            operation()
        best = min(best, time.process_time() - started)
    return best / n_calls * US_PER_S


def allocated_bytes(make: Callable[[], object]) -> float:
    """Return the bytes that the result of ``make`` keeps allocated."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        retained = make()
        after, _ = tracemalloc.get_traced_memory()
        del retained
        return float(after - before)
    finally:
        tracemalloc.stop()


class PlacementProbe(Probe):
    """CPU time of a decision of the default policy, by instances of the upstream."""

    name: ClassVar[str] = "placement decision"
    x_unit: ClassVar[str] = "upstream instances"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (5, 50, 133, 930)

    async def measure(self, size: int) -> float:
        """Return the CPU time of one decision in microseconds."""
        rng = random.Random(7)
        policy = make_policy(PlacementSettings(), rng)
        instances = _instances(size)
        queries = [_query(instances, n) for n in range(64)]
        return min_cpu_us(lambda: _decide(policy, rng.choice(queries)), 200)


class PrefixProbe(Probe):
    """CPU time to compute the prefix keys of a prompt."""

    name: ClassVar[str] = "prefix keys of a prompt"
    x_unit: ClassVar[str] = "pieces"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (1, 4, 16, 64)

    async def measure(self, size: int) -> float:
        """Return the CPU time for one prompt in microseconds."""
        text = "kiln log " * (size * PIECE_CHARS // 9 + 1)
        scope = PrefixScope("salt", "w1")
        return min_cpu_us(lambda: prefix_keys(text, scope, PIECE_CHARS), 50)


class CatalogueMemoryProbe(Probe):
    """Memory of a catalogue."""

    name: ClassVar[str] = "catalogue in memory"
    x_unit: ClassVar[str] = "entries"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (50, 250, 1000)

    async def measure(self, size: int) -> float:
        """Return the bytes that the catalogue keeps allocated."""
        return allocated_bytes(lambda: _catalogue(size))


class ChangeProbe(Probe):
    """CPU time to apply one change to a catalogue."""

    name: ClassVar[str] = "applying a change"
    x_unit: ClassVar[str] = "entries"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (50, 250, 1000)

    async def measure(self, size: int) -> float:
        """Return the CPU time of one change in microseconds."""
        catalogue = _catalogue(size)
        change = a_change(catalogue.version + 1, an_account("changed"))
        return min_cpu_us(lambda: apply_change(catalogue, change), 100)


class HeartbeatBytesProbe(Probe):
    """Size of a heartbeat frame, by the member states that it carries."""

    name: ClassVar[str] = "heartbeat frame"
    x_unit: ClassVar[str] = "members"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (1, 10, 100)

    async def measure(self, size: int) -> float:
        """Return the bytes of the frame."""
        return float(len(encode(_heartbeat(size))))


class HeartbeatTimeProbe(Probe):
    """CPU time to encode and decode a heartbeat."""

    name: ClassVar[str] = "heartbeat, written and read"
    x_unit: ClassVar[str] = "members"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (1, 10, 100)

    async def measure(self, size: int) -> float:
        """Return the CPU time of both in microseconds."""
        heartbeat = _heartbeat(size)
        return min_cpu_us(lambda: decode(encode(heartbeat)), 100)


class JournalBytesProbe(Probe):
    """Size of a journal shard's head, by its records, with short answers."""

    name: ClassVar[str] = "journal shard head"
    x_unit: ClassVar[str] = "records"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (10, 100, 400)

    async def measure(self, size: int) -> float:
        """Return the bytes of the stored object."""
        return float(len(to_cbor(ShardHead(tuple(map(_record, range(size)))))))


class VectorBytesProbe(Probe):
    """Size of a load vector frame, by the upstream instances of the region."""

    name: ClassVar[str] = "load vector frame"
    x_unit: ClassVar[str] = "upstream instances"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (120, 465, 930)

    async def measure(self, size: int) -> float:
        """Return the bytes of the frame."""
        return float(len(encode(_vector(size))))


class VectorTimeProbe(Probe):
    """CPU time to pack, encode, decode and unpack a load vector."""

    name: ClassVar[str] = "load vector, written and read"
    x_unit: ClassVar[str] = "upstream instances"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (120, 465, 930)

    async def measure(self, size: int) -> float:
        """Return the CPU time of all four steps in microseconds."""

        def operation() -> None:
            message = decode(encode(_vector(size)))
            assert isinstance(message, LoadVector)
            load_vector.unpack(message.packed, size)

        return min_cpu_us(operation, 20)


class GrantBytesProbe(Probe):
    """Size of grant requests and their answers, by entries with limits."""

    name: ClassVar[str] = "grants asked and answered"
    x_unit: ClassVar[str] = "entries"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (1, 10, 100)

    async def measure(self, size: int) -> float:
        """Return the total bytes of all frames."""
        return float(sum(_grant_bytes(n) for n in range(size)))


class MemberMemoryProbe(Probe):
    """Memory of the member states of routers."""

    name: ClassVar[str] = "members in memory"
    x_unit: ClassVar[str] = "routers"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (10, 100, 410)

    async def measure(self, size: int) -> float:
        """Return the bytes that the members' states keep allocated."""
        return allocated_bytes(lambda: [_member(n) for n in range(size)])


class InstanceMemoryProbe(Probe):
    """Memory of the loads of upstream instances."""

    name: ClassVar[str] = "upstream instances in memory"
    x_unit: ClassVar[str] = "upstream instances"
    y_unit: ClassVar[str] = "bytes"
    sizes: ClassVar[tuple[int, ...]] = (10, 100, 930)

    async def measure(self, size: int) -> float:
        """Return the bytes that the instances' loads keep allocated."""
        return allocated_bytes(lambda: _instances(size))


class DecisionMemoryProbe(Probe):
    """Memory of the decision reports that a router keeps for operators."""

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
"""All probes of this module; they run within this process."""


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
    grant_request = GrantRequest(
        entry, InstanceId("router-1"), 2.5, 900.0, 3, 2, n, 0.0
    )
    grant = Grant(entry, 2.5, 900.0, 3, 3.0, n, 0.0)
    return len(encode(grant_request)) + len(encode(grant))


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
