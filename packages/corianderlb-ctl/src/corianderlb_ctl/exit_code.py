"""Exit codes of ``corianderctl``, for use in scripts."""

from __future__ import annotations

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Outcome of a command; listed in ``docs/reference/corianderctl.md``."""

    OK = 0
    FAILED = 1
    """A bug in the program, or an interrupt."""
    USAGE = 2
    """The command line is wrong; nothing was done."""
    INVALID = 3
    """Settings or catalogue are invalid; nothing was done."""
    CONFLICT = 4
    """Another change was accepted first; nothing was done."""
    UNAVAILABLE = 5
    """The store or a router did not answer; nothing was done."""
    UNKNOWN = 6
    """The edit may have been accepted; run the same command again."""
    NOT_IN_FORCE = 7
    """Accepted, but not in force on all routers before the timeout."""
    NOT_FOUND = 8
    """No such entry, change, instance or decision."""
    DIFFERENT = 9
    """``diff`` found differences."""
