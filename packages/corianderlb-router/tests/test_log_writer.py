"""Logs must not stop a router, whoever reads them and however much is logged."""

from __future__ import annotations

import json
import logging
import os

import eliot
import trio

from corianderlb_router.log_writer import (
    MAX_LINES,
    REQUEST_LINES_PER_S,
    LibraryLogHandler,
    LogWriter,
)
from corianderlb_standins.trio_case import TrioTestCase


class LogWriterTest(TrioTestCase):
    def open(self) -> tuple[LogWriter, int]:
        """Return a writer and the reading end of its pipe."""
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        return LogWriter(writing, trio.current_time, {"node": "r1"}), reading

    async def test_line_is_json_with_its_labels(self) -> None:
        writer, reading = self.open()
        writer({"message_type": "store:lost", "task_uuid": "x"})
        writer.flush()
        line = json.loads(os.read(reading, 4096))
        self.assertEqual(line, {"message_type": "store:lost", "node": "r1"})

    async def test_reader_that_stops_reading(self) -> None:
        # Whoever collects the logs hangs. The router goes on: lines beyond the buffer
        # are left out and counted, and the count is told once somebody reads again.
        writer, reading = self.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            for n in range(4 * MAX_LINES):
                writer({"message_type": "state:changed", "text": "x" * 100, "n": n})
                if n % 100 == 0:
                    await trio.sleep(0.01)
            self.assertGreater(writer.n_dropped_lines, 0)
            os.set_blocking(reading, False)
            told = b""
            for _ in range(100):
                await trio.sleep(0.1)
                try:
                    told += os.read(reading, 1 << 20)
                except BlockingIOError:
                    break
            self.assertIn(b"log:left_out", told)
            nursery.cancel_scope.cancel()

    async def test_requests_are_left_out_before_changes_of_state(self) -> None:
        # A storm of requests comes just when an upstream falls. The lines that explain
        # it must not drown in those of the requests.
        writer, _ = self.open()
        for n in range(2 * int(REQUEST_LINES_PER_S)):
            writer({"message_type": "request:ended", "n": n})
        n_dropped_lines = writer.n_dropped_lines
        self.assertEqual(n_dropped_lines, int(REQUEST_LINES_PER_S))
        writer({"message_type": "upstream:removed"})
        self.assertEqual(writer.n_dropped_lines, n_dropped_lines)

    def test_what_a_library_logs_is_a_line_too(self) -> None:
        # A link's library fails on a frame that comes after its end, and prints a
        # traceback between the lines that an engineer reads.
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
