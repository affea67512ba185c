"""State charts of life cycles, read from YAML files.

Each file in ``charts`` is a statechart for sismic, without nested states, guards or
actions. Callers keep no copy of the state: they send events and query the active state.

A process reads the lines of a chart itself, as sismic takes a tenth of the time in
which a router imports its modules. A test compares the two.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import field
from functools import cache
from pathlib import Path
from types import MappingProxyType
from typing import Final

from .data_class import dataclass
from .error import CorianderError

CHARTS: Final = Path(__file__).parent / "charts"

_STATES: Final = re.compile(
    r"statechart:\n(?s:.*?)\n  root state:\n    name: root\n    initial: (\w+)\n"
    r"    states:\n"
)
_LINE: Final = re.compile(
    r"      - name: (\w+)\n"
    r"|        transitions:\n"
    r"|          - \{event: (\w+), target: (\w+)\}\n"
)


class ChartError(CorianderError):
    """Raised for a chart that is more than states and transitions of one line each."""


@dataclass
class Chart:
    """A state chart without nested states, guards or actions."""

    initial: str
    states: list[str] = field(default_factory=list)
    transitions: dict[tuple[str, str], str] = field(default_factory=dict)
    """Target states by (state, event)."""


class LifeCycle:
    """A running instance of a state chart.

    For example, ``LifeCycle("router").send("catalogue_ready")`` moves a starting router
    to serving.
    """

    def __init__(self, chart_name: str) -> None:
        self._transitions = transitions(chart_name)
        self._state = read_chart(chart_name).initial

    @property
    def state(self) -> str:
        """The active state."""
        return self._state

    def send(self, event: str) -> bool:
        """Handle an event; return whether the state changed.

        An event without a transition from the active state is ignored.
        """
        before = self._state
        self._state = self._transitions.get((before, event), before)
        return self._state != before


@cache
def read_chart(chart_name: str) -> Chart:
    """Return a chart by its name; raise ``ChartError`` if it has a line of its own."""
    text = (CHARTS / f"{chart_name}.yaml").read_text(encoding="utf-8")
    start = _STATES.match(text)
    if start is None:
        raise ChartError(f"{chart_name}: expected a root state named root")
    chart = Chart(initial=start[1])
    place = start.end()
    while place < len(text):
        line = _LINE.match(text, place)
        if line is None:
            detail = text[place:].partition("\n")[0]
            raise ChartError(f"{chart_name}: expected one line a transition: {detail}")
        state, event, target = line.groups()
        if state:
            chart.states.append(state)
        elif event:
            chart.transitions[chart.states[-1], event] = target
        place = line.end()
    return chart


@cache
def transitions(chart_name: str) -> Mapping[tuple[str, str], str]:
    """Return the target states of a chart without nested states by (state, event).

    Used directly for records that hold their state in another form, with the chart
    still the single definition of the transitions.
    """
    return MappingProxyType(read_chart(chart_name).transitions)
