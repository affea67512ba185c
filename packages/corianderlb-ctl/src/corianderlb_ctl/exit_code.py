"""Exit codes of ``corianderctl``, so that scripts can tell what happened."""

from __future__ import annotations

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Number how a command ended; ``docs/reference/corianderctl.md`` lists them."""

    OK = 0
    FAILED = 1
    """A fault of the program; report it."""
    USAGE = 2
    """The command line is wrong; nothing was done."""
    INVALID = 3
    """Settings or catalogue did not pass the check; nothing was done."""
    CONFLICT = 4
    """Another operator's change came first; nothing was done."""
    UNAVAILABLE = 5
    """The store or a router did not answer; nothing was done."""
    UNKNOWN = 6
    """Whether the edit was accepted is not known; run the same command again."""
    NOT_IN_FORCE = 7
    """Accepted, but some instance did not report it in force in time."""
    NOT_FOUND = 8
    """No such entry, change, instance or decision."""
    DIFFERENT = 9
    """``diff`` found differences."""
