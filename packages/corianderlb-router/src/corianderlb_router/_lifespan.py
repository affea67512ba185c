"""Startup and shutdown of an ASGI application."""

from __future__ import annotations

import logging
from typing import Any, Final

import trio

TIMEOUT_S: Final = 60.0
"""Longest startup or shutdown of an application."""

log = logging.getLogger(__name__)


class LifespanError(Exception):
    """Raised when an application reports that it could not start or stop."""


class Lifespan:
    """Tells an application of the server's start and stop.

    An application that raises at the start is taken not to want to know.
    """

    def __init__(self, app: Any) -> None:
        self._app = app
        self._requests: dict[str, trio.Event] = {
            "startup": trio.Event(),
            "shutdown": trio.Event(),
        }
        self._done = {name: trio.Event() for name in self._requests}
        self._steps = iter(self._requests)

    async def run(self) -> None:
        """Run the application's side."""
        scope = {
            "type": "lifespan",
            "asgi": {"spec_version": "2.0", "version": "3.0"},
            "state": {},
        }
        try:
            await self._app(scope, self._receive, self._send)
        except LifespanError:
            raise
        except Exception:
            log.warning("The application takes no part in start and stop.")
        finally:
            for done in self._done.values():
                done.set()

    async def start(self) -> None:
        """Let the application start."""
        await self._request("startup")

    async def stop(self) -> None:
        """Let the application stop."""
        await self._request("shutdown")

    async def _request(self, step: str) -> None:
        self._requests[step].set()
        with trio.fail_after(TIMEOUT_S):
            await self._done[step].wait()

    async def _receive(self) -> dict[str, Any]:
        step = next(self._steps, None)
        if step is None:
            await trio.sleep_forever()
        await self._requests[step].wait()
        return {"type": f"lifespan.{step}"}

    async def _send(self, message: dict[str, Any]) -> None:
        step, _, outcome = message["type"].removeprefix("lifespan.").partition(".")
        if outcome == "failed":
            raise LifespanError(f"{step}: {message.get('message', '')}")
        self._done[step].set()
