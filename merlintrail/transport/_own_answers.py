"""Answers that a server gives by itself."""

from collections.abc import Callable
from typing import Final, TypeAlias

from merlintrail.transport._bad_request import BadRequest
from merlintrail.transport._message import HttpRequest, HttpResponse

#: Builds the answer to a request that has none.
AnswerBuilder: TypeAlias = Callable[[HttpRequest], HttpResponse]

#: Seconds after which a request comes back for which there was no room.
RETRY_AFTER_S: Final = 1
#: Reason of the answer to a request whose handler failed.
INTERNAL_ERROR: Final = 'internal-error'
_UNAVAILABLE_STATUS: Final = 503
_CLOSE_HEADERS: Final = (('connection', 'close'),)


def build_refusal(bad_request: BadRequest) -> HttpResponse:
    """Build the answer to a request that was not passed on."""
    body = f'{{"outcome":"not-run","reason":"{bad_request.reason}"}}'
    headers = [
        ('content-type', 'application/json'),
        ('merlintrail-outcome', 'not-run'),
        ('merlintrail-reason', bad_request.reason),
    ]
    if bad_request.status == _UNAVAILABLE_STATUS:
        headers.append(('retry-after', str(RETRY_AFTER_S)))
    return HttpResponse(bad_request.status, headers, body.encode())


def build_failure(request: HttpRequest, error: BaseException) -> HttpResponse:
    """Build the answer to a request whose handler failed.

    How far it got is not known.
    """
    headers = (
        ('content-type', 'application/json'),
        ('merlintrail-outcome', 'may-have-run'),
        ('merlintrail-reason', INTERNAL_ERROR),
    )
    body = f'{{"outcome":"may-have-run","reason":"{INTERNAL_ERROR}"}}'
    return HttpResponse(500, headers, body.encode())


def announce_close(response: HttpResponse) -> HttpResponse:
    """Return an answer that announces the end of its connection."""
    return response._replace(headers=(*response.headers, *_CLOSE_HEADERS))
