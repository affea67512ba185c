"""Simulate placement policies on a few engines, without sockets.

Several routers, each with a policy and a delayed view of its own, place a workload of
nested prefixes on engines that prefill one request at a time and cache pieces in an
LRU. Run it as a script for a table: ``python placement_trial.py [seeds] [policies]``.
"""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.hot_prefix import HotPrefix
from corianderlb_core.identity import Incarnation
from corianderlb_core.instance_load import InstanceLoad, InstanceSet
from corianderlb_core.load import LoadReport
from corianderlb_core.placement import ModelCost, PlacementPolicy, PlacementQuery
from corianderlb_core.placement_registry import POLICIES, make_policy
from corianderlb_core.request import AttemptOutcome, Candidate, RequestFacts
from corianderlb_core.result import ResultCode
from corianderlb_core.settings import PlacementSettings

CLASSES: Final = list(ServiceClass)
UPSTREAM: Final = "ember-llm"


@dataclass(frozen=True)
class Scenario:
    """A workload, the engines and the faults to simulate."""

    name: str = "steady"
    n_engines: int = 5
    n_routers: int = 4
    cache_pieces: int = 128
    rate: float = 14.0
    n_sites: tuple[int, ...] = (12, 8, 3, 3, 3, 3, 3, 3)
    """Sites of each client account; the first two accounts are large."""
    weights: tuple[float, ...] = (6, 4, 1, 1, 1, 1, 1, 1)
    """Relative traffic of each client account."""
    seconds: float = 120.0
    warm_s: float = 30.0
    """Requests that arrive before this are not measured."""
    report_lag_s: float = 0.5
    prefill_s: float = 0.1
    token_s: float = 0.02
    batch_s: float = 10.0
    """Interval at which a site begins a batch; requests are for the newest four."""
    shift_at: float = -1.0
    """When one site of a small account starts to receive half of the traffic."""
    crash_at: float = -1.0
    """When an engine restarts with an empty cache."""


@dataclass(order=True)
class _Job:
    order: tuple[int, int]
    facts: RequestFacts = field(compare=False)
    router: _Router = field(compare=False)
    candidate: Candidate = field(compare=False)
    n_tokens: int = field(compare=False, default=0)
    n_hits: int = field(compare=False, default=0)


class _Engine:
    """Prefill serially by priority, decode in slots, keep an LRU of pieces."""

    N_SLOTS: Final = 8
    BASE_S: Final = 0.005

    def __init__(self, trial: Trial, name: str) -> None:
        self.trial = trial
        self.incarnation = Incarnation(name, 1)
        self.queue: list[_Job] = []
        self.cache: OrderedDict[bytes, None] = OrderedDict()
        self.n_running = 0
        self.busy = False

    def submit(self, job: _Job) -> None:
        heapq.heappush(self.queue, job)
        self.next()

    def next(self) -> None:
        if self.busy or not self.queue or self.n_running >= self.N_SLOTS:
            return
        job = heapq.heappop(self.queue)
        self.busy = True
        self.n_running += 1
        keys = job.facts.prefix_keys
        job.n_hits = self.hits(keys)
        self.trial.at(self.prefill_s(job), lambda: self.prefilled(job))

    def prefilled(self, job: _Job) -> None:
        for key in reversed(job.facts.prefix_keys):
            self.cache[key] = None
            self.cache.move_to_end(key)
        while len(self.cache) > self.trial.scenario.cache_pieces:
            self.cache.popitem(last=False)
        self.busy = False
        self.trial.first_token(self, job)
        self.trial.at(
            job.n_tokens * self.trial.scenario.token_s, lambda: self.done(job)
        )
        self.next()

    def done(self, job: _Job) -> None:
        self.n_running -= 1
        self.trial.done(self, job)
        self.next()

    def hits(self, keys: tuple[bytes, ...]) -> int:
        return sum(1 for _ in itertools.takewhile(self.cache.__contains__, keys))

    def prefill_s(self, job: _Job) -> float:
        n_missing = len(job.facts.prefix_keys) - self.hits(job.facts.prefix_keys)
        return self.BASE_S + n_missing * self.trial.scenario.prefill_s

    def report(self) -> LoadReport:
        queued_s = sum(self.prefill_s(job) for job in self.queue)
        return LoadReport(
            self.incarnation.epoch,
            self.n_running,
            len(self.queue),
            queued_s,
            len(self.cache),
        )


