"""Start one process of a fleet, send it signals and read its log."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Final

import trio

from corianderlb_core.error import CorianderError

START_TIMEOUT_S: Final = 20.0
"""Timeout for the line with the addresses of a started process."""

LOG_TAIL_CHARS: Final = 2000
"""Length of the end of the log that errors include."""

MAX_LINE_BYTES: Final = 65536


class ProcessError(CorianderError):
    """Raised when a process is not started or fails to start."""


class Process:
    """Child process and the addresses it listens on.

    After a kill, ``start`` restarts the process with the same arguments, and on the
    same port if ``keep_port`` was called before.
    """

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.addresses: dict[str, str] = {}
        """Addresses by purpose; ``http`` is always present."""
        self.listener: socket.socket | None = None
        """Listening socket that the process inherits and that outlives it."""
        self._log = log
        self._process: trio.Process | None = None

    @property
    def address(self) -> str:
        """HTTP address of the process."""
        return self.addresses["http"]

    @property
    def pid(self) -> int:
        """Process id."""
        return self._running().pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while the process runs; negative for a signal."""
        return self._process.poll() if self._process else None

    async def start(self) -> None:
        """Start the process and wait until it prints its addresses."""
        with self._log.open("ab") as log:
            self._process = await trio.lowlevel.open_process(
                [sys.executable, "-m", *self.arguments, *self._listen_options()],
                pass_fds=(self.listener.fileno(),) if self.listener else (),
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
        """Use the current port for the next start."""
        if "--port" not in self.arguments:
            self.arguments += ["--port", self.address.rsplit(":", 1)[1]]

    async def kill(self) -> None:
        """Kill the process, as a crash would, and wait until it has ended."""
        self.kill_now()
        await self.wait()

    def kill_now(self) -> None:
        """Send SIGKILL without waiting for the process to end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP; its connections stay open."""
        self._running().send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self._running().send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful shutdown with SIGTERM."""
        self._running().send_signal(signal.SIGTERM)

    def reload(self) -> None:
        """Request a reload of the settings with SIGHUP."""
        self._running().send_signal(signal.SIGHUP)

    async def wait(self) -> int:
        """Return the exit code once the process has ended."""
        return await self._running().wait()

    def log_tail(self) -> str:
        """Return the end of the process's log."""
        text = self._log.read_text(errors="replace") if self._log.exists() else ""
        return text[-LOG_TAIL_CHARS:]

    def _listen_options(self) -> list[str]:
        return ["--listen-fd", str(self.listener.fileno())] if self.listener else []

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
    """Return an environment with this process's import path for child processes."""
    paths = os.pathsep.join(path for path in sys.path if path)
    environment = {**os.environ, "PYTHONPATH": paths}
    # Without bytecode files each start would compile all packages again.
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    return environment
