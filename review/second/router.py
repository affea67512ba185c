"""Start routers as the deploy file does, with settings of a small deployment."""

from __future__ import annotations

import asyncio
import os
import signal
import tomllib
from pathlib import Path

from .http_server import free_port
from .sites import Site

ROOT = Path(__file__).resolve().parents[2]


class Router:
    """One router process."""

    def __init__(
        self, name: str, site: Site, folder: Path, store: str, seeds: str, control: str
    ) -> None:
        self.name = name
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self._folder = folder
        self._settings = folder / f"{name}.conf"
        ports = f"{free_port()},{free_port()}"
        lines = {
            "node-id": name,
            "role": "router",
            "machine-class": "front",
            "serves": "front,control",
            "ip": "127.0.0.1",
            "zone": "zone-a",
            "region": "area",
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.control": control,
            "internal-ports": ports,
            "seeds": seeds,
            "bootstrap": "true",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            "heartbeat-ms": "1200",
            "contracts": site.contracts,
            "platform.address": store,
            "platform.form": "objects",
            "platform.writes-per-s": "400",
            "platform.reads-per-s": "2000",
            **{f"bounds.{key}": value for key, value in site.bounds.items()},
        }
        text = "".join(f"{key}={value}\n" for key, value in lines.items())
        self._settings.write_text(text)
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["router"]["run"].split(" ")
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["CORIANDERLB_NODE_FILE"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended by itself."""
        return self._process is not None and self._process.returncode is not None

    async def kill(self) -> None:
        """End the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        if self._process is not None:
            await self._process.wait()

    @property
    def log(self) -> str:
        """What the process has written so far."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


def make_routers(n_routers: int, site: Site, folder: Path, store: str) -> list[Router]:
    """Return routers that know each other by their seeds."""
    controls = [f"127.0.0.1:{free_port()}" for _ in range(n_routers)]
    seeds = ",".join(controls[:3])
    return [
        Router(f"front-{number}", site, folder, store, seeds, control)
        for number, control in enumerate(controls, 1)
    ]
