"""Have an engine import missing pieces before a request is sent to it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import httpx
import trio

from corianderlb_core.codec import DecodeError, plain_from_json
from corianderlb_core.prefix import PrefixScope
from corianderlb_core.request import RequestFacts

from .connection import UpstreamError
from .interface import Placer
from .upstream_client import Patience, UpstreamClient

if TYPE_CHECKING:
    from .attempt import Attempt

IMPORT_PATH: Final = "/control/import"
"""Where an engine takes the order to import pieces."""

SHARE_OF_TIME_LEFT: Final = 0.25
"""Part of the time to the deadline that an import may take."""


class KvImporter:
    """Order imports that placement found cheaper than computing the pieces again.

    An import is only ever a saving: whatever becomes of the order, the request is sent
    afterwards and the engine computes what it lacks. A KV cache upstream or an engine
    that does not answer would show as a late first token, so the wait is bounded.
    """

    def __init__(self, client: UpstreamClient, placer: Placer, wait_s: float) -> None:
        self._client = client
        self._placer = placer
        self._wait_s = wait_s
        self.n_orders = 0
        """Import orders sent."""
        self.n_imported = 0
        """Pieces that engines said they imported."""
        self.n_late = 0
        """Orders that were not answered within the bound, or not well."""

    async def prepare(
        self, attempt: Attempt, facts: RequestFacts, scope: PrefixScope
    ) -> None:
        """Order the import that the candidate calls for, and wait for it a while."""
        n_asked = attempt.candidate.import_pieces
        if not n_asked:
            return
        left_s = facts.deadline - trio.current_time()
        wait_s = min(self._wait_s, left_s * SHARE_OF_TIME_LEFT)
        self.n_orders += 1
        n_imported = None
        with trio.move_on_after(max(0.0, wait_s)):
            n_imported = await self._order(attempt, facts, scope, wait_s)
        if n_imported is None:
            self.n_late += 1
        else:
            self.n_imported += n_imported
        self._placer.imported(facts, n_asked, n_imported or 0)

    async def _order(
        self, attempt: Attempt, facts: RequestFacts, scope: PrefixScope, wait_s: float
    ) -> int | None:
        body = {
            "salt": scope.salt,
            "weights_version": scope.weights_version,
            "adapter": scope.adapter,
            "keys": [key.hex() for key in facts.prefix_keys],
        }
        try:
            response = await self._client.post(
                attempt.upstream_instance.address,
                IMPORT_PATH,
                json.dumps(body).encode(),
                Patience(connect_s=wait_s, first_s=wait_s),
            )
            return int(plain_from_json(response.content)["imported"])
        except (UpstreamError, httpx.HTTPError, DecodeError):
            return None
        except (KeyError, TypeError, ValueError):
            # Not the protocol's answer; the engine then imported nothing for sure.
            return None
