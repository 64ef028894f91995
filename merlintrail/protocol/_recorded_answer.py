"""Answers to calls as nodes pass them on in JSON."""

import base64
import binascii
from typing import Final

from merlintrail.protocol._codec import DecodeFailure
from merlintrail.transport import HttpResponse

_FINAL_STATUSES: Final = range(200, 600)


def decode_answer(
    status: object, headers: object, body: object
) -> HttpResponse | DecodeFailure:
    """Decode the answer to a call.

    :param headers: list of pairs of name and text.
    :param body: body in Base64.
    """
    if not isinstance(status, int) or not isinstance(body, str):
        return DecodeFailure('answer: no status or no body')
    if status not in _FINAL_STATUSES:
        return DecodeFailure(f'answer: {status} is no final status')
    if not isinstance(headers, list | tuple):
        return DecodeFailure('answer: headers are no list')
    try:
        pairs = [(str(name), str(text)) for name, text in headers]
        return HttpResponse(status, pairs, base64.b64decode(body))
    except (TypeError, ValueError, binascii.Error) as error:
        return DecodeFailure(f'answer: {error}')
