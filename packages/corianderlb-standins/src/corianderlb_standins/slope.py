"""Slopes: how a cost grows with one size, from two or more measured points.

A probe measures a cost at several sizes. The least-squares line through the points
gives the slope, which the capacity page multiplies by the size to design for.
"""

from __future__ import annotations

import statistics
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True)
class Point:
    """Hold one measurement: the cost ``y`` at the size ``x``."""

    x: float
    y: float


@dataclass(frozen=True)
class Slope:
    """Hold a line through measured points, with the units of its axes."""

    name: str
    x_unit: str
    y_unit: str
    points: tuple[Point, ...]
    slope: float
    intercept: float

    def at(self, x: float) -> float:
        """Return the cost at a size, which may lie beyond the measured ones."""
        return self.intercept + self.slope * x


class Probe(ABC):
    """Measure one cost at several sizes."""

    name: ClassVar[str]
    x_unit: ClassVar[str]
    y_unit: ClassVar[str]
    sizes: ClassVar[tuple[int, ...]]
    """At least two."""

    @abstractmethod
    async def measure(self, size: int) -> float:
        """Return the cost at one size."""

    async def run(self) -> Slope:
        """Measure at each size and return the line through the points."""
        points = [Point(size, await self.measure(size)) for size in self.sizes]
        return fit(self.name, self.x_unit, self.y_unit, points)


def fit(name: str, x_unit: str, y_unit: str, points: list[Point]) -> Slope:
    """Return the least-squares line through two or more points."""
    line = statistics.linear_regression(
        [point.x for point in points], [point.y for point in points]
    )
    return Slope(name, x_unit, y_unit, tuple(points), line.slope, line.intercept)
