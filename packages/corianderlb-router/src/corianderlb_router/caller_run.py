"""Run work for a caller until the caller disconnects or the deadline passes."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Iterator

import trio

from corianderlb_core.error import CorianderError

from .caller import CallerExchange


class RequestWatch:
    """Watches a request from one task: its caller, and the clock for its attempts."""

    def __init__(self) -> None:
        self._step_times: dict[Iterator[float], float] = {}
        """Time of the next step of each attempt that is watched."""
        self._scope = trio.CancelScope()
        """Cancel scope of the wait for the caller."""
        self.nursery: trio.Nursery | None = None
        """Nursery of the tasks that end with the request, while it runs."""

    def begin(self, steps: Iterator[float]) -> None:
        """Take a step now, and each further one at the time that the last one gave."""
        self._take_step(steps)
        self._scope.deadline = self._next_at

    def end(self, steps: Iterator[float]) -> None:
        """Take no further steps of these."""
        self._step_times.pop(steps, None)
        self._scope.deadline = self._next_at

    async def run(
        self,
        caller: CallerExchange,
        run_scope: trio.CancelScope,
        may_abandon: Callable[[], bool],
    ) -> None:
        """Take the steps, and cancel ``run_scope`` once the caller disconnects."""
        wait: Callable[[], Awaitable[None]] = caller.wait_until_disconnected
        while True:
            with trio.CancelScope(deadline=self._next_at) as self._scope:
                await wait()
                # The server reports a disconnect after the last byte too, while it
                # still closes the connection in our task. Cancelling it there would
                # leak the socket.
                if not caller.finished and may_abandon():
                    run_scope.cancel()
                wait = trio.sleep_forever
            now = trio.current_time()
            for steps, step_at in [*self._step_times.items()]:
                if now >= step_at:
                    self._take_step(steps)

    @property
    def _next_at(self) -> float:
        return min(self._step_times.values(), default=math.inf)

    def _take_step(self, steps: Iterator[float]) -> None:
        self._step_times[steps] = next(steps, math.inf)


async def run_for_caller(
    caller: CallerExchange,
    deadline: float,
    run: Callable[[], Awaitable[None]],
    may_abandon: Callable[[], bool] = lambda: True,
    watch: RequestWatch | None = None,
) -> bool:
    """Run until a disconnect or the deadline; return whether the deadline passed.

    Work for a caller that has disconnected would use upstream capacity that waiting
    callers need. ``may_abandon`` is called on a disconnect; False lets the work
    continue. ``watch`` is that of the run, if it needs one.
    """
    watch = watch or RequestWatch()
    failure: CorianderError | None = None
    with trio.move_on_at(deadline) as scope:
        async with trio.open_nursery() as nursery:
            watch.nursery = nursery
            nursery.start_soon(watch.run, caller, nursery.cancel_scope, may_abandon)
            try:
                await run()
            except CorianderError as exc:
                # Raised after the nursery, which would wrap it in an exception group.
                failure = exc
            nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return scope.cancelled_caught
