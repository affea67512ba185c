"""Ask all routers which catalogue version they decide under."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import trio

from corianderlb_core.error import CorianderError
from corianderlb_core.identity import InstanceRecord, Presence
from corianderlb_core.status import RouterStatus

from .command import Context
from .router_list import list_routers

POLL_S: Final = 0.2
"""Seconds between two rounds of questions while waiting."""


@dataclass(frozen=True)
class RouterAnswer:
    """Hold what one router of the platform's list answered, or why it did not."""

    record: InstanceRecord
    status: RouterStatus | None = None
    problem: str = ""


@dataclass(frozen=True)
class InForceResult:
    """Hold which routers have a version, or a later one, in force."""

    in_force_on: tuple[str, ...]
    lagging: tuple[str, ...]


async def ask_routers(context: Context) -> list[RouterAnswer]:
    """Return the answer of every router in the platform's list, by name.

    The list lags: a router in it may be gone, which shows as an answer with a problem.
    """
    routers = await list_routers(context)
    answers: dict[str, RouterAnswer] = {}

    async def ask(record: InstanceRecord) -> None:
        try:
            status = await context.routers.status(record)
        except CorianderError as exc:
            answers[record.instance] = RouterAnswer(record, problem=str(exc))
        else:
            answers[record.instance] = RouterAnswer(record, status)

    async with trio.open_nursery() as nursery:
        for record in routers:
            nursery.start_soon(ask, record)
    return [answers[record.instance] for record in routers]


async def wait_in_force(
    context: Context, version: int, timeout_s: float
) -> InForceResult:
    """Return once all routers have the version in force, or at the timeout.

    A router that is leaving is not waited for. One that does not answer counts as
    lagging, since it may be serving callers that cannot tell.
    """
    result = InForceResult((), ())
    with trio.move_on_after(timeout_s):
        while True:
            result = _sort(await ask_routers(context), version)
            if not result.lagging:
                break
            await trio.sleep(POLL_S)
    return result


def _sort(answers: list[RouterAnswer], version: int) -> InForceResult:
    have: list[str] = []
    lack: list[str] = []
    for answer in answers:
        if answer.record.presence is Presence.LEAVING:
            continue
        current = answer.status.catalogue_version if answer.status else -1
        (have if current >= version else lack).append(answer.record.instance)
    return InForceResult(tuple(have), tuple(lack))
