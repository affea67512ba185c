"""Frames of links, read and written beside the library that defines them."""

from __future__ import annotations

import socket
from unittest import mock

import trio
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.protocol import Protocol, State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from corianderlb_router._websocket_transport import (
    MAX_FIRST_BYTES,
    MAX_FRAME_BYTES,
    WebSocketTransport,
    _WebSocketLink,
)
from corianderlb_router.peer_link import FrameRefusedError, LinkClosedError, PeerLink
from corianderlb_standins.trio_case import RealTimeTestCase

URI = parse_uri("ws://router:1/")
LENGTHS = (0, 1, 125, 126, 65_535, 65_536, 200_000)
MESSAGES = [bytes([n]) * length for n, length in enumerate(LENGTHS)]


def opened(is_server: bool) -> Protocol:
    """Return the library's side of an open websocket."""
    protocol = ServerProtocol() if is_server else ClientProtocol(URI)
    protocol.state = State.OPEN
    protocol.parser = Protocol.parse(protocol)
    next(protocol.parser)
    return protocol


def link_to(is_server: bool) -> tuple[_WebSocketLink, trio.SocketStream]:
    """Return an open link and the other end of its connection."""
    ours, theirs = (
        trio.SocketStream(trio.socket.from_stdlib_socket(end))
        for end in socket.socketpair()
    )
    link = a_new_link(ours, is_server)
    link.accept_long_frames()
    return link, theirs


def a_new_link(stream: trio.SocketStream, is_server: bool) -> _WebSocketLink:
    """Return a link whose peer has not proved anything yet."""
    link = _WebSocketLink(stream, opened(is_server))
    link._has_head = True
    return link


class WebSocketLinkTest(RealTimeTestCase):
    async def test_frames_of_the_library_are_read_however_they_arrive(self) -> None:
        """Guards against messages that are lost or mixed up between two reads."""
        for is_server in (True, False):
            for n_bytes in (1, 7, 1 << 20):
                library = opened(not is_server)
                for n, message in enumerate(MESSAGES[: 5 if n_bytes == 1 else 7]):
                    library.send_ping(b"still there")
                    if n % 2:
                        library.send_binary(message)
                        continue
                    library.send_binary(message[:3], fin=False)
                    library.send_continuation(message[3:], fin=True)
                sent = b"".join(library.data_to_send())
                link, _ = link_to(is_server)
                for at in range(0, len(sent), n_bytes):
                    link._unparsed += sent[at : at + n_bytes]
                    link._parse()
                with self.subTest(is_server=is_server, n_bytes=n_bytes):
                    self.assertEqual(list(link._received), MESSAGES[: n + 1])
                    self.assertEqual(link._unparsed, b"")

    async def test_the_library_reads_the_frames_that_are_sent(self) -> None:
        for is_server in (True, False):
            link, _ = link_to(is_server)
            library = opened(not is_server)
            library.receive_data(b"".join(map(link._framed, MESSAGES)))
            got = [event.data for event in library.events_received()]
            self.assertEqual(got, MESSAGES)

    async def test_bad_frames_close_the_link(self) -> None:
        """Guards against frames that are taken although they break the protocol."""
        too_long = b"\x82\xff" + (MAX_FRAME_BYTES + 1).to_bytes(8)
        unmasked = Frame(Opcode.BINARY, b"x" * 9).serialize(mask=False)
        reserved = b"\xc2" + Frame(Opcode.BINARY, b"x").serialize(mask=True)[1:]
        for frame, exc in (
            (too_long, FrameRefusedError),
            (unmasked, LinkClosedError),
            (reserved, LinkClosedError),
        ):
            link, theirs = link_to(True)
            link._protocol.max_message_size = MAX_FRAME_BYTES
            await theirs.send_all(frame + b"rest")
            with self.subTest(frame[:2]), self.assertRaises(exc):
                await link.receive()

    async def test_long_frame_before_the_proof(self) -> None:
        """Guards against strangers that fill the memory with one frame each."""
        long = Frame(Opcode.BINARY, bytes(MAX_FIRST_BYTES + 1)).serialize(mask=True)
        parts = [
            Frame(opcode, bytes(1000), fin=False).serialize(mask=True)
            for opcode in (Opcode.BINARY, Opcode.CONT, Opcode.CONT)
        ]
        for frames in (long[:9], b"".join(parts)):
            ours, theirs = socket.socketpair()
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
            link = a_new_link(stream, True)
            link._protocol.max_message_size = MAX_FIRST_BYTES
            theirs.send(frames)
            with trio.fail_after(5), self.assertRaises(FrameRefusedError):
                await link.receive()

    async def test_connections_without_a_handshake(self) -> None:
        """Guards against strangers that fill the memory with one connection each."""
        module = _WebSocketLink.__module__
        transport = WebSocketTransport("127.0.0.1", 0)
        with mock.patch(f"{module}.MAX_OPENING", 2), trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(transport.serve, PeerLink.aclose)
                host, port = address.split(":")
                streams = [
                    await trio.open_tcp_stream(host, int(port)) for _ in range(3)
                ]
                with self.assertRaises(LinkClosedError):
                    async with transport.dial(address):
                        pass
                for stream in streams:
                    await stream.aclose()
                await trio.sleep(0.1)
                async with transport.dial(address):
                    pass
                nursery.cancel_scope.cancel()

    async def test_message_before_a_close_is_delivered(self) -> None:
        """Guards against a farewell that is lost with the link it announces."""
        library = opened(False)
        library.send_binary(b"farewell")
        library.send_close()
        link, theirs = link_to(True)
        await theirs.send_all(b"".join(library.data_to_send()))
        self.assertEqual(await link.receive(), b"farewell")
        with self.assertRaises(LinkClosedError):
            await link.receive()

    async def test_close_by_either_side_ends_at_once(self) -> None:
        """Guards against two sides that each wait for the other to end the stream."""
        for is_server in (True, False):
            sockets = map(trio.socket.from_stdlib_socket, socket.socketpair())
            ours, theirs = (
                _WebSocketLink(trio.SocketStream(end), opened(side))
                for end, side in zip(sockets, (is_server, not is_server), strict=True)
            )
            ours._has_head = theirs._has_head = True
            ended: list[_WebSocketLink] = []

            async def answer(link: _WebSocketLink, ended: list) -> None:
                with self.assertRaises(LinkClosedError):
                    await link.receive()
                await link.aclose()
                ended.append(link)

            with (
                self.subTest(is_server=is_server),
                mock.patch(f"{_WebSocketLink.__module__}.CLOSE_TIMEOUT_S", 60),
                trio.fail_after(5),
            ):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(answer, theirs, ended)
                    await ours.aclose()
                self.assertEqual(ended, [theirs])

    async def test_handshake_arrives_in_pieces_with_a_message(self) -> None:
        """Guards against a first message that is lost behind the handshake."""
        dialler = ClientProtocol(URI)
        dialler.send_request(dialler.connect())
        request = b"".join(dialler.data_to_send())
        dialler.state = State.OPEN
        dialler.send_binary(b"first")
        message = b"".join(dialler.data_to_send())
        ours, theirs = socket.socketpair()
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
        link = _WebSocketLink(stream, ServerProtocol())
        pieces = (request[:-2], request[-2:] + message)
        with mock.patch("os.read", side_effect=pieces):
            theirs.send(b"x")
            with trio.fail_after(5):
                await link.open_as_server()
                self.assertEqual(await link.receive(), b"first")
