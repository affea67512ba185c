"""Mutual authentication of routers by the peer key, and of each frame.

Only holders of the peer key may join or send state. Each side sends a fresh nonce and
receives an HMAC-SHA256 over both nonces and both identities; the role in it prevents
reflection of a proof to its sender. Per-link keys are derived from the same values.
Each frame carries a tag over its sequence number and message, so that a man in the
middle who relayed the handshake can't add, change or replay frames.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Sequence
from typing import Final, TypeVar

import cbor2

from corianderlb_core.codec import DecodeError
from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import (
    LEVEL,
    Challenge,
    Hello,
    Welcome,
    decode,
    encode,
)

from .peer_link import FrameRefusedError, LinkClosedError, PeerLink

M = TypeVar("M", Challenge, Hello, Welcome)

NONCE_BYTES: Final = 32
"""Length of a nonce; a repeated nonce would allow replay of a proof."""

TAG_BYTES: Final = 16
"""Length of the tag before each message."""

MAX_HANDSHAKE_BYTES: Final = 2048
"""Longest frame accepted from an unauthenticated peer."""


@dataclass(frozen=True)
class PeerIdentity:
    """Identity of the router at one end of a link."""

    instance: InstanceId
    epoch: int
    zone: str
    region: str
    level: int = 0
    """Level of the messages that it understands. The proofs do not cover it: a wrong
    one can only close the link."""
    purpose: str = ""
    """What the router dialled the link for. Not covered either, for the same reason."""


class FrameTags:
    """Tags of the frames of one direction: HMAC-SHA256, cut to ``TAG_BYTES``.

    The two hashes of RFC 2104 are copied with the key already in them. A copy of the
    standard library's object takes twice as long, and a link makes one a message.
    """

    def __init__(self, key: bytes) -> None:
        block = key.ljust(hashlib.sha256().block_size, b"\0")
        self._inner = hashlib.sha256(bytes(byte ^ 0x36 for byte in block))
        self._outer = hashlib.sha256(bytes(byte ^ 0x5C for byte in block))

    def tag(self, number: int, message: bytes) -> bytes:
        """Return the tag of a message with its sequence number."""
        inner, outer = self._inner.copy(), self._outer.copy()
        inner.update(number.to_bytes(8) + message)
        outer.update(inner.digest())
        return outer.digest()[:TAG_BYTES]


class AuthenticatedLink:
    """Link to an authenticated peer, with a tag on each frame."""

    def __init__(
        self, link: PeerLink, peer: PeerIdentity, send_key: bytes, receive_key: bytes
    ) -> None:
        self.peer = peer
        self._link = link
        self._send_tags = FrameTags(send_key)
        self._receive_tags = FrameTags(receive_key)
        self._n_sent = 0
        self._n_received = 0

    async def send(self, *messages: bytes) -> int:
        """Send encoded messages in order; return the bytes of their frames."""
        frames = self._frames(messages)
        await self._link.send_all(frames)
        return sum(len(frame) for frame in frames)

    @property
    def can_send_now(self) -> bool:
        """Whether messages can be sent without waiting."""
        return self._link.can_send_now

    def send_now(self, messages: Sequence[bytes]) -> int:
        """Send encoded messages without waiting; return the bytes of their frames.

        What is left is written by the next ``send``, if only of no messages.
        """
        frames = self._frames(messages)
        self._link.send_now(frames)
        return sum(len(frame) for frame in frames)

    def _frames(self, messages: Sequence[bytes]) -> list[bytes]:
        frames = []
        for message in messages:
            frames.append(self._send_tags.tag(self._n_sent, message) + message)
            self._n_sent += 1
        return frames

    async def receive(self) -> bytes:
        """Return the next encoded message; raise ``FrameRefusedError`` if forged."""
        frame = await self._link.receive()
        tag, message = frame[:TAG_BYTES], frame[TAG_BYTES:]
        expected_digest = self._receive_tags.tag(self._n_received, message)
        if not hmac.compare_digest(tag, expected_digest):
            raise FrameRefusedError("frame tag is invalid")
        self._n_received += 1
        return message

    async def aclose(self) -> None:
        """Close the link."""
        await self._link.aclose()

    async def abort(self) -> None:
        """Close the link at once, without waiting for the peer."""
        await self._link.abort()


async def accept(link: PeerLink, own: PeerIdentity, key: bytes) -> AuthenticatedLink:
    """Run the acceptor's side of the handshake; return the authenticated link."""
    challenge = Challenge(own.instance, own.epoch, secrets.token_bytes(NONCE_BYTES))
    await link.send(encode(challenge))
    hello = await _receive(link, Hello)
    peer = PeerIdentity(
        hello.instance,
        hello.epoch,
        hello.zone,
        hello.region,
        hello.level,
        hello.purpose,
    )
    transcript = _dialler_transcript(challenge, peer, hello.nonce)
    _require_proof(hello.proof, _proof(key, b"dialler", transcript))
    _require_nonce(hello.nonce)
    link.accept_long_frames()
    full_transcript = _full_transcript(transcript, own)
    proof = _proof(key, b"acceptor", full_transcript)
    await link.send(encode(Welcome(own.zone, own.region, proof, LEVEL)))
    acceptor_key, dialler_key = _link_keys(key, full_transcript)
    return AuthenticatedLink(link, peer, acceptor_key, dialler_key)


