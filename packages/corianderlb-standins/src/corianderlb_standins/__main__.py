"""Command line of the stand-ins, the demo and the benchmarks."""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from corianderlb_core.codec import from_json, to_json

from ._asgi import serve_app
from .batch import BatchCost
from .bench import POLICIES, BenchPlan, run_bench
from .bench_cell import Cell, CellPlan
from .demo import run_demo
from .engine import Engine
from .engine_settings import EngineSettings
from .fault_proxy import FaultProxy
from .in_force_probe import run_in_force
from .kv_cache import KvCache
from .relay_cost import run_relay_cost
from .service import Service
from .slopes import run_slopes
from .store import Store
from .workload import Scenario


def main(argv: list[str] | None = None) -> int:
    """Run the command that the arguments select; return its exit code."""
    args = _parser().parse_args(argv)
    return args.run(args) or 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="corianderlb_standins", description=__doc__)
    commands = parser.add_subparsers(required=True, metavar="command")
    store = _add_stand_in(
        commands, "store", _run_store, "run a stand-in of the platform's object store"
    )
    store.set_defaults(epoch=0)
    _add_engine(commands)
    service = _add_stand_in(
        commands, "service", _run_service, "run a plain HTTP service"
    )
    service.add_argument("--instance", default="service")
    kv_cache = _add_stand_in(
        commands, "kv-cache", _run_kv_cache, "run a KV cache upstream"
    )
    kv_cache.add_argument("--capacity", type=int, default=100_000)
    proxy = _add_stand_in(
        commands, "fault-proxy", _run_proxy, "run a TCP proxy that injects faults"
    )
    proxy.add_argument("--target", required=True, metavar="HOST:PORT")
    proxy.add_argument("--control-port", type=int, default=0)
    demo = commands.add_parser("demo", help="run a fleet of processes and check it")
    demo.add_argument("--prompt-file", type=Path, help="file with the prompt to send")
    demo.set_defaults(run=_run_demo)
    bench = commands.add_parser("bench", help="compare the placement policies")
    bench.add_argument("--out", type=Path, default=Path("out"))
    bench.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    bench.add_argument("--seconds", type=float, default=28.0)
    bench.add_argument("--rate", type=float, default=32.0)
    bench.add_argument(
        "--scenarios", nargs="+", default=[item.value for item in Scenario]
    )
    bench.add_argument("--policies", nargs="+", default=list(POLICIES))
    bench.set_defaults(run=_run_bench)
    cell = commands.add_parser("bench-cell", help="run one bench cell, print JSON")
    cell.add_argument("plan")
    cell.set_defaults(run=_run_bench_cell)
    cost = commands.add_parser("relay-cost", help="measure a router's CPU time")
    cost.set_defaults(run=lambda args: trio.run(run_relay_cost))
    in_force = commands.add_parser(
        "in-force", help="time changes until in force on all routers"
    )
    in_force.add_argument("--seed", type=int, default=1)
    in_force.set_defaults(run=_run_in_force)
    slopes = commands.add_parser(
        "slopes", help="measure cost slopes for the capacity page"
    )
    slopes.add_argument("--out", type=Path, default=Path("out"))
    slopes.set_defaults(run=lambda args: trio.run(run_slopes, args.out))
    return parser


def _add_stand_in(
    commands: Any, name: str, run: Callable[[argparse.Namespace], Any], text: str
) -> argparse.ArgumentParser:
    """Add the command of a stand-in with the options that all stand-ins share."""
    parser = commands.add_parser(name, help=text)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--epoch", type=int, default=time.time_ns() // 1_000_000)
    parser.set_defaults(run=run)
    return parser


def _add_engine(commands: Any) -> None:
    parser = _add_stand_in(commands, "engine", _run_engine, "run a model engine")
    parser.add_argument("--instance", default="engine")
    parser.add_argument("--model", action="append", default=[], metavar="NAME=VERSION")
    parser.add_argument(
        "--adapter", action="append", default=[], metavar="NAME=VERSION"
    )
    parser.add_argument("--piece-chars", type=int, default=4000)
    parser.add_argument("--cache-pieces", type=int, default=256)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--prefill-s", type=float, default=0.1)
    parser.add_argument("--token-s", type=float, default=0.02)
    parser.add_argument("--import-s", type=float, default=0.02)
    parser.add_argument("--load-lag-s", type=float, default=0.0)
    parser.add_argument("--event-lag-s", type=float, default=0.0)
    parser.add_argument("--event-loss", type=float, default=0.0)
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--kv-cache", default="", metavar="HOST:PORT")
    parser.add_argument("--weight-store", default="", metavar="HOST:PORT")


def _run_store(args: argparse.Namespace) -> None:
    trio.run(serve_app, Store(), args.host, args.port)


def _run_service(args: argparse.Namespace) -> None:
    app = Service(args.instance, args.epoch)
    trio.run(serve_app, app, args.host, args.port)


def _run_kv_cache(args: argparse.Namespace) -> None:
    app = KvCache(args.epoch, args.capacity)
    trio.run(serve_app, app, args.host, args.port)


def _run_proxy(args: argparse.Namespace) -> None:
    app = FaultProxy(args.target)
    trio.run(app.run, args.host, args.port, args.control_port)


def _run_demo(args: argparse.Namespace) -> int:
    return trio.run(run_demo, args.prompt_file)


def _run_bench(args: argparse.Namespace) -> int:
    plan = BenchPlan(
        out=args.out,
        seeds=tuple(args.seeds),
        seconds=args.seconds,
        rate=args.rate,
        scenarios=tuple(args.scenarios),
        policies=tuple(args.policies),
    )
    return trio.run(run_bench, plan)


def _run_bench_cell(args: argparse.Namespace) -> None:
    cell = Cell(from_json(CellPlan, args.plan.encode()))
    sys.stdout.write(to_json(trio.run(cell.run)).decode())


def _run_in_force(args: argparse.Namespace) -> int:
    return trio.run(run_in_force, args.seed)


def _run_engine(args: argparse.Namespace) -> None:
    cfg = EngineSettings(
        instance=args.instance,
        epoch=args.epoch,
        models=_parse_pairs(args.model),
        adapters=_parse_pairs(args.adapter),
        piece_chars=args.piece_chars,
        cache_pieces=args.cache_pieces,
        cost=BatchCost(args.slots, args.prefill_s, args.token_s),
        import_s_per_piece=args.import_s,
        load_lag_s=args.load_lag_s,
        event_lag_s=args.event_lag_s,
        event_loss=args.event_loss,
        checks_fencing=args.checks_fencing,
        kv_cache=args.kv_cache,
        weight_store=args.weight_store,
    )
    trio.run(serve_app, Engine(cfg), args.host, args.port)


def _parse_pairs(pairs: list[str]) -> dict[str, str]:
    return dict(pair.split("=", 1) for pair in pairs)


if __name__ == "__main__":
    sys.exit(main())
