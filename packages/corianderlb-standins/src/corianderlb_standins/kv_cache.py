"""Stand-in for the upstream that stores KV cache pieces outside the engines."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import trio

from corianderlb_core import header
from corianderlb_core.codec import to_plain
from corianderlb_core.load import LoadReport

from ._asgi import Call, StandIn
from .engine_settings import EngineFaults
from .piece_cache import PieceCache


class KvCache(StandIn):
    """Store of exported piece keys that evicts the least recently stored."""

    def __init__(self, epoch: int, capacity: int) -> None:
        self.faults = EngineFaults()
        self._epoch = epoch
        self._pieces = PieceCache(capacity, 0.0, random.Random(0))
        self._calls: Counter[str] = Counter()

    def counters(self) -> dict[str, Any]:
        """Return the calls by path and the number of stored pieces."""
        return {"calls": dict(self._calls), "pieces": len(self._pieces)}

    async def handle(self, call: Call) -> None:
        """Answer lookups, stores and load reports."""
        headers = {header.INCARNATION: str(self._epoch)}
        self._calls[call.path] += 1
        if self.faults.freeze:
            await trio.sleep_forever()
        if call.path == "/pieces/lookup":
            keys = _keys_in_body(call)
            held = [key.hex() for key in keys if self._pieces.count_hits([key])]
            await call.answer(200, {"held": held}, headers)
        elif call.path == "/pieces/store":
            self._pieces.add(_keys_in_body(call), trio.current_time())
            await call.answer(200, {}, headers)
        elif call.path == "/control/load":
            report = LoadReport(epoch=self._epoch, leaving=self.faults.leaving)
            await call.answer(200, to_plain(report), headers)
        else:
            await call.answer(200, {}, headers)


def _keys_in_body(call: Call) -> list[bytes]:
    return [bytes.fromhex(key) for key in call.plain().get("keys", [])]
