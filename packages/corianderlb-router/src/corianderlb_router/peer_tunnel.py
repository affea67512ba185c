"""Connections to upstream instances through another router.

A router that is cut off from an instance asks a peer to connect to it, over a link of
its own under the peers' key. The peer passes bytes on and decides nothing: matching,
limits, retries, the deadline and what is "not run" stay with the router that has the
caller. It only ever connects directly, so that no request takes a second detour.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import field
from typing import Final

import eliot
import trio

from corianderlb_core.codec import DecodeError
from corianderlb_core.data_class import dataclass
from corianderlb_core.error import CorianderError
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import (
    TUNNEL_END_LEVEL,
    MemberState,
    TunnelAnswer,
    TunnelOutcome,
    TunnelRequest,
    decode,
    encode,
)
from corianderlb_core.part_index import IncarnationKey
from corianderlb_core.result import ResultCode

from ._handshake import AuthenticatedLink
from .answer_end import AnswerEnd, AnswerEnds
from .connection import (
    DELIVERY_CHECK_S,
    RECEIVE_BYTES,
    ConnectFailedError,
    Connector,
    SocketStream,
    silent_s_of,
)
from .path_watch import PathWatch
from .peer_link import FrameRefusedError, LinkClosedError
from .peer_network import OverlayNetwork
from .send_permits import SendPermits
from .serving_state import ServingState

CONNECT_TIMEOUT_S: Final = 0.25
"""Timeout of the asked router's connection to the instance."""

STAGGER_S: Final = 0.3
"""Time after which another peer is asked while one has not answered. The one asked
first may be as frozen as it may be slow."""

TUNNEL_TIMEOUT_S: Final = 1.5
"""Timeout for a tunnel through any of the peers."""

MAX_ANSWERS: Final = 2
"""Peers that must find an instance unreachable until it counts as such."""

CHECK_S: Final = 1.0
"""Time for which an answer about an instance is shared."""

AVOID_S: Final = 1.0
"""Time for which a peer that could not help is asked last."""

REQUEST_TIMEOUT_S: Final = 3.0
"""Timeout for the request of a peer that has opened a tunnel."""

MEMBER_CHECK_S: Final = 1.0
"""Interval at which a tunnel looks whether its router is still a member: a machine that
is lost closes no connection."""

CLOSE_TIMEOUT_S: Final = 5.0
"""Time for the other router to close a tunnel whose instance has closed."""

CARRIED_STAY_S: Final = 0.8
"""Time for which a process has to outlive an answer that is carried. The other router
takes the instance for silent meanwhile, and replaces its attempt after 1.2 s."""

SENT_AFTER_S: Final = 0.05
"""Time without a frame after which the other router has likely sent its request, and
reads the answer."""

MAX_TUNNELS: Final = 256
"""Maximum number of tunnels that a router carries for others; bounds their memory."""

_UNREACHABLE: Final = (TunnelOutcome.REFUSED, TunnelOutcome.SILENT)


class NoTunnelError(CorianderError):
    """Raised when no other router could tell whether it reaches an instance."""

    code = ResultCode.NO_UPSTREAM


