"""Entry point: ``merlintrail [FLAGS] COMMAND [ARGUMENT ...]``."""

import os
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Final, NamedTuple

from absl import app, flags

from merlintrail.cli import _config_commands, _fleet_commands
from merlintrail.cli._admin_client import AdminClient
from merlintrail.cli._exit_codes import ExitCode
from merlintrail.cli._explain import explain_request
from merlintrail.cli._load_command import send_load
from merlintrail.cli._output import print_lines
from merlintrail.node import InvalidSettings, parse_settings

#: Environment variable that holds the operator key.
KEY_VARIABLE: Final = 'MERLINTRAIL_KEY'

_NODE: Final = flags.DEFINE_string(
    'node',
    '127.0.0.1:7302',
    'Administration address of a node, host:port; for load, a call address.',
)
_KEY_FILE: Final = flags.DEFINE_string(
    'key_file', None, f'File with the operator key; ${KEY_VARIABLE} otherwise.'
)
_SEEN: Final = flags.DEFINE_integer(
    'seen', None, 'config apply: generation that you started from.'
)
_WAIT: Final = flags.DEFINE_bool(
    'wait',
    False,
    'config apply: wait until the document is in force on every node.',
)
_WAIT_S: Final = flags.DEFINE_float(
    'wait_s', 10.0, 'config apply: maximum wait in seconds.'
)
_WHOLE: Final = flags.DEFINE_bool(
    'whole', False, 'config show: print generation, operator and time as well.'
)
_JSON: Final = flags.DEFINE_bool('json', False, 'status: print JSON.')

USAGE: Final = """usage: merlintrail [FLAGS] COMMAND

  config check FILE       check a document; all findings at once
  config show             print the document in force (--whole)
  config diff FILE        what FILE would change
  config apply FILE       put FILE in force (--seen, --wait, --wait_s)
  config history          who applied what, newest first
  config example          a small document to start from
  settings check FILE     check the settings of a node
  status                  every node, a line each (--json)
  members                 the members that the node lists
  routes                  the routes in force at the node
  metrics                 the metrics of the node
  console                 the address of the console
  explain ID [FILE ...]   the path of a request, from the logs of nodes
  load TARGET             send requests to --node, which must be a call address
                          (--rate, --duration, --deadline_ms, --keyed)
  help                    this text

FILE may be - for standard input, which explain reads if not given one.
Flags: --node, --key_file; --helpfull lists all. The operator key may be given
in $MERLINTRAIL_KEY.

exit status: 0 done, 1 failed, 2 usage, 3 findings, 4 another operator was
first, 5 node or store not reached, 6 key missing or wrong, 7 applied but
not in force everywhere in time
"""


class Command(NamedTuple):
    """A subcommand: its function and the arguments that it takes."""

    run: Callable[[Sequence[str]], ExitCode]
    #: Number of required arguments.
    argument_count: int = 0
    #: Whether any number of further arguments may follow.
    accepts_more: bool = False


def _create_client() -> AdminClient:
    key = os.environ.get(KEY_VARIABLE, '')
    if _KEY_FILE.value is not None:
        key = Path(_KEY_FILE.value).read_text(encoding='utf-8').strip()
    return AdminClient(str(_NODE.value), key)


def _check_settings(path: str) -> ExitCode:
    settings = parse_settings(Path(path).read_text(encoding='utf-8'))
    if isinstance(settings, InvalidSettings):
        for finding in settings.findings:
            sys.stderr.write(f'{path}: {finding}\n')
        return ExitCode.INVALID
    print_lines([f'{path}: no findings'])
    return ExitCode.OK


def _apply(arguments: Sequence[str]) -> ExitCode:
    return _config_commands.apply_document(
        _create_client(),
        arguments[0],
        _SEEN.value,
        _WAIT_S.value if _WAIT.value else 0,
    )


def _show_console(_: Sequence[str]) -> ExitCode:
    print_lines([f'http://{_NODE.value}/'])
    return ExitCode.OK


def _show_help(_: Sequence[str]) -> ExitCode:
    sys.stdout.write(USAGE)
    return ExitCode.OK


_COMMANDS: Final[Mapping[str, Command]] = {
    'config check': Command(
        lambda words: _config_commands.check_document(words[0]), 1
    ),
    'config digest-key': Command(lambda _: _config_commands.digest_api_key()),
    'config show': Command(
        lambda _: _config_commands.show_document(
            _create_client(), with_envelope=_WHOLE.value
        )
    ),
    'config diff': Command(
        lambda words: _config_commands.show_difference(
            _create_client(), words[0]
        ),
        1,
    ),
    'config apply': Command(_apply, 1),
    'config history': Command(
        lambda _: _config_commands.show_history(_create_client())
    ),
    'config example': Command(lambda _: _config_commands.write_example()),
    'settings check': Command(lambda words: _check_settings(words[0]), 1),
    'status': Command(
        lambda _: _fleet_commands.show_status(
            _create_client(), as_json=_JSON.value
        )
    ),
    'members': Command(
        lambda _: _fleet_commands.show_resource(_create_client(), '/v1/members')
    ),
    'routes': Command(
        lambda _: _fleet_commands.show_resource(_create_client(), '/v1/routes')
    ),
    'metrics': Command(
        lambda _: _fleet_commands.show_resource(_create_client(), '/v1/metrics')
    ),
    'console': Command(_show_console),
    'load': Command(lambda words: send_load(str(_NODE.value), words[0]), 1),
    'explain': Command(
        lambda words: explain_request(words[0], words[1:]),
        1,
        accepts_more=True,
    ),
    'help': Command(_show_help),
}


def find_command(words: Sequence[str]) -> tuple[Command, Sequence[str]] | None:
    """Return the subcommand that the words name, and its arguments.

    :returns: ``None`` if no subcommand matches or the number of arguments is
        wrong.
    """
    for count in (2, 1):
        command = _COMMANDS.get(' '.join(words[:count]))
        if command is not None and len(words) >= count:
            arguments = words[count:]
            if _accepts_count(command, len(arguments)):
                return command, arguments
    return None


def _accepts_count(command: Command, count: int) -> bool:
    if command.accepts_more:
        return count >= command.argument_count
    return count == command.argument_count


def run_command() -> None:
    """Run the program and exit with the status of its subcommand."""
    if '--help' in sys.argv[1:] or '-h' in sys.argv[1:]:
        sys.stdout.write(USAGE)
        sys.exit(ExitCode.OK)
    app.run(_run)


def _run(words: Sequence[str]) -> int:
    match = find_command(words[1:])
    if match is None:
        sys.stderr.write(USAGE)
        return ExitCode.USAGE
    command, arguments = match
    try:
        return command.run(arguments)
    except OSError as error:
        sys.stderr.write(f'{error}\n')
        return ExitCode.FAILED
