"""A small deployment on loopback: four routers, two services and the store.

The routers are started with the command of ``deploy/system.toml``, from what its build
has placed under ``target/deps``.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from standins import HOST, KEY, MODEL, Client, Result, Run, Runner, Store

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
"""Exit codes of a script."""

N_ROUTERS = 4
ZONES = ("pnw-a", "pnw-a", "pnw-b", "pnw-c")
RESTART_S = 0.5
MIN_CALM_SHARE = 0.9

BOUNDS = """\
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.downgrade-slack-ms=250
bounds.max-stretch-ms=5000
bounds.strict-revoke=false
bounds.revoke-ms=5000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.retry-budget-extra=52
bounds.recovery-s=12
bounds.transit-ms=120
bounds.reuse-window-s=10
bounds.require-fence=true
bounds.lease-ms=3000
bounds.thaw-slack-ms=300
bounds.version-ms=10000
bounds.version-all-ms=14000
"""

LONGEST_S = 110
CONTACT_S = 3.0
DRAIN_S = 2.0
RECOVERY_S = 12.0


class NotRunnableError(Exception):
    """Raised when the case cannot be played here."""


def a_configuration() -> dict[str, Any]:
    """Return the operator's configuration."""
    route = {
        "host": HOST,
        "timeout-ms": 15000,
        "target-latency-ms": 1000,
        "priority": 1,
        "max-attempts": 2,
    }
    return {
        "version": 3,
        "routes": [
            route
            | {
                "name": "sign",
                "path-prefix": "/sign/",
                "kind": "non_idempotent",
                "service": "app",
            },
            route
            | {
                "name": "read",
                "path-prefix": "/read/",
                "kind": "idempotent",
                "service": "app",
            },
            route
            | {
                "name": "sum",
                "path-prefix": "/sum/",
                "kind": "stream",
                "service": "llm",
                "allow-resume": True,
                "target-gap-ms": 800,
                "session-affinity": True,
            },
        ],
        "services": [
            {"name": "app"},
            {
                "name": "llm",
                "engine": {
                    "slots": 16,
                    "kv-capacity-tokens": 100000,
                    "models": [{"name": MODEL}],
                },
            },
        ],
        "tenants": [{"name": "acme", "api-keys": [KEY]}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 5000,
            "idle-timeout-ms": 15000,
        },
    }


