"""Limits that upstream instances name: requests a second from all routers together."""

from __future__ import annotations

import math
from dataclasses import dataclass

import eliot
import trio

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.part_index import IncarnationKey


@dataclass
class _NamedLimit:
    """Limit of one incarnation of an instance."""

    per_s: float
    named_at: float
    """When the newest answer that names it arrived."""


class InstanceLimits:
    """Limits in force, by incarnation."""

    def __init__(self) -> None:
        self._limits: dict[IncarnationKey, _NamedLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def observe(
        self, instance: ForwardInstance, per_s: float | None, sent_at: float
    ) -> None:
        """Record what an instance answered to a request sent at ``sent_at``.

        A limit ends with an answer that names none. The answer to a request that was
        sent before the limit was named may have been made before that too.
        """
        if per_s is None:
            return
        key, now = instance.incarnation_key, trio.current_time()
        known = self._limits.get(key)
        if math.isfinite(per_s):
            self._limits[key] = _NamedLimit(per_s, now)
            if known is None or known.per_s != per_s:
                self._log(instance, per_s)
        elif known is not None and sent_at >= known.named_at:
            del self._limits[key]
            self._log(instance, None)

    @staticmethod
    def _log(instance: ForwardInstance, per_s: float | None) -> None:
        eliot.log_message(
            message_type="upstream:limit",
            instance=instance.instance,
            born_ms=instance.born_ms,
            per_s=per_s,
        )
