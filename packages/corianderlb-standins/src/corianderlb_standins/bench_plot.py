"""Plot the results of a benchmark."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from .bench_cell import Row

BAR_WIDTH: Final = 0.2


def write_plot(rows: Sequence[Row], path: Path) -> None:
    """Write bar charts of hit rate, recomputed pieces and urgent p99 by scenario."""
    # Imported here because it is slow and no other command needs it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(15, 4.5), layout="constrained")
    _draw_bars(axes[0], rows, "prefix hit rate", lambda row: row.hit_rate)
    _draw_bars(axes[1], rows, "recomputed pieces", lambda row: row.pieces_recomputed)
    _draw_bars(
        axes[2], rows, "urgent p99 TTFT, ms", lambda row: row.ttft_ms["urgent"][-1]
    )
    handles, labels = axes[0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="outside lower center", ncols=len(labels))
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _draw_bars(
    axis: Any, rows: Sequence[Row], title: str, value: Callable[[Row], float]
) -> None:
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    policies = list(dict.fromkeys(row.policy for row in rows))
    for offset, policy in enumerate(policies):
        policy_rows = [row for row in rows if row.policy == policy]
        positions = [
            scenarios.index(row.scenario) + offset * BAR_WIDTH for row in policy_rows
        ]
        axis.bar(
            positions, [value(row) for row in policy_rows], BAR_WIDTH, label=policy
        )
    axis.set_xticks([i + BAR_WIDTH * 1.5 for i in range(len(scenarios))], scenarios)
    axis.set_title(title)
