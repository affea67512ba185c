"""HTTP client of a router that records the answers."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, Final

import httpx
import trio

from corianderlb_core import header

from .fleet_plan import LARGE_ACCOUNTS, MODEL, account_key
from .loopback import loopback_client

DONE: Final = "[DONE]"
"""Data of the event that ends a complete stream."""


@dataclass
class StreamAnswer:
    """Streamed answer as received by the client."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    text: str = ""
    indices: list[int] = field(default_factory=list)
    """Event ids in the order received."""
    complete: bool = False
    """Whether the terminal event was received."""
    error: dict[str, Any] = field(default_factory=dict)
    """Error of a refusal, an error event or the transport."""
    usage: dict[str, Any] = field(default_factory=dict)
    first_token_s: float = 0.0
    """Time from sending the request to the first event."""
    total_s: float = 0.0

    @property
    def cached_tokens(self) -> int:
        """Prompt tokens that the engine read from its cache."""
        return int(self.usage.get("prompt_tokens_details", {}).get("cached_tokens", 0))

    @property
    def is_in_order(self) -> bool:
        """Whether the event ids count from 0 without gap or repeat."""
        return self.indices == list(range(len(self.indices)))


class LoadClient:
    """Sends requests of client accounts to one router."""

    def __init__(self, address: str, timeout_s: float = 30.0) -> None:
        self._base_url = f"http://{address}"
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=200)
        self._http = loopback_client(timeout=timeout_s, limits=limits)

    async def __aenter__(self) -> LoadClient:
        return self

    async def __aexit__(self, *args: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def stream(
        self,
        prompt: str,
        n_tokens: int = 16,
        account: str = LARGE_ACCOUNTS[0],
        model: str = MODEL,
        headers: dict[str, str] | None = None,
    ) -> StreamAnswer:
        """Send a chat prompt and return its streamed answer.

        If the connection breaks, the answer is incomplete and has a transport error.
        """
        answer = StreamAnswer()
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": n_tokens,
            "stream": True,
        }
        started = trio.current_time()
        try:
            async with self._http.stream(
                "POST",
                f"{self._base_url}/v1/chat/completions",
                json=body,
                headers={**authorization(account), **(headers or {})},
            ) as response:
                answer.status = response.status_code
                answer.headers = dict(response.headers)
                await _read_answer(response, answer, started)
        except httpx.HTTPError as exc:
            answer.error = answer.error or {"transport": repr(exc)}
        answer.total_s = trio.current_time() - started
        return answer

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        key: str = "",
        account: str = LARGE_ACCOUNTS[0],
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        """Send a call to a plain service; ``path`` starts with the route's name."""
        key_headers = {header.IDEMPOTENCY_KEY: key} if key else {}
        return await self._http.request(
            method,
            f"{self._base_url}/services/{path}",
            json=body,
            headers={**authorization(account), **key_headers, **(headers or {})},
        )


def authorization(account: str) -> dict[str, str]:
    """Return the authorization header of an account."""
    return {"authorization": f"Bearer {account_key(account)}"}


def nested_prompt(
    customer: str, site: str, batch: str, n_pieces: tuple[int, int, int] = (2, 1, 1)
) -> str:
    """Return a prompt with three nested prefixes, in sections of 4,000 characters.

    The role of a chat message is part of the prompt text, so the sections are offset
    from the pieces by its length.
    """
    parts = []
    for name, n in zip((customer, site, batch), n_pieces, strict=True):
        parts += [f"{name} log {index}: ".ljust(4000, ".") for index in range(n)]
    return "".join(parts)


async def _read_answer(
    response: httpx.Response, answer: StreamAnswer, started: float
) -> None:
    if response.status_code != 200:
        body = await response.aread()
        answer.error = json.loads(body).get("error", {})
        return
    async for line in response.aiter_lines():
        if line.startswith("id: "):
            answer.indices.append(int(line[4:]))
        elif line.startswith("data: "):
            if not answer.first_token_s:
                answer.first_token_s = trio.current_time() - started
            _apply_event_data(line[6:], answer)


def _apply_event_data(data: str, answer: StreamAnswer) -> None:
    if data == DONE:
        answer.complete = True
        return
    plain = json.loads(data)
    if "error" in plain:
        answer.error = plain["error"]
        return
    answer.text += plain["choices"][0].get("delta", {}).get("content", "")
    answer.usage = plain.get("usage", answer.usage)
