"""Compare the placement policies (``make bench``).

For each scenario and seed all policies run concurrently, each in its own process with
its own fleet, so that other load on the machine affects all of them equally.
"""

from __future__ import annotations

import dataclasses
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import trio
from hdrh.histogram import HdrHistogram

from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.codec import from_json

from .bench_cell import MAX_TTFT_US, CellPlan, CellResult, Row
from .bench_plot import write_plot
from .process import child_environment
from .workload import Scenario

POLICIES: Final = ("default", "round_robin", "least_loaded", "hash_only")
"""The default policy, followed by the baselines."""

QUANTILES: Final = (50.0, 95.0, 99.0)

TABLE_FILE: Final = "bench.md"

JSON_FILE: Final = "bench.json"

PLOT_FILE: Final = "bench.png"


@dataclass(frozen=True)
class BenchPlan:
    """Scenarios, policies, seeds and load of a benchmark."""

    out: Path
    seeds: tuple[int, ...] = (1, 2)
    seconds: float = 28.0
    rate: float = 32.0
    scenarios: tuple[str, ...] = tuple(item.value for item in Scenario)
    policies: tuple[str, ...] = POLICIES


async def run_bench(plan: BenchPlan) -> int:
    """Run all cells and write the table, JSON and plot; return the exit code."""
    plan.out.mkdir(parents=True, exist_ok=True)
    results: list[CellResult] = []
    for seed in plan.seeds:
        for scenario in plan.scenarios:
            async with trio.open_nursery() as nursery:
                for policy in plan.policies:
                    cell = CellPlan(
                        policy, scenario, seed, plan.seconds, rate=plan.rate
                    )
                    nursery.start_soon(_run_cell, cell, results)
            print(f"seed {seed}, {scenario}: done", flush=True)
    rows = merge_results(results, plan)
    _write(plan, results, rows)
    return 0


def merge_results(results: list[CellResult], plan: BenchPlan) -> list[Row]:
    """Return one row for each scenario and policy that has results."""
    return [
        _row(scenario, policy, matching)
        for scenario in plan.scenarios
        for policy in plan.policies
        if (matching := _select_results(results, scenario, policy))
    ]


def render_table(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    classes = [cls.value for cls in ServiceClass]
    head = ["scenario", "policy", "requests", "failed", "hit rate", "recomputed"]
    head += ["wasted", *(f"{name} p50/p95/p99 ms" for name in classes)]
    lines = [head, ["---"] * len(head)]
    for row in rows:
        times = ("/".join(f"{ms:.0f}" for ms in row.ttft_ms[name]) for name in classes)
        lines.append(
            [
                row.scenario,
                row.policy,
                str(row.n_requests),
                str(row.n_failed),
                f"{row.hit_rate:.3f}",
                str(row.pieces_recomputed),
                str(row.pieces_wasted),
                *times,
            ]
        )
    return "\n".join(f"| {' | '.join(line)} |" for line in lines) + "\n"


async def _run_cell(cell: CellPlan, results: list[CellResult]) -> None:
    command = [sys.executable, "-m", "corianderlb_standins", "bench-cell"]
    command.append(json.dumps(dataclasses.asdict(cell)))
    completed = await trio.run_process(
        command, capture_stdout=True, env=child_environment()
    )
    results.append(from_json(CellResult, completed.stdout))


def _select_results(
    results: list[CellResult], scenario: str, policy: str
) -> list[CellResult]:
    return [
        item
        for item in results
        if (item.plan.scenario, item.plan.policy) == (scenario, policy)
    ]


def _row(scenario: str, policy: str, matching: list[CellResult]) -> Row:
    n_requested = sum(item.pieces_asked for item in matching)
    n_hit = sum(item.pieces_hit for item in matching)
    return Row(
        scenario=scenario,
        policy=policy,
        n_requests=sum(item.n_requests for item in matching),
        n_failed=sum(item.n_failed for item in matching),
        hit_rate=n_hit / max(1, n_requested),
        pieces_recomputed=sum(item.pieces_recomputed for item in matching),
        pieces_wasted=sum(item.pieces_wasted for item in matching),
        ttft_ms={cls.value: _quantiles(matching, cls.value) for cls in ServiceClass},
    )


def _quantiles(matching: list[CellResult], name: str) -> tuple[float, ...]:
    merged = HdrHistogram(1, MAX_TTFT_US, 3)
    for item in matching:
        merged.decode_and_add(item.ttft[name].encode())
    return tuple(merged.get_value_at_percentile(q) / 1000 for q in QUANTILES)


def _write(plan: BenchPlan, results: list[CellResult], rows: list[Row]) -> None:
    table = render_table(rows)
    (plan.out / TABLE_FILE).write_text(table)
    plain = {
        "seeds": plan.seeds,
        "seconds": plan.seconds,
        "rate": plan.rate,
        "rows": [dataclasses.asdict(row) for row in rows],
        "cells": [dataclasses.asdict(item) for item in results],
    }
    (plan.out / JSON_FILE).write_text(json.dumps(plain, indent=1))
    write_plot(rows, plan.out / PLOT_FILE)
    failures = [(item.plan, item.failures) for item in results if item.failures]
    print(table)
    for cell, counted in failures:
        print(f"failures: {cell.scenario} {cell.policy} seed {cell.seed}: {counted}")
    print(f"written to {plan.out}")
