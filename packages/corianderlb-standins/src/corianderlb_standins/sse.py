"""Format an engine's answer as server-sent events or as a single body."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, Final

import xxhash

ANSWER_WORDS: Final = (
    "ash beam char draft ember flue grate heat kiln load moist oak pine resin "
    "seal stack tar vent wood yield"
).split()
"""Words that answers consist of."""

CHARS_PER_TOKEN: Final = 4
"""Characters of a prompt that count as one token."""


def token_at(prompt_digest: int, index: int) -> str:
    """Return the token at an index of the answer to a prompt.

    The answer depends on the prompt alone, so that an engine can continue a stream
    that was interrupted on another engine.
    """
    return (
        ANSWER_WORDS[(prompt_digest >> (index % 40)) % len(ANSWER_WORDS)]
        + f"{index % 7} "
    )


def digest_prompt(prompt: str) -> int:
    """Return the hash of a prompt that determines its answer."""
    return xxhash.xxh3_64_intdigest(prompt.encode("utf-8", "surrogatepass"))


@dataclass(frozen=True)
class Completion:
    """Answer of one attempt, formatted as events or as a single body."""

    attempt_id: str
    model: str
    prompt: str
    n_tokens: int
    chat: bool = True

    def text(self) -> str:
        """Return the text of the answer."""
        digest = digest_prompt(self.prompt)
        return "".join(token_at(digest, index) for index in range(self.n_tokens))

    def usage(self, n_cached_pieces: int, piece_chars: int) -> dict[str, Any]:
        """Return the token usage of the attempt."""
        cached = n_cached_pieces * piece_chars // CHARS_PER_TOKEN
        prompt_tokens = -(-len(self.prompt) // CHARS_PER_TOKEN)
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self.n_tokens,
            "total_tokens": prompt_tokens + self.n_tokens,
            "prompt_tokens_details": {"cached_tokens": cached},
        }

    def token_event(self, index: int, digest: int) -> bytes:
        """Return the event for the token at an index."""
        text = token_at(digest, index)
        part = f'"delta":{{"content":"{text}"}}' if self.chat else f'"text":"{text}"'
        return (
            f'id: {index}\ndata: {{"id":"{self.attempt_id}","object":"{self._kind}",'
            f'"model":"{self.model}",'
            f'"choices":[{{"index":0,{part},"finish_reason":null}}]}}\n\n'
        ).encode()

    def last_event(self, usage: dict[str, Any]) -> bytes:
        """Return the event after all tokens, with finish reason and usage."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        choice.update({"delta": {}} if self.chat else {"text": ""})
        data = {
            "id": self.attempt_id,
            "object": self._kind,
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        }
        return f"id: {self.n_tokens}\ndata: {json.dumps(data)}\n\n".encode()

    def terminal_event(self) -> bytes:
        """Return the event that ends a complete stream."""
        return f"id: {self.n_tokens + 1}\ndata: [DONE]\n\n".encode()

    def unstreamed_answer(self, usage: dict[str, Any]) -> dict[str, Any]:
        """Return the body that answers a request without ``stream``."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": self.text()}
        else:
            choice["text"] = self.text()
        return {
            "id": self.attempt_id,
            "object": self._kind.removesuffix(".chunk"),
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        }

    @property
    def _kind(self) -> str:
        return "chat.completion.chunk" if self.chat else "text_completion"
