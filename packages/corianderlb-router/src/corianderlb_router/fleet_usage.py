"""Usage caps of client accounts, enforced with the other routers.

The decisions are made by ``corianderlb_core.usage_ledger``; this module feeds it with
the configuration, with who is heard, and with the announcements of the peers.
"""

from __future__ import annotations

import random
from typing import Final

import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardAccount, ForwardConfiguration, Prompt
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import AccountUsage, UsageUpdate
from corianderlb_core.result import ResultCode
from corianderlb_core.usage_cap import UsageCap, UsageTerms
from corianderlb_core.usage_ledger import UsageLedger

from .caller import refuse
from .fleet_ledger import FleetLedger
from .interface import PeerNetwork
from .log_writer import log_request

MIN_RETRY_AFTER_S: Final = 0.05
"""Lower bound for the Retry-After of a caller over its cap."""

MAX_RETRY_AFTER_SHARE: Final = 1 / 3
"""Share of the time a caller has left over which refused callers are spread."""


@dataclass(frozen=True)
class UsageCharge:
    """What was charged for one request."""

    usage: FleetUsage
    account: str
    cost: float

    def refund(self) -> None:
        """Return the charge of a request that has not run."""
        self.usage.ledger.refund(self.account, self.cost, trio.current_time())
        self.usage.wake()

    def repeat(self) -> bool:
        """Charge another run; return False if the account has no room for it."""
        charged = self.usage.ledger.charge(self.account, self.cost, trio.current_time())
        self.usage.wake()
        return charged

    def repeat_always(self) -> None:
        """Charge another run of an answer that has begun."""
        self.usage.ledger.charge_always(self.account, self.cost, trio.current_time())
        self.usage.wake()


class FleetUsage(FleetLedger):
    """Charges requests to their accounts and announces that to the peers."""

    def __init__(
        self, peers: PeerNetwork, terms: UsageTerms, epoch: int, rng: random.Random
    ) -> None:
        # The ledger holds what the accounts have used.
        super().__init__(peers, UsageLedger(peers.own, epoch, terms))
        self._rng = rng
        self._caps: dict[str, UsageCap] = {}
        self._configuration: ForwardConfiguration | None = None
        peers.subscribe(UsageUpdate, self.on_usage_update)

    def apply(self, cfg: ForwardConfiguration | None) -> None:
        """Apply the caps of a configuration."""
        if cfg is None or cfg is self._configuration:
            return
        self._configuration = cfg
        self._caps = {
            account.name: account.cap
            for account in cfg.accounts
            if account.cap is not None
        }
        now = trio.current_time()
        # A first bucket begins lower, the more routers there are.
        self._refresh(now)
        self.ledger.set_caps(self._caps, now)

    def charge(
        self, account: ForwardAccount | None, prompt: Prompt | None, left_s: float
    ) -> UsageCharge:
        """Charge a request that is about to run; raise the refusal if over the cap.

        ``left_s`` is the time for which its caller waits.
        """
        name = account.name if account else ""
        cap = self._caps.get(name)
        if cap is None:
            return UsageCharge(self, "", 0.0)
        now = trio.current_time()
        self._refresh(now)
        n_tokens = None if prompt is None else prompt.n_prompt + prompt.n_output
        cost = cap.cost(n_tokens)
        if self.ledger.charge(name, cost, now):
            self.wake()
            return UsageCharge(self, name, cost)
        retry_after_s = self._retry_after_s(name, cost, left_s)
        used = self.ledger.used(name, now)
        detail = (
            f"Account {name} is over its cap of {cap.rate_per_s:g} {cap.unit.value} a "
            f"second and {cap.burst:g} at once; {used:.0f} are in use."
        )
        log_request(
            message_type="usage:refused",
            account=name,
            rate_per_s=cap.rate_per_s,
            burst=cap.burst,
            unit=cap.unit.value,
            cost=cost,
            used=round(used),
            heard_share=round(self.ledger.heard_share, 2),
            routers=self.ledger.n_routers,
            retry_after_ms=round(retry_after_s * 1000),
        )
        raise refuse(ResultCode.RATE_LIMITED, detail, retry_after_s)

    def _retry_after_s(self, name: str, cost: float, left_s: float) -> float:
        """Return when there will be room; callers are spread over the time after it."""
        wait_s = self.ledger.wait_s(name, cost, trio.current_time())
        latest_s = max(wait_s, MAX_RETRY_AFTER_SHARE * left_s)
        return max(MIN_RETRY_AFTER_S, self._rng.uniform(wait_s, latest_s))

    # Peers.

    async def on_usage_update(self, sender: InstanceId, update: UsageUpdate) -> None:
        """Charge what a peer announces."""
        self._merge(update.usage)

    def _update(self, usage: tuple[AccountUsage, ...]) -> UsageUpdate:
        return UsageUpdate(usage)
