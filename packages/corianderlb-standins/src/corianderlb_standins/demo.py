"""Show the whole path on separate processes: ``make demo``.

Each step checks what it claims; the exit code is 0 only when all of them held.
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
"""Characters of a cached piece."""

TIMEOUT_S: Final = 30.0
"""Longest that the demo may run after the set-up."""


class Demo:
    """Run the steps and keep whether each did what it claims."""

    def __init__(self, fleet: Fleet, prompt: str) -> None:
        self._fleet = fleet
        self._prompt = prompt
        self.n_failed = 0

    async def run(self) -> None:
        """Run all steps."""
        await self._show_versions()
        routers = self._fleet.routers
        async with (
            LoadClient(routers[0].address) as first,
            LoadClient(routers[1].address) as second,
        ):
            await self._stream_twice(first, second)
            await self._call_twice(first, second)

    async def _show_versions(self) -> None:
        found = {}
        for router in self._fleet.routers:
            found[router.name] = (await self._fleet.status(router))["catalogue_version"]
        text = ", ".join(f"{name}: {version}" for name, version in found.items())
        same = len(set(found.values())) == 1 and min(found.values()) >= 1
        self._say(same and len(found) > 1, f"catalogue versions in force: {text}")

    async def _stream_twice(self, first: LoadClient, second: LoadClient) -> None:
        cold = await first.stream(self._prompt)
        self._say_stream("first run", cold)
        warm = await second.stream(self._prompt)
        self._say_stream("second run, by another router", warm)
        self._say(cold.text == warm.text != "", "both runs gave the same text")
        n_chars = len(self._prompt)
        if n_chars >= PIECE_CHARS:
            self._say(
                warm.cached_tokens > 0,
                f"{warm.cached_tokens} of {warm.usage.get('prompt_tokens')} prompt "
                "tokens came from the cache on the second run",
            )
        else:
            print(f"  -   a prompt of {n_chars} characters fills no cached piece")

    def _say_stream(self, name: str, answer: StreamAnswer) -> None:
        good = answer.status == 200 and answer.complete and answer.in_order
        detail = f" {answer.error}" if answer.error else ""
        self._say(
            good,
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
        self._say(
            receipts[0] is not None and receipts[0] == receipts[1],
            f"sign-off {receipts[0]}; its repeat by another router got {receipts[1]}",
        )
        n_runs = await self._count_runs(key)
        self._say(n_runs == 1, f"the services ran it {n_runs} time(s)")

    async def _count_runs(self, key: str) -> int:
        counts = [
            (await self._fleet.counters(service.name))["by_key"].get(key, 0)
            for service in self._fleet.services
        ]
        return sum(counts)

    def _say(self, good: bool, text: str) -> None:
        self.n_failed += not good
        print(f"  {'ok ' if good else 'BAD'} {text}", flush=True)


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
            took_s = trio.current_time() - started
            print(f"{n_processes} processes serve after {took_s:.1f} s", flush=True)
            demo = Demo(fleet, prompt)
            await demo.run()
    except trio.TooSlowError:
        print(f"  BAD the demo took longer than {TIMEOUT_S:.0f} s")
        return 1
    took_s = trio.current_time() - started
    print(f"all stopped after {took_s:.1f} s; {demo.n_failed} step(s) failed")
    return 1 if demo.n_failed else 0
