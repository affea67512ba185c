"""Entry point of ``corianderctl``: parse arguments, run a command, map errors."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from typing import Final, TextIO

import httpx
import trio

from corianderlb_core.catalogue_check import CatalogueInvalidError
from corianderlb_core.codec import DecodeError
from corianderlb_core.edit import EditError
from corianderlb_core.error import CorianderError
from corianderlb_core.settings_file import SettingsError, read_secret
from corianderlb_router.catalogue_editor import (
    EditConflictError,
    EditOutcomeUnknownError,
)
from corianderlb_router.catalogue_log import VersionNotFoundError
from corianderlb_router.http_store import HttpObjectStore
from corianderlb_router.store import StoreError

from .apply import Apply
from .check import Check
from .codes import Codes
from .command import Command, CommandError, Context, Report
from .diff import Diff
from .drain import Drain
from .exit_code import ExitCode
from .explain import Explain
from .get import Get
from .history import History
from .losses import Losses
from .output import OUTPUTS, render
from .router_client import RouterClient, RouterRefusedError, RouterUnreachableError
from .settings import Settings
from .status import Status
from .trace import Trace

STORE_VARIABLE: Final = "CORIANDERCTL_STORE"
"""Environment variable with the URL of the platform service."""

OPERATOR_KEY_VARIABLE: Final = "CORIANDERCTL_OPERATOR_KEY_FILE"
"""Environment variable with the path of the operator key file."""

STORE_TIMEOUT_S: Final = 5.0
"""Timeout of one call to the store, in seconds."""

PLACEHOLDER_STORE_URL: Final = "http://127.0.0.1:9"
"""Placeholder URL for commands that never call the store."""

COMMANDS: Final[tuple[Command, ...]] = (
    Check(),
    Apply(),
    Get(),
    Diff(),
    History(),
    Status(),
    Explain(),
    Trace(),
    Losses(),
    Drain(),
    Codes(),
    Settings(),
)
"""All subcommands, in the order of the help."""

_EXIT_CODES: Final[tuple[tuple[type[CorianderError], ExitCode], ...]] = (
    (SettingsError, ExitCode.INVALID),
    (CatalogueInvalidError, ExitCode.INVALID),
    (EditError, ExitCode.INVALID),
    (DecodeError, ExitCode.INVALID),
    (EditConflictError, ExitCode.CONFLICT),
    (EditOutcomeUnknownError, ExitCode.UNKNOWN),
    (VersionNotFoundError, ExitCode.NOT_FOUND),
    (StoreError, ExitCode.UNAVAILABLE),
    (RouterUnreachableError, ExitCode.UNAVAILABLE),
    (RouterRefusedError, ExitCode.UNAVAILABLE),
)
"""Exit code by error class; the first match applies."""


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command; return its exit code.

    User errors and outages print one message on standard error; only a bug in the
    program prints a traceback.
    """
    arguments = build_parser().parse_args(argv)
    return run(arguments, sys.stdout, sys.stderr)


def run(arguments: argparse.Namespace, out: TextIO, err: TextIO) -> int:
    """Run the parsed command, print its report and return its exit code."""
    try:
        report = trio.run(_run, arguments)
    except CorianderError as exc:
        err.write(f"corianderctl: {exc}\n")
        return exit_code_of(exc)
    except KeyboardInterrupt:
        err.write("corianderctl: stopped\n")
        return ExitCode.FAILED
    out.write(render(report, arguments.output).rstrip("\n") + "\n")
    return report.exit_code


def exit_code_of(exc: CorianderError) -> ExitCode:
    """Return the exit code for an error that a command raised."""
    if isinstance(exc, CommandError):
        return exc.exit_code
    for cls, code in _EXIT_CODES:
        if isinstance(exc, cls):
            return code
    return ExitCode.FAILED


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="corianderctl",
        description="Edit the catalogue and read back what is in force.",
        epilog="Exit codes: "
        + ", ".join(f"{code.value} {code.name.lower()}" for code in ExitCode),
    )
    subparsers = parser.add_subparsers(metavar="COMMAND", required=True)
    for command in COMMANDS:
        child = subparsers.add_parser(
            command.name,
            help=command.summary,
            description=f"{command.summary[0].upper()}{command.summary[1:]}.",
            epilog=f"Example: {command.example}",
        )
        _add_common(child)
        command.configure(child)
        child.set_defaults(command=command)
    return parser


def _add_common(parser: argparse.ArgumentParser) -> None:
    """Add the options that all commands share."""
    parser.add_argument("--output", choices=OUTPUTS, default="table")
    parser.add_argument(
        "--store",
        default=os.environ.get(STORE_VARIABLE, ""),
        help=f"URL of the platform service, or ${STORE_VARIABLE}",
    )
    parser.add_argument(
        "--router",
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="query this router; repeatable; by default all listed routers",
    )
    parser.add_argument(
        "--operator-key-file",
        default=os.environ.get(OPERATOR_KEY_VARIABLE, ""),
        help=f"file with the operator key, or ${OPERATOR_KEY_VARIABLE}",
    )


async def _run(arguments: argparse.Namespace) -> Report:
    key = ""
    if arguments.operator_key_file:
        key = read_secret(arguments.operator_key_file).decode(errors="replace")
    store = HttpObjectStore(_store_url(arguments), STORE_TIMEOUT_S)
    async with httpx.AsyncClient(trust_env=False) as client:
        try:
            context = Context(store, RouterClient(client, key), arguments)
            return await arguments.command.run(context)
        finally:
            await store.aclose()


def _store_url(arguments: argparse.Namespace) -> str:
    """Return the store's URL; commands that do not use the store need none."""
    offline = isinstance(arguments.command, Check | Codes | Losses | Settings | Trace)
    if arguments.store or offline or arguments.router:
        return arguments.store or PLACEHOLDER_STORE_URL
    raise CommandError(
        f"no store given: pass --store URL or set {STORE_VARIABLE}", ExitCode.USAGE
    )
