"""Fleet-wide limits: this router's share, and its grants to others as a primary.

An actor that handles grant requests of other routers, grants from primaries, and a
tick. The data path calls ``reserve`` and ``refund``. No state change spans a
checkpoint, so that two requests cannot reserve the same slot.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import eliot
import trio

from corianderlb_core.allowance import Allowance
from corianderlb_core.catalogue import Entry, Limits, key_of
from corianderlb_core.catalogue_codec import key_from_str
from corianderlb_core.codec import DecodeError
from corianderlb_core.data_class import dataclass
from corianderlb_core.grant import GrantTerms, PrimaryLedger
from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.message import Grant, GrantRequest
from corianderlb_core.rendezvous import primary_node
from corianderlb_core.request import Refusal
from corianderlb_core.result import ResultCode

from .actor import Actor
from .interface import CatalogueSource, PeerNetwork

TICK_S: Final = 0.25
"""Seconds between checks of the allowances, which request new grants."""

MIN_REQUEST_INTERVAL_S: Final = 0.05
"""Minimum seconds between requests to a primary that granted too little."""

IDLE_TIMEOUT_S: Final = 60.0
"""Seconds without a request after which an allowance or ledger is dropped."""


@dataclass(frozen=True)
class Tick:
    """Periodic message that renews and expires allowances."""


@dataclass(frozen=True)
class GrantRequested:
    """Message with another router's grant request."""

    request: GrantRequest


@dataclass(frozen=True)
class GrantReceived:
    """Message with a grant of a primary."""

    grant: Grant


@dataclass(eq=False)
class _HeldAllowance:
    """Allowance of an entry, and the state of the grant request for it."""

    allowance: Allowance
    grant_event: trio.Event
    """Set when the next grant arrives."""
    answer_s: float
    """Timeout in seconds for the primary's answer."""
    requested_at: float = float("-inf")

    def next_request_at(self) -> float:
        """Return the earliest time of the next grant request.

        Only one request is in flight at a time, since a late answer to an older one
        grants nothing. The next request to a primary that granted less than requested
        is delayed; otherwise callers over their limit would flood it with requests.
        """
        if self.allowance.answered != self.allowance.number:
            return self.requested_at + self.answer_s
        return self.requested_at + (
            MIN_REQUEST_INTERVAL_S if self.allowance.is_scarce else 0.0
        )


