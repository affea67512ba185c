"""A fleet of usage ledgers on a virtual clock, under traffic and faults."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from corianderlb_core.identity import InstanceId
from corianderlb_core.membership import sampled_share
from corianderlb_core.message import AccountUsage
from corianderlb_core.usage_cap import UsageCap, UsageTerms, UsageUnit
from corianderlb_core.usage_ledger import UsageLedger

STEP_S = 0.01
ALIVE_S = 0.25
"""Interval of empty announcements while accounts are active."""
HEARD_WITHIN_S = 0.5
SUSPECTED_AFTER_S = 2.5
N_FORWARDS = 2
ACCOUNT = "acme"

TERMS = UsageTerms(window_s=8.0, overshoot=0.1, slack=140_000.0)
LARGE = UsageCap(310_000.0, 310_000.0, UsageUnit.TOKENS, 200.0)
SMALL = UsageCap(36_000.0, 36_000.0, UsageUnit.TOKENS, 200.0)


@dataclass
class Router:
    """One router: its ledger, its links, and what it has heard."""

    index: int
    ledger: UsageLedger
    links: tuple[int, ...]
    heard_at: dict[int, float] = field(default_factory=dict)
    sent_at: float = -1.0
    resumes_at: float = 0.0
    inbox: deque[tuple[float, int, tuple[AccountUsage, ...]]] = field(
        default_factory=deque
    )


class UsageFleet:
    """Routers that announce what they run of one account; counts what was run."""

    def __init__(
        self,
        cap: UsageCap,
        n_routers: int = 25,
        n_links: int = 16,
        seed: int = 1,
        delay_s: float = 0.02,
        terms: UsageTerms = TERMS,
    ) -> None:
        self.cap = cap
        self.terms = terms
        self.n_routers = n_routers
        self.account = ACCOUNT
        self.now = 0.0
        self.rng = random.Random(seed)
        self.delay_s = delay_s
        self.n_messages = 0
        self.n_entries = 0
        self.runs: list[tuple[float, float]] = []
        self.asked: list[tuple[float, float]] = []
        self._groups: Callable[[int], int] = lambda _: 0
        self._grouped_at = 0.0
        self._epoch = 0
        links: list[set[int]] = [set() for _ in range(n_routers)]
        for index in range(n_routers):
            others = [other for other in range(n_routers) if other != index]
            for other in self.rng.sample(others, min(n_links // 2, len(others))):
                links[index].add(other)
                links[other].add(index)
        self.routers = [
            Router(index, self._ledger(index), tuple(sorted(links[index])))
            for index in range(n_routers)
        ]

    def _ledger(self, index: int) -> UsageLedger:
        self._epoch += 1
        return self.new_ledger(InstanceId(f"r{index}"), self._epoch)

    def new_ledger(self, router: InstanceId, epoch: int) -> UsageLedger:
        """Build the ledger of a router that starts."""
        ledger = UsageLedger(router, epoch, self.terms)
        ledger.set_fleet(self.n_routers, 0.0, 0.0, self.now)
        ledger.set_caps({ACCOUNT: self.cap}, self.now)
        return ledger

    # Faults.

    def partition(self, groups: Callable[[int], int]) -> None:
        """Let routers of different groups not hear each other."""
        self._groups = groups
        self._grouped_at = self.now

    def heal(self) -> None:
        """Let all routers hear each other."""
        self.partition(lambda _: 0)

    def restart(self, index: int, away_s: float) -> None:
        """Kill a router; its successor starts with nothing after a time."""
        router = self.routers[index]
        router.resumes_at = self.now + away_s
        router.inbox.clear()
        router.heard_at.clear()
        router.ledger = self._ledger(index)

    def freeze(self, index: int, for_s: float) -> None:
        """Pause a router; what is sent to it waits."""
        self.routers[index].resumes_at = self.now + for_s

    def set_cap(self, cap: UsageCap) -> None:
        """Change the cap at all routers."""
        self.cap = cap
        for router in self.routers:
            router.ledger.set_caps({ACCOUNT: cap}, self.now)

    # Traffic.

    def play(
        self,
        for_s: float,
        tokens_per_s: float = 0.0,
        at: tuple[int, ...] = (),
        mean_cost: float = 6000.0,
    ) -> None:
        """Advance the clock while requests arrive at some routers, or at all."""
        ends_at = self.now + for_s
        while self.now < ends_at - STEP_S / 2:
            self.now += STEP_S
            due = tokens_per_s * STEP_S / mean_cost
            while self.rng.random() < due:
                due -= 1.0
                n_tokens = min(60_000.0, self.rng.expovariate(1 / mean_cost))
                self._ask(at, self.cap.cost(n_tokens))
            for router in self.routers:
                if router.resumes_at <= self.now:
                    self._work(router)

    def _ask(self, at: tuple[int, ...], cost: float) -> None:
        router = self.routers[self.rng.choice(at or tuple(range(len(self.routers))))]
        if router.resumes_at > self.now:
            return
        self.asked.append((self.now, cost))
        self.update_fleet(router)
        if router.ledger.charge(self.account, cost, self.now):
            self.runs.append((self.now, cost))

    def update_fleet(self, router: Router) -> None:
        """Tell a router's ledger how many of the others it hears."""
        heard = [
            peer
            for peer in router.links
            if self.now - router.heard_at.get(peer, -9.0) <= HEARD_WITHIN_S
        ]
        n_others = len(self.routers) - 1
        share = sampled_share(len(heard), len(router.links), n_others)
        if self.now - self._grouped_at > SUSPECTED_AFTER_S:
            # The membership has settled, and links to others have replaced the lost.
            group = self._groups(router.index)
            n_members = sum(self._groups(peer.index) == group for peer in self.routers)
            share = (n_members - 1) / max(1, n_others)
        router.ledger.set_fleet(len(self.routers), share, HEARD_WITHIN_S, self.now)

    def _work(self, router: Router) -> None:
        while router.inbox and router.inbox[0][0] <= self.now:
            _, sender, entries = router.inbox.popleft()
            is_new = self.now - router.heard_at.get(sender, -9.0) > HEARD_WITHIN_S
            router.heard_at[sender] = self.now
            if is_new:
                self.update_fleet(router)
            router.ledger.merge(entries, self.now)
        is_due = router.ledger.announces_at <= self.now
        if not is_due and self.now - router.sent_at < ALIVE_S:
            return
        router.sent_at = self.now
        self.update_fleet(router)
        own: tuple[AccountUsage, ...] = ()
        learned: tuple[AccountUsage, ...] = ()
        if is_due:
            own = router.ledger.take_own(self.now)
            learned = router.ledger.take_learned()
        forwards = self.rng.sample(router.links, min(N_FORWARDS, len(router.links)))
        for peer in router.links:
            self._send(router, peer, own + (learned if peer in forwards else ()))

    def _send(
        self, router: Router, peer: int, entries: tuple[AccountUsage, ...]
    ) -> None:
        if entries:
            self.n_messages += 1
            self.n_entries += len(entries)
        if self._groups(router.index) != self._groups(peer):
            return
        target = self.routers[peer]
        target.inbox.append((self.now + self.delay_s, router.index, entries))

    # Results.

    def most_in_window(self) -> float:
        """Return the most that was run in any window of the terms."""
        return most_in_window(self.runs, self.terms.window_s)

    def allowed_in_window(self, cap: UsageCap | None = None) -> float:
        """Return what the terms allow to run in a window."""
        cap = cap or self.cap
        within = cap.rate_per_s * self.terms.window_s + cap.burst
        return within + self.terms.tolerance(cap)

    def refused_within_cap(self, since: float = 0.0) -> float:
        """Return the share of what one exact bucket would have run that was not run."""
        cap = self.cap
        level, at, owed = cap.burst, 0.0, 0.0
        for moment, cost in self.asked:
            level = min(cap.burst, level + (moment - at) * cap.rate_per_s)
            at = moment
            if level >= min(cost, cap.burst):
                level -= cost
                owed += cost if moment >= since else 0.0
        run = sum(cost for moment, cost in self.runs if moment >= since)
        return max(0.0, 1.0 - run / owed) if owed else 0.0


def most_in_window(runs: list[tuple[float, float]], window_s: float) -> float:
    inside: deque[tuple[float, float]] = deque()
    total = most = 0.0
    for moment, cost in runs:
        inside.append((moment, cost))
        total += cost
        while inside[0][0] <= moment - window_s:
            total -= inside.popleft()[1]
        most = max(most, total)
    return most
