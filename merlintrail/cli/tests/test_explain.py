"""Tests of a request's path reconstructed from the logs of several nodes."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any, Final

from merlintrail.cli._exit_codes import ExitCode
from merlintrail.cli._explain import (
    LogLine,
    explain_request,
    find_causes,
    find_gaps,
    format_lines,
    read_log,
    select_lines,
)

_SECOND: Final = '2026-01-02T03:04:0'


def _write(node: str, second: str, event: str, **fields: Any) -> str:
    time = f'{_SECOND}{second}'
    return json.dumps({'time': time, 'node': node, 'event': event, **fields})


_FRONT: Final = [
    _write('front', '5.100', 'route', request_id='a', instance='back'),
    _write('front', '5.400', 'retry', request_id='a', outcome='given up'),
    _write('front', '5.401', 'answer', request_id='a', status=503),
    _write('front', '5.402', 'route', request_id='other', instance='back'),
]
_BACK: Final = [
    _write(
        'back',
        '5.200',
        'route',
        request_id='b',
        parent_id='a',
        instance='deep',
        service='leaf',
    ),
    _write(
        'back',
        '5.300',
        'refuse',
        request_id='a',
        reason='overload',
        service='middle',
    ),
]
_DEEP: Final = [
    _write(
        'deep',
        '5.250',
        'refuse',
        request_id='b',
        reason='deadline-unreachable',
        service='leaf',
    ),
]


def _read_all(*logs: list[str]) -> list[LogLine]:
    return [
        line
        for number, log in enumerate(logs)
        for line in read_log(log, f'file {number}')
    ]


class SelectionTest(unittest.TestCase):
    """Log lines are parsed and selected by request."""

    def test_order(self) -> None:
        """Lines of nested calls are included, and sorted by time."""
        lines = select_lines('a', _read_all(_FRONT, _DEEP, _BACK))
        self.assertEqual(
            [(line.node, line.event) for line in lines],
            [
                ('front', 'route'),
                ('back', 'route'),
                ('deep', 'refuse'),
                ('back', 'refuse'),
                ('front', 'retry'),
                ('front', 'answer'),
            ],
        )

    def test_text_around_objects(self) -> None:
        """Lines that are no JSON object are skipped, and prefixes removed."""
        lines = read_log(
            ['', 'text', '{broken', '[7]', f'  5.1 s front: {_FRONT[0]}\n'],
            'x',
        )
        self.assertEqual([line.request_id for line in lines], ['a'])

    def test_truncated_line(self) -> None:
        """An object behind the first part of a truncated line is parsed."""
        complete_line = '{"time":"t","event":"route","request_id":"a"}'
        lines = read_log(
            [f'{complete_line[:20]}  5.1 s back {complete_line}'], 'x'
        )
        self.assertEqual([line.request_id for line in lines], ['a'])

    def test_lines_without_node(self) -> None:
        """The name of the log is used if a line names no node."""
        lines = read_log(['{"event":"route","request_id":"a"}'], 'node-1')
        self.assertEqual(lines[0].node, 'node-1')


class FindingsTest(unittest.TestCase):
    """Causes and gaps are derived from the lines."""

    def test_causes(self) -> None:
        """Each service and reason is explained once."""
        lines = select_lines('a', _read_all(_FRONT, _BACK, _DEEP, _DEEP))
        causes = find_causes(lines)
        self.assertEqual(len(causes), 2)
        self.assertIn('leaf: deadline-unreachable: too little', causes[0])
        self.assertIn('middle: overload: ', causes[1])

    def test_any_field_is_shown(self) -> None:
        """Lists and zeros are printed; empty and null fields are not."""
        line = _write(
            'a', '1', 'x', request_id='a', many=['b'], none=None, empty='', no=0
        )
        text = format_lines(_read_all([line]))[0]
        self.assertIn("many=['b'] no=0", text)
        self.assertNotIn('none', text)
        self.assertNotIn('empty', text)

    def test_gaps(self) -> None:
        """A missing arrival and dropped lines are reported."""
        drop_notice = [_write('back', '6.000', 'lines left out', lines=7)]
        lines = _read_all(_FRONT, _BACK, drop_notice)
        gaps = find_gaps(select_lines('a', lines), lines)
        self.assertEqual(len(gaps), 2)
        self.assertIn('deep logged no arrival of b', gaps[0])
        self.assertIn('back left out 7 lines', gaps[1])
        complete = _read_all(_FRONT, _BACK, _DEEP)
        self.assertEqual(find_gaps(select_lines('a', complete), complete), [])


class CommandTest(unittest.TestCase):
    """The command reads log files and prints the path of a request."""

    def test_files(self) -> None:
        """Logs of several nodes are merged; an unknown request fails."""
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for name, log in (('front', _FRONT), ('back', _BACK)):
                path = Path(folder) / f'{name}.log'
                path.write_text('\n'.join(log))
                paths.append(str(path))
            output = io.StringIO()
            errors = io.StringIO()
            with (
                contextlib.redirect_stdout(output),
                contextlib.redirect_stderr(errors),
            ):
                self.assertEqual(explain_request('a', paths), ExitCode.OK)
                status = explain_request('unknown', paths)
            self.assertEqual(status, ExitCode.FAILED)
        text = output.getvalue()
        self.assertIn('03:04:05.300  back   refuse    a  reason=overload', text)
        self.assertIn('cause: middle: overload', text)
        self.assertIn('missing: deep logged no arrival of b', text)
        self.assertIn('none of 6 log lines names unknown', errors.getvalue())
