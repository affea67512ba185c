"""Divide too little room among urgencies and client accounts.

More urgent requests go first, but no urgency gets less than ``MIN_URGENCY_SHARE`` of
what it would get if all were served alike. Within an urgency, accounts get equal
amounts by their weights, and no more than they ask for; what one leaves goes to the
others (max-min fairness; Bertsekas and Gallager, Data Networks, 1992, section 6.5.2).
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, NamedTuple

from .data_class import dataclass

MIN_URGENCY_SHARE: Final = 0.75
"""Least share of the room of an urgency, relative to its share of what is asked for."""


class RoomKey(NamedTuple):
    """Whose requests share a line: an urgency (0 first) and a client account."""

    urgency: int
    account: str


@dataclass(frozen=True)
class RoomPart:
    """What an asker is entitled to, in cost a second."""

    entitled: float
    """No more than it asks for."""
    bound: float
    """What it could get if it asked for more."""


def divide_room(
    room: float, asked: Mapping[RoomKey, float], weights: Mapping[str, float]
) -> dict[RoomKey, RoomPart]:
    """Return the part of the room of each asker.

    For example, of a room of 10, two accounts of equal weight that ask for 2 and 20
    are entitled to 2 and 8; the first would get up to 5.
    """
    total = sum(asked.values())
    by_urgency: dict[int, dict[RoomKey, float]] = {}
    for key in sorted(asked):
        by_urgency.setdefault(key.urgency, {})[key] = asked[key]
    sums = {urgency: sum(keys.values()) for urgency, keys in by_urgency.items()}
    scarcity = min(1.0, room / total) if total else 1.0
    left = room - MIN_URGENCY_SHARE * scarcity * total
    parts: dict[RoomKey, RoomPart] = {}
    for urgency, keys in by_urgency.items():
        least = MIN_URGENCY_SHARE * scarcity * sums[urgency]
        parts |= _divide(least + left, keys, weights)
        left -= min(left, sums[urgency] - least)
    return parts


def _divide(
    room: float, asked: Mapping[RoomKey, float], weights: Mapping[str, float]
) -> dict[RoomKey, RoomPart]:
    """Divide the room of one urgency among accounts."""

    def weight(key: RoomKey) -> float:
        return weights.get(key.account, 1.0)

    # Whoever asks for least relative to its weight is satisfied first.
    order = sorted(asked, key=lambda key: asked[key] / weight(key))
    entitled: dict[RoomKey, float] = {}
    left, weight_left = room, sum(map(weight, order))
    for key in order:
        entitled[key] = min(asked[key], left * weight(key) / weight_left)
        left -= entitled[key]
        weight_left -= weight(key)
    wanting = [key for key in order if entitled[key] < asked[key]]
    shared = left + sum(entitled[key] for key in wanting)
    weight_of_wanting = sum(map(weight, wanting))
    parts = {}
    for key in order:
        bound = entitled[key]
        if bound >= asked[key]:
            # With more to ask for, it would share with those who want more, too.
            share = weight(key) / (weight_of_wanting + weight(key))
            bound = max(bound, (shared + bound) * share)
        parts[key] = RoomPart(entitled[key], bound)
    return parts
