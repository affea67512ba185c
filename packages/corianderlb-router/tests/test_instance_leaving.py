"""Tests of instances that say in their answers that they leave."""

from __future__ import annotations

from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import (
    Upstream,
    a_router,
    a_stream,
    an_answer,
)

PROMPT = "a:100,own:50"
LEAVING_ANSWER = an_answer(x_leaving="1")
LEAVING_STREAM = a_stream(1, 3).replace(b"\r\n", b"\r\nx-leaving: 1\r\n", 1)


class LeavingTest(TrioTestCase):
    async def test_engine_that_says_it_leaves_gets_nothing_more(self) -> None:
        """Guards against leaving that is heard from the store alone."""
        leaving, other = Upstream([LEAVING_STREAM]), Upstream([a_stream(1, 3)])
        async with a_router(e1=leaving, e2=other) as router:
            for number in range(20):
                caller = await router.ask(
                    "/quick/7", x_id=f"q{number}", x_prompt=PROMPT
                )
                self.assertEqual(caller.status, 200)
        self.assertLessEqual(len(leaving.requests), 1)

    async def test_service_that_says_it_leaves_is_not_taken_for_want_of_others(
        self,
    ) -> None:
        """Guards against "none is fit, so take any"."""
        leaving = Upstream([LEAVING_ANSWER])
        async with a_router(s1=leaving) as router:
            statuses = [
                (await router.ask("/book/7", x_id=f"q{number}")).status
                for number in range(4)
            ]
        self.assertEqual(statuses, [200, 503, 503, 503])
        self.assertEqual(len(leaving.requests), 1)
