"""Tests that a caller gets a status for "not run" only if its request has not run."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Iterable, Iterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from itertools import product
from typing import Final
from unittest import mock

import trio

from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_core.forwarding import RepeatKind
from corianderlb_core.result import NOT_RUN_STATUSES, ResultCode
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller
from detour_builders import a_cut_router
from forward_builders import (
    NOT_RUN,
    ForwardRouter,
    Upstream,
    a_configuration,
    a_route,
    a_router,
    a_stream,
    an_answer,
    unframed,
    unsealed,
)

PROMPT: Final = "a:100,own:50"
BODY: Final = b"not confirmed"

ROUTES: Final = (
    a_route("book", RepeatKind.AT_MOST_ONCE, "app", max_attempts=2),
    a_route("quick", RepeatKind.STREAM, "llm", max_attempts=2),
    a_route("read", RepeatKind.IDEMPOTENT, "app", max_attempts=2),
    a_route("long", RepeatKind.STREAM, "llm", max_attempts=2, may_resume=True),
)
"""Routes that may all use two instances."""

HOSTS: Final = {
    "book": ("s1", "s2"),
    "quick": ("e1", "e2"),
    "read": ("s1", "s2"),
    "long": ("e1", "e2"),
}
"""Instances of each route."""

ONCE: Final = ("book", "quick")
"""Routes whose requests may not run again after they may have run."""

OTHER_FAILURES: Final = (400, 404, 409, 500, 502, 504)
"""Statuses of an instance that tell nothing of whether a request has run."""

NO_RETRIES: Final = BudgetTerms(ratio=0.0, fixed=0.0)

Form = Callable[[int, str], bytes]
"""Builds an answer with a status, of an instance by its name."""

UNSTATED: Final[dict[str, Form]] = {
    "sealed": lambda status, host: an_answer(BODY, status),
    "unsealed": lambda status, host: unsealed(an_answer(BODY, status)),
    "with a rest": lambda status, host: an_answer(BODY, status, retry_after="0.2"),
    "named": lambda status, host: an_answer(BODY, status, x_instance=host),
    "without length": lambda status, host: unframed(an_answer(BODY, status)),
}
"""Answers after a run, or that don't tell that there was none."""

STATED: Final[dict[str, Form]] = {
    "bare": lambda status, host: unsealed(an_answer(b"", status, x_not_run="1")),
    "sealed": lambda status, host: an_answer(BODY, status, x_not_run="1"),
    "named": lambda status, host: an_answer(
        BODY, status, x_not_run="1", x_instance=host
    ),
}
"""Answers that state that the request has not run."""


@dataclass(frozen=True)
class Outcome:
    """What a caller got, and how often instances got its request."""

    caller: FakeCaller
    n_arrivals: int

    @property
    def is_sealed(self) -> bool:
        return bool(self.caller.answer_headers.get("x-seal"))

    @property
    def retry_after_s(self) -> float:
        return float(self.caller.answer_headers.get("retry-after", 0.0))


@asynccontextmanager
async def through_a_peer(
    budget: BudgetTerms | None = None, **upstreams: Upstream
) -> AsyncIterator[ForwardRouter]:
    """Run a router that reaches its instances through a peer alone."""
    async with a_cut_router(budget, **upstreams) as cut:
        yield cut.router


WAYS: Final = {"direct": a_router, "through a peer": through_a_peer}


def cells(
    routes: Iterable[str], forms: Mapping[str, Form]
) -> Iterator[tuple[str, str, int, str]]:
    """Return each route with each way, each status and the name of each form."""
    return product(routes, WAYS, sorted(NOT_RUN_STATUSES), forms)


