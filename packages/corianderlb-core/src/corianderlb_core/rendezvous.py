"""Rendezvous hashing: assign keys to nodes without coordination.

Each pair of key and node has a weight that any process can compute; the node with the
highest weight is the primary. Removing a node moves only the keys whose primary it was
(Thaler and Ravishankar, 1998).
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

import xxhash


@lru_cache(maxsize=4096)
def seed(node: str) -> int:
    """Return the hash of a node's name."""
    return xxhash.xxh3_64_intdigest(node.encode())


def seeded_weight(key: bytes, node_seed: int) -> int:
    """Return the weight of the node with that seed for a key, 64 bits."""
    return xxhash.xxh3_64_intdigest(key, node_seed)


def weight(key: bytes, node: str) -> int:
    """Return the weight of a node for a key, 64 bits."""
    return seeded_weight(key, seed(node))


def rank(key: bytes, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in descending order of weight, the primary first.

    Nodes of equal weight are ordered by name, so that all processes agree.
    """
    return sorted(nodes, key=lambda node: (-weight(key, node), node))


def primary_node(key: bytes, nodes: Iterable[str]) -> str | None:
    """Return the primary of a key, or None without nodes."""
    return max(nodes, key=lambda node: (weight(key, node), node), default=None)
