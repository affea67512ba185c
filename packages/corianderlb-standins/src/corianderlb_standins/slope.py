"""Growth of a cost with a size, as a line fitted to measured points.

A probe measures a cost at several sizes. The capacity page extrapolates the
least-squares line through these points to the design size.
"""

from __future__ import annotations

import statistics
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True)
class Point:
    """Measured cost ``y`` at the size ``x``."""

    x: float
    y: float


@dataclass(frozen=True)
class Slope:
    """Line fitted to measured points, with the units of its axes."""

    name: str
    x_unit: str
    y_unit: str
    points: tuple[Point, ...]
    slope: float
    intercept: float

    def at(self, x: float) -> float:
        """Return the estimated cost at any size, also beyond the measured sizes."""
        return self.intercept + self.slope * x


class Probe(ABC):
    """Base class of measurements of one cost at several sizes."""

    name: ClassVar[str]
    x_unit: ClassVar[str]
    y_unit: ClassVar[str]
    sizes: ClassVar[tuple[int, ...]]
    """Sizes to measure at; at least two."""

    @abstractmethod
    async def measure(self, size: int) -> float:
        """Return the measured cost at one size."""

    async def run(self) -> Slope:
        """Measure at each size and return the fitted line."""
        points = [Point(size, await self.measure(size)) for size in self.sizes]
        return fit_line(self.name, self.x_unit, self.y_unit, points)


def fit_line(name: str, x_unit: str, y_unit: str, points: list[Point]) -> Slope:
    """Return the least-squares line through two or more points."""
    line = statistics.linear_regression(
        [point.x for point in points], [point.y for point in points]
    )
    return Slope(name, x_unit, y_unit, tuple(points), line.slope, line.intercept)
