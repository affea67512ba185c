"""The command line of the router."""

from __future__ import annotations

import argparse
import sys
from functools import partial
from pathlib import Path
from typing import Final

import eliot
import trio

from corianderlb_core.error import CorianderError
from corianderlb_core.settings import RouterSettings
from corianderlb_core.settings_file import load_settings, read_secret

from .node import serve

EXIT_SETTINGS: Final = 2
"""Exit code for invalid settings."""

EXIT_LISTEN: Final = 3
"""Exit code if the configured address can't be bound."""

_EPILOG: Final = """\
examples:
  corianderlb --settings router.yaml --check   check the settings, then exit
  corianderlb --settings router.yaml           serve until SIGTERM

SIGTERM once: the readiness check fails, all requests complete, the router exits.
SIGTERM twice: the router exits at once and logs the ids of the requests it aborted.
"""


def parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(
        prog="corianderlb",
        description="Route language-model traffic with long shared prompts.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--settings", type=Path, required=True, help="the YAML file with the settings"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings, then exit"
    )
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Run the router; return the exit code of the process."""
    args = parse_arguments(argv)
    eliot.to_file(sys.stderr)
    try:
        settings = load_settings(args.settings)
        read_secret(settings.operator.key_file)
        read_secret(settings.peer.key_file)
    except CorianderError as exc:
        print(f"corianderlb: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    if args.check:
        print(f"{args.settings}: the settings are good")
        return 0
    return _serve(settings)


def _serve(settings: RouterSettings) -> int:
    try:
        trio.run(partial(serve, settings))
    except* OSError as group:
        listen = settings.listen
        print(
            f"corianderlb: cannot listen on {listen.host}:{listen.port}: "
            f"{group.exceptions[0]}; free the port or change listen.port",
            file=sys.stderr,
        )
        code = EXIT_LISTEN
    else:
        code = 0
    return code