class TunnelStream(trio.abc.Stream):
    """Connection to an instance through a peer, once the peer has opened it."""

    def __init__(self, link: AuthenticatedLink, stack: AsyncExitStack) -> None:
        self.peer = link.peer.instance
        """The router that carries the connection."""
        self.confirms_end = link.peer.level >= TUNNEL_END_LEVEL
        """Whether that router tells the end of a process from that of an answer."""
        self._link = link
        self._stack = stack
        self._has_ended = False

    async def send_all(self, data: bytes) -> None:
        """Send all bytes, or as many as the peer takes.

        An answer may have arrived before the peer has closed; the next read tells.
        """
        frames = [
            data[start : start + RECEIVE_BYTES]
            for start in range(0, len(data), RECEIVE_BYTES)
        ]
        with suppress(LinkClosedError):
            await self._link.send(*frames)

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once: frames are written as they are sent."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes; empty once the instance has closed its side.

        A broken tunnel is never the end of a body.
        """
        if self._has_ended:
            await trio.lowlevel.checkpoint()
            return b""
        try:
            data = await self._link.receive()
        except (LinkClosedError, FrameRefusedError) as exc:
            raise trio.BrokenResourceError(str(exc)) from exc
        self._has_ended = not data
        return data

    async def aclose(self) -> None:
        """Close the tunnel at once, which closes the connection to the instance."""
        with trio.CancelScope(shield=True):
            await self._link.abort()
            await self._stack.aclose()


class OpenedConnector(Connector):
    """Hands over a connection that is open already."""

    def __init__(self, stream: TunnelStream) -> None:
        self._stream = stream

    async def connect(self, address: str) -> trio.abc.Stream:
        """Return the connection."""
        return self._stream


@dataclass
class _Check:
    """Question whether peers reach an instance."""

    asked_at: float
    reaches: bool = False
    is_done: trio.Event = field(default_factory=trio.Event)


@dataclass
class _Race:
    """Peers that are asked for a tunnel to the same instance."""

    nursery: trio.Nursery = field(init=False)
    opened: TunnelStream | None = None
    unreachable: list[TunnelOutcome] = field(default_factory=list)
    """Answers of peers that do not reach the instance."""
    reasons: list[str] = field(default_factory=list)

    @property
    def is_decided(self) -> bool:
        """Whether no further peer needs to be asked."""
        return self.opened is not None or len(self.unreachable) >= MAX_ANSWERS


class Tunnels:
    """Opens connections to instances through the linked routers."""

    def __init__(self, network: OverlayNetwork, zone: str, rng: random.Random) -> None:
        self._network = network
        self._zone = zone
        self._rng = rng
        self._avoid_until: dict[InstanceId, float] = {}
        self._checks: dict[IncarnationKey, _Check] = {}

    async def reaches(self, instance: ForwardInstance) -> bool:
        """Return whether a peer can connect to an instance.

        Requests that fail together share one answer.
        """
        now, key = trio.current_time(), instance.incarnation_key
        check = self._checks.get(key)
        if check is not None and now - check.asked_at < CHECK_S:
            await check.is_done.wait()
            return check.reaches
        check = self._checks[key] = _Check(now)
        try:
            stream = await self.open(instance)
            check.reaches = True
            await trio.aclose_forcefully(stream)
        except (ConnectFailedError, NoTunnelError):
            pass
        finally:
            check.is_done.set()
        return check.reaches

    async def open(self, instance: ForwardInstance) -> TunnelStream:
        """Return a connection to an instance.

        Raise ``ConnectFailedError`` if peers do not reach the instance either, and
        ``NoTunnelError`` if none could tell.
        """
        race = _Race()
        try:
            with trio.move_on_after(TUNNEL_TIMEOUT_S):
                await self._run_race(race, instance)
        except BaseException:
            if race.opened is not None:
                await race.opened.aclose()
            raise
        if race.opened is not None:
            return race.opened
        reasons = ", ".join(race.reasons) or "no peer"
        message = f"{instance.address}: no tunnel ({reasons})"
        if not race.unreachable:
            raise NoTunnelError(message)
        is_refused = TunnelOutcome.REFUSED in race.unreachable
        raise ConnectFailedError(message, refused=is_refused)

    async def _run_race(self, race: _Race, instance: ForwardInstance) -> None:
        """Ask one peer after the other until one has opened a connection."""
        async with trio.open_nursery() as race.nursery:
            for peer in self._peers():
                is_done = trio.Event()
                race.nursery.start_soon(self._try, peer, instance, race, is_done)
                with trio.move_on_after(STAGGER_S):
                    await is_done.wait()
                if race.is_decided:
                    break

    async def _try(
        self,
        peer: MemberState,
        instance: ForwardInstance,
        race: _Race,
        is_done: trio.Event,
    ) -> None:
        """Ask one peer for a tunnel."""
        outcome: TunnelOutcome | str = f"no answer in {TUNNEL_TIMEOUT_S} s"
        async with AsyncExitStack() as stack:
            try:
                dialled = self._network.dial_tunnel(peer)
                link = await stack.enter_async_context(dialled)
                outcome = await self._ask(link, instance)
            except LinkClosedError as exc:
                outcome = f"no link: {exc}"
            except FrameRefusedError as exc:
                outcome = f"unreadable answer: {exc}"
            finally:
                if race.opened is None:
                    self._record(peer, instance, outcome, race)
            if outcome is TunnelOutcome.OPEN and race.opened is None:
                race.opened = TunnelStream(link, stack.pop_all())
                race.nursery.cancel_scope.cancel()
        is_done.set()

    def _peers(self) -> list[MemberState]:
        """Return the routers to ask: of this zone first, those that failed last."""
        now = trio.current_time()
        return sorted(
            self._network.tunnel_peers(),
            key=lambda peer: (
                self._avoid_until.get(peer.instance, 0.0) > now,
                peer.zone != self._zone,
                self._rng.random(),
            ),
        )

    @staticmethod
    async def _ask(link: AuthenticatedLink, instance: ForwardInstance) -> TunnelOutcome:
        await link.send(encode(TunnelRequest(*instance.incarnation_key)))
        try:
            answer = decode(await link.receive())
        except DecodeError as exc:
            raise FrameRefusedError(str(exc)) from exc
        if not isinstance(answer, TunnelAnswer):
            raise FrameRefusedError(f"received {type(answer).__name__}")
        return answer.outcome

    def _record(
        self,
        peer: MemberState,
        instance: ForwardInstance,
        outcome: TunnelOutcome | str,
        race: _Race,
    ) -> None:
        if outcome is TunnelOutcome.OPEN:
            return
        race.reasons.append(f"{peer.instance}: {_text(outcome)}")
        if outcome in _UNREACHABLE:
            race.unreachable.append(outcome)
        elif outcome is not TunnelOutcome.UNKNOWN:
            self._avoid_until[peer.instance] = trio.current_time() + AVOID_S
        eliot.log_message(
            message_type="tunnel:not_opened",
            peer=peer.instance,
            instance=instance.instance,
            reason=_text(outcome),
        )


def _text(outcome: TunnelOutcome | str) -> str:
    return outcome.value if isinstance(outcome, TunnelOutcome) else outcome


async def _send(stream: trio.abc.Stream, data: bytes) -> bool:
    """Send data to an instance; return whether it takes any more.

    One that has closed may have answered before, so the tunnel ends with its answer.
    """
    try:
        await stream.send_all(data)
    except trio.BrokenResourceError:
        return False
    return True


@dataclass
class _Upload:
    """What the other router sends on a connection that is carried for it."""

    received_at: float
    """When the last frame arrived."""
    is_writing: bool = False
    """Whether a frame is being passed on."""

    async def wait_until_taken(self, stream: trio.abc.Stream) -> None:
        """Wait until the instance has all that has arrived.

        Raise ``trio.BrokenResourceError`` if its connection fails before.
        """
        if not isinstance(stream, SocketStream):
            return
        while self.is_writing and not stream.has_failed:
            await trio.sleep(DELIVERY_CHECK_S)
        await stream.wait_until_delivered()

    async def wait_until_sent(self) -> None:
        """Wait until the other router sends no more, so that it reads the answer.

        A link that is closed before would lose the rest of an answer that is whole.
        """
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            while trio.current_time() < self.received_at + SENT_AFTER_S:
                await trio.sleep_until(self.received_at + SENT_AFTER_S)


class TunnelServer:
    """Carries connections to instances for routers that do not reach them."""

    def __init__(
        self,
        state: ServingState,
        paths: PathWatch,
        permits: SendPermits,
        connector: Connector,
        is_member: Callable[[InstanceId], bool],
        ends: AnswerEnds | None = None,
    ) -> None:
        """Use ``ends`` to find out what has closed connections."""
        self._ends = ends
        self._is_member = is_member
        self._state = state
        self._paths = paths
        self._permits = permits
        self._connector = connector
        self._n_open = 0
        self._emptied = trio.Event()
        self.is_leaving = False
        """True while this router shuts down; it opens no new tunnel then."""

    @property
    def n_open(self) -> int:
        """Number of tunnels that are being carried."""
        return self._n_open

    async def wait_until_empty(self) -> None:
        """Wait until no tunnel is carried."""
        while self._n_open:
            await self._emptied.wait()

    async def serve(self, link: AuthenticatedLink) -> None:
        """Serve one tunnel until either side ends it."""
        self._n_open += 1
        try:
            await self._serve(link)
        except (LinkClosedError, FrameRefusedError, DecodeError, trio.TooSlowError):
            # The other router has left, or is none of ours.
            pass
        finally:
            self._n_open -= 1
            if not self._n_open:
                self._emptied.set()
                self._emptied = trio.Event()
            with trio.CancelScope(shield=True):
                await link.aclose()

    async def _serve(self, link: AuthenticatedLink) -> None:
        with trio.fail_after(REQUEST_TIMEOUT_S):
            req = decode(await link.receive())
        if not isinstance(req, TunnelRequest):
            return
        instance = self._state.instance(req.instance)
        opened_at = trio.current_time()
        outcome, stream = await self._connect(req, instance)
        try:
            await link.send(encode(TunnelAnswer(outcome)))
            if stream is not None and instance is not None:
                await self._carry(link, stream, instance, opened_at)
        finally:
            if stream is not None:
                await trio.aclose_forcefully(stream)

    async def _connect(
        self, req: TunnelRequest, instance: ForwardInstance | None
    ) -> tuple[TunnelOutcome, trio.abc.Stream | None]:
        if self.is_leaving or self._n_open > MAX_TUNNELS:
            return TunnelOutcome.BUSY, None
        if (
            instance is None
            or instance.born_ms != req.born_ms
            or not self._state.accepts_requests(instance)
            or self._permits.is_resting(instance)
        ):
            return TunnelOutcome.UNKNOWN, None
        if self._paths.is_cut(instance):
            return TunnelOutcome.CUT_OFF, None
        since = trio.current_time()
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._connector.connect(instance.address)
        except trio.TooSlowError:
            self._paths.failed(instance, since, "no connection for a peer")
            return TunnelOutcome.SILENT, None
        except (OSError, ValueError, OverflowError) as exc:
            self._paths.failed(instance, since, f"no connection for a peer: {exc}")
            return TunnelOutcome.REFUSED, None
        return TunnelOutcome.OPEN, stream

    async def _carry(
        self,
        link: AuthenticatedLink,
        stream: trio.abc.Stream,
        instance: ForwardInstance,
        opened_at: float,
    ) -> None:
        """Pass bytes on until either side ends; each waits for the other to read."""
        upload = _Upload(opened_at)
        async with trio.open_nursery() as nursery:

            async def send_up() -> None:
                is_taken = True
                try:
                    while data := await link.receive():
                        upload.received_at = trio.current_time()
                        if is_taken:
                            upload.is_writing = True
                            is_taken = await _send(stream, data)
                            upload.is_writing = False
                except (LinkClosedError, FrameRefusedError):
                    pass
                nursery.cancel_scope.cancel()

            async def end_without_router() -> None:
                while self._is_member(link.peer.instance):
                    await trio.sleep(MEMBER_CHECK_S)
                nursery.cancel_scope.cancel()

            nursery.start_soon(send_up)
            nursery.start_soon(end_without_router)
            try:
                await self._send_down(link, stream, instance, upload, opened_at)
            except LinkClosedError:
                pass
            nursery.cancel_scope.cancel()

    async def _send_down(
        self,
        link: AuthenticatedLink,
        stream: trio.abc.Stream,
        instance: ForwardInstance,
        upload: _Upload,
        opened_at: float,
    ) -> None:
        has_answered, is_end = False, True
        try:
            while data := await stream.receive_some(RECEIVE_BYTES):
                if not has_answered:
                    has_answered = True
                    self._paths.answered(instance, opened_at)
                await link.send(data)
            if has_answered:
                is_end = await self._is_end_of_answer(stream, instance)
            if is_end:
                await upload.wait_until_taken(stream)
        except trio.BrokenResourceError as exc:
            is_end = False
            if not has_answered:
                self._paths.failed(instance, opened_at, f"broken for a peer: {exc}")
        if not is_end:
            if has_answered:
                await upload.wait_until_sent()
            # Without the empty frame, the other router sees a broken connection.
            await link.abort()
            return
        await link.send(b"")
        # The other router closes once it has read the end.
        await trio.sleep(CLOSE_TIMEOUT_S)

    async def _is_end_of_answer(
        self, stream: trio.abc.Stream, instance: ForwardInstance
    ) -> bool:
        """Return whether the instance itself has closed its connection.

        The other router can't find out, since it doesn't reach the instance. It closes
        the tunnel meanwhile if the answer has a mark of its end.
        """
        if self._ends is None:
            return True
        ended_at = trio.current_time() - silent_s_of(stream)
        end = await self._ends.judge(instance, ended_at, ended_at + CARRIED_STAY_S)
        return end is AnswerEnd.CLOSED
