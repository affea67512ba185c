"""When shared prompt parts are fetched rather than prefilled again.

Where engines' links are so fast that a fetched token costs a small part of a prefilled
one, routers tell the whole fleet which engines read which parts (``part_gossip``), and
the KV cache stores, whose links are slower, get only prompts with a large shared part.
"""

from __future__ import annotations

from typing import Final

from .forwarding import EngineTraits, Prompt

FAST_TRANSFER_S_PER_TOKEN: Final = 0.5e-6
"""Longest transfer of a token over a fast link. Engines prefill 40,000 to 160,000
tokens a second, so a fetched token costs at most a tenth of a prefilled one."""

MIN_SAVED_SHARE: Final = 1 / 3
"""Smallest shared part of a prompt that is saved to a KV cache store. A store keeps a
prompt whole, and the tokens that belong to one request are never fetched from it."""

FRESH_SHARE: Final = 0.1
"""Share of an engine's memory that may be prefilled after a part before the KV cache
store is the safer source. Running requests and fetched parts take memory as well, so a
busy engine evicts a part long before it has prefilled as much as it can hold."""


def applies(engine: EngineTraits) -> bool:
    """Return whether an upstream's links are that fast; unknown links are not."""
    return 0 < engine.transfer_s_per_token <= FAST_TRANSFER_S_PER_TOKEN


def is_worth_saving(prompt: Prompt, is_held_whole: bool) -> bool:
    """Return whether a prompt should be saved to a KV cache store.

    ``is_held_whole`` says that an engine is known to hold all its shared parts.
    """
    is_largely_shared = prompt.n_shared >= MIN_SAVED_SHARE * prompt.n_prompt
    return is_largely_shared and not is_held_whole


def is_safer_stored(n_since_use: float, kv_capacity: int) -> bool:
    """Return whether parts in a KV cache store should be fetched from there.

    The engine that holds them as well has prefilled ``n_since_use`` tokens since.
    """
    return n_since_use > FRESH_SHARE * kv_capacity
