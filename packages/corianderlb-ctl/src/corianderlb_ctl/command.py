"""Base class and data types of the ``corianderctl`` subcommands.

A command returns a ``Report``, with tables for people and a value for programs. It
prints nothing itself, so that tests can check the data.
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
    """Raised when a command cannot continue; carries the exit code."""

    def __init__(self, text: str, exit_code: ExitCode) -> None:
        super().__init__(text)
        self.exit_code = exit_code


@dataclass(frozen=True)
class Table:
    """A table for people, with an optional title above it."""

    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    title: str = ""


@dataclass(frozen=True)
class Report:
    """Result of a command, for people and for programs."""

    value: Any
    """Printed by ``--output json``: a data class or a list of them."""
    tables: tuple[Table, ...] = ()
    headline: tuple[str, ...] = ()
    """Lines for people, before the tables."""
    notes: tuple[str, ...] = ()
    """Lines for people, after the tables."""
    exit_code: ExitCode = ExitCode.OK
    text: str = ""
    """Printed verbatim instead of the tables, such as a catalogue file."""


@dataclass(frozen=True)
class Context:
    """External systems and arguments that a command uses."""

    store: ObjectStore
    routers: RouterClient
    arguments: argparse.Namespace = field(default_factory=argparse.Namespace)


class Command(ABC):
    """A subcommand: its arguments and its action."""

    name: ClassVar[str]
    summary: ClassVar[str]
    """One-line description for the list of commands."""
    example: ClassVar[str]
    """Example command line, shown in the help."""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments, if any."""

    @abstractmethod
    async def run(self, context: Context) -> Report:
        """Run the command; raise ``CommandError`` or another ``CorianderError``."""
