"""Reconstruction of a request's path through the nodes from their logs."""

import sys
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

import orjson

from merlintrail.cli._exit_codes import ExitCode
from merlintrail.cli._output import print_lines
from merlintrail.protocol import Reason

#: Fields that are not printed as ``name=value``: they have a column of their
#: own or are omitted.
_EXCLUDED_FIELDS: Final = frozenset(
    ('time', 'event', 'node', 'level', 'channel', 'request_id')
)
#: Events by which a node logs that a call reached it.
_ARRIVAL_EVENTS: Final = frozenset(('admit', 'refuse', 'cancel'))
#: First characters of each line that a node writes.
_LINE_START: Final = '{"time":'
_STANDARD_INPUT: Final = '-'
#: Explanation of each reason that is reported as a cause.
_HINTS: Final[Mapping[str, str]] = {
    Reason.OVERLOAD: 'the backend server had no slot and no room to wait',
    Reason.SHED_EARLY: 'a service on the path sheds calls of this priority',
    Reason.DEADLINE_UNREACHABLE: 'too little time was left for the call',
    Reason.DEADLINE_PASSED: 'the call ran out of time while it was running',
    Reason.DRAINING: 'the node or its backend server was leaving',
    Reason.NO_BACKEND_SERVER: 'no backend server of the service takes calls',
    Reason.NO_ROOM: 'the node had no memory or no connection left',
    Reason.NO_CONFIGURATION: 'the node had not read a configuration yet',
    Reason.BACKEND_LOST: 'the connection to the backend server ended early',
    Reason.BACKEND_REFUSED: 'the backend server itself refused',
    Reason.PEER_LOST: 'the node beside the backend server did not answer',
    Reason.NODE_STOPPED: 'the node ended before the request did',
    Reason.PARENT_ENDED: 'the call that made this nested call has ended',
    Reason.INTERNAL_ERROR: 'the node itself failed; the detail says where',
    Reason.QUARANTINED: 'the request crashed backend servers before',
}


class LogLine(NamedTuple):
    """A parsed line of a node's log."""

    #: Time of the line as the node wrote it, in ISO 8601.
    time: str
    #: Name of the node, or of the log if the line does not name a node.
    node: str
    event: str
    #: Identifier of the request, empty for events that concern none.
    request_id: str
    fields: Mapping[str, Any]


def read_log(lines: Iterable[str], log_name: str) -> list[LogLine]:
    """Parse the lines of one log; lines without a JSON object are skipped.

    Text in front of the object is skipped too: a log collector may add a time
    and a name, or put the object behind the first part of a truncated line.

    :param log_name: node name for lines that do not contain one.
    """
    parsed = []
    for line in lines:
        fields = _find_object(line)
        if fields is None:
            continue
        parsed.append(
            LogLine(
                str(fields.get('time', '')),
                str(fields.get('node', log_name)),
                str(fields.get('event', '')),
                str(fields.get('request_id', '')),
                fields,
            )
        )
    return parsed


def _find_object(line: str) -> Mapping[str, Any] | None:
    """Return the JSON object that a line ends with."""
    for start in (line.find('{'), line.rfind(_LINE_START)):
        if start < 0:
            continue
        try:
            fields = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            continue
        if isinstance(fields, dict):
            return fields
    return None


def select_lines(request_id: str, lines: Sequence[LogLine]) -> list[LogLine]:
    """Return the lines of a request and its nested calls, in order of time."""
    selected_ids = {request_id}
    selected_ids.update(_find_nested_calls(selected_ids, lines))
    selected = [line for line in lines if line.request_id in selected_ids]
    return sorted(selected, key=lambda line: line.time)


def _find_nested_calls(
    root_ids: set[str], lines: Sequence[LogLine]
) -> set[str]:
    """Return the identifiers of all calls nested in one of the roots.

    Calls nested in nested calls are included.
    """
    parents = {
        line.request_id: str(line.fields['parent_id'])
        for line in lines
        if line.fields.get('parent_id')
    }
    nested: set[str] = set()
    while True:
        children = {
            call_id
            for call_id, parent_id in parents.items()
            if parent_id in root_ids | nested and call_id not in nested
        }
        if not children:
            return nested
        nested |= children


def format_lines(lines: Sequence[LogLine]) -> list[str]:
    """Return the text to print for each log line."""
    width = max(len(line.node) for line in lines)
    return [
        f'{line.time[11:]}  {line.node:{width}}  {line.event:8}  '
        f'{line.request_id}  {_format_fields(line)}'
        for line in lines
    ]


def _format_fields(line: LogLine) -> str:
    pairs = [
        f'{name}={field}'
        for name, field in line.fields.items()
        if name not in _EXCLUDED_FIELDS and field is not None and field != ''
    ]
    return ' '.join(pairs)


def find_gaps(
    selected: Sequence[LogLine], lines: Sequence[LogLine]
) -> list[str]:
    """Return a message for each gap in the logs.

    Gaps are calls that were sent to a node which logged no arrival, and lines
    that a node dropped, whichever request they belong to.
    """
    gaps = []
    arrivals = {
        (line.node, line.request_id)
        for line in selected
        if line.event in _ARRIVAL_EVENTS
    }
    for line in selected:
        target = str(line.fields.get('instance', ''))
        is_sent = line.event == 'route' and target
        if is_sent and (target, line.request_id) not in arrivals:
            gaps.append(
                f'{target} logged no arrival of {line.request_id}, sent to it '
                f'at {line.time[11:]}: its log is missing, it was not reached, '
                'or it exited first'
            )
    for line in lines:
        if line.event == 'lines left out':
            gaps.append(
                f'{line.node} left out {line.fields.get("lines")} lines '
                f'before {line.time[11:]}'
            )
    return gaps


def find_causes(selected: Sequence[LogLine]) -> list[str]:
    """Return an explanation for each service and reason, without duplicates."""
    causes = []
    for line in selected:
        reason = str(line.fields.get('reason', ''))
        hint = _HINTS.get(reason)
        service = line.fields.get('service', 'the request')
        text = f'{service}: {reason}: {hint}'
        if hint is not None and text not in causes:
            causes.append(text)
    return causes


def explain_request(request_id: str, paths: Sequence[str]) -> ExitCode:
    """Print the path of a request through the nodes.

    :param paths: log files of nodes; ``-`` or no path reads standard input.
    :raises OSError: when a file cannot be read.
    """
    lines = [
        line
        for path in paths or (_STANDARD_INPUT,)
        for line in _read_file(path)
    ]
    selected = select_lines(request_id, lines)
    if not selected:
        sys.stderr.write(
            f'none of {len(lines)} log lines names {request_id}: the logs of '
            'its first node are missing, or the lines were left out\n'
        )
        print_lines(find_gaps((), lines))
        return ExitCode.FAILED
    print_lines(format_lines(selected))
    _print_section('cause', find_causes(selected))
    _print_section('missing', find_gaps(selected, lines))
    return ExitCode.OK


def _read_file(path: str) -> list[LogLine]:
    if path == _STANDARD_INPUT:
        return read_log(sys.stdin, 'standard input')
    with Path(path).open(encoding='utf-8', errors='replace') as log:
        return read_log(log, Path(path).stem)


def _print_section(title: str, texts: Sequence[str]) -> None:
    print_lines(f'{title}: {text}' for text in texts)
