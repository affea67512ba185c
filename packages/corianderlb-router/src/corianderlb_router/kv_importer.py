"""Order KV cache imports from engines before requests are sent to them."""

from __future__ import annotations

import json
from typing import Final

import httpx
import trio

from corianderlb_core.codec import DecodeError, plain_from_json
from corianderlb_core.prefix import PrefixScope
from corianderlb_core.request import RequestFacts

from .connection import UpstreamError
from .interface import Placer
from .upstream_client import ExchangeTimeouts, UpstreamClient

IMPORT_PATH: Final = "/control/import"
"""Path of an engine's import orders."""

MAX_IMPORT_FRACTION: Final = 0.25
"""Largest fraction of the time to the deadline that an import may take."""


class KvImporter:
    """Orders imports where placement estimates them cheaper than prefill.

    An import is only an optimization: the request is sent even if the order fails, and
    the engine computes the missing pieces. The wait is bounded, since an unresponsive
    KV cache upstream or engine would otherwise delay the first token.
    """

    def __init__(self, client: UpstreamClient, placer: Placer, wait_s: float) -> None:
        self._client = client
        self._placer = placer
        self._wait_s = wait_s
        self.n_orders = 0
        """Import orders sent."""
        self.n_imported = 0
        """Pieces that engines reported as imported."""
        self.n_late = 0
        """Orders that timed out, failed or got an invalid answer."""

    async def prepare(
        self, address: str, n_asked: int, facts: RequestFacts, scope: PrefixScope
    ) -> None:
        """Order the import of some pieces, and wait for it up to the timeout.

        ``address`` is that of the engine which imports them.
        """
        if not n_asked:
            return
        left_s = facts.deadline - trio.current_time()
        wait_s = min(self._wait_s, left_s * MAX_IMPORT_FRACTION)
        self.n_orders += 1
        n_imported = None
        with trio.move_on_after(max(0.0, wait_s)):
            n_imported = await self._order(address, facts, scope, wait_s)
        if n_imported is None:
            self.n_late += 1
        else:
            self.n_imported += n_imported
        self._placer.imported(facts, n_asked, n_imported or 0)

    async def _order(
        self, address: str, facts: RequestFacts, scope: PrefixScope, wait_s: float
    ) -> int | None:
        body = {
            "salt": scope.salt,
            "weights_version": scope.weights_version,
            "adapter": scope.adapter,
            "keys": [key.hex() for key in facts.prefix_keys],
        }
        try:
            response = await self._client.post(
                address,
                IMPORT_PATH,
                json.dumps(body).encode(),
                ExchangeTimeouts(connect_s=wait_s, first_s=wait_s),
            )
            return int(plain_from_json(response.content)["imported"])
        except (UpstreamError, httpx.HTTPError, DecodeError):
            return None
        except (KeyError, TypeError, ValueError):
            # Invalid answer: count nothing as imported.
            return None
