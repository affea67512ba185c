"""Hold this router's part of the fleet-wide limits, and hand out those it is home of.

An actor: its messages are the other routers' requests for a share, the answers of
homes, and a tick. ``reserve`` and ``release`` are called by the data path. Each changes
state in one go, without waiting in between, so that two requests cannot take one place.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import eliot
import trio

from corianderlb_core.allowance import Allowance
from corianderlb_core.catalogue import Entry, Limits, key_of
from corianderlb_core.catalogue_codec import key_from_str
from corianderlb_core.codec import DecodeError
from corianderlb_core.grant import GrantTerms, PrimaryLedger
from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.message import Grant, GrantRequest
from corianderlb_core.rendezvous import primary_node
from corianderlb_core.request import Refusal
from corianderlb_core.result import ResultCode

from .actor import Actor
from .interface import CatalogueSource, PeerNetwork

TICK_S: Final = 0.25
"""How often allowances are looked at and homes are asked for more."""

MIN_ASK_S: Final = 0.05
"""Shortest time between two requests to a home that had too little."""

IDLE_S: Final = 60.0
"""After so long without a request, an entry's allowance or ledger is forgotten."""


@dataclass(frozen=True)
class Tick:
    """Let the holder look after its allowances."""


@dataclass(frozen=True)
class GrantAsked:
    """Carry a router's request for a share."""

    request: GrantRequest


@dataclass(frozen=True)
class GrantArrived:
    """Carry a home's answer."""

    grant: Grant


@dataclass(eq=False)
class _Held:
    """Hold an entry's allowance and who waits for the home's answer about it."""

    allowance: Allowance
    answered: trio.Event
    answer_s: float
    """How long the home has for an answer."""
    asked_at: float = float("-inf")

    def may_ask_at(self) -> float:
        """Return when the home may be asked again.

        One question is under way at a time, since the answer to an older one brings no
        places. A home that had less than it was asked
        for is left alone for a moment, or callers over their limit would flood it.
        """
        if self.allowance.answered != self.allowance.number:
            return self.asked_at + self.answer_s
        return self.asked_at + (MIN_ASK_S if self.allowance.is_scarce else 0.0)


