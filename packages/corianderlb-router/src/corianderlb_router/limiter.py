"""Hold the limits of the catalogue's entries and let requests wait for their turn.

``admit`` first takes a place in the limits of all entries that a request rests on, and
then a turn at its upstream. A request that is refused, or whose caller hangs up, is
out of every queue and holds no place before anyone hears of it.
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
"""How the names of client accounts start among the limited entries."""


class LimitedSlot(Slot):
    """Hold a request's place at its entries and at the gate of its upstream."""

    def __init__(
        self, limiter: Limiter, facts: RequestFacts, allowances: Sequence[Allowance]
    ) -> None:
        self._limiter = limiter
        self._facts = facts
        self._allowances = allowances
        self._started_at = trio.current_time()
        self._released = False

    def release(self, used_tokens: int) -> None:
        """Give the places back and settle the tokens; a second call does nothing."""
        if self._released:
            return
        self._released = True
        now = trio.current_time()
        held_s = now - self._started_at
        for allowance in self._allowances:
            allowance.release(self._facts.prompt_tokens, used_tokens, held_s, now)
        self._limiter.release_turn(self._facts.upstream, held_s)


class Limiter(Admission):
    """Admit requests within the limits, fairly and in the order of their urgency.

    ``estimate_s`` gives the time that a request takes from its turn to its first byte;
    a request that cannot make its deadline even so is refused when it arrives.
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
        """What this router holds of the fleet-wide limits."""
        self.gates: dict[str, Gate[Future[None]]] = {}
        """The gates by upstream; their ``counts`` are for metrics."""

    async def run(self) -> None:
        """Answer other routers and renew grants until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_capacity)
            await self.holder.run()
            nursery.cancel_scope.cancel()

    async def admit(self, facts: RequestFacts) -> Slot | Refusal:
        """Return a slot when it is the request's turn, or a refusal at once."""
        catalogue = self._catalogue_in_force()
        entries = limited_entries(facts, catalogue)
        tokens = facts.prompt_tokens
        held = await self.holder.reserve(entries, tokens, facts.deadline)
        if isinstance(held, Refusal):
            return held
        admitted = False
        try:
            refusal = await self._wait_for_turn(facts, catalogue)
            admitted = refusal is None
        finally:
            # Also when the caller hung up: its places are free from here on.
            if not admitted:
                self.holder.refund(held, tokens)
        return refusal or LimitedSlot(self, facts, held)

    def release_turn(self, upstream: str, held_s: float) -> None:
        """Give a turn back and let the next request have it."""
        gate = self.gates[upstream]
        gate.release(held_s)
        self._give_turns(gate)

    def accounts(self) -> list[AccountStatus]:
        """Return how much each active client account uses of its limits here."""
        return [
            AccountStatus(
                account=held.entry.removeprefix(ACCOUNT_PREFIX),
                n_running=held.n_running,
                n_waiting=self._n_waiting(held.entry.removeprefix(ACCOUNT_PREFIX)),
                n_refused=held.n_refused,
            )
            for held in self.holder.allowances
            if held.entry.startswith(ACCOUNT_PREFIX)
        ]

    async def _wait_for_turn(
        self, facts: RequestFacts, catalogue: Catalogue
    ) -> Refusal | None:
        """Return None when the request holds a turn at its upstream."""
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
        self._give_turns(gate)
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
                # The turn came in the moment in which the caller hung up.
                gate.release(None)
                self._give_turns(gate)
            raise
        return gate.expire(ticket) if ticket.in_queue else None

    async def _follow_capacity(self) -> None:
        """Let those who wait have the places of instances that come back."""
        while True:
            await trio.sleep(TICK_S)
            catalogue = self._catalogue_in_force()
            for upstream, gate in self.gates.items():
                gate.capacity = self._capacity(upstream, catalogue)
                self._give_turns(gate)

    def _catalogue_in_force(self) -> Catalogue:
        in_force = self._catalogue.current()
        return in_force.catalogue if in_force is not None else Catalogue()

    def _give_turns(self, gate: Gate[Future[None]]) -> None:
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
        """Return this router's even part of what the upstream may run at once.

        Without a usable instance a place is left: the request goes on to placement,
        which knows why there is none and tells the caller.
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
    """Return the entries whose limits a request has to fit, the account first.

    The places of an upstream are its gate's matter: there requests wait.
    """
    adapter = catalogue.adapter(facts.target)
    model = catalogue.model(adapter.model if adapter is not None else facts.target)
    account = catalogue.account(facts.account)
    found = (account, adapter, model, catalogue.route(facts.target))
    return [entry for entry in found if entry is not None]
