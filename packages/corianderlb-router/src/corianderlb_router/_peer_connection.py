"""Connection to an authenticated peer, with a bounded send queue."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from corianderlb_core.codec import DecodeError
from corianderlb_core.data_class import dataclass
from corianderlb_core.message import (
    EngineReport,
    LinkClosing,
    Message,
    decode,
    encode,
)

from ._handshake import TAG_BYTES, AuthenticatedLink, PeerIdentity
from .peer_link import FrameRefusedError, LinkClosedError

MAX_QUEUED: Final = 256
"""Most messages queued for a slow peer; more are dropped and counted."""

MAX_QUEUED_BYTES: Final = 4 << 20
"""Most bytes queued for a slow peer."""


@dataclass
class PeerCounters:
    """Link traffic of one router since its start."""

    n_messages_in: int = 0
    n_messages_out: int = 0
    n_bytes_in: int = 0
    n_bytes_out: int = 0
    n_dropped: int = 0
    """Messages dropped because the send queue of a peer was full."""
    n_refused: int = 0
    """Frames that were too long, malformed or forged; each closes its link."""
    n_strangers: int = 0
    """Links that failed authentication."""
    n_links_opened: int = 0
    n_links_silent: int = 0
    """Links closed because nothing was received for too long."""
    n_dials_failed: int = 0


class PeerConnection:
    """One link to a peer; ``run`` returns when the link is closed.

    A middlebox can lose the state of a connection: sends still succeed, but nothing
    arrives. ``last_received_at`` lets the network close such a link and dial a new one.
    """

    def __init__(
        self,
        link: AuthenticatedLink,
        dialled: bool,
        counters: PeerCounters,
        now: float,
        on_due: Callable[[PeerConnection], None],
    ) -> None:
        self.peer: PeerIdentity = link.peer
        self.dialled = dialled
        """Whether this router opened the link."""
        self.last_received_at = now
        """Time of the last frame from the peer, by the router's clock."""
        self.last_heartbeat = 0
        """Number of the last heartbeat received over this link."""
        self._link = link
        self._counters = counters
        self.has_dropped = False
        """Whether a message was dropped since this was last cleared."""
        self._queue: deque[bytes] = deque()
        self._n_queued_bytes = 0
        self._on_due = on_due
        """Called when queued messages are to be sent, by ``send_due``."""
        self._must_write = trio.Event()
        self.is_surplus = False
        """Whether either side closes the link because it is no longer needed."""
        self.opened_at = now
        self._scope = trio.CancelScope()

    def post(self, frame: bytes, can_wait: bool = False) -> bool:
        """Queue an encoded message; drop and count it if the queue is full.

        A message that ``can_wait`` leaves with the next one that cannot, or at the next
        ``flush``.
        """
        is_full = (
            len(self._queue) >= MAX_QUEUED
            or self._n_queued_bytes + len(frame) > MAX_QUEUED_BYTES
        )
        if is_full:
            self._counters.n_dropped += 1
            self.has_dropped = True
            return False
        self._queue.append(frame)
        self._n_queued_bytes += len(frame)
        if not can_wait:
            self._on_due(self)
        return True

    def flush(self) -> None:
        """Send the queued messages now."""
        if self._queue:
            self._on_due(self)

    def send_due(self) -> None:
        """Send the queued messages without waiting, or have a task wait for the peer.

        A task for each link would take two steps for each message.
        """
        if not self._queue or self._scope.cancel_called:
            return
        if not self._link.can_send_now:
            self._must_write.set()
            return
        try:
            messages = self._take_queued()
            self._count_sent(messages, self._link.send_now(messages))
        except LinkClosedError:
            self.close()
            return
        if self.is_surplus or not self._link.can_send_now:
            self._must_write.set()

    def close(self) -> None:
        """Close the link; ``run`` returns soon after."""
        self._scope.cancel()

    def close_surplus(self) -> None:
        """Close the link as no longer needed, once the peer has been notified."""
        self.is_surplus = self.post(encode(LinkClosing()))

    async def run(
        self, handle: Callable[[PeerConnection, Message], Awaitable[None]]
    ) -> None:
        """Handle received messages and send queued ones until the link closes."""
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
            self.last_received_at = trio.current_time()
            self._counters.n_messages_in += 1
            self._counters.n_bytes_in += TAG_BYTES + len(frame)
            if isinstance(message, EngineReport):
                message = message.update()
            await handle(self, message)

    async def _write(self) -> None:
        """Send what ``send_due`` leaves."""
        while True:
            await self._must_write.wait()
            self._must_write = trio.Event()
            messages = self._take_queued()
            self._count_sent(messages, await self._link.send(*messages))
            if self.is_surplus:
                self.close()

    def _take_queued(self) -> tuple[bytes, ...]:
        messages = tuple(self._queue)
        self._queue.clear()
        self._n_queued_bytes = 0
        return messages

    def _count_sent(self, messages: tuple[bytes, ...], n_bytes: int) -> None:
        self._counters.n_bytes_out += n_bytes
        self._counters.n_messages_out += len(messages)
