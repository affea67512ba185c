"""Admission of requests within the limits of catalogue entries and upstream capacity.

``admit`` first reserves a slot at all entries that a request uses, and then waits until
the gate of its upstream admits it. A request that is refused, or whose caller
disconnects, has left every queue and released its slots by the time ``admit`` ends.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

import trio

from corianderlb_core.admission import Gate, GateTerms
from corianderlb_core.allowance import Allowance
from corianderlb_core.catalogue import Catalogue, Entry
from corianderlb_core.fair_queue import Ticket
from corianderlb_core.grant import GrantTerms
from corianderlb_core.identity import AccountId, InstanceId
from corianderlb_core.request import Refusal, RequestFacts
from corianderlb_core.settings import AdmissionSettings
from corianderlb_core.status import AccountStatus

from ._future import Future
from .interface import (
    Admission,
    CatalogueSource,
    PeerNetwork,
    Slot,
    UpstreamDirectory,
)
from .limit_holder import TICK_S, LimitHolder

ACCOUNT_PREFIX: Final = "account/"
"""Prefix of client accounts in the names of limited entries."""


class LimitedSlot(Slot):
    """Slots of an admitted request at its entries and at the gate of its upstream."""

    def __init__(
        self, limiter: Limiter, facts: RequestFacts, allowances: Sequence[Allowance]
    ) -> None:
        self._limiter = limiter
        self._facts = facts
        self._allowances = allowances
        self._started_at = trio.current_time()
        self._released = False

    def release(self, used_tokens: int) -> None:
        """Release the slots and settle the tokens; further calls do nothing."""
        if self._released:
            return
        self._released = True
        now = trio.current_time()
        held_s = now - self._started_at
        for allowance in self._allowances:
            allowance.release(self._facts.prompt_tokens, used_tokens, held_s, now)
        self._limiter.release_place(self._facts.upstream, held_s)


class Limiter(Admission):
    """Admits requests within the limits, by service class and fairly between accounts.

    ``estimate_s`` estimates the time from admission to the first byte of the answer. A
    request that cannot meet its deadline by that estimate is refused on arrival.
    """

    def __init__(
        self,
        router: InstanceId,
        catalogue: CatalogueSource,
        directory: UpstreamDirectory,
        network: PeerNetwork,
        cfg: AdmissionSettings | None = None,
        estimate_s: Callable[[RequestFacts], float] = lambda facts: 0.0,
    ) -> None:
        self._catalogue = catalogue
        self._directory = directory
        self._cfg = cfg or AdmissionSettings()
        self._estimate_s = estimate_s
        terms = GrantTerms(
            self._cfg.grant_valid_s, self._cfg.grant_burst_s, self._cfg.grant_answer_s
        )
        self.holder = LimitHolder(router, catalogue, network, terms)
        """This router's share of the fleet-wide limits."""
        self.gates: dict[str, Gate[Future[None]]] = {}
        """Gates by upstream; their ``counts`` are exported as metrics."""

    async def run(self) -> None:
        """Answer grant requests, renew grants and update gates until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._update_capacities)
            await self.holder.run()
            nursery.cancel_scope.cancel()

    async def admit(self, facts: RequestFacts) -> Slot | Refusal:
        """Wait for admission and return a slot, or return a refusal."""
        catalogue = self._catalogue_in_force()
        entries = limited_entries(facts, catalogue)
        tokens = facts.prompt_tokens
        allowances = await self.holder.reserve(entries, tokens, facts.deadline)
        if isinstance(allowances, Refusal):
            return allowances
        admitted = False
        try:
            refusal = await self._enter_gate(facts, catalogue)
            admitted = refusal is None
        finally:
            # Also releases the slots when the caller disconnects.
            if not admitted:
                self.holder.refund(allowances, tokens)
        return refusal or LimitedSlot(self, facts, allowances)

    def release_place(self, upstream: str, held_s: float) -> None:
        """Release a slot at an upstream's gate and admit the next request."""
        gate = self.gates[upstream]
        gate.release(held_s)
        self._admit_queued(gate)

    def accounts(self) -> list[AccountStatus]:
        """Return the usage of each active client account on this router."""
        return [
            AccountStatus(
                account=allowance.entry.removeprefix(ACCOUNT_PREFIX),
                n_running=allowance.n_running,
                n_waiting=self._n_waiting(allowance.entry.removeprefix(ACCOUNT_PREFIX)),
                n_refused=allowance.n_refused,
            )
            for allowance in self.holder.allowances
            if allowance.entry.startswith(ACCOUNT_PREFIX)
        ]

    async def _enter_gate(
        self, facts: RequestFacts, catalogue: Catalogue
    ) -> Refusal | None:
        """Return None once the gate has admitted the request, or a refusal."""
        gate = self._gate(facts.upstream, catalogue)
        account = catalogue.account(facts.account)
        ticket = gate.offer(
            Future(),
            facts,
            account.weight if account is not None else 1.0,
            self._estimate_s(facts),
            trio.current_time(),
        )
        if isinstance(ticket, Refusal):
            return ticket
        self._admit_queued(gate)
        if not ticket.in_queue:
            return None
        gate.counts.n_queued += 1
        return await self._wait_in_queue(facts, gate, ticket)

    async def _wait_in_queue(
        self,
        facts: RequestFacts,
        gate: Gate[Future[None]],
        ticket: Ticket[Future[None]],
    ) -> Refusal | None:
        try:
            with trio.move_on_at(facts.deadline):
                await ticket.item.wait()
        except trio.Cancelled:
            if ticket.in_queue:
                gate.leave(ticket)
            else:
                # The request was admitted just as its caller disconnected.
                gate.release(None)
                self._admit_queued(gate)
            raise
        return gate.expire(ticket) if ticket.in_queue else None

    async def _update_capacities(self) -> None:
        """Update the capacity of the gates as instances leave and return."""
        while True:
            await trio.sleep(TICK_S)
            catalogue = self._catalogue_in_force()
            for upstream, gate in self.gates.items():
                gate.capacity = self._capacity(upstream, catalogue)
                self._admit_queued(gate)

    def _catalogue_in_force(self) -> Catalogue:
        in_force = self._catalogue.current()
        return in_force.catalogue if in_force is not None else Catalogue()

    def _admit_queued(self, gate: Gate[Future[None]]) -> None:
        for ticket in gate.admit_queued(trio.current_time()):
            ticket.item.set(None)

    def _gate(self, upstream: str, catalogue: Catalogue) -> Gate[Future[None]]:
        gate = self.gates.get(upstream)
        if gate is None:
            terms = GateTerms(
                self._cfg.max_waiting,
                self._cfg.standard_wait_s,
                self._cfg.deferrable_wait_s,
                self._cfg.overdue_every,
            )
            capacity = self._capacity(upstream, catalogue)
            gate = self.gates[upstream] = Gate(capacity, terms)
        return gate

    def _capacity(self, upstream: str, catalogue: Catalogue) -> int:
        """Return this router's even share of the upstream's concurrency.

        It is at least 1, even without a usable instance, so that a request reaches
        placement, which reports to the caller why there is none.
        """
        n_usable = sum(one.usable for one in self._directory.instances(upstream))
        places = n_usable * self._cfg.concurrent_per_instance
        entry = catalogue.upstream(upstream)
        if entry is not None and entry.limits.concurrent is not None:
            places = min(places, entry.limits.concurrent)
        return max(1, places // len(self.holder.routers()))

    def _n_waiting(self, account: str) -> int:
        return sum(
            gate.queue.n_waiting(AccountId(account)) for gate in self.gates.values()
        )


def limited_entries(facts: RequestFacts, catalogue: Catalogue) -> list[Entry]:
    """Return the entries whose limits apply to a request, the account first.

    Upstreams are not among them: their limits are enforced by a gate with a queue.
    """
    adapter = catalogue.adapter(facts.target)
    model = catalogue.model(adapter.model if adapter is not None else facts.target)
    account = catalogue.account(facts.account)
    found = (account, adapter, model, catalogue.route(facts.target))
    return [entry for entry in found if entry is not None]