class LimitHolder(Actor):
    """Reserve places in the limits of entries, over all routers together."""

    def __init__(
        self,
        router: InstanceId,
        catalogue: CatalogueSource,
        network: PeerNetwork,
        terms: GrantTerms | None = None,
    ) -> None:
        super().__init__()
        self._router = router
        self._catalogue = catalogue
        self._network = network
        self._terms = terms or GrantTerms()
        self._held: dict[str, _Held] = {}
        self._ledgers: dict[str, PrimaryLedger] = {}
        self._routers: list[InstanceId] = [router]
        self._routers_until = float("-inf")
        network.subscribe(GrantRequest, self._take_request)
        network.subscribe(Grant, self._take_grant)

    async def run(self) -> None:
        """Answer other routers and renew grants until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            await super().run()
            nursery.cancel_scope.cancel()

    @property
    def allowances(self) -> list[Allowance]:
        """What is held of the entries in use, by entry."""
        return [self._held[name].allowance for name in sorted(self._held)]

    def routers(self) -> list[InstanceId]:
        """Return the live routers, this one included, as of a moment ago."""
        now = trio.current_time()
        if now >= self._routers_until:
            live = {
                member.instance
                for member in self._network.members()
                if member.presence is Presence.LIVE
            }
            self._routers = sorted(live | {self._router})
            self._routers_until = now + TICK_S
        return self._routers

    async def reserve(
        self, entries: Sequence[Entry], tokens: int, deadline: float
    ) -> list[Allowance] | Refusal:
        """Take a place in the limits of all entries, or of none."""
        reserved: list[Allowance] = []
        try:
            for entry in entries:
                refusal = await self._reserve_one(entry, tokens, deadline)
                if refusal is not None:
                    return refusal
                reserved.append(self._hold(entry).allowance)
            return reserved
        finally:
            if len(reserved) < len(entries):
                self.refund(reserved, tokens)

    def refund(self, allowances: Sequence[Allowance], tokens: int) -> None:
        """Undo the reservation of a request that did not run."""
        for allowance in allowances:
            allowance.refund(tokens)

    async def on_grant_asked(self, message: GrantAsked) -> None:
        """Hand out a share, as the home that the other router believes this to be."""
        req = message.request
        ledger = self._ledger(req.entry)
        if ledger is not None:
            self._network.send(req.requester, ledger.grant(req, trio.current_time()))

    async def on_grant_arrived(self, message: GrantArrived) -> None:
        """Take a share that the home handed out."""
        held = self._held.get(message.grant.entry)
        if held is not None:
            self._take(held, message.grant)

    async def on_tick(self, message: Tick) -> None:
        """Renew what is in use and forget what is idle."""
        now = trio.current_time()
        for name, held in list(self._held.items()):
            allowance = held.allowance
            idle_s = 0.0 if allowance.n_running else now - allowance.used_at
            if idle_s > IDLE_S:
                del self._held[name]
            elif idle_s < self._terms.valid_s and allowance.is_due(now):
                self._ask(held)
            self._check_home(held)
        for name, ledger in list(self._ledgers.items()):
            if now - ledger.asked_at > IDLE_S:
                del self._ledgers[name]

    async def _tick(self) -> None:
        while True:
            self.post(Tick())
            await trio.sleep(TICK_S)

    async def _take_request(self, peer: InstanceId, message: GrantRequest) -> None:
        self.post(GrantAsked(message))

    async def _take_grant(self, peer: InstanceId, message: Grant) -> None:
        self.post(GrantArrived(message))

    async def _reserve_one(
        self, entry: Entry, tokens: int, deadline: float
    ) -> Refusal | None:
        """Take a place in an entry's limits; ask the home first when there is none."""
        held = self._hold(entry)
        allowance = held.allowance
        code = allowance.reserve(tokens, trio.current_time())
        if code is None:
            return None
        patience_s = self._terms.answer_s + TICK_S
        until = min(deadline, trio.current_time() + patience_s)
        while await self._hear_from_home(held, until):
            code = allowance.reserve(tokens, trio.current_time())
            if code is None:
                return None
            # Others may have taken what the home sent on this request's account. Only
            # a home that has no more makes it a request over the limit.
            if allowance.is_scarce or allowance.has_fallen_back:
                break
            await trio.lowlevel.checkpoint()
        else:
            # The home is too slow for this request, which is not over any limit for
            # all that is known here.
            now = trio.current_time()
            allowance.fall_back(self.routers(), now)
            code = allowance.reserve(tokens, now)
            if code is None:
                return None
        allowance.n_refused += 1
        return _over_limit(allowance, code)

    async def _hear_from_home(self, held: _Held, until: float) -> bool:
        """Wait until the home has answered a request made from now on.

        Return whether there may be more than before: the home has answered, or it is
        silent and the even share counts.
        """
        allowance = held.allowance
        needed = allowance.number + 1
        with trio.move_on_at(until) as waiting:
            while allowance.answered < needed and not allowance.has_fallen_back:
                await self._ask_in_turn(held, needed)
        return not waiting.cancelled_caught

    async def _ask_in_turn(self, held: _Held, needed: int) -> None:
        """Ask the home, unless another request has just done so, and wait for news."""
        self._ask(held)
        if held.allowance.answered < needed:
            # Never in the past: a wait of no time at all would keep the task busy.
            until = max(held.may_ask_at(), trio.current_time() + MIN_ASK_S)
            with trio.move_on_at(until):
                await held.answered.wait()
            self._check_home(held)

    def _ask(self, held: _Held) -> None:
        """Ask the entry's home for a share; a home asks itself."""
        now = trio.current_time()
        if held.allowance.limits == Limits() or now < held.may_ask_at():
            return
        held.asked_at = now
        req = held.allowance.request(now)
        target = primary_node(req.entry.encode(), self.routers())
        if target is not None and target != self._router:
            self._network.send(InstanceId(target), req)
            return
        ledger = self._ledger(req.entry)
        if ledger is not None:
            self._take(held, ledger.grant(req, now))

    def _take(self, held: _Held, grant: Grant) -> None:
        held.allowance.take_grant(grant, trio.current_time())
        held.answered.set()
        held.answered = trio.Event()

    def _check_home(self, held: _Held) -> None:
        allowance = held.allowance
        before = allowance.has_fallen_back
        allowance.check_primary(self.routers(), trio.current_time())
        if allowance.has_fallen_back and not before:
            eliot.log_message(message_type="limits:home_silent", entry=allowance.entry)

    def _hold(self, entry: Entry) -> _Held:
        name = str(key_of(entry))
        held = self._held.get(name)
        if held is None:
            allowance = Allowance(name, entry.limits, self._terms, self._router)
            held = self._held[name] = _Held(
                allowance, trio.Event(), self._terms.answer_s
            )
        held.allowance.limits = entry.limits
        return held

    def _ledger(self, name: str) -> PrimaryLedger | None:
        """Return the ledger of an entry; None when the catalogue does not limit it."""
        limits = self._limits(name)
        if limits is None:
            self._ledgers.pop(name, None)
            return None
        now = trio.current_time()
        ledger = self._ledgers.get(name)
        if ledger is None:
            ledger = self._ledgers[name] = PrimaryLedger(limits, self._terms, now)
        if ledger.limits != limits:
            ledger.set_limits(limits, now)
        return ledger

    def _limits(self, name: str) -> Limits | None:
        in_force = self._catalogue.current()
        if in_force is None:
            return None
        try:
            entry = in_force.catalogue.entries.get(key_from_str(name))
        except DecodeError:
            return None
        return None if entry is None else entry.limits


def _over_limit(allowance: Allowance, code: ResultCode) -> Refusal:
    what = "running requests" if code is ResultCode.TOO_MANY_CONCURRENT else "rate"
    return Refusal(
        code,
        f"{allowance.entry} is over its limit of {what}; come back after Retry-After",
        allowance.retry_after_s(code),
    )
