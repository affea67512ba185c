"""Limits that upstream instances name, kept with the other routers.

The decisions are made by ``corianderlb_core.limit_ledger``; this module feeds it with
the answers of instances and the announcements of peers.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import ClassVar, Final, TypeAlias

import eliot
import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.identity import InstanceId
from corianderlb_core.limit_ledger import LimitLedger, limit_name
from corianderlb_core.message import (
    AccountUsage,
    InstanceLimit,
    InstanceLimitUpdate,
    RefusalLimitUpdate,
)
from corianderlb_core.part_index import IncarnationKey
from corianderlb_core.refusal_ledger import RefusalLedger

from .fleet_ledger import FleetLedger
from .interface import PeerNetwork
from .serving_state import ServingState

MAX_LIMITS: Final = 4096
"""Incarnations whose limits are remembered; the oldest are dropped first."""


@dataclass
class _NamedLimit:
    """Limit of one incarnation of an instance."""

    per_s: float
    named_at: float
    """When the newest answer that named it arrived, here or at a peer."""
    is_ended: bool = False
    """Whether a later answer named no limit."""


LimitUpdate: TypeAlias = InstanceLimitUpdate | RefusalLimitUpdate


class InstanceLimits(FleetLedger):
    """Limits in force, and the requests that all routers send within them."""

    UPDATE: ClassVar[type[LimitUpdate]] = InstanceLimitUpdate
    LEDGER: ClassVar[type[LimitLedger]] = LimitLedger
    ledger: LimitLedger

    def __init__(self, state: ServingState, peers: PeerNetwork, epoch: int) -> None:
        super().__init__(peers, self.LEDGER(peers.own, epoch))
        self._state = state
        self._limits: dict[IncarnationKey, _NamedLimit] = {}
        peers.subscribe(self.UPDATE, self.on_limit_update)

    @property
    def n_in_force(self) -> int:
        """Number of listed instances whose limits are in force."""
        listed = (self._state.instance(name) for name, _ in self._limits)
        return sum(found is not None and self._is_in_force(found) for found in listed)

    @property
    def is_empty(self) -> bool:
        """Whether no instance has ever named a limit."""
        return not self._limits

    # Requests.

    def per_s(self, instance: ForwardInstance) -> float:
        """Return the limit of an instance, infinite without one."""
        known = self._limits.get(instance.incarnation_key)
        return math.inf if known is None or known.is_ended else known.per_s

    def wait_s(self, instance: ForwardInstance) -> float:
        """Return the time until an instance's limit has room for a request."""
        if not self._is_in_force(instance):
            return 0.0
        now = trio.current_time()
        self._refresh(now)
        return self.ledger.wait_s(limit_name(instance.incarnation_key), 1.0, now)

    def charge(self, instance: ForwardInstance) -> bool:
        """Charge a request that is about to be sent; return False without room."""
        if not self._is_in_force(instance):
            return True
        now = trio.current_time()
        self._refresh(now)
        name = limit_name(instance.incarnation_key)
        if not self.ledger.charge(name, 1.0, now):
            return False
        self.wake()
        return True

    def charge_always(self, instance: ForwardInstance) -> None:
        """Charge a call that can't wait."""
        if self._is_in_force(instance):
            name = limit_name(instance.incarnation_key)
            self.ledger.charge_always(name, 1.0, trio.current_time())
            self.wake()

    def refund(self, instance: ForwardInstance) -> None:
        """Return the charge of a request that never reached its instance."""
        if self._is_in_force(instance):
            name = limit_name(instance.incarnation_key)
            self.ledger.refund(name, 1.0, trio.current_time())
            self.wake()

    def _is_in_force(self, instance: ForwardInstance) -> bool:
        known = self._limits.get(instance.incarnation_key)
        return known is not None and not known.is_ended

    # What instances and peers say.

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
            if self._set(key, per_s, now, "answer"):
                self._peers.broadcast(self.UPDATE(self._named((key,))))
        elif known is not None and not known.is_ended and sent_at >= known.named_at:
            known.is_ended, known.named_at = True, now
            self._log(key, None, "answer")

    async def on_limit_update(self, sender: InstanceId, update: LimitUpdate) -> None:
        """Apply what a peer knows of limits, and charge what it announces."""
        now = trio.current_time()
        news = []
        for limit in update.limits:
            key, named_at = (limit.instance, limit.born_ms), now - limit.age_ms / 1000
            known = self._limits.get(key)
            if known is not None and known.named_at >= named_at:
                continue
            if self._set(key, limit.per_s, named_at, "peer"):
                news.append(key)
        if news:
            self._peers.forward_update(self.UPDATE(self._named(news)))
        self._merge(update.usage)

    def _set(
        self, key: IncarnationKey, per_s: float, named_at: float, source: str
    ) -> bool:
        """Apply a limit; return whether it differs from what was in force."""
        now = trio.current_time()
        known = self._limits.get(key)
        self.ledger.set_limit(key, per_s, now)
        if known is None:
            known = self._limits[key] = _NamedLimit(per_s, named_at, is_ended=True)
            self._drop_oldest()
        is_news = known.is_ended or known.per_s != per_s
        if known.is_ended:
            self.ledger.restart(key, now)
        known.per_s, known.named_at, known.is_ended = per_s, named_at, False
        if is_news:
            self._log(key, per_s, source)
        return is_news

    def _drop_oldest(self) -> None:
        if len(self._limits) <= MAX_LIMITS:
            return
        key = next(iter(self._limits))
        del self._limits[key]
        self.ledger.forget(key)

    def _update(self, usage: tuple[AccountUsage, ...]) -> LimitUpdate:
        names = {entry.account for entry in usage}
        keys = [key for key in self._limits if limit_name(key) in names]
        return self.UPDATE(self._named(keys), usage)

    def _named(self, keys: Collection[IncarnationKey]) -> tuple[InstanceLimit, ...]:
        """Return the limits in force of some incarnations, for peers."""
        now = trio.current_time()
        return tuple(
            InstanceLimit(*key, limit.per_s, round((now - limit.named_at) * 1000))
            for key in keys
            if (limit := self._limits.get(key)) is not None and not limit.is_ended
        )

    @staticmethod
    def _log(key: IncarnationKey, per_s: float | None, source: str) -> None:
        eliot.log_message(
            message_type="upstream:limit",
            instance=key[0],
            born_ms=key[1],
            per_s=per_s,
            source=source,
        )


class RefusalLimits(InstanceLimits):
    """Refusals that brittle instances bear, and those that all routers have got.

    A request is charged before it is sent, and the charge is returned unless it is
    turned away. Only an instance that has turned requests away lately is asked so
    carefully; before that, its queue has room.
    """

    UPDATE = RefusalLimitUpdate
    LEDGER = RefusalLedger

    def is_full(self, instance: ForwardInstance) -> bool:
        """Return whether a brittle instance has turned requests away lately."""
        if not self._is_in_force(instance):
            return False
        now = trio.current_time()
        self._refresh(now)
        return self.ledger.is_used(limit_name(instance.incarnation_key), now)

    @staticmethod
    def _log(key: IncarnationKey, per_s: float | None, source: str) -> None:
        eliot.log_message(
            message_type="upstream:brittle",
            instance=key[0],
            born_ms=key[1],
            refusals_per_s=per_s,
            source=source,
        )