class _Router:
    """A router that places with a policy on its own view."""

    def __init__(self, policy: PlacementPolicy, engines: list[_Engine]) -> None:
        self.policy = policy
        self.engines = engines
        self.rebuild(0)

    def rebuild(self, generation: int) -> None:
        loads = [InstanceLoad(engine.incarnation) for engine in self.engines]
        self.view = InstanceSet.of(UPSTREAM, generation, loads)

    def load_of(self, incarnation: Incarnation) -> InstanceLoad | None:
        load = self.view.by_name[incarnation.instance]
        return load if load.incarnation == incarnation else None


@dataclass
class Result:
    """Measurements of a simulation."""

    n_pieces: int = 0
    n_hits: int = 0
    n_wasted: int = 0
    """Pieces computed although some engine had computed them before."""
    ttft_s: dict[ServiceClass, list[float]] = field(
        default_factory=lambda: {cls: [] for cls in ServiceClass}
    )

    @property
    def hit_rate(self) -> float:
        return self.n_hits / max(1, self.n_pieces)

    @property
    def n_recomputed(self) -> int:
        return self.n_pieces - self.n_hits

    def quantile(self, cls: ServiceClass, share: float) -> float:
        ordered = sorted(self.ttft_s[cls])
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Trial:
    """Simulate one scenario with one policy and one seed."""

    def __init__(self, scenario: Scenario, policy: str, seed: int) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = itertools.count()
        self.engines = [_Engine(self, f"e{i}") for i in range(scenario.n_engines)]
        cfg = PlacementSettings(policy=policy)
        self.routers = [
            _Router(make_policy(cfg, random.Random(seed + i)), self.engines)
            for i in range(scenario.n_routers)
        ]
        self.result = Result()
        self.computed: set[bytes] = set()
        self.cost = ModelCost(scenario.prefill_s)

    def at(self, delay_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._n_events), callback)
        )

    def run(self) -> Result:
        """Run to the end of the scenario and return the measurements."""
        self.arrive()
        self.report()
        self.exchange_heat()
        if self.scenario.crash_at > 0:
            self.at(self.scenario.crash_at, self.crash)
        while self._events and self.now < self.scenario.seconds:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        return self.result

    def crash(self) -> None:
        """Empty an engine's cache; its queue is kept, so that no request is lost."""
        engine = self.engines[0]
        engine.incarnation = Incarnation(
            engine.incarnation.instance, engine.incarnation.epoch + 1
        )
        engine.cache.clear()
        for router in self.routers:
            router.policy.forget(Incarnation(engine.incarnation.instance, 1))
            router.rebuild(1)

    def report(self) -> None:
        made_at = self.now
        for engine in self.engines:
            report = engine.report()
            self.at(
                self.scenario.report_lag_s,
                lambda e=engine, r=report: self.deliver_report(e, r, made_at),
            )
        self.at(0.25, self.report)

    def deliver_report(
        self, engine: _Engine, report: LoadReport, made_at: float
    ) -> None:
        for router in self.routers:
            load = router.view.by_name[engine.incarnation.instance]
            load.apply_report(report, made_at, self.now)

    def exchange_heat(self) -> None:
        """Send each router's hot prefixes to the others, once a second."""
        policies = [router.policy for router in self.routers]
        hot: list[HotPrefix] = []
        for policy in policies:
            hot += policy.hottest(UPSTREAM, 32, self.now)
        for policy in policies:
            policy.merge_hot(UPSTREAM, hot, self.now)
        self.at(1.0, self.exchange_heat)

    def arrive(self) -> None:
        self.at(self.rng.expovariate(self.scenario.rate), self.arrive)
        router = self.rng.choice(self.routers)
        facts = self.make_request()
        query = PlacementQuery(facts, router.view, self.cost, self.now)
        candidate = router.policy.choose(query)[0]
        load = router.load_of(candidate.incarnation)
        load.dispatched(facts.request_id, candidate.work_s, self.now)
        router.policy.dispatched(facts, candidate, self.now)
        engine = next(
            e
            for e in self.engines
            if e.incarnation.instance == candidate.incarnation.instance
        )
        order = (CLASSES.index(facts.service_class), next(self._n_events))
        n_tokens = {0: 10, 1: 25, 2: 50}[order[0]]
        engine.submit(_Job(order, facts, router, candidate, n_tokens))

    def make_request(self) -> RequestFacts:
        rng = self.rng
        shifted = 0 < self.scenario.shift_at <= self.now
        if shifted and rng.random() < 0.5:
            account, site = 7, 2
        else:
            account = rng.choices(range(8), self.scenario.weights)[0]
            n_sites = self.scenario.n_sites[account]
            site = rng.choices(range(n_sites), [1 / (i + 1) for i in range(n_sites)])[0]
        batch = int(self.now / self.scenario.batch_s) - rng.randrange(4)
        levels = [(account,)] * 3 + [(account, site)] * 3 + [(account, site, batch)] * 2
        keys = tuple(
            f"{i}:{level}".encode().ljust(16) for i, level in enumerate(levels)
        )
        service_class = rng.choices(CLASSES, [4, 4, 2])[0]
        return RequestFacts(
            f"r{next(self._n_events)}", f"a{account}", service_class, UPSTREAM,
            UPSTREAM, self.now, self.now + 30, prefix_keys=keys,
        )  # fmt: skip

    def first_token(self, engine: _Engine, job: _Job) -> None:
        incarnation = job.candidate.incarnation
        load = job.router.load_of(incarnation)
        if load is not None:
            waited_s = load.first_token(job.facts.request_id, self.now)
            job.router.policy.first_token(job.facts, waited_s, self.now)
        if job.facts.arrived_at >= self.scenario.warm_s:
            self.result.n_pieces += len(job.facts.prefix_keys)
            self.result.n_hits += job.n_hits
            missing = job.facts.prefix_keys[job.n_hits :]
            self.result.n_wasted += sum(key in self.computed for key in missing)
            ttft_s = self.now - job.facts.arrived_at
            self.result.ttft_s[job.facts.service_class].append(ttft_s)
        self.computed.update(job.facts.prefix_keys)

    def done(self, engine: _Engine, job: _Job) -> None:
        incarnation = job.candidate.incarnation
        load = job.router.load_of(incarnation)
        if load is not None:
            load.finished(job.facts.request_id, self.now)
        outcome = AttemptOutcome(
            incarnation, ResultCode.OK, 0.0, job.n_hits * 10, 85, self.now
        )
        job.router.policy.answered(job.facts, outcome, self.now)


