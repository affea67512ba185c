"""Run work for a caller until the caller disconnects or the deadline passes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from corianderlb_core.error import CorianderError

from .caller import CallerExchange


async def run_for_caller(
    caller: CallerExchange,
    deadline: float,
    run: Callable[[], Awaitable[None]],
    may_abandon: Callable[[], bool] = lambda: True,
) -> bool:
    """Run until a disconnect or the deadline; return whether the deadline passed.

    Work for a caller that has disconnected would use upstream capacity that waiting
    callers need. ``may_abandon`` is called on a disconnect; False lets the work
    continue.
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
                # Raised after the nursery, which would wrap it in an exception group.
                failure = exc
            nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return scope.cancelled_caught


async def _cancel_when_gone(
    caller: CallerExchange, scope: trio.CancelScope, may_abandon: Callable[[], bool]
) -> None:
    await caller.wait_until_disconnected()
    # The server reports a disconnect after the last byte too, while it still closes the
    # connection in our task. Cancelling it there would leak the socket.
    if not caller.finished and may_abandon():
        scope.cancel()
