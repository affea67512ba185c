"""A fleet of ledgers that keep an instance's limit, on a virtual clock."""

from __future__ import annotations

from corianderlb_core.identity import InstanceId
from corianderlb_core.limit_ledger import LIMIT_TERMS, LimitLedger, limit_name
from corianderlb_core.usage_cap import UsageCap
from corianderlb_core.usage_ledger import UsageLedger
from usage_fleet import UsageFleet, most_in_window

INCARNATION = ("i-7f3a", 1000)


class LimitFleet(UsageFleet):
    """Routers before one instance that names a limit; counts what reaches it."""

    def __init__(
        self, per_s: float, n_routers: int = 25, seed: int = 1, delay_s: float = 0.02
    ) -> None:
        super().__init__(UsageCap(per_s, 1.0), n_routers, seed=seed, delay_s=delay_s)
        self.account = limit_name(INCARNATION)

    def new_ledger(self, router: InstanceId, epoch: int) -> UsageLedger:
        """Build the ledger of a router that hears of the limit when it starts."""
        ledger = LimitLedger(router, epoch)
        ledger.set_limit(INCARNATION, self.cap.rate_per_s, self.now)
        return ledger

    def send(
        self, for_s: float, requests_per_s: float, at: tuple[int, ...] = ()
    ) -> None:
        """Advance the clock while requests arrive at some routers, or at all."""
        self.play(for_s, requests_per_s, at, mean_cost=1.0)

    def most_sent(self) -> float:
        """Return the most requests sent in a window."""
        return most_in_window(self.runs, LIMIT_TERMS.window_s)

    def allowed(self) -> float:
        """Return the requests that the limit allows in a window."""
        return 1.5 * self.cap.rate_per_s * LIMIT_TERMS.window_s + 5

    def sent_share(self, since: float = 0.0) -> float:
        """Return what was sent since a time, as a share of the limit."""
        n_sent = sum(moment >= since for moment, _ in self.runs)
        return n_sent / (self.cap.rate_per_s * (self.now - since))
