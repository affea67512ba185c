"""Load that an instance reports of itself in its answers."""

from __future__ import annotations

from .data_class import dataclass


@dataclass(frozen=True)
class InstanceLoadReport:
    """Figures of one report, each None if the instance did not report it.

    For example, ``InstanceLoadReport(3, 1, 8, 2.5)`` is a report of three running and
    one waiting request on an instance with eight slots, on whose machine work takes two
    and a half times as long as usual at that moment.
    """

    n_running: int | None = None
    n_waiting: int | None = None
    n_slots: int | None = None
    slowdown: float | None = None
    """How long work takes at that moment; 1 is as usual."""
