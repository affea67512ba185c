"""Builder: routers that all prefer one instance, which starts, and what it gets."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from corianderlb_core.instance_pace import FleetView, InstancePace, PaceReport

STEP_S = 0.005

WORK_S = (0.02, 0.04, 0.12)
MEAN_WORK_S = 0.06
"""Work of a request, in seconds of a steady instance."""

CAPACITY = 1.6
"""Work that an instance can do in a second; a steady one is given 1 of it."""

USUAL_REQUESTS_PER_S = 180.0

TOLERATED_S = 0.3
"""Delay that callers bear: a quarter of their objective."""


@dataclass
class _Request:
    router: int
    key: str
    work_s: float
    left_s: float
    sent_at: float


@dataclass
class PaceFleet:
    """Routers before one instance that starts at 0, on a virtual clock.

    Each router has requests at random times and sends one to the instance whenever it
    has a turn, as if all others were full. The instance serves them in order.
    """

    n_routers: int
    seed: int = 1
    requests_per_s: Callable[[float], float] = lambda now: USUAL_REQUESTS_PER_S
    """Requests over all routers, by time."""
    speed: Callable[[float], float] = lambda now: CAPACITY
    """Work that the instance does in a second, by time; 0 while it is down."""
    report_s: float = 0.0
    """Interval of reports; by the size of the fleet if 0."""
    delay_s: float = 0.05
    """How late reports arrive."""
    loss: float = 0.0
    group_of: Callable[[int], int] = lambda router: 0
    """Routers hear those of their group alone."""
    heard_by_nobody: bool = False
    now: float = 0.0
    asked: list[tuple[float, float]] = field(default_factory=list)
    served: list[tuple[float, float]] = field(default_factory=list)
    waited_s: list[tuple[float, float]] = field(default_factory=list)
    n_failed: int = 0
    """Requests that found the instance down."""

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self._order = self.rng.sample(range(self.n_routers), self.n_routers)
        self.paces = [self.a_pace(number) for number in range(self.n_routers)]
        self._queue: list[_Request] = []
        self._mail: deque[tuple[float, int, int, PaceReport]] = deque()
        interval = self.report_s or max(0.2, 0.012 * self.n_routers)
        self.report_s = interval
        self._reports_at = [
            self.rng.uniform(0, interval) for _ in range(self.n_routers)
        ]
        self._n_sent = 0

    def a_pace(self, router: int, age_s: float = 0.0) -> InstancePace:
        """Build the pace of a router that has heard nothing."""
        phase = (self._order[router] + 0.5) / self.n_routers
        # The entry of the instance reaches the routers within some 0.1 s.
        late_s = self.rng.uniform(0.0, 0.1) if not age_s else 0.0
        return InstancePace(
            self.now + late_s, phase=phase, request_s=MEAN_WORK_S, age_s=age_s
        )

    def view(self, router: int) -> FleetView:
        """Return what a router knows of the fleet."""
        known = [
            n for n in range(self.n_routers) if n == router or self.hears(router, n)
        ]
        share = (len(known) - 1) / max(1, self.n_routers - 1)
        turn_s = 3 * self.n_routers / USUAL_REQUESTS_PER_S
        return FleetView(self.n_routers, share or 1.0, turn_s)

    def hears(self, router: int, other: int) -> bool:
        """Return whether reports of a router reach another one."""
        return not self.heard_by_nobody and self.group_of(router) == self.group_of(
            other
        )

    def run(self, until: float) -> None:
        """Play the fleet up to a time."""
        views = [self.view(number) for number in range(self.n_routers)]
        while self.now < until:
            self.now += STEP_S
            self._deliver()
            self._serve(views)
            for _ in range(self._n_requests()):
                router = self.rng.randrange(self.n_routers)
                self._offer(router, views[router])
            for router in range(self.n_routers):
                self._report(router)

    def _n_requests(self) -> int:
        """Return how many requests all routers get in one step."""
        expected = self.requests_per_s(self.now) * STEP_S
        return int(expected) + (self.rng.random() < expected % 1)

    def _offer(self, router: int, view: FleetView) -> None:
        pace = self.paces[router]
        if not pace.may_send(self.now, view):
            return
        self._n_sent += 1
        key, work_s = f"q{self._n_sent}", self.rng.choice(WORK_S)
        pace.sent(key, work_s, work_s + 0.03, TOLERATED_S, self.now, view)
        if not self.speed(self.now):
            pace.failed(self.now, view)
            self.n_failed += 1
            return
        self.asked.append((self.now, work_s))
        self._queue.append(_Request(router, key, work_s, work_s, self.now))

    def _serve(self, views: list[FleetView]) -> None:
        room_s = self.speed(self.now) * STEP_S
        if not room_s:
            for request in self._queue:
                self.paces[request.router].ended(request.key)
            self._queue.clear()
        while self._queue and room_s > 0:
            request = self._queue[0]
            done_s = min(room_s, request.left_s)
            request.left_s -= done_s
            room_s -= done_s
            if request.left_s > 1e-9:
                break
            self._queue.pop(0)
            self.served.append((self.now, request.work_s))
            self.waited_s.append((request.sent_at, self.now - request.sent_at))
            router = request.router
            self.paces[router].answered(request.key, self.now + 0.03, views[router])

    def _report(self, router: int) -> None:
        if self.now < self._reports_at[router]:
            return
        self._reports_at[router] += self.report_s
        report = self.paces[router].report()
        for other in range(self.n_routers):
            if other != router and self.hears(router, other):
                if self.rng.random() >= self.loss:
                    entry = (self.now + self.delay_s, router, other, report)
                    self._mail.append(entry)

    def _deliver(self) -> None:
        while self._mail and self._mail[0][0] <= self.now:
            _, sender, other, report = self._mail.popleft()
            self.paces[other].merge(f"r{sender}", report, self.now)

    def most_asked(self, window_s: float = 2.0) -> float:
        """Return the most requests in a window, as a multiple of the steady rate.

        Shorter windows hold so few requests that chance decides.
        """
        times = [at for at, _ in self.asked]
        most = max(
            sum(start <= at < start + window_s for at in times) for start in times
        )
        return most * MEAN_WORK_S / window_s

    def served_rate(self, since: float, until: float) -> float:
        """Return the requests served between two times by the steady rate."""
        n_served = sum(since <= at < until for at, _ in self.served)
        return n_served * MEAN_WORK_S / (until - since)

    def longest_wait_s(self, since: float = 0.0) -> float:
        """Return the longest time to an answer of the requests sent since a time."""
        return max(waited for at, waited in self.waited_s if at >= since)

    def restart(self, router: int, age_s: float) -> None:
        """Restart a router, which knows the age of the instance from its entry."""
        self.paces[router] = self.a_pace(router, age_s)
        self._mail = deque(entry for entry in self._mail if entry[2] != router)
