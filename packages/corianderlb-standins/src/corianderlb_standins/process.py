"""Run one process of a fleet and act on it: kill, freeze, continue, terminate."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Final

import trio

from corianderlb_core.error import CorianderError

START_TIMEOUT_S: Final = 20.0
"""Longest wait for the line that tells where a process listens."""

LOG_TAIL_CHARS: Final = 2000
"""How much of a process's log an error shows."""

MAX_LINE_BYTES: Final = 65536


class ProcessError(CorianderError):
    """Signal a process that did not start or ended by itself."""


class Process:
    """Hold one child process and where it listens.

    ``start`` may be awaited again after a kill: the process then comes back with the
    same arguments, and on the same port when ``keep_port`` was called before.
    """

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.addresses: dict[str, str] = {}
        """Address by purpose, ``http`` and, where there are any, more."""
        self._log = log
        self._process: trio.Process | None = None

    @property
    def address(self) -> str:
        """Where the process serves."""
        return self.addresses["http"]

    @property
    def pid(self) -> int:
        """The process id."""
        return self._running().pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs; negative for a signal."""
        return self._process.poll() if self._process else None

    async def start(self) -> None:
        """Start the process and wait until it says where it listens."""
        with self._log.open("ab") as log:
            self._process = await trio.lowlevel.open_process(
                [sys.executable, "-m", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                env=child_environment(),
            )
        with trio.move_on_after(START_TIMEOUT_S):
            line = await self._read_line()
            if line:
                self.addresses = json.loads(line)["listening"]
                return
        self.kill_now()
        raise ProcessError(f"{self.name} did not start: {self.log_tail()}")

    def keep_port(self) -> None:
        """Have the next start listen on the port of this one."""
        if "--port" not in self.arguments:
            self.arguments += ["--port", self.address.rsplit(":", 1)[1]]

    async def kill(self) -> None:
        """End the process at once, as a crash does."""
        self.kill_now()
        await self.wait()

    def kill_now(self) -> None:
        """Send the kill without waiting for the end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()

    def freeze(self) -> None:
        """Pause the process; its connections stay open and silent."""
        self._running().send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a paused process go on."""
        self._running().send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end in order."""
        self._running().send_signal(signal.SIGTERM)

    def reload(self) -> None:
        """Tell the process that its settings may have changed."""
        self._running().send_signal(signal.SIGHUP)

    async def wait(self) -> int:
        """Return the exit code once the process has ended."""
        return await self._running().wait()

    def log_tail(self) -> str:
        """Return the end of what the process wrote to its log."""
        text = self._log.read_text(errors="replace") if self._log.exists() else ""
        return text[-LOG_TAIL_CHARS:]

    def _running(self) -> trio.Process:
        if self._process is None:
            raise ProcessError(f"{self.name} was not started; await start() first")
        return self._process

    async def _read_line(self) -> bytes:
        stdout = self._running().stdout
        assert stdout is not None
        line = b""
        while not line.endswith(b"\n") and len(line) < MAX_LINE_BYTES:
            data = await stdout.receive_some(4096)
            if not data:
                return b""
            line += data
        return line


def child_environment() -> dict[str, str]:
    """Return an environment in which children find the packages that this one uses."""
    paths = os.pathsep.join(path for path in sys.path if path)
    environment = {**os.environ, "PYTHONPATH": paths}
    # Each start would compile the packages anew, which is most of its time.
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    return environment