class Router:
    """One router process and its addresses."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number = number
        self.folder = folder
        self.front, self.ready, self.control = (
            f"127.0.0.1:{free_port()}" for _ in range(3)
        )
        self._internal = f"{free_port()},{free_port()}"
        self.process: asyncio.subprocess.Process | None = None
        self.own_ends: list[float] = []
        """When the process ended by itself."""
        self.was_killed = False

    def settings(self, seeds: str, store: str) -> str:
        """Return the text of its settings file."""
        zones = "".join(f"zones.{zone}=pnw\n" for zone in sorted(set(ZONES)))
        return (
            f"node-id=front-{self.number}\nrole=router\nmachine-class=front\n"
            f"serves=front,control\nip=127.0.0.1\nzone={ZONES[self.number]}\n"
            f"region=pnw\n{zones}listen.front={self.front}\n"
            f"listen.ready={self.ready}\nlisten.control={self.control}\n"
            f"internal-ports={self._internal}\nseeds={seeds}\nbootstrap=true\n"
            "limits.cores=2\nlimits.memory-mb=300\nlimits.max-fds=4100\n"
            "discovery=platform\nentry=virtual_ip\nheartbeat-ms=1200\n"
            "contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,"
            f"tenants,platform\n{BOUNDS}"
            f"platform.address={store}\nplatform.form=objects\n"
            "platform.writes-per-s=400\nplatform.reads-per-s=2000\n"
            "platform.history-s=20\nplatform.value-bytes=1048576\n"
            "platform.ttl-min-ms=1000\n"
        )

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.was_killed = False
        with (self.folder / f"router-{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["router"]["run"].split(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(DEPS),
                    "CORIANDERLB_NODE_FILE": str(self.folder / f"{self.number}.conf"),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def was_restarted_before(self, moment: float) -> bool:
        """Return whether an earlier end than the one at ``moment`` is too recent."""
        oldest = moment - CONTACT_S - RESTART_S
        return any(oldest < at < moment - RESTART_S for at in self.own_ends)

    def kill(self) -> None:
        """Kill the process."""
        if self.process and self.process.returncode is None:
            self.was_killed = True
            with suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)


class Fleet:
    """The processes and stand-ins of one deployment, and what they have seen."""

    def __init__(self, folder: Path, record: Path) -> None:
        self.folder = folder
        self.store = Store()
        self.runs: list[Run] = []
        self.results: list[Result] = []
        self.routers = [Router(number, folder) for number in range(N_ROUTERS)]
        self.runners = {
            name: Runner(name, service, self.store, self.runs)
            for name, service in (
                ("a1", "app"),
                ("a2", "app"),
                ("e1", "llm"),
                ("e2", "llm"),
                ("e3", "llm"),
                ("e4", "llm"),
            )
        }
        self.clients: list[Client] = []
        self._record = record.open("w")
        self._started_at = time.monotonic()
        self._supervisors: list[asyncio.Task[None]] = []

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        self._record.write(line + "\n")
        sys.stdout.write(line + "\n")
        sys.stdout.flush()

    async def start(self) -> None:
        """Start everything and wait until each router serves."""
        await self.store.listen()
        configuration = json.dumps(a_configuration()).encode()
        self.store.put("config", "main", configuration)
        named = json.dumps({"model": MODEL, "version": 1}).encode()
        self.store.put("versions", MODEL, named)
        for runner in self.runners.values():
            await runner.start()
        seeds = ",".join(router.control for router in self.routers[:3])
        for router in self.routers:
            text = router.settings(seeds, self.store.address)
            (self.folder / f"{router.number}.conf").write_text(text)
            await router.start()
        for router in self.routers:
            await self._wait_until_ready(router)
            self._supervisors.append(
                asyncio.create_task(self._restart_own_ends(router))
            )
        self.note("all routers are ready")

    async def _wait_until_ready(self, router: Router) -> None:
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if await is_ready(router.ready):
                return
            await asyncio.sleep(0.1)
        raise NotRunnableError(f"router {router.number} did not become ready")

    async def _restart_own_ends(self, router: Router) -> None:
        """Restart a process that ended by itself, as the platform does."""
        while True:
            process = router.process
            code = await process.wait()
            if not router.was_killed:
                router.own_ends.append(time.monotonic())
                self.note(f"router {router.number} ended by itself with code {code}")
                await asyncio.sleep(RESTART_S)
                await router.start()
            while router.process is process:
                await asyncio.sleep(0.05)

    def client(self, router: int) -> Client:
        """Return a new client of a router."""
        client = Client(router, self.routers[router].front, self.results)
        self.clients.append(client)
        return client

    def write_record(self) -> None:
        """Write what was sent, answered and run."""
        for result in self.results:
            sent = result.sent_at - self._started_at
            took_ms = (result.ended_at - result.sent_at) * 1000
            self._record.write(
                f"sent {sent:8.3f} {result.request_id} {result.path} to router "
                f"{result.router}: status {result.status}, "
                f"{'whole' if result.whole else 'not whole'}, {took_ms:.0f} ms\n"
            )
        for run in self.runs:
            at = run.at - self._started_at
            self._record.write(f"run  {at:8.3f} {run.request_id} at {run.runner}\n")

    async def stop(self) -> None:
        """End all processes that were started here."""
        for task in self._supervisors:
            task.cancel()
        for router in self.routers:
            router.kill()
            if router.process:
                await router.process.wait()
        self.write_record()
        for router in self.routers:
            log = self.folder / f"router-{router.number}.log"
            lines = log.read_text(errors="replace").splitlines() if log.exists() else []
            kinds = ("Error", "store:lost", "store:regained", "Exception")
            kept = [line for line in lines if any(kind in line for kind in kinds)]
            for line in kept[:12]:
                self._record.write(f"log of router {router.number}: {line[:400]}\n")
        self._record.close()


def check_calm(fleet: Fleet) -> float:
    """Return the share served so far; without most of it, the case can't be judged."""
    share = served_share(fleet.results)
    fleet.note(f"served before: {share:.3f}")
    if share < MIN_CALM_SHARE:
        raise NotRunnableError("too few requests were served before the case began")
    return share


def closed_without_answer(fleet: Fleet, runners: tuple[str, ...]) -> list[Result]:
    """Return the requests from kept channels that were closed without an answer.

    Only requests that one of these runners has run count, and only those of routers
    that had not ended, and been started again, in the ``contact-ms`` before.
    """
    ran = {run.request_id for run in fleet.runs if run.runner in runners}
    return [
        result
        for result in fleet.results
        if result.is_kept
        and result.is_closed
        and not result.status
        and result.request_id in ran
        and not fleet.routers[result.router].was_restarted_before(result.ended_at)
    ]


def served_share(results: list[Result]) -> float:
    """Return the share of requests that were served."""
    return sum(result.served for result in results) / max(1, len(results))


async def is_ready(address: str) -> bool:
    """Return whether a router answers 200 to the readiness check."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200" in line


def free_port() -> int:
    """Return a port that is free and not handed out for a while."""
    with socket.socket() as server, socket.socket() as client:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind(("127.0.0.1", 0))
        server.listen(1)
        client.connect(server.getsockname())
        accepted, _ = server.accept()
        accepted.close()
        return server.getsockname()[1]


def play(case: Path, scenario: Callable[[Fleet, bool], Awaitable[bool]]) -> None:
    """Play a scenario, which returns whether the rule held, and exit."""
    if not DEPS.is_dir():
        sys.stderr.write("build the system first: target/deps is missing\n")
        sys.exit(COULD_NOT_RUN)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder), case / "record.txt")
            try:
                async with asyncio.timeout(LONGEST_S):
                    await fleet.start()
                    held = await scenario(fleet, has_trouble)
            finally:
                await fleet.stop()
        return HELD if held else BROKEN

    try:
        code = asyncio.run(run())
    except BaseException as exc:
        # Any failure of the script itself says nothing about the rule.
        sys.stderr.write(f"could not run: {exc!r}\n")
        code = COULD_NOT_RUN
    sys.exit(code)
