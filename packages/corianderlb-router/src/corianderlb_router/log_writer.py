"""Non-blocking writer of log lines to standard output.

A task writes lines from a bounded buffer. With blocking writes, a log reader that stops
reading would block the whole router. Lines that don't fit are dropped and counted, and
the count is logged once there is room in the buffer.
"""

from __future__ import annotations

import logging
import math
import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final

import eliot
import msgspec
import trio

MAX_LINES: Final = 2_000
"""Most buffered lines; about 1 MB at 500 bytes each."""

MAX_REQUEST_LINES_PER_S: Final = 200.0
"""Rate limit of lines about single requests, so that a surge of requests can't displace
lines about changes of state. A router of the planned size has 14 requests a second."""

MAX_ENTRY_LINES_PER_S: Final = 20.0
"""Rate limit of lines about single objects of the store, whose writers are not limited
otherwise."""

MAX_CONNECTION_LINES_PER_S: Final = 20.0
"""Rate limit of lines about connections that failed, and of what libraries log: remote
hosts cause both, and need no credential to do so."""

_RATE_LIMITS: Final = {
    "request": MAX_REQUEST_LINES_PER_S,
    "entry": MAX_ENTRY_LINES_PER_S,
    "connection": MAX_CONNECTION_LINES_PER_S,
    "library": MAX_CONNECTION_LINES_PER_S,
}
"""Lines per second by the first part of the message type; others are not limited."""

FLUSH_INTERVAL_S: Final = 0.05
"""Interval between writes, so that one write carries many lines."""

MAX_WRITE_BYTES: Final = 65536
"""Most bytes per write; the default capacity of a pipe."""

FINISH_TIMEOUT_S: Final = 0.05
"""How long a process that ends waits for the log reader to take its last lines."""

FINISH_POLL_S: Final = 0.002
"""Interval between writes meanwhile; the descriptor may be a file, which can't be
waited for."""


_LOGGER: Final = eliot.Logger()


def log_ms(seconds: float) -> int | None:
    """Convert seconds to milliseconds for a log line; None if infinite."""
    return round(seconds * 1000) if math.isfinite(seconds) else None


def log_request(**fields: Any) -> None:
    """Log a line about a single request, as ``eliot.log_message`` would.

    Without the action that eliot makes for each message: its id and level are not
    written, and cost more than the line.
    """
    _LOGGER.write(dict(fields, timestamp=time.time()))


class LogWriter:
    """Destination for eliot that writes messages as JSON lines.

    Messages about requests, objects, connections and libraries are rate-limited.
    """

    def __init__(
        self, fd: int, clock: Callable[[], float], labels: dict[str, str]
    ) -> None:
        self._fd = fd
        self._clock = clock
        self._labels = labels
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._write_requested = trio.Event()
        """Set when there is something to write."""
        self._allowances = dict(_RATE_LIMITS)
        """Lines that may be written now, by the first part of the message type."""
        self._refilled_at = clock()
        self.n_dropped_lines = 0
        """Lines dropped since the start."""
        self._n_reported = 0
        os.set_blocking(fd, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffer a message; called by eliot."""
        kind = str(message.get("message_type", ""))
        if len(self._lines) >= MAX_LINES or not self._is_within_rate(kind):
            self.n_dropped_lines += 1
            self._write_requested.set()
            return
        for name in ("task_uuid", "task_level"):
            message.pop(name, None)
        line = msgspec.json.encode({**message, **self._labels}, enc_hook=str)
        self._lines.append(line + b"\n")
        self._write_requested.set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._write_requested.wait()
            self._write_requested = trio.Event()
            await trio.sleep(FLUSH_INTERVAL_S)
            self._log_dropped()
            self.flush()
            if self._lines or self._unwritten:
                self._write_requested.set()

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        while self._lines or self._unwritten:
            self._fill()
            try:
                n_written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Standard output is closed; the router continues without logs.
                self.n_dropped_lines += len(self._lines) + 1
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[n_written:]
            if self._unwritten:
                return

    async def finish(self) -> None:
        """Write the buffered lines at the end of the process, waiting a short time."""
        with trio.move_on_after(FINISH_TIMEOUT_S, shield=True):
            self.flush()
            while self._lines or self._unwritten:
                await trio.sleep(FINISH_POLL_S)
                self.flush()

    def _fill(self) -> None:
        parts = [self._unwritten]
        n_bytes = len(self._unwritten)
        while self._lines and n_bytes < MAX_WRITE_BYTES:
            parts.append(self._lines.popleft())
            n_bytes += len(parts[-1])
        self._unwritten = b"".join(parts)

    def _is_within_rate(self, message_type: str) -> bool:
        area, _, _ = message_type.partition(":")
        if area not in _RATE_LIMITS:
            return True
        self._refill()
        if self._allowances[area] < 1:
            return False
        self._allowances[area] -= 1
        return True

    def _refill(self) -> None:
        now = self._clock()
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        for area, rate in _RATE_LIMITS.items():
            earned = elapsed_s * rate
            self._allowances[area] = min(rate, self._allowances[area] + earned)

    def _log_dropped(self) -> None:
        n_new = self.n_dropped_lines - self._n_reported
        if n_new and len(self._lines) < MAX_LINES:
            self._n_reported = self.n_dropped_lines
            self({"message_type": "log:left_out", "n_lines": n_new})


class LibraryLogHandler(logging.Handler):
    """Forwards log records of libraries to eliot, one line per record.

    Tracebacks on standard error could not be related to the router's own log lines.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record, with the exception but without its traceback."""
        exc = record.exc_info[1] if record.exc_info else None
        eliot.log_message(
            message_type="library:log",
            library=record.name,
            level=record.levelname,
            text=record.getMessage(),
            exception=repr(exc) if exc else "",
        )
