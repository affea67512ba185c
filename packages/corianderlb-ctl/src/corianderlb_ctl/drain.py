"""``corianderctl drain``: shut a router down gracefully."""

from __future__ import annotations

import argparse
from typing import ClassVar

from .command import Command, Context, Report
from .router_list import find_router


class Drain(Command):
    """Start a graceful shutdown of one router, which completes its requests."""

    name: ClassVar[str] = "drain"
    summary: ClassVar[str] = "have a router finish its requests and leave"
    example: ClassVar[str] = "corianderctl drain router-2"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the router's name."""
        parser.add_argument("instance")

    async def run(self, context: Context) -> Report:
        """Order the router to drain and report its status."""
        record = await find_router(context, context.arguments.instance)
        status = await context.routers.drain(record)
        note = f"{status.instance}: {status.state}, {status.n_in_flight} in flight"
        return Report(status, notes=(note,))
