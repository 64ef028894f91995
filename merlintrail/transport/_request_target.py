"""Forms of a request target, RFC 9112 section 3.2."""

from typing import Final, NamedTuple

from merlintrail.transport._bad_request import BadRequest

#: Schemes of a target in absolute form, RFC 9112 section 3.2.2.
_SCHEMES: Final = ('http://', 'https://')
#: Target of an OPTIONS request for the whole server, section 3.2.4.
_WHOLE_SERVER: Final = '*'


class RequestTarget(NamedTuple):
    """Where a request goes."""

    #: Path and query, or ``*``.
    path: str
    #: Host that the target names itself, ``None`` without one.
    host: str | None = None


def read_target(text: str, method: str) -> RequestTarget | BadRequest:
    """Read a target in origin form, absolute form or asterisk form."""
    if text.startswith('/'):
        return RequestTarget(text)
    if text == _WHOLE_SERVER and method == 'OPTIONS':
        return RequestTarget(text)
    for scheme in _SCHEMES:
        if text.lower().startswith(scheme):
            return _split_absolute(text[len(scheme) :])
    if method == 'CONNECT':
        return RequestTarget(text)
    return BadRequest(400, 'target-malformed')


def _split_absolute(text: str) -> RequestTarget | BadRequest:
    """Split authority, and path with query, of an absolute target."""
    ends = [text.index(mark) for mark in '/?' if mark in text]
    end = min(ends, default=len(text))
    host = text[:end]
    if not host or '@' in host:
        return BadRequest(400, 'target-malformed')
    path = text[end:]
    return RequestTarget(path if path.startswith('/') else f'/{path}', host)
