"""Write an engine's answer: the stream events of an attempt, or the whole of it."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, Final

import xxhash

WORDS: Final = (
    "ash beam char draft ember flue grate heat kiln load moist oak pine resin "
    "seal stack tar vent wood yield"
).split()
"""What answers are made of."""

CHARS_PER_TOKEN: Final = 4
"""How prompts are counted in tokens."""


def word_at(prompt_digest: int, index: int) -> str:
    """Return the token at an index of the answer to a prompt.

    The answer is a function of the prompt alone, so that a stream can go on where
    another engine's broke off.
    """
    return WORDS[(prompt_digest >> (index % 40)) % len(WORDS)] + f"{index % 7} "


def digest_of(prompt: str) -> int:
    """Return the number that the answer to a prompt is made from."""
    return xxhash.xxh3_64_intdigest(prompt.encode("utf-8", "surrogatepass"))


@dataclass(frozen=True)
class AnswerShape:
    """Hold what the events of one attempt have in common."""

    attempt_id: str
    model: str
    prompt: str
    n_tokens: int
    chat: bool = True

    def text(self) -> str:
        """Return the whole answer."""
        digest = digest_of(self.prompt)
        return "".join(word_at(digest, index) for index in range(self.n_tokens))

    def usage(self, n_cached_pieces: int, piece_chars: int) -> dict[str, Any]:
        """Return the usage of the attempt, counted in tokens."""
        cached = n_cached_pieces * piece_chars // CHARS_PER_TOKEN
        prompt_tokens = -(-len(self.prompt) // CHARS_PER_TOKEN)
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self.n_tokens,
            "total_tokens": prompt_tokens + self.n_tokens,
            "prompt_tokens_details": {"cached_tokens": cached},
        }

    def token_event(self, index: int, digest: int) -> bytes:
        """Return the event with one token."""
        text = word_at(digest, index)
        part = f'"delta":{{"content":"{text}"}}' if self.chat else f'"text":"{text}"'
        return (
            f'id: {index}\ndata: {{"id":"{self.attempt_id}","object":"{self._kind}",'
            f'"model":"{self.model}",'
            f'"choices":[{{"index":0,{part},"finish_reason":null}}]}}\n\n'
        ).encode()

    def last_event(self, usage: dict[str, Any]) -> bytes:
        """Return the event with finish reason and usage, the one after all tokens."""
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
        """Return the event that makes a stream complete."""
        return f"id: {self.n_tokens + 1}\ndata: [DONE]\n\n".encode()

    def whole(self, usage: dict[str, Any]) -> dict[str, Any]:
        """Return the answer to a request that did not ask for a stream."""
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
