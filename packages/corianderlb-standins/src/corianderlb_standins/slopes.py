"""``make slopes``: measure all slopes and work the capacity table out of them."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from corianderlb_core.codec import to_json

from .call_probe import CALL_PROBES
from .capacity_page import render_slopes, render_table
from .core_probe import CORE_PROBES
from .fleet_probe import herd_slope, idle_slopes
from .slope import Slope

SLOPES_FILE: Final = "slopes.json"
"""Where the measured points go, in the output folder."""

PAGE_FILE: Final = "capacity.md"
"""Where the tables for ``docs/CAPACITY.md`` go."""


async def run_slopes(folder: Path, with_fleets: bool) -> int:
    """Measure, write the points and the tables, print them; return the exit code."""
    folder.mkdir(parents=True, exist_ok=True)
    slopes: list[Slope] = [await probe.run() for probe in (*CORE_PROBES, *CALL_PROBES)]
    if with_fleets:
        slopes += await idle_slopes()
        slopes.append(await herd_slope())
    (folder / SLOPES_FILE).write_bytes(to_json(slopes))
    text = render_slopes(slopes)
    if with_fleets:
        text += "\n" + render_table({slope.name: slope for slope in slopes})
    (folder / PAGE_FILE).write_text(text)
    print(text)
    return 0