SCENARIOS: Final = (
    Scenario(),
    Scenario("busy", rate=24.0),
    Scenario("skewed", rate=24.0, weights=(20, 4, 1, 1, 1, 1, 1, 1)),
    Scenario("small cache", cache_pieces=64),
    Scenario("large cache", cache_pieces=512),
    Scenario("hot shift", shift_at=60.0, warm_s=60.0),
    Scenario("crash", crash_at=60.0, warm_s=60.0),
    Scenario("reports 2 s late", report_lag_s=2.0),
    Scenario(
        "as in make bench",
        rate=32.0,
        prefill_s=0.05,
        token_s=0.01,
        batch_s=5.0,
        report_lag_s=0.75,
    ),
)


def main() -> None:
    """Print a table of all scenarios and policies, interleaved over seeds."""
    n_seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    policies = sys.argv[2:] or list(POLICIES)
    sys.stdout.write(
        "scenario,policy,hit_rate,recomputed,wasted,urgent p50,p99,all p99\n"
    )
    for scenario in SCENARIOS:
        totals = {name: Result() for name in policies}
        for seed, name in itertools.product(range(n_seeds), policies):
            one = Trial(scenario, name, seed).run()
            total = totals[name]
            total.n_pieces += one.n_pieces
            total.n_hits += one.n_hits
            total.n_wasted += one.n_wasted
            for cls, values in one.ttft_s.items():
                total.ttft_s[cls] += values
        for name, total in totals.items():
            urgent = ServiceClass.URGENT
            all_ttft_s = sorted(sum(total.ttft_s.values(), []))
            sys.stdout.write(
                f"{scenario.name:17}{name:13}{total.hit_rate:.3f}"
                f"{total.n_recomputed:7}{total.n_wasted:7}  "
                f"{total.quantile(urgent, 0.5):.3f} {total.quantile(urgent, 0.99):.3f} "
                f"{all_ttft_s[int(0.99 * len(all_ttft_s))]:.3f}\n"
            )


if __name__ == "__main__":
    main()
