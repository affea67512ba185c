"""Run one link to a proved peer: a reader, a writer and a bounded queue between."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import trio

from corianderlb_core.codec import DecodeError
from corianderlb_core.message import Message, decode

from ._handshake import TAG_BYTES, PeerIdentity, SealedLink
from .peer_link import FrameRefusedError, LinkClosedError

MAX_QUEUED: Final = 256
"""Messages that wait for a slow peer at most; more are dropped and counted."""

MAX_QUEUED_BYTES: Final = 4 << 20
"""Bytes that wait for a slow peer at most."""


@dataclass
class PeerCounters:
    """Count what goes over the links of one router, since its start."""

    n_messages_in: int = 0
    n_messages_out: int = 0
    n_bytes_in: int = 0
    n_bytes_out: int = 0
    n_dropped: int = 0
    """Messages not queued because a peer was too slow."""
    n_refused: int = 0
    """Frames that were too long, malformed or forged; each closed its link."""
    n_strangers: int = 0
    """Links that failed the proof of the peer key."""
    n_links_opened: int = 0
    n_links_silent: int = 0
    """Links closed because nothing came over them for too long."""
    n_dials_failed: int = 0


class PeerConnection:
    """Own one link; ``run`` returns when it is over.

    A link can go silent for good while new ones work, because something in between
    has lost track of it. Sends then succeed and nothing comes back. ``last_heard``
    lets the network close such a link, so that a new one is dialled.
    """

    def __init__(
        self, link: SealedLink, dialled: bool, counters: PeerCounters, now: float
    ) -> None:
        self.peer: PeerIdentity = link.peer
        self.dialled = dialled
        """Whether this router opened the link."""
        self.last_heard = now
        """Router's clock at the last frame from the peer."""
        self.heard_beat = 0
        """Number of the last heartbeat that came over this link."""
        self._link = link
        self._counters = counters
        self._send, self._queue = trio.open_memory_channel[bytes](MAX_QUEUED)
        self._n_queued_bytes = 0
        self._scope = trio.CancelScope()

    def post(self, frame: bytes) -> bool:
        """Queue an encoded message; drop and count it when the peer is too slow."""
        try:
            if self._n_queued_bytes + len(frame) > MAX_QUEUED_BYTES:
                raise trio.WouldBlock
            self._send.send_nowait(frame)
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            self._counters.n_dropped += 1
            return False
        self._n_queued_bytes += len(frame)
        return True

    def close(self) -> None:
        """Let ``run`` return soon."""
        self._scope.cancel()

    async def run(
        self, handle: Callable[[PeerConnection, Message], Awaitable[None]]
    ) -> None:
        """Pass arriving messages on, and send queued ones."""
        with self._scope:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read(handle)
                    nursery.cancel_scope.cancel()
            except* LinkClosedError:
                pass

    async def _read(
        self, handle: Callable[[PeerConnection, Message], Awaitable[None]]
    ) -> None:
        while True:
            try:
                frame = await self._link.receive()
                message = decode(frame)
            except (FrameRefusedError, DecodeError):
                self._counters.n_refused += 1
                return
            self.last_heard = trio.current_time()
            self._counters.n_messages_in += 1
            self._counters.n_bytes_in += TAG_BYTES + len(frame)
            await handle(self, message)

    async def _write(self) -> None:
        async for frame in self._queue:
            self._n_queued_bytes -= len(frame)
            n_bytes = await self._link.send(frame)
            # Added after the wait: other links count into the same number meanwhile.
            self._counters.n_bytes_out += n_bytes
            self._counters.n_messages_out += 1
