"""Tests of the signals of a forwarding router."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import trio

from corianderlb_router.forward_node import ForwardNode
from corianderlb_standins.trio_case import RealTimeTestCase

open_receiver = trio.open_signal_receiver


@contextmanager
def open_after_a_signal(*numbers: signal.Signals) -> Iterator[object]:
    """Open a receiver right after a signal has come."""
    signal.raise_signal(signal.SIGTERM)
    with open_receiver(*numbers) as signals:
        yield signals


class EarlySignalTest(RealTimeTestCase):
    async def test_signal_before_the_receiver_is_open(self) -> None:
        """Guards against a router that never stops, as its signal was ignored."""
        handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        for number in handled:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        node = mock.create_autospec(ForwardNode, instance=True)
        terminated = trio.Event()
        node._on_terminate = terminated.set
        node._on_signal = lambda number: ForwardNode._on_signal(node, number)
        with mock.patch.object(trio, "open_signal_receiver", open_after_a_signal):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ForwardNode._handle_signals, node)
                with trio.move_on_after(1):
                    await terminated.wait()
                nursery.cancel_scope.cancel()
        self.assertTrue(terminated.is_set())