class NotRunStatusTest(TrioTestCase):
    async def ask(
        self,
        route: str,
        *script: bytes | Callable[[str], bytes],
        way: str = "direct",
        budget: BudgetTerms | None = None,
    ) -> Outcome:
        """Send a request on a route whose instances all answer by a script."""
        upstreams = {}
        for name in HOSTS[route]:
            answers = [
                item if isinstance(item, bytes) else item(name) for item in script
            ]
            upstreams[name] = Upstream(answers, closes=True)
        async with WAYS[way](budget, **upstreams) as router:
            router.configure(a_configuration(routes=ROUTES))
            caller = await router.ask(f"/{route}/7", x_prompt=PROMPT)
        n_arrivals = sum(len(found.requests) for found in upstreams.values())
        return Outcome(caller, n_arrivals)

    def assert_outcome_unknown(self, found: Outcome) -> None:
        self.assertEqual(found.caller.status, 502)
        self.assertIn(ResultCode.OUTCOME_UNKNOWN.name.encode(), found.caller.answer)
        self.assertEqual((found.is_sealed, found.retry_after_s), (False, 0.0))

    def assert_passed_on(self, found: Outcome, status: int) -> None:
        caller = found.caller
        self.assertEqual((caller.status, caller.answer), (status, BODY))
        self.assertTrue(found.is_sealed)

    def assert_refused(self, found: Outcome) -> None:
        self.assertEqual(found.caller.status, 503)
        self.assertFalse(found.is_sealed)
        self.assertGreater(found.retry_after_s, 0.0)

    async def test_request_that_may_run_once_and_may_have_run(self) -> None:
        """Guards against an instance's own 503 that makes its caller order twice."""
        for route, way, status, name in cells(ONCE, UNSTATED):
            with self.subTest(name, route=route, way=way, status=status):
                answer = partial(UNSTATED[name], status)
                found = await self.ask(route, answer, way=way)
                self.assert_outcome_unknown(found)
                self.assertEqual(found.n_arrivals, 1)

    async def test_log_tells_both_statuses(self) -> None:
        """Guards against logs that hide what an instance has answered."""
        log = mock.Mock()
        with mock.patch("corianderlb_router.forward_dispatcher.log_request", log):
            await self.ask("book", an_answer(BODY, 503))
        line = log.call_args.kwargs
        self.assertEqual((line["result"], line["status"]), ("OUTCOME_UNKNOWN", 502))
        (attempt,) = line["attempts"]
        self.assertEqual(
            (attempt.outcome, attempt.detail), ("serverfailure", "status 503")
        )

    async def test_request_that_has_certainly_not_run(self) -> None:
        """Guards against a 502 that costs a caller its next try."""
        for route, way, status, name in cells(HOSTS, STATED):
            with self.subTest(name, route=route, way=way, status=status):
                started_at = trio.current_time()
                answer = partial(STATED[name], status)
                found = await self.ask(route, answer, way=way, budget=NO_RETRIES)
                self.assert_refused(found)
                self.assertEqual(trio.current_time(), started_at)

    async def test_refusal_in_the_name_of_another_instance(self) -> None:
        """Guards against a request at a reused address that is taken for run."""
        for route in HOSTS:
            for seal in (bytes, unsealed):
                answer = seal(an_answer(b"", 421, x_instance="x9"))
                with self.subTest(route, seal=seal):
                    found = await self.ask(route, answer)
                    self.assert_refused(found)

    async def test_other_failures_are_passed_on(self) -> None:
        """Guards against failures that lose the status that their instance gave."""
        for route in HOSTS:
            for status in OTHER_FAILURES:
                with self.subTest(route, status=status):
                    answer = an_answer(BODY, status)
                    found = await self.ask(route, answer)
                    self.assert_passed_on(found, status)

    async def test_request_that_may_run_again(self) -> None:
        """Guards against changed answers where a repeat does no harm."""
        for route in set(HOSTS) - set(ONCE):
            for status in sorted(NOT_RUN_STATUSES):
                with self.subTest(route, status=status):
                    answer = an_answer(BODY, status)
                    found = await self.ask(route, answer)
                    self.assert_passed_on(found, status)
                    self.assertLessEqual(found.n_arrivals, 2)

    async def test_refusal_before_or_after_a_run(self) -> None:
        """Guards against a first refusal that stands for the whole request."""
        ran = an_answer(BODY, 503)
        for route in ONCE:
            with self.subTest(route):
                found = await self.ask(route, NOT_RUN, ran)
                self.assert_outcome_unknown(found)
        # A repeat that is refused leaves the first answer to be passed on.
        found = await self.ask("read", an_answer(BODY, 500), NOT_RUN)
        self.assertEqual(found.caller.status, 500)

    async def test_repeat_after_a_misdirected_answer(self) -> None:
        """Guards against an instance with other weights that ends a repeatable call."""
        for route, good in (("read", an_answer()), ("long", a_stream(1, 2))):
            with self.subTest(route):
                bad = an_answer(BODY, 421)
                upstreams = {name: Upstream([good]) for name in HOSTS[route]}
                upstreams[HOSTS[route][0]].script = [bad, good]
                async with a_router(**upstreams) as router:
                    router.configure(a_configuration(routes=ROUTES))
                    for number in range(4):
                        name = f"q{number}"
                        caller = await router.ask(
                            f"/{route}/7", x_prompt=PROMPT, x_id=name
                        )
                        self.assertEqual(caller.status, 200)
