"""Move a run to another engine when its engine is about to load other weights.

Otherwise the engine could not load until its longest run has completed, or would cut
off its callers. The run's KV cache is copied to an engine with the same weights while
the run continues; then the run is interrupted and resumed there, prefilling only the
tokens generated since the copy. The caller gets one answer from one weights version.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import eliot
import trio

from corianderlb_core.weights_rollout import EnginePhase

from .connection import UpstreamError
from .forward_relay import Relay, TakenOffError
from .forward_target import Placement, Target
from .memory_copier import CopyOutcome, MemoryCopier
from .weights_table import WeightsTable

RETRY_S: Final = 0.1
"""Pause after a failed copy, before another engine may have capacity."""

MAX_COPIES: Final = 2
"""Maximum number of copies tried per run. After that the run is prefilled again
elsewhere: an engine without capacity for a copy may still admit an urgent request."""

DROP_TIMEOUT_S: Final = 0.3
"""Timeout for freeing an unused copy, which otherwise expires."""


class RunMovedError(UpstreamError):
    """Raised when a run was interrupted, to be continued on another engine."""

    def __init__(self, placement: Placement | None) -> None:
        super().__init__("interrupted for a weights load", sent=True)
        self.placement = placement
        """Placement that continues from the copy; None to prefill again elsewhere."""


class RunMover:
    """Moves one run to another engine when its own is to be emptied."""

    def __init__(
        self,
        copier: MemoryCopier,
        weights: WeightsTable,
        target: Target,
        placement: Placement,
        relay: Relay,
        request_id: str,
        charge_repeat: Callable[[], bool],
        is_contested: Callable[[], bool],
    ) -> None:
        self._relay = relay
        self._copier = copier
        self._weights = weights
        self._target = target
        self._placement = placement
        self._request_id = request_id
        self._charge_repeat = charge_repeat
        self._is_contested = is_contested
        """Returns whether another attempt may take over from this run."""
        self._move_error: RunMovedError | None = None
        self._unused_copy = ""

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
            is_moved = self._move_error is not None
            is_moved = is_moved and isinstance(failed, TakenOffError)
            if self._unused_copy and not is_moved:
                with trio.move_on_after(DROP_TIMEOUT_S, shield=True):
                    await self._copier.drop(self._placement.instance, self._unused_copy)
        if self._move_error is not None and is_moved:
            raise self._move_error
        if failed is not None:
            raise failed

    async def _watch(self) -> None:
        """Interrupt the run once its engine is to be emptied and it can be moved."""
        instance = self._placement.instance
        n_copies = 0
        while True:
            await self._weights.wait_until_draining(instance)
            fallback = self._target.fallback(self._placement)
            is_clearing = self._weights.phase(instance) is EnginePhase.CLEARING
            if self._is_contested() or (fallback is None and not is_clearing):
                await trio.sleep(RETRY_S)
                continue
            # The request to the other engine counts as a retry.
            if not self._charge_repeat():
                return
            if fallback is not None and n_copies < MAX_COPIES:
                n_copies += 1
                self._move_error = await self._copy_run(fallback)
            else:
                self._move_error = RunMovedError(None)
            if self._move_error is not None:
                self._relay.interrupt()
                return
            await trio.sleep(RETRY_S)

    async def _copy_run(self, fallback: Placement) -> RunMovedError | None:
        """Copy the run's KV cache; return the error to raise, or None on failure."""
        instance = self._placement.instance
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
        if copy.outcome is not CopyOutcome.COPIED:
            return None
        self._unused_copy = copy.handle
        if not self._target.may_take(fallback):
            return None
        # Another attempt may have been sent meanwhile, on the charge of this move.
        if self._is_contested() or not self._charge_repeat():
            return None
        return RunMovedError(fallback.continued(instance.address, copy.handle))
