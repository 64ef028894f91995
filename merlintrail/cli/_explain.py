"""The way of one request, from the logs of the nodes that it met."""

import sys
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

import orjson

from merlintrail.cli._exit_codes import ExitCode
from merlintrail.cli._output import print_lines
from merlintrail.protocol import Reason

#: Fields that each line shows in a place of its own, or not at all.
_PLACED: Final = frozenset(
    ('time', 'event', 'node', 'level', 'channel', 'request_id')
)
#: Events of the node that a call was sent to.
_ARRIVALS: Final = frozenset(('admit', 'refuse', 'cancel'))
#: Beginning of each line that a node writes.
_FIRST_MEMBER: Final = '{"time":'
_STANDARD_INPUT: Final = '-'
#: What an engineer does with a reason.
_HINTS: Final[Mapping[str, str]] = {
    Reason.OVERLOAD: 'the backend server had no slot and no room to wait',
    Reason.SHED_EARLY: 'a service on the way sheds calls of this priority',
    Reason.DEADLINE_UNREACHABLE: 'too little time was left for such a call',
    Reason.DEADLINE_PASSED: 'the call was running when its time ended',
    Reason.DRAINING: 'the node or its backend server was leaving',
    Reason.NO_BACKEND_SERVER: 'no backend server of the service takes calls',
    Reason.NO_CONFIGURATION: 'the node had not read a configuration yet',
    Reason.BACKEND_LOST: 'the connection to the backend server ended early',
    Reason.BACKEND_REFUSED: 'the backend server itself refused',
    Reason.PEER_LOST: 'the node beside the backend server did not answer',
    Reason.QUARANTINED: 'the request crashed backend servers before',
}


class LogLine(NamedTuple):
    """One line of a node's log."""

    #: Time of the line as the node wrote it, in ISO 8601.
    time: str
    #: Name of the node, or of the file where the line does not tell.
    node: str
    event: str
    #: Identifier of the request, empty for what touches none.
    request_id: str
    fields: Mapping[str, Any]


def read_log(lines: Iterable[str], source: str) -> list[LogLine]:
    """Read the lines of one log; what is no JSON object is passed over.

    Text in front of the object, such as a time and a name that a collector
    of logs adds, is passed over too, and so is the beginning of a line that
    the collector cut.
    """
    read = []
    for line in lines:
        fields = _find_object(line)
        if fields is None:
            continue
        read.append(
            LogLine(
                str(fields.get('time', '')),
                str(fields.get('node', source)),
                str(fields.get('event', '')),
                str(fields.get('request_id', '')),
                fields,
            )
        )
    return read


def _find_object(line: str) -> Mapping[str, Any] | None:
    """Return the JSON object at the end of a line."""
    for start in (line.find('{'), line.rfind(_FIRST_MEMBER)):
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
    """Return the lines of a request and of the calls below it, in order."""
    selected_ids = {request_id}
    selected_ids.update(_find_below(selected_ids, lines))
    selected = [line for line in lines if line.request_id in selected_ids]
    return sorted(selected, key=lambda line: line.time)


def _find_below(known: set[str], lines: Sequence[LogLine]) -> set[str]:
    """Find the calls that name one of the known ones as their parent."""
    parents = {
        line.request_id: str(line.fields['parent_id'])
        for line in lines
        if line.fields.get('parent_id')
    }
    below: set[str] = set()
    while True:
        found = {
            call_id
            for call_id, parent_id in parents.items()
            if parent_id in known | below and call_id not in below
        }
        if not found:
            return below
        below |= found


def describe_lines(lines: Sequence[LogLine]) -> list[str]:
    """Return a text line for each line of the log."""
    width = max(len(line.node) for line in lines)
    return [
        f'{line.time[11:]}  {line.node:{width}}  {line.event:8}  '
        f'{line.request_id}  {_describe_fields(line)}'
        for line in lines
    ]


def _describe_fields(line: LogLine) -> str:
    shown = [
        f'{name}={shown}'
        for name, shown in line.fields.items()
        if name not in _PLACED and shown is not None and shown != ''
    ]
    return ' '.join(shown)


def find_gaps(
    selected: Sequence[LogLine], lines: Sequence[LogLine]
) -> list[str]:
    """Tell which lines of the request ought to be there and are not."""
    gaps = []
    arrived = {
        (line.node, line.request_id)
        for line in selected
        if line.event in _ARRIVALS
    }
    for line in selected:
        target = str(line.fields.get('instance', ''))
        is_sent = line.event == 'route' and target
        if is_sent and (target, line.request_id) not in arrived:
            gaps.append(
                f'{target} says nothing of {line.request_id}, sent to it at '
                f'{line.time[11:]}: its log is missing, it was not reached, '
                'or it ended meanwhile'
            )
    for line in lines:
        if line.event == 'lines left out':
            gaps.append(
                f'{line.node} left out {line.fields.get("lines")} lines '
                f'before {line.time[11:]}'
            )
    return gaps


def find_causes(selected: Sequence[LogLine]) -> list[str]:
    """Tell what the refusals of the request mean, each reason once."""
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
    """Print the way of a request.

    :param paths: files with the logs of nodes, ``-`` or none for standard
        input.
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
    print_lines(describe_lines(selected))
    _print_part('cause', find_causes(selected))
    _print_part('missing', find_gaps(selected, lines))
    return ExitCode.OK


def _read_file(path: str) -> list[LogLine]:
    if path == _STANDARD_INPUT:
        return read_log(sys.stdin, 'standard input')
    with Path(path).open(encoding='utf-8', errors='replace') as log:
        return read_log(log, Path(path).stem)


def _print_part(title: str, texts: Sequence[str]) -> None:
    print_lines(f'{title}: {text}' for text in texts)
