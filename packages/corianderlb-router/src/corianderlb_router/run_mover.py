"""Move a run to another engine when its engine is about to load other weights.

Otherwise the engine could not load until its longest run has completed, or would cut
off its callers. The run's KV cache is copied to an engine with the same weights while
the run continues. An attempt that continues from the copy is sent there, and the run
goes on until the first event of that attempt has arrived: an engine that has been
chosen may still refuse, pause or break off. What the run writes meanwhile is held back,
since a new run may follow only where it was asked to go on. Then the run is interrupted
and the other attempt answers; if that one has not begun in time, it is ended, and what
was held back is sent.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import eliot
import trio

from corianderlb_core.weights_rollout import EnginePhase

from .connection import UpstreamError
from .forward_relay import TakenOffError
from .forward_target import Placement, Target
from .memory_copier import CopyOutcome, MemoryCopier
from .weights_table import WeightsTable

if TYPE_CHECKING:
    from .forward_attempt import AttemptOwner, ForwardAttempt

RETRY_S: Final = 0.1
"""Pause after a failed copy or attempt, before another engine may have capacity."""

MAX_COPIES: Final = 2
"""Maximum number of copies tried per run. After that the run is prefilled again
elsewhere: an engine without capacity for a copy may still admit an urgent request."""

DROP_TIMEOUT_S: Final = 0.3
"""Timeout for freeing an unused copy, which otherwise expires."""


class RunMovedError(UpstreamError):
    """Raised when a run was interrupted, since it goes on at another engine."""

    def __init__(self, is_copied: bool) -> None:
        super().__init__("interrupted for a weights load", sent=True)
        self.is_copied = is_copied
        """Whether it goes on from a copy; otherwise it is prefilled again."""


class Successor:
    """The attempt to which a run is to be moved, as its mover sees it."""

    def __init__(self) -> None:
        self.has_begun = False
        """Whether its first event has arrived."""
        self._settled = trio.Event()
        self._leads = trio.Event()

    async def has_settled(self) -> bool:
        """Wait until it has begun or failed; return whether it has begun."""
        await self._settled.wait()
        return self.has_begun

    async def begin(self) -> None:
        """Record its first event, and wait until the run that it replaces has ended."""
        self.has_begun = True
        self._settled.set()
        await self._leads.wait()

    def fail(self) -> None:
        """Record that it has ended while the run goes on."""
        self._settled.set()

    def lead(self) -> None:
        """Record that the run has ended, so that it may answer."""
        self._settled.set()
        self._leads.set()


class RunMover:
    """Moves one run to another engine when its own is to be emptied."""

    def __init__(
        self,
        copier: MemoryCopier,
        weights: WeightsTable,
        target: Target,
        attempt: ForwardAttempt,
        owner: AttemptOwner,
        request_id: str,
    ) -> None:
        self._copier = copier
        self._weights = weights
        self._target = target
        self._attempt = attempt
        self._owner = owner
        self._request_id = request_id
        self._move_error: RunMovedError | None = None
        self._unused_copy = ""
        self._has_open_order = False
        """Whether an engine may still carry out an order to copy the run."""
        self._has_successor = False
        """Whether an attempt is open to which the run is to be moved."""

    async def relay(self, relay_answer: Callable[[], Awaitable[None]]) -> None:
        """Relay an answer; raise ``RunMovedError`` if the run was interrupted."""
        failed: Exception | None = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch)
                try:
                    await relay_answer()
                except Exception as exc:
                    # The nursery would wrap it in an exception group.
                    failed = exc
                nursery.cancel_scope.cancel()
        finally:
            # If the run has failed, the attempt that follows it may use the copy.
            is_followed = self._has_successor and isinstance(failed, UpstreamError)
            if not is_followed:
                with trio.CancelScope(shield=True):
                    await self._drop_copy()
        if self._move_error is not None and isinstance(failed, TakenOffError):
            raise self._move_error
        if failed is not None:
            raise failed

    async def _watch(self) -> None:
        """Move the run once its engine is to be emptied and another one has begun."""
        owner, attempt = self._owner, self._attempt
        instance = attempt.placement.instance
        n_copies = 0
        while True:
            await self._weights.wait_until_draining(instance)
            fallback = self._target.fallback(attempt.placement)
            is_clearing = self._weights.phase(instance) is EnginePhase.CLEARING
            must_wait = fallback is None and not is_clearing
            if must_wait or not owner.may_move(attempt):
                await trio.sleep(RETRY_S)
                continue
            is_copied = fallback is not None and n_copies < MAX_COPIES
            if is_copied:
                # The request to the other engine counts as a retry.
                if not owner.charge_move(attempt):
                    return
                n_copies += 1
                attempt.relay.may_be_stopped = True
                successor = await self._open_copied(fallback)
            else:
                successor = owner.open_restart(attempt)
            if successor is not None:
                self._has_successor = True
                if await successor.has_settled():
                    self._move_error = RunMovedError(is_copied)
                    attempt.relay.interrupt()
                    return
                # It may not go on from a copy elsewhere either.
                self._has_successor, n_copies = False, MAX_COPIES
            await self._drop_copy()
            # The close of a run that was stopped may still be on its way.
            await trio.sleep(RETRY_S)
            attempt.relay.may_be_stopped = self._has_open_order

    async def _open_copied(self, fallback: Placement) -> Successor | None:
        """Copy the run's KV cache and send an attempt that continues from it."""
        owner, attempt = self._owner, self._attempt
        instance = attempt.placement.instance
        started_at = trio.current_time()
        copy = await self._copier.copy(instance, self._request_id, fallback.instance)
        eliot.log_message(
            message_type="run:copied",
            request=self._request_id,
            instance=instance.instance,
            to=fallback.instance.instance,
            outcome=copy.outcome.value,
            took_ms=round((trio.current_time() - started_at) * 1000),
        )
        self._has_open_order |= copy.outcome is CopyOutcome.UNKNOWN
        if copy.outcome is not CopyOutcome.COPIED:
            return None
        self._unused_copy = copy.handle
        # Another attempt may have been sent meanwhile, on the charge of this move.
        if (
            not self._target.may_take(fallback)
            or not owner.may_move(attempt)
            or not owner.charge_move(attempt)
        ):
            return None
        placement = fallback.continued(instance.address, copy.handle)
        return owner.open_move(placement)

    async def _drop_copy(self) -> None:
        """Free a copy of the run that no attempt goes on from."""
        if self._unused_copy:
            instance = self._attempt.placement.instance
            with trio.move_on_after(DROP_TIMEOUT_S):
                await self._copier.drop(instance, self._unused_copy)
            self._unused_copy = ""
