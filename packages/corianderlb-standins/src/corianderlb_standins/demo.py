"""Demo of a fleet of separate processes (``make demo``).

Each step checks its result; the exit code is 0 only when all checks pass.
"""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import Final

import trio

from .fleet import Fleet, running_fleet
from .fleet_plan import FleetPlan
from .load_client import LoadClient, StreamAnswer, nested_prompt

PIECE_CHARS: Final = 4000
"""Characters per piece."""

TIMEOUT_S: Final = 30.0
"""Maximum duration of the demo, set-up included."""


class Demo:
    """Steps of the demo and the number of failed checks."""

    def __init__(self, fleet: Fleet, prompt: str) -> None:
        self._fleet = fleet
        self._prompt = prompt
        self.n_failed = 0

    async def run(self) -> None:
        """Run all steps."""
        await self._check_versions()
        routers = self._fleet.routers
        async with (
            LoadClient(routers[0].address) as first,
            LoadClient(routers[1].address) as second,
        ):
            await self._stream_twice(first, second)
            await self._call_twice(first, second)

    async def _check_versions(self) -> None:
        versions = {}
        for router in self._fleet.routers:
            versions[router.name] = (await self._fleet.status(router))[
                "catalogue_version"
            ]
        text = ", ".join(f"{name}: {version}" for name, version in versions.items())
        same = len(set(versions.values())) == 1 and min(versions.values()) >= 1
        self._report_check(
            same and len(versions) > 1, f"catalogue versions in force: {text}"
        )

    async def _stream_twice(self, first: LoadClient, second: LoadClient) -> None:
        cold = await first.stream(self._prompt)
        self._report_stream("first run", cold)
        warm = await second.stream(self._prompt)
        self._report_stream("second run, by another router", warm)
        self._report_check(
            cold.text == warm.text != "", "both runs returned the same text"
        )
        n_chars = len(self._prompt)
        if n_chars >= PIECE_CHARS:
            self._report_check(
                warm.cached_tokens > 0,
                f"{warm.cached_tokens} of {warm.usage.get('prompt_tokens')} prompt "
                "tokens came from the cache on the second run",
            )
        else:
            print(f"  -   a prompt of {n_chars} characters is shorter than one piece")

    def _report_stream(self, name: str, answer: StreamAnswer) -> None:
        passed = answer.status == 200 and answer.complete and answer.is_in_order
        detail = f" {answer.error}" if answer.error else ""
        self._report_check(
            passed,
            f"{name}: {len(answer.indices)} events, first token after "
            f"{answer.first_token_s * 1000:.0f} ms, {answer.cached_tokens} cached "
            f"tokens, request {answer.headers.get('corianderlb-request-id')}{detail}",
        )

    async def _call_twice(self, first: LoadClient, second: LoadClient) -> None:
        key = uuid.uuid4().hex
        body = {"batch": "B-1024", "grade": "A"}
        path = "sign-off/batches/B-1024"
        answers = [
            await client.call("POST", path, body, key) for client in (first, second)
        ]
        receipts = [answer.json().get("receipt") for answer in answers]
        self._report_check(
            receipts[0] is not None and receipts[0] == receipts[1],
            f"sign-off {receipts[0]}; its retry on a second router got {receipts[1]}",
        )
        n_runs = await self._count_runs(key)
        self._report_check(n_runs == 1, f"the services ran it {n_runs} time(s)")

    async def _count_runs(self, key: str) -> int:
        counts = [
            (await self._fleet.counters(service.name))["by_key"].get(key, 0)
            for service in self._fleet.services
        ]
        return sum(counts)

    def _report_check(self, passed: bool, text: str) -> None:
        self.n_failed += not passed
        print(f"  {'ok ' if passed else 'BAD'} {text}", flush=True)


async def run_demo(prompt_file: Path | None) -> int:
    """Run the demo; return the exit code."""
    prompt = nested_prompt("northwest-charcoal", "kiln-7", "batch-1024")
    if prompt_file is not None:
        prompt = prompt_file.read_text(errors="replace")
    plan = FleetPlan(with_kv_cache=True)
    started = trio.current_time()
    try:
        async with running_fleet(plan, TIMEOUT_S) as fleet:
            n_processes = len(fleet.processes)
            elapsed_s = trio.current_time() - started
            print(f"{n_processes} processes ready after {elapsed_s:.1f} s", flush=True)
            demo = Demo(fleet, prompt)
            await demo.run()
    except trio.TooSlowError:
        print(f"  BAD the demo took longer than {TIMEOUT_S:.0f} s")
        return 1
    elapsed_s = trio.current_time() - started
    print(f"all stopped after {elapsed_s:.1f} s; {demo.n_failed} step(s) failed")
    return 1 if demo.n_failed else 0
