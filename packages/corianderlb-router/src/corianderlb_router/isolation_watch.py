"""Takes a router out of service while its catalogue may be stale."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import trio

from .interface import CatalogueSource

POLL_INTERVAL_S: Final = 0.5
"""Poll interval; each routing decision checks for staleness as well."""


class IsolationWatch:
    """Sends the events ``isolated`` and ``reconnected`` to the life cycle.

    The readiness check follows them, so that the balancer sends requests to other
    routers meanwhile.
    """

    def __init__(self, catalogue: CatalogueSource, send: Callable[[str], None]) -> None:
        self._catalogue = catalogue
        self._send = send

    async def run(self) -> None:
        """Poll the catalogue source until cancelled."""
        while True:
            self._send("isolated" if self._catalogue.is_stale() else "reconnected")
            await trio.sleep(POLL_INTERVAL_S)
