"""Find the routers to query: from the platform's list or the command line."""

from __future__ import annotations

from corianderlb_core.identity import InstanceId, InstanceRecord, Role

from .command import CommandError, Context
from .exit_code import ExitCode


async def list_routers(context: Context) -> list[InstanceRecord]:
    """Return the routers from ``--router``, or the listed ones sorted by name.

    Addresses given with ``--router`` replace the platform's list, so that the status
    can be read while the platform service is down.
    """
    addresses = context.arguments.router
    if addresses:
        return [_record_of_address(address) for address in addresses]
    listed = await context.store.instances()
    routers = [item for item in listed.instances if item.role is Role.ROUTER]
    return sorted(routers, key=lambda item: item.instance)


async def find_router(context: Context, name: str) -> InstanceRecord:
    """Return one router by name; raise ``CommandError`` when it is not listed."""
    for record in await list_routers(context):
        if record.instance == name:
            return record
    raise CommandError(
        f"{name}: not a router in the platform's list; list routers with corianderctl "
        "status",
        ExitCode.NOT_FOUND,
    )


def _record_of_address(address: str) -> InstanceRecord:
    return InstanceRecord(InstanceId(address), Role.ROUTER, "", "", address)
