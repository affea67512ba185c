"""Tests of the client for upstream instances with broken answers."""

from __future__ import annotations

import itertools
from contextlib import suppress

import trio

from corianderlb_router.connection import TcpConnector, UpstreamError
from corianderlb_router.upstream_client import (
    ExchangeTimeouts,
    Outbound,
    UpstreamClient,
)
from corianderlb_standins.connection_texts import cut_answers, framed_answers
from corianderlb_standins.loopback import EarlyEnding, EarlyHost, KeptHost, RawHost
from corianderlb_standins.malformed_answers import malformed_answers
from corianderlb_standins.trio_case import RealTimeTestCase

ATTEMPT = b"corianderlb-attempt-id: a1"
"""Field that an answer to a call needs."""

TIMEOUTS = ExchangeTimeouts(1.0, 1.0)


class BrokenAnswerTest(RealTimeTestCase):
    async def get(self, client: UpstreamClient, address: str) -> bytes:
        """Return the answer to a call about an instance."""
        return (await client.get(address, "/health", TIMEOUTS)).content

    async def call(
        self, client: UpstreamClient, address: str, body: bytes = b""
    ) -> bytes:
        """Return the answer to a call that is passed on for a caller."""
        outbound = Outbound(address, "POST", "/x", "a1", body=body)
        response = await client.open(outbound, TIMEOUTS)
        try:
            return b"".join([part async for part in response.aiter_raw()])
        finally:
            await response.aclose()

    async def test_cut_at_each_byte(self) -> None:
        """Guards against a part of an answer that is taken for all of it."""
        for ask in (self.get, self.call):
            n_whole = 0
            for name, answer, resets in cut_answers(b"value", ATTEMPT):
                value = None
                with trio.fail_after(10):
                    async with RawHost(answer, resets).running() as host:
                        client = UpstreamClient(TcpConnector())
                        with suppress(UpstreamError):
                            value = await ask(client, host.address)
                        await client.close()
                n_whole += value is not None
                with self.subTest(name, ask=ask.__name__):
                    self.assertIn(value, (None, b"value"))
            self.assertGreater(n_whole, 0)

    async def test_malformed_answers(self) -> None:
        """Guards against a field, a body or a status that the instance has not sent."""
        for ask in (self.get, self.call):
            for name, answer in malformed_answers(b"value", ATTEMPT):
                value = None
                with trio.fail_after(10):
                    async with RawHost(answer).running() as host:
                        client = UpstreamClient(TcpConnector())
                        with suppress(UpstreamError):
                            value = await ask(client, host.address)
                        await client.close()
                with self.subTest(name, ask=ask.__name__):
                    self.assertIsNone(value)

    async def test_bytes_after_an_answer(self) -> None:
        """Guards against what follows an answer being read as the next one."""
        stale = framed_answers(b"stale", ATTEMPT)["length"]
        no_body = b"HTTP/1.1 204 No\r\n" + ATTEMPT + b"\r\ncontent-length: 5\r\n\r\n"
        answers = {**framed_answers(b"value", ATTEMPT), "no body": no_body}
        del answers["close"]
        for ask in (self.get, self.call):
            for name, answer in answers.items():
                for more in (b"", stale, b"\r\n"):
                    values = []
                    with trio.fail_after(10):
                        async with KeptHost(answer + more).running() as host:
                            client = UpstreamClient(TcpConnector())
                            for _ in range(3):
                                values.append(await ask(client, host.address))
                            await client.close()
                    with self.subTest(name, ask=ask.__name__, more=more):
                        expected = b"" if name == "no body" else b"value"
                        self.assertEqual(values, [expected] * 3)

    async def test_answer_before_the_upload_is_read(self) -> None:
        """Guards against a reset that the upload was told of, and whole ones lost."""
        answers = framed_answers(b"value", ATTEMPT)
        for framing, ending in itertools.product(answers, EarlyEnding):
            value = None
            with trio.fail_after(10):
                async with EarlyHost(answers[framing], ending).running() as host:
                    client = UpstreamClient(TcpConnector())
                    with suppress(UpstreamError):
                        value = await self.call(client, host.address, bytes(1 << 22))
                    await client.close()
            with self.subTest(framing, ending=ending):
                # An answer without length is never read here.
                self.assertEqual(value, None if framing == "close" else b"value")
