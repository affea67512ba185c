"""Prove to each other that both routers hold the peer key, then seal each frame.

A stranger on the network must not join, nor feed state to the routers. Each side sends
a fresh nonce and gets an HMAC-SHA256 over both nonces and both identities; the roles
in it keep a proof from being sent back to its maker. From the same values comes a key
for this link alone: each frame carries a tag under it with its number, so that a man in
the middle who passed the handshake on can neither add, change nor repeat frames.
"""

from __future__ import annotations

import hmac
import secrets
from dataclasses import dataclass
from typing import Final, TypeVar

import cbor2

from corianderlb_core.codec import DecodeError
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import Challenge, Hello, Welcome, decode, encode

from .peer_link import FrameRefusedError, LinkClosedError, PeerLink

M = TypeVar("M", Challenge, Hello, Welcome)

NONCE_BYTES: Final = 32
"""Length of a nonce; a repeated one would let an old proof pass."""

TAG_BYTES: Final = 16
"""Bytes of the tag before each message."""

MAX_HANDSHAKE_BYTES: Final = 2048
"""Longest frame taken from a peer that has proved nothing yet."""


@dataclass(frozen=True)
class PeerIdentity:
    """Tell who is at one end of a link."""

    instance: InstanceId
    epoch: int
    zone: str
    region: str


class SealedLink:
    """Send and receive messages of one proved peer, each frame with a tag."""

    def __init__(
        self, link: PeerLink, peer: PeerIdentity, send_key: bytes, receive_key: bytes
    ) -> None:
        self.peer = peer
        self._link = link
        self._send_key = send_key
        self._receive_key = receive_key
        self._n_sent = 0
        self._n_received = 0

    async def send(self, message: bytes) -> int:
        """Send one encoded message; return the bytes of its frame."""
        frame = _tag(self._send_key, self._n_sent, message) + message
        self._n_sent += 1
        await self._link.send(frame)
        return len(frame)

    async def receive(self) -> bytes:
        """Return the next encoded message; raise ``FrameRefusedError`` if forged."""
        frame = await self._link.receive()
        tag, message = frame[:TAG_BYTES], frame[TAG_BYTES:]
        wanted = _tag(self._receive_key, self._n_received, message)
        if not hmac.compare_digest(tag, wanted):
            raise FrameRefusedError("the tag does not fit the frame")
        self._n_received += 1
        return message

    async def aclose(self) -> None:
        """End the link."""
        await self._link.aclose()


async def accept(link: PeerLink, own: PeerIdentity, key: bytes) -> SealedLink:
    """Take a link from a router that proves that it holds the key."""
    challenge = Challenge(own.instance, own.epoch, secrets.token_bytes(NONCE_BYTES))
    await link.send(encode(challenge))
    hello = await _receive(link, Hello)
    peer = PeerIdentity(hello.instance, hello.epoch, hello.zone, hello.region)
    told = _transcript(challenge, peer, hello.nonce)
    _require_proof(hello.proof, _proof(key, b"dialler", told))
    _require_nonce(hello.nonce)
    told_all = _transcript_all(told, own)
    proof = _proof(key, b"acceptor", told_all)
    await link.send(encode(Welcome(own.zone, own.region, proof)))
    out_key, in_key = _link_keys(key, told_all)
    return SealedLink(link, peer, out_key, in_key)


async def introduce(link: PeerLink, own: PeerIdentity, key: bytes) -> SealedLink:
    """Prove the key on a link that was dialled, and have the other side prove it."""
    challenge = await _receive(link, Challenge)
    _require_nonce(challenge.nonce)
    nonce = secrets.token_bytes(NONCE_BYTES)
    told = _transcript(challenge, own, nonce)
    proof = _proof(key, b"dialler", told)
    hello = Hello(own.instance, own.epoch, own.zone, own.region, nonce, proof)
    await link.send(encode(hello))
    welcome = await _receive(link, Welcome)
    peer = PeerIdentity(
        challenge.instance, challenge.epoch, welcome.zone, welcome.region
    )
    told_all = _transcript_all(told, peer)
    _require_proof(welcome.proof, _proof(key, b"acceptor", told_all))
    out_key, in_key = _link_keys(key, told_all)
    return SealedLink(link, peer, in_key, out_key)


async def _receive(link: PeerLink, cls: type[M]) -> M:
    frame = await link.receive()
    if len(frame) > MAX_HANDSHAKE_BYTES:
        raise FrameRefusedError(f"handshake frame of {len(frame)} bytes")
    try:
        message = decode(frame)
    except DecodeError as exc:
        raise FrameRefusedError(str(exc)) from exc
    if not isinstance(message, cls):
        raise FrameRefusedError(f"{type(message).__name__}, not {cls.__name__}")
    return message


def _transcript(challenge: Challenge, dialler: PeerIdentity, nonce: bytes) -> bytes:
    """Return all that both sides know before the dialler's proof."""
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


def _transcript_all(told: bytes, acceptor: PeerIdentity) -> bytes:
    return cbor2.dumps([told, acceptor.zone, acceptor.region])


def _proof(key: bytes, role: bytes, told: bytes) -> bytes:
    return hmac.digest(key, role + b"\x00" + told, "sha256")


def _link_keys(key: bytes, told: bytes) -> tuple[bytes, bytes]:
    """Return the keys of the acceptor's and of the dialler's frames."""
    return _proof(key, b"acceptor frames", told), _proof(key, b"dialler frames", told)


def _tag(key: bytes, number: int, message: bytes) -> bytes:
    return hmac.digest(key, number.to_bytes(8) + message, "sha256")[:TAG_BYTES]


def _require_proof(given: bytes, wanted: bytes) -> None:
    if not hmac.compare_digest(given, wanted):
        raise LinkClosedError("the proof is wrong; give both routers one peer key file")


def _require_nonce(nonce: bytes) -> None:
    if len(nonce) != NONCE_BYTES:
        raise FrameRefusedError(f"nonce of {len(nonce)} bytes")
