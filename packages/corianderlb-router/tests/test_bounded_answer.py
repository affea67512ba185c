"""Tests of answers without end to the router's own calls."""

from __future__ import annotations

import httpx
import trio

from corianderlb_core.header import INCARNATION
from corianderlb_router.connection import TcpConnector, UpstreamError
from corianderlb_router.upstream_client import (
    ExchangeTimeouts,
    UpstreamClient,
    epoch_of,
)
from corianderlb_standins.connection_texts import encoded_answer, endless_answers
from corianderlb_standins.loopback import EndlessHost, RawHost
from corianderlb_standins.trio_case import RealTimeTestCase

TIMEOUTS = ExchangeTimeouts(0.5, 0.5)

MAX_SENT = 16 << 20
"""Most bytes that a host gets rid of, which includes the buffers of the sockets."""

SLOW_START = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class InstanceAnswerTest(RealTimeTestCase):
    async def assert_fails(self, host: RawHost) -> None:
        """Check that each call to a host fails, and soon."""
        async with host.running():
            client = UpstreamClient(TcpConnector())
            with trio.fail_after(3.0), self.assertRaises(UpstreamError):
                await client.get(host.address, "/health", TIMEOUTS)
            with trio.fail_after(3.0), self.assertRaises(UpstreamError):
                await client.post(host.address, "/x", b"{}", TIMEOUTS)
            with trio.fail_after(3.0):
                await client.cancel(host.address, "a1")
            await client.close()

    async def test_answer_without_end(self) -> None:
        """Guards against an instance that fills the router's memory."""
        for name, texts in endless_answers().items():
            host = EndlessHost(*texts)
            with self.subTest(name):
                await self.assert_fails(host)
                self.assertLess(host.n_sent, MAX_SENT)

    async def test_answer_that_goes_on_slowly(self) -> None:
        """Guards against a call that lasts as long as its instance likes."""
        await self.assert_fails(EndlessHost(SLOW_START, b"1\r\nx\r\n", pause_s=0.2))

    async def test_encoded_answer(self) -> None:
        """Guards against a short answer that becomes a long one in the decoder."""
        await self.assert_fails(RawHost(encoded_answer(bytes(64 << 20))))
        await self.assert_fails(RawHost(encoded_answer(b"value")[:-5] + b"wrong"))

    async def test_epoch_of_many_digits(self) -> None:
        """Guards against a header that ends the task which probes instances."""
        for epoch in ("9" * 5000, "\u0663", "-1", ""):
            response = httpx.Response(200, headers=[(INCARNATION, epoch.encode())])
            self.assertEqual(epoch_of(response), 0)
