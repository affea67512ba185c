"""When shared prompt parts are fetched rather than prefilled again.

Where engines' links are so fast that a fetched token costs a small part of a prefilled
one, routers tell the whole fleet which engines read which parts (``part_gossip``), and
the KV cache stores, whose links are slower, get only prompts that are mostly shared.
"""

from __future__ import annotations

from typing import Final

from .forwarding import EngineTraits, Prompt

FAST_TRANSFER_S_PER_TOKEN: Final = 0.5e-6
"""Longest transfer of a token over a fast link. Engines prefill 40,000 to 160,000
tokens a second, so a fetched token costs at most a tenth of a prefilled one."""

MIN_SAVED_SHARE: Final = 0.5
"""Smallest shared part of a prompt that is saved to a KV cache store. A store keeps a
prompt whole, and the tokens that belong to one request are never fetched from it."""


def applies(engine: EngineTraits) -> bool:
    """Return whether an upstream's links are that fast; unknown links are not."""
    return 0 < engine.transfer_s_per_token <= FAST_TRANSFER_S_PER_TOKEN


def is_worth_saving(prompt: Prompt, is_held_whole: bool) -> bool:
    """Return whether a prompt should be saved to a KV cache store.

    ``is_held_whole`` says that an engine is known to hold all its shared parts.
    """
    is_mostly_shared = prompt.n_shared >= MIN_SAVED_SHARE * prompt.n_prompt
    return is_mostly_shared and not is_held_whole
