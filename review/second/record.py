"""Record of one play: what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start to a file."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def line(self, *words: object) -> float:
        """Write a line; return its time."""
        at = self.now
        self._file.write(f"{at:8.3f} {' '.join(map(str, words))}\n")
        self._file.flush()
        return at
