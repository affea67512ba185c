"""Find the routers to ask: the platform's list, or addresses on the command line."""

from __future__ import annotations

from corianderlb_core.identity import InstanceId, InstanceRecord, Role

from .command import CommandError, Context
from .exit_code import ExitCode


async def list_routers(context: Context) -> list[InstanceRecord]:
    """Return the routers, by name.

    Addresses given with ``--router`` take the place of the platform's list, so that
    status can be read while the platform's service is down.
    """
    addresses = context.arguments.router
    if addresses:
        return [_at(address) for address in addresses]
    listed = await context.store.instances()
    routers = [item for item in listed.instances if item.role is Role.ROUTER]
    return sorted(routers, key=lambda item: item.instance)


async def find_router(context: Context, name: str) -> InstanceRecord:
    """Return one router by name; raise ``CommandError`` when it is not listed."""
    for record in await list_routers(context):
        if record.instance == name:
            return record
    raise CommandError(
        f"{name}: not a router in the platform's list; corianderctl status lists them",
        ExitCode.NOT_FOUND,
    )


def _at(address: str) -> InstanceRecord:
    return InstanceRecord(InstanceId(address), Role.ROUTER, "", "", address)
