"""One account's bucket at one router, with what other routers have announced."""

from __future__ import annotations

from collections import deque
from dataclasses import field
from typing import Final

from .data_class import dataclass
from .identity import Incarnation, InstanceId
from .usage_cap import UsageCap

FORGET_AFTER_S: Final = 60.0
"""Silence after which an earlier incarnation of a router is forgotten: far longer than
its announcements can be on their way."""

STEP_S: Final = 0.1
"""Period over which charges are added up."""

STEPS_KEPT_S: Final = 2.0
"""Longer than a router may have been silent before it counts as not heard."""


@dataclass
class AnnouncedUsage:
    """Newest announcement of one incarnation of a router about one account."""

    number: int
    total: float
    at: float
    """When it arrived, by this router's clock."""


@dataclass
class UsageStep:
    """What was charged to a bucket in ``STEP_S`` from a moment on."""

    at: float
    level: float
    """Level before it."""
    share: float
    """Share of the cap that the bucket had then."""
    own: float = 0.0
    """Charged by this router."""
    others: float = 0.0
    """Announced by others."""


@dataclass
class UsageBucket:
    """One account's bucket at this router."""

    cap: UsageCap
    level: float
    refilled_at: float
    reserve: float = 0.0
    """Assumed use of routers that are not heard."""
    total: float = 0.0
    """What this router has run since its start."""
    unannounced: float = 0.0
    """What it has run that the others do not know and that still counts."""
    total_whole: float = 0.0
    """What of it all routers were told before some ceased to be heard."""
    must_announce: bool = False
    """Whether it is announced next however little it is."""
    number: int = 0
    """Number of this router's newest announcement."""
    steps: deque[UsageStep] = field(default_factory=deque)
    """What was charged in the last ``STEPS_KEPT_S``."""
    peers: dict[Incarnation, AnnouncedUsage] = field(default_factory=dict)

    def step(self, share: float, now: float) -> UsageStep:
        """Return the present step, before something is charged."""
        if not self.steps or now - self.steps[-1].at >= STEP_S:
            self.steps.append(UsageStep(now, self.level, share))
            while now - self.steps[0].at > STEPS_KEPT_S:
                self.steps.popleft()
        return self.steps[-1]

    def steps_since(self, since: float) -> list[UsageStep]:
        """Return the steps from a moment on, with the one that contains it."""
        return [step for step in self.steps if step.at >= since - STEP_S]

    def steps_after(self, since: float) -> list[UsageStep]:
        """Return the steps that began after a moment."""
        return [step for step in self.steps if step.at > since]

    def forget_earlier(self, router: InstanceId, now: float) -> None:
        """Forget incarnations of a router that have long announced nothing."""
        before = now - FORGET_AFTER_S
        for incarnation, announced in list(self.peers.items()):
            if incarnation.instance == router and announced.at < before:
                del self.peers[incarnation]
