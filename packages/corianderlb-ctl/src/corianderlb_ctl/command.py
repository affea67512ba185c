"""What every subcommand of ``corianderctl`` has in common.

A command returns a ``Report``: rows for people and a value for programs. It never
prints, so that its tests look at data.
"""

from __future__ import annotations

import argparse
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import Any, ClassVar

from corianderlb_core.error import CorianderError
from corianderlb_router.store import ObjectStore

from .exit_code import ExitCode
from .router_client import RouterClient


class CommandError(CorianderError):
    """Signal that a command cannot go on; carries the exit code."""

    def __init__(self, text: str, exit_code: ExitCode) -> None:
        super().__init__(text)
        self.exit_code = exit_code


@dataclass(frozen=True)
class Table:
    """Hold rows for people; ``title`` stands above them."""

    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    title: str = ""


@dataclass(frozen=True)
class Report:
    """Hold what a command found or did."""

    value: Any
    """What ``--output json`` prints: a data class, or a list of them."""
    tables: tuple[Table, ...] = ()
    headline: tuple[str, ...] = ()
    """Lines for people, before the tables."""
    notes: tuple[str, ...] = ()
    """Lines for people, after the tables."""
    exit_code: ExitCode = ExitCode.OK
    text: str = ""
    """Printed as it is, in place of tables, where the output is a file."""


@dataclass(frozen=True)
class Context:
    """Hold the outside systems that a command may use."""

    store: ObjectStore
    routers: RouterClient
    arguments: argparse.Namespace = field(default_factory=argparse.Namespace)


class Command(ABC):
    """Be one subcommand: its words on the command line and what it does."""

    name: ClassVar[str]
    summary: ClassVar[str]
    """One line for the list of commands."""
    example: ClassVar[str]
    """A command line that works, shown in the help."""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's own arguments; override where it has any."""

    @abstractmethod
    async def run(self, context: Context) -> Report:
        """Do the work; raise ``CommandError`` or another ``CorianderError``."""