class LimitHolder(Actor):
    """Reserves capacity within the limits of entries, which all routers share."""

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
        self._held: dict[str, _HeldAllowance] = {}
        self._ledgers: dict[str, PrimaryLedger] = {}
        self._routers: list[InstanceId] = [router]
        self._routers_until = float("-inf")
        network.subscribe(GrantRequest, self._post_request)
        network.subscribe(Grant, self._post_grant)

    async def run(self) -> None:
        """Answer grant requests and renew grants until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._post_ticks)
            await super().run()
            nursery.cancel_scope.cancel()

    @property
    def allowances(self) -> list[Allowance]:
        """Allowances of the entries in use, sorted by entry."""
        return [self._held[name].allowance for name in sorted(self._held)]

    def routers(self) -> list[InstanceId]:
        """Return the live routers, including this one; cached for one tick."""
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
        """Reserve a slot and tokens at all entries, or return a refusal."""
        reserved: list[Allowance] = []
        try:
            for entry in entries:
                refusal = await self._reserve_one(entry, tokens, deadline)
                if refusal is not None:
                    return refusal
                reserved.append(self._held_allowance(entry).allowance)
            return reserved
        finally:
            if len(reserved) < len(entries):
                self.refund(reserved, tokens)

    def refund(self, allowances: Sequence[Allowance], tokens: int) -> None:
        """Undo the reservation of a request that did not run."""
        for allowance in allowances:
            allowance.refund(tokens)

    async def on_grant_requested(self, message: GrantRequested) -> None:
        """Grant a share to a router that considers this one the entry's primary."""
        req = message.request
        ledger = self._ledger(req.entry)
        if ledger is not None:
            self._network.send(req.requester, ledger.grant(req, trio.current_time()))

    async def on_grant_received(self, message: GrantReceived) -> None:
        """Apply a grant of the primary."""
        held = self._held.get(message.grant.entry)
        if held is not None:
            self._apply_grant(held, message.grant)

    async def on_tick(self, message: Tick) -> None:
        """Renew the allowances in use and drop idle allowances and ledgers."""
        now = trio.current_time()
        for name, held in list(self._held.items()):
            allowance = held.allowance
            idle_s = 0.0 if allowance.n_running else now - allowance.used_at
            if idle_s > IDLE_TIMEOUT_S:
                del self._held[name]
            elif idle_s < self._terms.valid_s and allowance.is_due(now):
                self._request_grant(held)
            self._check_primary(held)
        for name, ledger in list(self._ledgers.items()):
            if now - ledger.last_request_at > IDLE_TIMEOUT_S:
                del self._ledgers[name]

    async def _post_ticks(self) -> None:
        while True:
            self.post(Tick())
            await trio.sleep(TICK_S)

    async def _post_request(self, peer: InstanceId, message: GrantRequest) -> None:
        self.post(GrantRequested(message))

    async def _post_grant(self, peer: InstanceId, message: Grant) -> None:
        self.post(GrantReceived(message))

    async def _reserve_one(
        self, entry: Entry, tokens: int, deadline: float
    ) -> Refusal | None:
        """Reserve a slot and tokens at one entry, requesting a grant if needed."""
        held = self._held_allowance(entry)
        allowance = held.allowance
        code = allowance.reserve(tokens, trio.current_time())
        if code is None:
            return None
        timeout_s = self._terms.answer_s + TICK_S
        wait_until = min(deadline, trio.current_time() + timeout_s)
        while await self._wait_for_grant(held, wait_until):
            code = allowance.reserve(tokens, trio.current_time())
            if code is None:
                return None
            # Other requests may have used up the grant. The request is over the limit
            # only if the primary has no more to grant.
            if allowance.is_scarce or allowance.has_fallen_back:
                break
            await trio.lowlevel.checkpoint()
        else:
            # The primary did not answer in time, and this router does not know that
            # the request is over a limit.
            now = trio.current_time()
            allowance.fall_back(self.routers(), now)
            code = allowance.reserve(tokens, now)
            if code is None:
                return None
        allowance.n_refused += 1
        return _over_limit(allowance, code)

    async def _wait_for_grant(self, held: _HeldAllowance, wait_until: float) -> bool:
        """Wait until the primary has answered a request that is made from now on.

        Return whether the allowance may have grown: the primary has answered, or it is
        unresponsive and the even share is in use. Return False at the deadline.
        """
        allowance = held.allowance
        needed = allowance.number + 1
        with trio.move_on_at(wait_until) as wait_scope:
            while allowance.answered < needed and not allowance.has_fallen_back:
                await self._request_and_wait(held, needed)
        return not wait_scope.cancelled_caught

    async def _request_and_wait(self, held: _HeldAllowance, needed: int) -> None:
        """Request a grant unless a request is in flight, and wait for the answer."""
        self._request_grant(held)
        if held.allowance.answered < needed:
            # A deadline in the past would make the caller a busy loop.
            wait_until = max(
                held.next_request_at(), trio.current_time() + MIN_REQUEST_INTERVAL_S
            )
            with trio.move_on_at(wait_until):
                await held.grant_event.wait()
            self._check_primary(held)

    def _request_grant(self, held: _HeldAllowance) -> None:
        """Request a grant from the entry's primary, which may be this router."""
        now = trio.current_time()
        if held.allowance.limits == Limits() or now < held.next_request_at():
            return
        held.requested_at = now
        req = held.allowance.request(now)
        target = primary_node(req.entry.encode(), self.routers())
        if target is not None and target != self._router:
            self._network.send(InstanceId(target), req)
            return
        ledger = self._ledger(req.entry)
        if ledger is not None:
            self._apply_grant(held, ledger.grant(req, now))

    def _apply_grant(self, held: _HeldAllowance, grant: Grant) -> None:
        held.allowance.take_grant(grant, trio.current_time())
        held.grant_event.set()
        held.grant_event = trio.Event()

    def _check_primary(self, held: _HeldAllowance) -> None:
        """Fall back to the even share if the primary is unresponsive, and log it."""
        allowance = held.allowance
        before = allowance.has_fallen_back
        allowance.check_primary(self.routers(), trio.current_time())
        if allowance.has_fallen_back and not before:
            eliot.log_message(message_type="limits:home_silent", entry=allowance.entry)

    def _held_allowance(self, entry: Entry) -> _HeldAllowance:
        name = str(key_of(entry))
        held = self._held.get(name)
        if held is None:
            allowance = Allowance(name, entry.limits, self._terms, self._router)
            held = self._held[name] = _HeldAllowance(
                allowance, trio.Event(), self._terms.answer_s
            )
        held.allowance.limits = entry.limits
        return held

    def _ledger(self, name: str) -> PrimaryLedger | None:
        """Return the ledger of an entry, or None if the catalogue has no such entry."""
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
        f"{allowance.entry} is over its limit of {what}; retry after Retry-After",
        allowance.retry_after_s(code),
    )
