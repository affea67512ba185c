"""Links between routers of one test in memory, which can be cut or go silent."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
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
"""Seconds until dialling an address that does not answer fails."""

QUEUE: Final = 1024
"""Frames on their way on one link at most."""


class MemoryFabric:
    """Join the transports of one test; ``passes`` decides which way frames get.

    While ``passes(source, target)`` is False, frames that way are lost without a sign
    and dialling times out, as with a path that has lost track of its connections.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, LinkHandler] = {}
        self.nurseries: dict[str, trio.Nursery] = {}
        self.passes: Callable[[str, str], bool] = lambda source, target: True
        self.links: list[MemoryLink] = []

    def transport(self, address: str) -> MemoryTransport:
        """Return the transport of a router with that address."""
        return MemoryTransport(self, address)


class MemoryLink(PeerLink):
    """Be one end of a link; ``silent`` loses what is sent from this end."""

    def __init__(self, fabric: MemoryFabric, source: str, target: str) -> None:
        self.source = source
        self.target = target
        self.silent = False
        self._fabric = fabric
        self._send, self._receive = trio.open_memory_channel[bytes](QUEUE)
        self._other: MemoryLink | None = None
        self.is_open = True
        """Whether neither end was closed."""

    def join(self, other: MemoryLink) -> None:
        """Make two ends one link."""
        self._other, other._other = other, self

    async def send(self, frame: bytes) -> None:
        """Put a frame into the other end's queue, or lose it."""
        if self.silent or not self._fabric.passes(self.source, self.target):
            await trio.lowlevel.checkpoint()
            return
        try:
            await self._other._send.send(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise LinkClosedError("closed") from exc

    async def receive(self) -> bytes:
        """Return the next frame from the other end."""
        try:
            frame = await self._receive.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError) as exc:
            raise LinkClosedError("closed") from exc
        if len(frame) > MAX_MESSAGE_BYTES:
            raise FrameRefusedError("frame above the limit")
        return frame

    async def aclose(self) -> None:
        """Close this end; the other learns of it unless the way is lost."""
        self._receive.close()
        self.is_open = False
        if not self.silent and self._fabric.passes(self.source, self.target):
            self._other._send.close()
        await trio.lowlevel.checkpoint()


class MemoryTransport(PeerTransport):
    """Make links over a fabric."""

    def __init__(self, fabric: MemoryFabric, address: str) -> None:
        self._fabric = fabric
        self._address = address

    @asynccontextmanager
    async def dial(self, address: str) -> AsyncIterator[PeerLink]:
        """Open a link to another transport of the fabric."""
        fabric = self._fabric
        there_and_back = fabric.passes(self._address, address) and fabric.passes(
            address, self._address
        )
        if not there_and_back:
            await trio.sleep(DIAL_TIMEOUT_S)
            raise LinkClosedError("no answer")
        if address not in fabric.handlers:
            await trio.lowlevel.checkpoint()
            raise LinkClosedError("refused")
        mine = MemoryLink(fabric, self._address, address)
        theirs = MemoryLink(fabric, address, self._address)
        mine.join(theirs)
        fabric.links += [mine, theirs]
        fabric.nurseries[address].start_soon(self._handle, address, theirs)
        try:
            yield mine
        finally:
            with trio.CancelScope(shield=True):
                await mine.aclose()

    async def serve(
        self,
        handler: LinkHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take links until cancelled."""
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
