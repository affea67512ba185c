"""Calls that may run once and fail at their runner after they have run."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from second.client import request
from second.config import a_config, a_tenant, request_headers
from second.fleet import a_fleet
from second.http_server import Request
from second.play import main
from second.record import Record
from second.service import Outcome, Service
from second.sites import KISLOVRT

N_CLIENTS = 6
N_EACH = 30
BUDGET_MS = 1500
PAUSE_S = 0.03

FAIL_EVERY = 5
N_FAILURES = 2
"""Of this many runs of one runner, the first ones fail; its health is good."""

PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case; return the calls that ran and got a promise that they didn't."""
    n_runs = 0

    def fails_at_times(req: Request) -> Outcome:
        """Fail after the work; nothing states that the request has not run."""
        nonlocal n_runs
        place, n_runs = n_runs % FAIL_EVERY, n_runs + 1
        if place >= N_FAILURES:
            return Outcome()
        return Outcome(503 if has_trouble else 500, b"the ledger did not confirm")

    runners = [
        Service("s1", record, fails_at_times),
        Service("s2", record, lambda req: Outcome()),
        Service("s3", record, lambda req: Outcome()),
    ]
    config = a_config(1, [a_tenant("acme", "key1")])
    answers: dict[str, int] = {}
    async with a_fleet(KISLOVRT, config, runners) as fleet:

        async def send_orders(client: int) -> None:
            for number in range(N_EACH):
                name = f"q{client}.{number}"
                record.line("client sends", name)
                answer = await request(
                    fleet.routers[client % len(fleet.routers)].front,
                    "POST",
                    "/order/x",
                    request_headers(name, "key1", BUDGET_MS),
                    b"one pallet",
                )
                answers[name] = answer.status
                record.line("client got", name, answer.status)
                await asyncio.sleep(PAUSE_S)

        await asyncio.gather(*(send_orders(client) for client in range(N_CLIENTS)))
    ran = {name for runner in runners for name in runner.runs}
    return [
        f"REFUSED: {name} has run and was answered {status}"
        for name, status in answers.items()
        if name in ran and status in PROMISES
    ]


if __name__ == "__main__":
    main(play, Path(__file__).parent)
