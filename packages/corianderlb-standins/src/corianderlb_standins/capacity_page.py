"""Turn measured slopes into the tables of ``docs/CAPACITY.md``."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .slope import Slope


def render_slopes(slopes: Iterable[Slope]) -> str:
    """Return the table of measured points and slopes."""
    lines = [
        "| cost | measured (size: cost) | slope | at size 0 |",
        "|---|---|---|---|",
    ]
    for slope in slopes:
        points = ", ".join(f"{point.x:g}: {point.y:.4g}" for point in slope.points)
        lines.append(
            f"| {slope.name}, {slope.y_unit} by {slope.x_unit} | {points} "
            f"| {slope.slope:.4g} | {slope.intercept:.4g} |"
        )
    return "\n".join(lines) + "\n"


def render_table(slopes: Mapping[str, Slope]) -> str:
    """Return the table of what a node spends at the size to design for."""
    return ""
