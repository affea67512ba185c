"""In-memory links between the routers of one test, with injected frame loss."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Final

import trio

from corianderlb_core.message import MAX_MESSAGE_BYTES
from corianderlb_router.peer_link import (
    FrameRefusedError,
    LinkClosedError,
    LinkHandler,
    PeerLink,
    PeerTransport,
)

DIAL_TIMEOUT_S: Final = 3.0
"""Timeout for dialling an unresponsive address."""

MAX_QUEUED_FRAMES: Final = 1024
"""Maximum frames in flight in one direction of a link."""


class MemoryFabric:
    """Connects the transports of one test.

    While ``passes(source, target)`` is False, frames in that direction are silently
    dropped and dialling times out, as with a firewall that lost its connection state.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, LinkHandler] = {}
        self.nurseries: dict[str, trio.Nursery] = {}
        self.passes: Callable[[str, str], bool] = lambda source, target: True
        self.links: list[MemoryLink] = []

    def transport(self, address: str) -> MemoryTransport:
        """Return the transport of the router with an address."""
        return MemoryTransport(self, address)


class MemoryLink(PeerLink):
    """One end of a link; ``silent`` drops all frames sent from this end."""

    def __init__(self, fabric: MemoryFabric, source: str, target: str) -> None:
        self.source = source
        self.target = target
        self.silent = False
        self._fabric = fabric
        self._send, self._receive = trio.open_memory_channel[bytes](MAX_QUEUED_FRAMES)
        self._opposite_end: MemoryLink | None = None
        self.is_open = True
        """Whether this end has not been closed."""

    def pair_with(self, other: MemoryLink) -> None:
        """Connect this end to the opposite end of the link."""
        self._opposite_end, other._opposite_end = other, self

    async def send(self, frame: bytes) -> None:
        """Put a frame into the opposite end's queue, or drop it."""
        if self.silent or not self._fabric.passes(self.source, self.target):
            await trio.lowlevel.checkpoint()
            return
        try:
            await self._opposite_end._send.send(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise LinkClosedError("closed") from exc

    @property
    def can_send_now(self) -> bool:
        """Whether the opposite end's queue has room for many frames."""
        other = self._opposite_end
        if other is None:
            return False
        n_queued = other._send.statistics().current_buffer_used
        return n_queued <= MAX_QUEUED_FRAMES // 2

    def send_now(self, frames: Sequence[bytes]) -> None:
        """Put frames into the opposite end's queue, or drop them."""
        if self.silent or not self._fabric.passes(self.source, self.target):
            return
        try:
            for frame in frames:
                self._opposite_end._send.send_nowait(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise LinkClosedError("closed") from exc

    async def receive(self) -> bytes:
        """Return the next frame from the opposite end."""
        try:
            frame = await self._receive.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError) as exc:
            raise LinkClosedError("closed") from exc
        if len(frame) > MAX_MESSAGE_BYTES:
            raise FrameRefusedError(f"frame exceeds {MAX_MESSAGE_BYTES} bytes")
        return frame

    async def aclose(self) -> None:
        """Close this end, and the opposite end unless frames to it are dropped."""
        self._receive.close()
        self.is_open = False
        if not self.silent and self._fabric.passes(self.source, self.target):
            self._opposite_end._send.close()
        await trio.lowlevel.checkpoint()


class MemoryTransport(PeerTransport):
    """Transport of one router over a ``MemoryFabric``."""

    def __init__(self, fabric: MemoryFabric, address: str) -> None:
        self._fabric = fabric
        self._address = address

    @asynccontextmanager
    async def dial(self, address: str) -> AsyncIterator[PeerLink]:
        """Open a link to another transport of the fabric."""
        fabric = self._fabric
        is_reachable = fabric.passes(self._address, address) and fabric.passes(
            address, self._address
        )
        if not is_reachable:
            await trio.sleep(DIAL_TIMEOUT_S)
            raise LinkClosedError(f"{address} does not answer")
        if address not in fabric.handlers:
            await trio.lowlevel.checkpoint()
            raise LinkClosedError(f"{address} refused the connection")
        local_end = MemoryLink(fabric, self._address, address)
        remote_end = MemoryLink(fabric, address, self._address)
        local_end.pair_with(remote_end)
        fabric.links += [local_end, remote_end]
        fabric.nurseries[address].start_soon(self._handle, address, remote_end)
        try:
            yield local_end
        finally:
            with trio.CancelScope(shield=True):
                await local_end.aclose()

    async def serve(
        self,
        handler: LinkHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._fabric.nurseries[self._address] = nursery
                self._fabric.handlers[self._address] = handler
                task_status.started(self._address)
                await trio.sleep_forever()
        finally:
            self._fabric.handlers.pop(self._address, None)

    async def _handle(self, address: str, link: MemoryLink) -> None:
        try:
            await self._fabric.handlers[address](link)
        finally:
            with trio.CancelScope(shield=True):
                await link.aclose()
