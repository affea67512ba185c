"""Call a router as an ordinary HTTP client does, and keep what came back."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, Final

import httpx
import trio

from corianderlb_core import header

from .fleet_plan import LARGE_ACCOUNTS, MODEL, account_key

DONE: Final = "[DONE]"
"""Data of the event that makes a stream complete."""


@dataclass
class StreamAnswer:
    """Hold one streamed answer as its caller got it."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    text: str = ""
    indices: list[int] = field(default_factory=list)
    """The ids of the events, in the order in which they came."""
    complete: bool = False
    """Whether the terminal event came."""
    error: dict[str, Any] = field(default_factory=dict)
    """The error that a refusal or an error event carries."""
    usage: dict[str, Any] = field(default_factory=dict)
    first_token_s: float = 0.0
    """Seconds from sending to the first token."""
    total_s: float = 0.0

    @property
    def cached_tokens(self) -> int:
        """Prompt tokens that the engine did not compute again."""
        return int(self.usage.get("prompt_tokens_details", {}).get("cached_tokens", 0))

    @property
    def in_order(self) -> bool:
        """Whether the ids count from 0 without gap or repeat."""
        return self.indices == list(range(len(self.indices)))


class LoadClient:
    """Send requests of client accounts to one router."""

    def __init__(self, address: str, timeout_s: float = 30.0) -> None:
        self._base = f"http://{address}"
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=200)
        self._http = httpx.AsyncClient(
            timeout=timeout_s, limits=limits, trust_env=False
        )

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

        A broken connection leaves an answer that is not complete.
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
                f"{self._base}/v1/chat/completions",
                json=body,
                headers={**authorization(account), **(headers or {})},
            ) as response:
                answer.status = response.status_code
                answer.headers = dict(response.headers)
                await _read(response, answer, started)
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
        more = {header.IDEMPOTENCY_KEY: key} if key else {}
        return await self._http.request(
            method,
            f"{self._base}/services/{path}",
            json=body,
            headers={**authorization(account), **more, **(headers or {})},
        )


def authorization(account: str) -> dict[str, str]:
    """Return the header with the key of an account."""
    return {"authorization": f"Bearer {account_key(account)}"}


def nested_prompt(
    customer: str, site: str, batch: str, n_pieces: tuple[int, int, int] = (2, 1, 1)
) -> str:
    """Return a prompt whose prefixes nest in three levels, in pieces of 4,000.

    The first piece is a little short, since a chat's role is part of the text.
    """
    parts = []
    for name, n in zip((customer, site, batch), n_pieces, strict=True):
        parts += [f"{name} log {index}: ".ljust(4000, ".") for index in range(n)]
    return "".join(parts)


async def _read(response: httpx.Response, answer: StreamAnswer, started: float) -> None:
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
            _take_data(line[6:], answer)


def _take_data(data: str, answer: StreamAnswer) -> None:
    if data == DONE:
        answer.complete = True
        return
    plain = json.loads(data)
    if "error" in plain:
        answer.error = plain["error"]
        return
    answer.text += plain["choices"][0].get("delta", {}).get("content", "")
    answer.usage = plain.get("usage", answer.usage)
