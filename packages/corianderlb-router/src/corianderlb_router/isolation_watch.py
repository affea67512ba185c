"""Take a router out of service while its catalogue may be out of date."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import trio

from .interface import CatalogueSource

LOOK_S: Final = 0.5
"""Seconds between two looks; each decision asks for itself besides."""


class IsolationWatch:
    """Send the life cycle's events ``isolated`` and ``reconnected``.

    The readiness path turns with them, so that the balancer sends callers to instances
    that are better off.
    """

    def __init__(self, catalogue: CatalogueSource, send: Callable[[str], None]) -> None:
        self._catalogue = catalogue
        self._send = send

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            self._send("isolated" if self._catalogue.is_stale() else "reconnected")
            await trio.sleep(LOOK_S)
