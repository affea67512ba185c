"""Interfaces for links between routers, independent of the transport."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AbstractAsyncContextManager
from typing import TypeAlias

import trio

from corianderlb_core.error import CorianderError
from corianderlb_core.result import ResultCode


class LinkClosedError(CorianderError):
    """Raised when a link is closed or could not be opened."""

    code = ResultCode.PEER_REJECTED


class FrameRefusedError(CorianderError):
    """Raised for a frame that is too long, malformed or forged."""

    code = ResultCode.PEER_MESSAGE_INVALID


class PeerLink(ABC):
    """Ordered, bidirectional link of frames between two routers."""

    def accept_long_frames(self) -> None:
        """Accept frames up to the longest message from now on.

        Called on an accepted link once its peer has proved to hold the peer key; a
        transport may refuse longer frames than those of the handshake until then.
        """

    @abstractmethod
    async def send(self, frame: bytes) -> None:
        """Send one frame; raise ``LinkClosedError`` if the link is closed."""

    async def send_all(self, frames: Sequence[bytes]) -> None:
        """Send several frames in order, in one write where the transport can."""
        for frame in frames:
            await self.send(frame)

    @property
    def can_send_now(self) -> bool:
        """Whether ``send_now`` may be called: nothing waits to be written before."""
        return False

    def send_now(self, frames: Sequence[bytes]) -> None:
        """Send several frames in order without waiting.

        What the transport doesn't take at once is written by the next ``send_all``,
        until which ``can_send_now`` is false. Raise ``LinkClosedError`` if the link is
        closed.
        """
        raise NotImplementedError

    @abstractmethod
    async def receive(self) -> bytes:
        """Return the next frame.

        Raise ``LinkClosedError`` at the end of the link and ``FrameRefusedError`` for a
        frame above the size limit.
        """

    @abstractmethod
    async def aclose(self) -> None:
        """Close the link without waiting for a peer that may be unresponsive."""

    async def abort(self) -> None:
        """Close the link at once, without a closing handshake."""
        await self.aclose()


LinkHandler: TypeAlias = Callable[[PeerLink], Awaitable[None]]
"""Handler of an accepted link; the link is closed when it returns."""


class PeerTransport(ABC):
    """Dials links to other routers and accepts theirs."""

    @abstractmethod
    def dial(self, address: str) -> AbstractAsyncContextManager[PeerLink]:
        """Open a link to ``host:port``; raise ``LinkClosedError`` on failure."""

    @abstractmethod
    async def serve(
        self,
        handler: LinkHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links until cancelled; start with the bound ``host:port``."""
