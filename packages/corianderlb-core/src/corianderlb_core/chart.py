"""Interpret the state charts of life cycles, which are kept as files.

Each file in ``charts`` is a YAML chart for sismic. Code never stores a state beside
the chart: it sends events and asks which state is active. Interpreting costs about
0.1 ms an event, which suits life cycles and not tokens.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import cache
from importlib import resources
from types import MappingProxyType

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart


class LifeCycle:
    """Run one instance of a chart.

    For example ``LifeCycle("router").send("catalogue_ready")`` moves a starting router
    on to serving, and ``state`` then names the state.
    """

    def __init__(self, chart_name: str) -> None:
        self._interpreter = Interpreter(_load(chart_name))
        self._interpreter.execute()

    @property
    def state(self) -> str:
        """The active leaf state."""
        return self._interpreter.configuration[-1]

    def send(self, event: str) -> bool:
        """Handle an event; return whether the state changed.

        An event for which the active state has no transition is ignored, as the charts
        list every transition that is meant to happen.
        """
        before = self.state
        self._interpreter.queue(event)
        self._interpreter.execute()
        return self.state != before


@cache
def _load(chart_name: str) -> Statechart:
    folder = resources.files(__package__) / "charts"
    return import_from_yaml((folder / f"{chart_name}.yaml").read_text())


@cache
def transitions(chart_name: str) -> Mapping[tuple[str, str], str]:
    """Return the target state by (state, event) of a chart without nested states.

    For records of which a process holds thousands: an interpreter each would cost too
    much, and the chart stays the one place that lists the transitions.
    """
    chart = _load(chart_name)
    found = {
        (state, transition.event): transition.target
        for state in chart.states
        for transition in chart.transitions_from(state)
    }
    return MappingProxyType(found)
