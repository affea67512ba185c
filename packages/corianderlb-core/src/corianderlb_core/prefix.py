"""Compute keys of prompt prefixes, equal to those of the engines' own caches.

A prompt is cut into pieces; the key of a piece identifies the whole prompt up to its
end. The hash chain starts from a seed of client account, model, adapter and weights
version, so equal text of another account or for other weights has other keys, and
tables keyed by them cannot mix the two.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any, Final

from .data_class import dataclass

KEY_BYTES: Final = 16
"""Length of a prefix key. Callers choose the text, so the hash must resist
collisions."""

_SEPARATOR: Final = "\n"


@dataclass(frozen=True)
class PrefixScope:
    """What two prompts must have in common for their prefixes to be equal."""

    salt: str
    """Sent to the engine as ``corianderlb-cache-salt``; see ``cache_salt``."""
    weights_version: str
    adapter: str = ""
    """Made by ``adapter_label``; empty without an adapter."""

    @property
    def seed(self) -> bytes:
        """The start of the hash chain."""
        return _digest(b"", json.dumps([self.salt, self.weights_version, self.adapter]))


def cache_salt(account: str, model: str) -> str:
    """Return the salt of an account's prompts for a model, as hex.

    For example the salts of ``("kiln", "ember-llm")`` and ``("yard", "ember-llm")``
    differ, and so do all prefix keys under them.
    """
    return _digest(b"", json.dumps([account, model])).hex()


def adapter_label(name: str, version: str) -> str:
    """Return the text that names an adapter in a scope; empty for no adapter."""
    return f"{name}@{version}" if name else ""


def prompt_text(body: Mapping[str, Any]) -> str:
    """Return the prompt of a chat or text completion body as engines cut it.

    For example ``{"messages": [{"role": "user", "content": "hi"}]}`` gives
    ``"user\\nhi\\n"``. Fields of the wrong type count as empty; the caller validates
    the body.
    """
    messages = body.get("messages")
    if isinstance(messages, list):
        return "".join(_message_text(message) for message in messages)
    prompt = body.get("prompt", "")
    if isinstance(prompt, list):
        return "".join(part for part in prompt if isinstance(part, str))
    return prompt if isinstance(prompt, str) else ""


def prefix_keys(text: str, scope: PrefixScope, piece_chars: int) -> tuple[bytes, ...]:
    """Return the key of each whole piece of the text, the shortest prefix first.

    An incomplete last piece has no key, since engines do not cache it.
    """
    key = scope.seed
    keys = []
    for end in range(piece_chars, len(text) + 1, piece_chars):
        key = _digest(key, text[end - piece_chars : end])
        keys.append(key)
    return tuple(keys)


def _message_text(message: Any) -> str:
    if not isinstance(message, Mapping):
        return ""
    role = message.get("role", "")
    return f"{role}{_SEPARATOR}{_content_text(message.get('content'))}{_SEPARATOR}"


def _content_text(content: Any) -> str:
    if isinstance(content, list):
        parts = [part.get("text", "") for part in content if isinstance(part, Mapping)]
        return "".join(part for part in parts if isinstance(part, str))
    return content if isinstance(content, str) else ""


def _digest(key: bytes, text: str) -> bytes:
    data = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=KEY_BYTES, key=key).digest()
