"""Tests of what callers are told while instances fail at random, by seed."""

from __future__ import annotations

from typing import Final

from corianderlb_standins.trio_case import TrioTestCase
from random_play import RandomPlay

SEEDS: Final = range(1, 41)
"""Seeds of the suite."""


class RandomFailureTest(TrioTestCase):
    async def test_what_may_run_once(self) -> None:
        """Guards against a status for "not run" of a request that has run or runs."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                play = RandomPlay(seed)
                await play.run()
                self.assertEqual(play.faults(), [])
