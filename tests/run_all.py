"""Run every test of the workspace with unittest and print the counts.

A test listed in ``KNOWN-RED.txt`` still runs; its failure is printed but does not fail
the suite. Each line of that file starts with the dotted test id and a colon.
"""

from __future__ import annotations

import sys
import unittest
from pathlib import Path
from typing import Final

from hypothesis import settings

ROOT: Final = Path(__file__).resolve().parent.parent
"""Root directory of the workspace."""

PACKAGES_ONLY: Final = "--packages"
"""Argument that excludes the multi-process tests."""


def known_red() -> frozenset[str]:
    """Return the ids of the tests that ``KNOWN-RED.txt`` lists."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(line.split(":", 1)[0].strip() for line in lines if ":" in line)


def load_suite(patterns: list[str], packages_only: bool) -> unittest.TestSuite:
    """Collect the tests of all packages and, unless excluded, the multi-process ones.

    If patterns are given, only tests whose id contains one of them are kept.
    """
    folders = [*sorted(ROOT.glob("packages/*/tests")), ROOT / "platform" / "tests"]
    if not packages_only:
        folders.append(ROOT / "tests")
    suite = unittest.TestSuite()
    for folder in folders:
        # A loader keeps its top-level folder, so each folder needs a new one.
        loader = unittest.TestLoader()
        loader.testNamePatterns = [f"*{word}*" for word in patterns] or None
        suite.addTests(loader.discover(str(folder), top_level_dir=str(folder)))
    return suite


def load_hypothesis_profile() -> None:
    """Derive hypothesis examples from a fixed seed, for reproducible results."""
    settings.register_profile("suite", derandomize=True, deadline=None, database=None)
    settings.load_profile("suite")


def main() -> int:
    """Run the suite; return 0 if only tests listed as known red failed."""
    load_hypothesis_profile()
    patterns = [word for word in sys.argv[1:] if word != PACKAGES_ONLY]
    suite = load_suite(patterns, PACKAGES_ONLY in sys.argv)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    broken = [test.id() for test, _ in result.failures + result.errors]
    broken += [test.id() for test in result.unexpectedSuccesses]
    red = known_red()
    counted = [test_id for test_id in broken if test_id not in red]
    for test_id in broken:
        if test_id in red:
            sys.stdout.write(f"known red: {test_id}\n")
    n_passed = result.testsRun - len(broken) - len(result.skipped)
    sys.stdout.write(f"{n_passed} passed, {len(counted)} failed\n")
    return 1 if counted or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
