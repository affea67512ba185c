"""Name the things that messages and tables are keyed by."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

InstanceId = NewType("InstanceId", str)
"""The platform's name of an instance; it survives restarts."""

AccountId = NewType("AccountId", str)
"""The catalogue name of a client account."""

RequestId = NewType("RequestId", str)
"""One caller's request, over all its attempts."""

AttemptId = NewType("AttemptId", str)
"""One sending of a request to one upstream instance; the upstream echoes it."""

DecisionId = NewType("DecisionId", str)
"""One routing decision, kept for ``corianderctl explain``."""


class Role(Enum):
    """Say what an instance in the platform's list runs."""

    ROUTER = "router"
    UPSTREAM = "upstream"


class Presence(Enum):
    """Say whether an instance stays or is being taken away."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Incarnation:
    """Tell one life of an instance from the next under the same address.

    A crashed engine comes back empty under the address it had. Whatever is known
    about an upstream is keyed by this pair, so that knowledge dies with the process
    it was about. ``epoch`` grows from life to life.
    """

    instance: InstanceId
    epoch: int

    def __str__(self) -> str:
        return f"{self.instance}@{self.epoch}"


@dataclass(frozen=True)
class InstanceRecord:
    """Hold one line of the platform's list of instances, which lags reality."""

    instance: InstanceId
    role: Role
    zone: str
    """The availability zone."""
    region: str
    address: str
    """Host and port that serve callers (a router) or requests (an upstream)."""
    presence: Presence = Presence.LIVE
    upstream: str = ""
    """The catalogue name of the upstream that the instance is a runner of."""
    peer_address: str = ""
    """Host and port for other routers; empty for an upstream."""
