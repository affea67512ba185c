"""``corianderctl drain``: have a router finish its requests and leave."""

from __future__ import annotations

import argparse
from typing import ClassVar

from .command import Command, Context, Report
from .router_list import find_router


class Drain(Command):
    """Start a graceful shutdown of one router; no request is cut."""

    name: ClassVar[str] = "drain"
    summary: ClassVar[str] = "have a router finish its requests and leave"
    example: ClassVar[str] = "corianderctl drain router-2"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Take the router."""
        parser.add_argument("instance")

    async def run(self, context: Context) -> Report:
        """Tell the router; it answers with its status while it drains."""
        record = await find_router(context, context.arguments.instance)
        status = await context.routers.drain(record)
        note = f"{status.instance}: {status.state}, {status.n_in_flight} in flight"
        return Report(status, notes=(note,))