async def initiate(link: PeerLink, own: PeerIdentity, key: bytes) -> AuthenticatedLink:
    """Run the dialler's side of the handshake; return the authenticated link."""
    challenge = await _receive(link, Challenge)
    _require_nonce(challenge.nonce)
    nonce = secrets.token_bytes(NONCE_BYTES)
    transcript = _dialler_transcript(challenge, own, nonce)
    proof = _proof(key, b"dialler", transcript)
    hello = Hello(
        own.instance,
        own.epoch,
        own.zone,
        own.region,
        nonce,
        proof,
        LEVEL,
        own.purpose,
    )
    await link.send(encode(hello))
    welcome = await _receive(link, Welcome)
    peer = PeerIdentity(
        challenge.instance,
        challenge.epoch,
        welcome.zone,
        welcome.region,
        welcome.level,
    )
    full_transcript = _full_transcript(transcript, peer)
    _require_proof(welcome.proof, _proof(key, b"acceptor", full_transcript))
    acceptor_key, dialler_key = _link_keys(key, full_transcript)
    return AuthenticatedLink(link, peer, dialler_key, acceptor_key)


async def _receive(link: PeerLink, cls: type[M]) -> M:
    frame = await link.receive()
    if len(frame) > MAX_HANDSHAKE_BYTES:
        raise FrameRefusedError(
            f"handshake frame of {len(frame)} bytes; limit {MAX_HANDSHAKE_BYTES}"
        )
    try:
        message = decode(frame)
    except DecodeError as exc:
        raise FrameRefusedError(str(exc)) from exc
    if not isinstance(message, cls):
        raise FrameRefusedError(
            f"received {type(message).__name__}, expected {cls.__name__}"
        )
    return message


def _dialler_transcript(
    challenge: Challenge, dialler: PeerIdentity, nonce: bytes
) -> bytes:
    """Return the values that both sides know before the dialler's proof."""
    return cbor2.dumps(
        [
            challenge.instance,
            challenge.epoch,
            challenge.nonce,
            dialler.instance,
            dialler.epoch,
            dialler.zone,
            dialler.region,
            nonce,
        ]
    )


def _full_transcript(transcript: bytes, acceptor: PeerIdentity) -> bytes:
    return cbor2.dumps([transcript, acceptor.zone, acceptor.region])


def _proof(key: bytes, role: bytes, transcript: bytes) -> bytes:
    return hmac.digest(key, role + b"\x00" + transcript, "sha256")


def _link_keys(key: bytes, transcript: bytes) -> tuple[bytes, bytes]:
    """Derive the keys for the acceptor's and the dialler's frames."""
    return (
        _proof(key, b"acceptor frames", transcript),
        _proof(key, b"dialler frames", transcript),
    )


def _require_proof(received_digest: bytes, expected_digest: bytes) -> None:
    if not hmac.compare_digest(received_digest, expected_digest):
        raise LinkClosedError(
            "invalid peer key proof; use the same peer key file on both routers"
        )


def _require_nonce(nonce: bytes) -> None:
    if len(nonce) != NONCE_BYTES:
        raise FrameRefusedError(f"nonce of {len(nonce)} bytes; must be {NONCE_BYTES}")
