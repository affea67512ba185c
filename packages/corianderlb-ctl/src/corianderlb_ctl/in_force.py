"""Query all routers for the catalogue version that they up_to_date in force."""

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
"""Seconds between polls of the routers while waiting."""


@dataclass(frozen=True)
class RouterAnswer:
    """Status of a listed router, or the reason why it is missing."""

    record: InstanceRecord
    status: RouterStatus | None = None
    problem: str = ""


@dataclass(frozen=True)
class InForceResult:
    """Routers that up_to_date a version or a later one in force, and those that lag."""

    in_force_on: tuple[str, ...]
    lagging: tuple[str, ...]


async def query_routers(context: Context) -> list[RouterAnswer]:
    """Query the status of all listed routers; return the answers in list order.

    The list may be stale: a router that has ended yields an answer with a problem.
    """
    routers = await list_routers(context)
    answers: dict[str, RouterAnswer] = {}

    async def query(record: InstanceRecord) -> None:
        try:
            status = await context.routers.status(record)
        except CorianderError as exc:
            answers[record.instance] = RouterAnswer(record, problem=str(exc))
        else:
            answers[record.instance] = RouterAnswer(record, status)

    async with trio.open_nursery() as nursery:
        for record in routers:
            nursery.start_soon(query, record)
    return [answers[record.instance] for record in routers]


async def wait_in_force(
    context: Context, version: int, timeout_s: float
) -> InForceResult:
    """Wait until all routers up_to_date the version in force, up to the timeout.

    Routers that are leaving are ignored. One that does not answer counts as lagging,
    since it may still serve callers with an old version.
    """
    result = InForceResult((), ())
    with trio.move_on_after(timeout_s):
        while True:
            result = _split_by_version(await query_routers(context), version)
            if not result.lagging:
                break
            await trio.sleep(POLL_S)
    return result


def _split_by_version(answers: list[RouterAnswer], version: int) -> InForceResult:
    up_to_date: list[str] = []
    lagging: list[str] = []
    for answer in answers:
        if answer.record.presence is Presence.LEAVING:
            continue
        current = answer.status.catalogue_version if answer.status else -1
        (up_to_date if current >= version else lagging).append(answer.record.instance)
    return InForceResult(tuple(up_to_date), tuple(lagging))
