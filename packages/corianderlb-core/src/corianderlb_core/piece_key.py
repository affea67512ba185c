"""Keys of the prompt pieces that engines cache, as engine and router both work out.

A piece's key is a hash chain over the salt, the weights version, the adapter and all
pieces up to it. The same text under another client account's salt or under other
weights therefore has another key, and a key names a whole prefix, not one piece.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator

import xxhash


def chain_start(salt: str, weights_version: str, adapter: str = "") -> bytes:
    """Return the first link of the chain, which no piece has."""
    text = json.dumps([salt, weights_version, adapter])
    return hashlib.blake2b(text.encode(), digest_size=16).digest()


def next_key(previous: bytes, piece: str) -> bytes:
    """Return the key of a piece that follows ``previous``, 16 bytes."""
    return xxhash.xxh3_128_digest(previous + piece.encode("utf-8", "surrogatepass"))


def piece_keys(start: bytes, text: str, piece_chars: int) -> Iterator[bytes]:
    """Yield the key of each whole piece of a prompt, shortest prefix first.

    For example a text of 9,000 characters in pieces of 4,000 has two keys; the last
    1,000 characters are never cached.
    """
    key = start
    for begin in range(0, len(text) - piece_chars + 1, piece_chars):
        key = next_key(key, text[begin : begin + piece_chars])
        yield key


def prompt_text(messages: Iterator[tuple[str, str]]) -> str:
    """Return the text of a chat that is cut into pieces, from role and content."""
    return "".join(f"{role}\n{content}\n" for role, content in messages)
