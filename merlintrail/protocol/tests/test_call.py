"""Headers of calls between nodes."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from merlintrail.protocol import (
    CallHeader,
    DecodeFailure,
    decode_call_header,
    encode_header_record,
)
from merlintrail.transport import encode_request

_HEADER = CallHeader('c', 'r', 'svc/read', 1, True, 5.0, 0, 1, 1, 'n', 'svc')


class CallHeaderTest(unittest.TestCase):
    """Names in the header are any text of the configuration."""

    @given(st.text(st.characters(exclude_categories=['Cs'])))
    def test_name_beyond_latin_leaves_a_request_without_an_answer(
        self, name: str
    ) -> None:
        """The header is sent and read back."""
        header = _HEADER._replace(kind=name, service=name)
        text = encode_header_record(header)
        sent = encode_request('GET', '/', [('call', text)], b'')
        received = sent.decode('latin-1').split('call: ')[1].split('\r\n')[0]
        decoded = decode_call_header(received)
        assert not isinstance(decoded, DecodeFailure)
        self.assertEqual(decoded.kind, name)

    def test_header_beyond_latin_is_sent_in_utf(self) -> None:
        """Others of the same head keep their bytes."""
        headers = [('caller', '\u015f'), ('received', '\xe9')]
        sent = encode_request('GET', '/', headers, b'')
        self.assertIn('caller: \u015f\r\n'.encode(), sent)
        self.assertIn(b'received: \xe9\r\n', sent)
