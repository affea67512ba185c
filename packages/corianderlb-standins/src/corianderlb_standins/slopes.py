"""Measure all slopes and render the capacity tables (``make slopes``)."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from corianderlb_core.codec import to_json

from .call_probe import CALL_PROBES
from .capacity_page import (
    render_costs,
    render_data_path,
    render_slopes,
    render_store,
)
from .core_probe import CORE_PROBES
from .fleet_probe import idle_slopes, restart_slope
from .slope import Slope
from .traffic_probe import store_write_slope, traffic_slopes

SLOPES_FILE: Final = "slopes.json"
"""Output file for the measured points."""

PAGE_FILE: Final = "capacity.md"
"""Output file for the tables of ``docs/CAPACITY.md``."""


async def run_slopes(folder: Path) -> int:
    """Measure, write the points and tables, print the tables; return the exit code."""
    folder.mkdir(parents=True, exist_ok=True)
    slopes: list[Slope] = [await probe.run() for probe in (*CORE_PROBES, *CALL_PROBES)]
    slopes += await traffic_slopes()
    slopes.append(await store_write_slope())
    slopes += await idle_slopes()
    slopes.append(await restart_slope())
    (folder / SLOPES_FILE).write_bytes(to_json(slopes))
    text = render_tables(slopes)
    (folder / PAGE_FILE).write_text(text)
    print(text)
    return 0


def render_tables(slopes: list[Slope]) -> str:
    """Return the tables of the capacity page."""
    by_name = {slope.name: slope for slope in slopes}
    parts = [
        render_slopes(slopes),
        render_costs(by_name),
        render_data_path(by_name),
        render_store(by_name),
    ]
    return "\n".join(parts)
