"""Guard the command words, options, exit codes and JSON of ``corianderctl``."""

from __future__ import annotations

import argparse
import unittest

import corianderlb_ctl
from corianderlb_ctl._main import build_parser
from corianderlb_ctl.exit_code import ExitCode
from corianderlb_ctl.trace import REQUEST_LINE
from wire_names import (
    CTL,
    data_fields,
    enum_values,
    lines,
    map_keys,
    slashed_texts,
    variables,
)

COMMAND_WORDS = """\
check -h|--help
check --output table|json
check --store
check --router
check --operator-key-file
check --settings
check --catalogue
check --compare
apply -h|--help
apply --output table|json
apply --store
apply --router
apply --operator-key-file
apply <file> ?
apply --author
apply --reason
apply --owner
apply --remove
apply --whole
apply --base
apply --edit-id
apply --wait ?
get -h|--help
get --output table|json
get --store
get --router
get --operator-key-file
get <entry> *
get --at
get --file
diff -h|--help
diff --output table|json
diff --store
diff --router
diff --operator-key-file
diff <file>
history -h|--help
history --output table|json
history --store
history --router
history --operator-key-file
history --after
history --limit
history --entry
status -h|--help
status --output table|json
status --store
status --router
status --operator-key-file
status --instance
status --wait-for
status --timeout
explain -h|--help
explain --output table|json
explain --store
explain --router
explain --operator-key-file
explain <decision_id>
trace -h|--help
trace --output table|json
trace --store
trace --router
trace --operator-key-file
trace <request_id>
trace --logs +
trace --before
losses -h|--help
losses --output table|json
losses --store
losses --router
losses --operator-key-file
losses --logs +
losses --route
losses --plot
drain -h|--help
drain --output table|json
drain --store
drain --router
drain --operator-key-file
drain <instance>
codes -h|--help
codes --output table|json
codes --store
codes --router
codes --operator-key-file
codes <code> ?
codes --markdown
settings -h|--help
settings --output table|json
settings --store
settings --router
settings --operator-key-file
settings <prefix> ?
settings --markdown
"""

EXIT_CODES = """\
OK 0
FAILED 1
USAGE 2
INVALID 3
CONFLICT 4
UNAVAILABLE 5
UNKNOWN 6
NOT_IN_FORCE 7
NOT_FOUND 8
DIFFERENT 9
"""

JSON_FIELDS = """\
at node kind fields
begun_at route reason first_ms estimate_ms
columns rows title
decision trace
entries version
entry owner changed_in author accepted_at reason
in_force_on lagging
path n_entries faults warnings base_version differences
record status problem
requests changes
store routers arguments
value tables headline notes exit_code text
version accepted_at author owner reason edit_id differences
version differences
version edit_id differences in_force_on lagging
version entries
"""

ENUMS = """\
0|1|2|3|4|5|6|7|8|9
in time|late: first event|late: pause|late: pause of a move|refused: queue|
    refused: instances take no more|
    refused: no engine|refused: over the account's cap|refused: other|
    broken by an upstream|silent upstream|failed by an upstream|its time was over|
    its caller left
"""

SLASHED = """\
/admin/decisions/{}
/admin/drain
/admin/status
KIND/NAME
http://127.0.0.1:9
http://{}{}
{}/{}
"""

MAP_KEYS = """\
abandoned account attempts authorization broken configuration configuration_age_ms
confirmed detail entries error estimate_ms first_ms instance kind longest_pause_ms
message message_type name node objective_ms outcome pause_objective_ms problem request
result route serverfailure silent status timestamp took_ms version wronganswer
"""


class CommandWordTest(unittest.TestCase):
    def test_command_words(self) -> None:
        """Commands keep their words, options, arguments and choices."""
        self.assertEqual(command_words(), lines(COMMAND_WORDS))
        self.assertEqual(build_parser().prog, "corianderctl")

    def test_exit_codes(self) -> None:
        """Exit codes keep their names and numbers; the help shows both."""
        found = [f"{code.name} {int(code)}" for code in ExitCode]
        self.assertEqual(found, lines(EXIT_CODES))

    def test_variables(self) -> None:
        """Environment variables keep their names."""
        expected = ["CORIANDERCTL_OPERATOR_KEY_FILE", "CORIANDERCTL_STORE"]
        self.assertEqual(variables(CTL), expected)

    def test_json_fields(self) -> None:
        """The JSON output of the commands keeps its fields."""
        self.assertEqual(data_fields(corianderlb_ctl), lines(JSON_FIELDS))

    def test_enums(self) -> None:
        """Enumerations keep their values."""
        expected = lines(ENUMS.replace("\n    ", ""))
        self.assertEqual(enum_values(corianderlb_ctl), expected)

    def test_paths(self) -> None:
        """The paths of the routers' admin API stay."""
        self.assertEqual(slashed_texts(CTL), lines(SLASHED))

    def test_map_keys(self) -> None:
        """Literal keys of maps, most of which name fields of log lines, stay."""
        self.assertEqual(map_keys(CTL), MAP_KEYS.split())
        self.assertEqual(REQUEST_LINE, "request:ended")


def command_words() -> list[str]:
    """Return command, option or argument, count and choices, one line each."""
    found = []
    for action in build_parser()._actions:
        if isinstance(action, argparse._SubParsersAction):
            for name, child in action.choices.items():
                found += [f"{name} {_words(item)}" for item in child._actions]
    return found


def _words(action: argparse.Action) -> str:
    words = "|".join(action.option_strings) or f"<{action.dest}>"
    chosen = "|".join(map(str, action.choices or ()))
    return " ".join(filter(None, [words, str(action.nargs or ""), chosen]))
