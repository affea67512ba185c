"""Tests of the log writer: it never blocks, and drops request lines first."""

from __future__ import annotations

import json
import logging
import os

import eliot
import trio

from corianderlb_router.log_writer import (
    MAX_CONNECTION_LINES_PER_S,
    MAX_ENTRY_LINES_PER_S,
    MAX_LINES,
    MAX_REQUEST_LINES_PER_S,
    LibraryLogHandler,
    LogWriter,
)
from corianderlb_standins.trio_case import TrioTestCase


class LogWriterTest(TrioTestCase):
    def open(self) -> tuple[LogWriter, int]:
        """Return a writer and the read end of its pipe."""
        read_fd, write_fd = os.pipe()
        self.addCleanup(os.close, read_fd)
        self.addCleanup(os.close, write_fd)
        return LogWriter(write_fd, trio.current_time, {"node": "r1"}), read_fd

    async def test_line_is_json_with_its_labels(self) -> None:
        writer, read_fd = self.open()
        writer({"message_type": "store:lost", "task_uuid": "x"})
        writer.flush()
        line = json.loads(os.read(read_fd, 4096))
        self.assertEqual(line, {"message_type": "store:lost", "node": "r1"})

    async def test_log_reader_that_stops_reading(self) -> None:
        # While the log reader hangs, lines beyond the buffer are dropped and counted,
        # and the count is logged once it reads again.
        writer, read_fd = self.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            for n in range(4 * MAX_LINES):
                writer({"message_type": "state:changed", "text": "x" * 100, "n": n})
                if n % 100 == 0:
                    await trio.sleep(0.01)
            self.assertGreater(writer.n_dropped_lines, 0)
            os.set_blocking(read_fd, False)
            output = b""
            for _ in range(100):
                await trio.sleep(0.1)
                try:
                    output += os.read(read_fd, 1 << 20)
                except BlockingIOError:
                    break
            self.assertIn(b"log:left_out", output)
            nursery.cancel_scope.cancel()

    async def test_last_lines_wait_for_the_log_reader(self) -> None:
        """Guards against a process that ends without the lines that say why."""
        writer, read_fd = self.open()
        for n in range(MAX_LINES // 2):
            writer({"message_type": "state:changed", "text": "x" * 200, "n": n})
        writer({"message_type": "router:stop"})
        output: list[bytes] = []

        async def read_slowly() -> None:
            while True:
                await trio.sleep(0.005)
                output.append(os.read(read_fd, 1 << 16))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_slowly)
            await writer.finish()
            nursery.cancel_scope.cancel()
        output.append(os.read(read_fd, 1 << 20))
        lines = b"".join(output).splitlines()
        self.assertEqual(len(lines), MAX_LINES // 2 + 1)
        self.assertIn(b"router:stop", lines[-1])

    async def test_log_reader_that_is_gone_does_not_keep_a_process(self) -> None:
        """Guards against an end that waits for a log reader that has stopped."""
        writer, _ = self.open()
        for n in range(MAX_LINES):
            writer({"message_type": "state:changed", "text": "x" * 200, "n": n})
        started_at = trio.current_time()
        await writer.finish()
        self.assertLess(trio.current_time() - started_at, 0.1)

    async def test_request_lines_are_dropped_before_state_changes(self) -> None:
        # In a surge of requests, lines about changes of state must still be written.
        writer, _ = self.open()
        for n in range(2 * int(MAX_REQUEST_LINES_PER_S)):
            writer({"message_type": "request:ended", "n": n})
        n_dropped_lines = writer.n_dropped_lines
        self.assertEqual(n_dropped_lines, int(MAX_REQUEST_LINES_PER_S))
        writer({"message_type": "upstream:removed"})
        self.assertEqual(writer.n_dropped_lines, n_dropped_lines)

    async def test_lines_about_entries_are_dropped_before_state_changes(self) -> None:
        """Guards against a writer of unusable entries that fills the log."""
        writer, _ = self.open()
        for n in range(2 * int(MAX_ENTRY_LINES_PER_S)):
            writer({"message_type": "entry:unusable", "n": n})
        self.assertEqual(writer.n_dropped_lines, int(MAX_ENTRY_LINES_PER_S))
        writer({"message_type": "upstream:removed"})
        self.assertEqual(writer.n_dropped_lines, int(MAX_ENTRY_LINES_PER_S))
        await trio.sleep(0.5)
        for n in range(int(MAX_ENTRY_LINES_PER_S)):
            writer({"message_type": "entry:unusable", "n": n})
        n_dropped = writer.n_dropped_lines
        self.assertEqual(n_dropped, int(1.5 * MAX_ENTRY_LINES_PER_S))

    async def test_lines_about_connections_are_dropped_before_state_changes(
        self,
    ) -> None:
        """Guards against remote hosts that fill the log without a credential."""
        for kind in ("connection:failed", "library:log"):
            writer, _ = self.open()
            for n in range(2 * int(MAX_CONNECTION_LINES_PER_S)):
                writer({"message_type": kind, "n": n})
            self.assertEqual(writer.n_dropped_lines, int(MAX_CONNECTION_LINES_PER_S))
            writer({"message_type": "upstream:removed"})
            self.assertEqual(writer.n_dropped_lines, int(MAX_CONNECTION_LINES_PER_S))

    def test_library_records_become_log_lines(self) -> None:
        # Errors logged by a library become log lines instead of tracebacks on stderr.
        lines: list[dict] = []
        eliot.add_destinations(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        logger = logging.Logger("websockets")
        logger.addHandler(LibraryLogHandler())
        try:
            raise EOFError("stream of frames ended")
        except EOFError:
            logger.exception("unexpected internal error")
        line = lines[-1]
        self.assertEqual(line["message_type"], "library:log")
        self.assertEqual(line["text"], "unexpected internal error")
        self.assertEqual(line["exception"], "EOFError('stream of frames ended')")
