"""Identifiers of instances, accounts, requests, attempts and decisions."""

from __future__ import annotations

from enum import Enum
from typing import NewType

from .data_class import dataclass

InstanceId = NewType("InstanceId", str)
"""The platform's name of an instance; unchanged by restarts."""

AccountId = NewType("AccountId", str)
"""The catalogue name of a client account."""

RequestId = NewType("RequestId", str)
"""Id of a caller's request, shared by all its attempts."""

AttemptId = NewType("AttemptId", str)
"""Id of one attempt at one upstream instance, which echoes it in its answer."""

DecisionId = NewType("DecisionId", str)
"""Id of a routing decision, for ``corianderctl explain``."""


class Role(Enum):
    """What an instance in the platform's list runs."""

    ROUTER = "router"
    UPSTREAM = "upstream"


class Presence(Enum):
    """Whether an instance is in service or being removed."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Incarnation:
    """One incarnation of an instance: the instance and the epoch of its process.

    A crashed engine restarts with an empty cache at the same address. State about an
    upstream is keyed by this pair, so that state of the old process is not applied to
    the new one. ``epoch`` increases with each restart.
    """

    instance: InstanceId
    epoch: int

    def __str__(self) -> str:
        return f"{self.instance}@{self.epoch}"


@dataclass(frozen=True)
class InstanceRecord:
    """One record of the platform's list of instances, which can be out of date."""

    instance: InstanceId
    role: Role
    zone: str
    """The availability zone."""
    region: str
    address: str
    """Host and port that serve callers (a router) or requests (an upstream)."""
    presence: Presence = Presence.LIVE
    upstream: str = ""
    """The catalogue name of the upstream that the instance belongs to."""
    peer_address: str = ""
    """Host and port for connections from other routers; empty for an upstream."""
