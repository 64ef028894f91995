"""Answers of nodes of other versions cost no caller its connection."""

import unittest
from typing import Any

from merlintrail.node.calling._answers import read_peer_answer
from merlintrail.node.keyed._keyed import _decode_recalled_answer
from merlintrail.protocol import (
    DecodeFailure,
    CallHeader,
    CallReport,
    Outcome,
    Reason,
    Refusal,
    decode_answer,
    encode_header_record,
)
from merlintrail.transport import HttpResponse

_HEADER = CallHeader(
    'request', 'call', 'svc/read', 32, True, 1000.0, 1, 1, 1, 'one', 'svc'
)


def _read(
    outcome: str, reason: str, retry_after: str
) -> HttpResponse | Refusal:
    report = CallReport('call', outcome, reason, 0, 0, {}, 0, 0.0, False)
    headers = (
        ('merlintrail-report', encode_header_record(report)),
        ('retry-after', retry_after),
    )
    return read_peer_answer(_HEADER, HttpResponse(503, headers, b'')).answer


class OtherVersionsTest(unittest.TestCase):
    """Values of fields that this version does not know."""

    def test_unknown_reason_of_a_refusal_raises_an_error(self) -> None:
        """The outcome, which is known, still counts."""
        answer = _read('not-run', 'a-later-reason', '2')
        expected = Refusal(
            Outcome.NOT_RUN, Reason.UNKNOWN_REASON, 'a-later-reason', 2.0
        )
        self.assertEqual(answer, expected)

    def test_unknown_outcome_of_a_refusal_raises_an_error(self) -> None:
        """It may have run."""
        answer = _read('a-later-outcome', 'overload', 'soon')
        expected = Refusal(Outcome.MAY_HAVE_RUN, Reason.OVERLOAD, '', 1.0)
        self.assertEqual(answer, expected)

    def test_unreadable_answer_raises_an_error(self) -> None:
        """It counts as none."""
        documents: tuple[dict[str, Any], ...] = (
            {},
            {'status': 'x', 'headers': [], 'body': ''},
            {'status': 200, 'headers': [['a']], 'body': ''},
            {'status': 200, 'headers': [1], 'body': ''},
            {'status': 200, 'headers': 1, 'body': ''},
            {'status': 200, 'headers': [], 'body': 'x'},
            {'status': 200, 'headers': [], 'body': None},
        )
        for document in documents:
            self.assertIsNone(_decode_recalled_answer(document), document)

    def test_answer_without_a_final_status_is_restored(self) -> None:
        """Another node took it from a server in trouble."""
        for status in (0, 99, 103, 600):
            answer = decode_answer(status, [], 'eA==')
            self.assertIsInstance(answer, DecodeFailure, status)

    def test_answer_is_restored(self) -> None:
        """A readable one comes back as it was."""
        answer = decode_answer(200, [['a', 'b']], 'eA==')
        self.assertEqual(answer, HttpResponse(200, [('a', 'b')], b'x'))
