"""Run something for a caller as long as the caller wants it and has time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from corianderlb_core.error import CorianderError

from .caller import CallerExchange


async def run_while_wanted(
    caller: CallerExchange,
    deadline: float,
    run: Callable[[], Awaitable[None]],
    may_abandon: Callable[[], bool] = lambda: True,
) -> bool:
    """Run until the caller leaves or the deadline passes; return whether it passed.

    Work for a caller that left would take an upstream's time from those that wait.
    ``may_abandon`` is asked when the caller leaves: False lets the run go on.
    """
    failure: CorianderError | None = None
    with trio.move_on_at(deadline) as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_when_gone, caller, nursery.cancel_scope, may_abandon
            )
            try:
                await run()
            except CorianderError as exc:
                # Raised below, since a nursery would wrap it in a group.
                failure = exc
            nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return scope.cancelled_caught


async def _cancel_when_gone(
    caller: CallerExchange, scope: trio.CancelScope, may_abandon: Callable[[], bool]
) -> None:
    await caller.wait_gone()
    # The server says "gone" after the last byte too, while it still closes the
    # connection in our task: cancelled there, it would leave the socket open for ever.
    if not caller.finished and may_abandon():
        scope.cancel()
