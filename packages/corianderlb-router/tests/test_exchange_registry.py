"""Tests of the registry of open exchanges."""

from __future__ import annotations

import trio

from corianderlb_router.exchange_registry import CUT_MARGIN_S, ExchangeRegistry
from corianderlb_standins.trio_case import TrioTestCase


class StopTest(TrioTestCase):
    async def test_signal_that_is_handled_late(self) -> None:
        """Guards against a cut after the grace period, when the process is killed."""
        exchanges = ExchangeRegistry()
        arrived_at = trio.current_time()
        exchanges.terminate()
        await trio.sleep(1.5)
        exchanges.terminate()
        exchanges.begin_stop(8.0)
        self.assertAlmostEqual(exchanges.cut_at, arrived_at + 8.0 - CUT_MARGIN_S)
        self.assertAlmostEqual(exchanges.stopping_s, 1.5)
