"""Links between routers: frames both ways, over whatever carries them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import TypeAlias

import trio

from corianderlb_core.error import CorianderError
from corianderlb_core.result import ResultCode


class LinkClosedError(CorianderError):
    """Signal that a link ended or could not be made; dial again."""

    code = ResultCode.PEER_REJECTED


class FrameRefusedError(CorianderError):
    """Signal a frame that is too long, malformed or not from the peer."""

    code = ResultCode.PEER_MESSAGE_INVALID


class PeerLink(ABC):
    """Carry frames between two routers, in order."""

    @abstractmethod
    async def send(self, frame: bytes) -> None:
        """Send one frame; raise ``LinkClosedError`` when the link is gone."""

    @abstractmethod
    async def receive(self) -> bytes:
        """Return the next frame.

        Raise ``LinkClosedError`` at the end of the link and ``FrameRefusedError`` for a
        frame above the limit.
        """

    @abstractmethod
    async def aclose(self) -> None:
        """End the link, without waiting for a peer that may be silent."""


LinkHandler: TypeAlias = Callable[[PeerLink], Awaitable[None]]
"""Runs a link that a peer opened; the link is closed when it returns."""


class PeerTransport(ABC):
    """Make links to other routers, and take theirs."""

    @abstractmethod
    def dial(self, address: str) -> AbstractAsyncContextManager[PeerLink]:
        """Open a link to ``host:port``; raise ``LinkClosedError`` when that fails."""

    @abstractmethod
    async def serve(
        self,
        handler: LinkHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take links until cancelled; the status tells the bound ``host:port``."""
