"""Choose a placement policy by its name in the settings."""

from __future__ import annotations

import random
from types import MappingProxyType
from typing import Final

from .baseline_placement import HashOnlyPolicy, LeastLoadedPolicy, RoundRobinPolicy
from .default_placement import DefaultPolicy
from .error import InvalidInputError
from .placement import PlacementPolicy
from .result import ResultCode
from .settings import PlacementSettings

POLICIES: Final = MappingProxyType(
    {
        cls.name: cls
        for cls in (DefaultPolicy, RoundRobinPolicy, LeastLoadedPolicy, HashOnlyPolicy)
    }
)
"""The policies by name."""


class UnknownPolicyError(InvalidInputError):
    """The settings name an unknown policy."""

    code = ResultCode.SETTINGS_INVALID


def make_policy(
    cfg: PlacementSettings, rng: random.Random, zone: str = ""
) -> PlacementPolicy:
    """Return the policy that the settings name, for a router in a zone."""
    if cfg.policy not in POLICIES:
        allowed = ", ".join(sorted(POLICIES))
        raise UnknownPolicyError(
            f"placement.policy: {cfg.policy!r}; use one of {allowed}"
        )
    return POLICIES[cfg.policy](cfg, rng, zone)
