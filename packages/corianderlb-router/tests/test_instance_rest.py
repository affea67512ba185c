"""Tests of instances that ask for rest when they turn a request away."""

from __future__ import annotations

import trio

from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import Upstream, a_router, an_answer

PROMPT = "a:100,own:50"
REST = an_answer(b"", 503, x_not_run="1", retry_after="3")

MAX_IN_REST = 2
"""Requests that an instance may get in a rest that it has asked for."""


class RestTest(TrioTestCase):
    async def test_engines_get_nothing_in_their_rest(self) -> None:
        """Guards against a fixed backoff in place of the rest that is asked for."""
        engines = {name: Upstream([REST]) for name in ("e1", "e2")}
        async with a_router(**engines) as router:
            for number in range(28):
                await router.ask("/quick/7", x_id=f"q{number}", x_prompt=PROMPT)
                await trio.sleep(0.1)
        for engine in engines.values():
            self.assertLessEqual(len(engine.requests), 1 + MAX_IN_REST)

    async def test_services_get_nothing_in_their_rest(self) -> None:
        services = {name: Upstream([REST]) for name in ("s1", "s2")}
        async with a_router(**services) as router:
            for number in range(28):
                await router.ask("/book/7", x_id=f"q{number}")
                await trio.sleep(0.1)
        for service in services.values():
            self.assertLessEqual(len(service.requests), 1 + MAX_IN_REST)
