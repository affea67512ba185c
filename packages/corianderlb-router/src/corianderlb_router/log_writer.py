"""Write log lines to standard output without ever waiting for its reader.

Lines wait in a bounded buffer and a task writes them. A reader that stops reading
would otherwise stop the whole router at its next line: requests hang and nothing says
why. What does not fit is left out, counted, and the count is the next line's news.
"""

from __future__ import annotations

import logging
import os
from collections import deque
from collections.abc import Callable
from typing import Any, Final

import eliot
import msgspec
import trio

MAX_LINES: Final = 2_000
"""Lines that wait at most; at 500 bytes each they take 1 MB."""

REQUEST_LINES_PER_S: Final = 200.0
"""Lines about single requests in a second; a node of the planned size has 14 requests
a second. Beyond it, lines of requests are left out before any change of state is."""

FLUSH_S: Final = 0.05
"""Pause between two writes, so that one write carries many lines."""

MAX_WRITE_BYTES: Final = 65536
"""Bytes given to one write; a pipe takes that much when it is empty."""


class LogWriter:
    """Take messages from eliot and write them as JSON, one a line.

    Messages of a type that begins with ``request:`` are bounded by a rate.
    """

    def __init__(
        self, fd: int, clock: Callable[[], float], labels: dict[str, str]
    ) -> None:
        self._fd = fd
        self._clock = clock
        self._labels = labels
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._wanted = trio.Event()
        """Set when there is something to write; an idle router is not woken for it."""
        self._allowance = REQUEST_LINES_PER_S
        self._refilled_at = clock()
        self.n_dropped_lines = 0
        """Lines that were not written since the start."""
        self._n_told = 0
        os.set_blocking(fd, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message; this is what eliot calls."""
        kind = str(message.get("message_type", ""))
        if len(self._lines) >= MAX_LINES or not self._may_write(kind):
            self.n_dropped_lines += 1
            self._wanted.set()
            return
        for name in ("task_uuid", "task_level"):
            message.pop(name, None)
        line = msgspec.json.encode({**message, **self._labels}, enc_hook=str)
        self._lines.append(line + b"\n")
        self._wanted.set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            await trio.sleep(FLUSH_S)
            self._tell_left_out()
            self.flush()
            if self._lines or self._rest:
                self._wanted.set()

    def flush(self) -> None:
        """Write what standard output takes now."""
        while self._lines or self._rest:
            self._fill()
            try:
                n_written = os.write(self._fd, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read it; the router serves on without its log.
                self.n_dropped_lines += len(self._lines) + 1
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[n_written:]
            if self._rest:
                return

    def _fill(self) -> None:
        parts = [self._rest]
        n_bytes = len(self._rest)
        while self._lines and n_bytes < MAX_WRITE_BYTES:
            parts.append(self._lines.popleft())
            n_bytes += len(parts[-1])
        self._rest = b"".join(parts)

    def _may_write(self, kind: str) -> bool:
        if not kind.startswith("request:"):
            return True
        now = self._clock()
        earned = max(0.0, now - self._refilled_at) * REQUEST_LINES_PER_S
        self._allowance = min(REQUEST_LINES_PER_S, self._allowance + earned)
        self._refilled_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _tell_left_out(self) -> None:
        n_new = self.n_dropped_lines - self._n_told
        if n_new and len(self._lines) < MAX_LINES:
            self._n_told = self.n_dropped_lines
            self({"message_type": "log:left_out", "n_lines": n_new})


class LibraryLogHandler(logging.Handler):
    """Bring what libraries log into the router's own lines, one for each record.

    On standard error their tracebacks stand apart from the lines around them, and
    nobody sees which link or request they belong to.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record; a traceback is shortened to the exception itself."""
        exc = record.exc_info[1] if record.exc_info else None
        eliot.log_message(
            message_type="library:log",
            library=record.name,
            level=record.levelname,
            text=record.getMessage(),
            exception=repr(exc) if exc else "",
        )
