"""Parsing of request targets, RFC 9112 section 3.2."""

from typing import Final, NamedTuple

from merlintrail.transport._bad_request import BadRequest

#: Schemes of a target in absolute form, RFC 9112 section 3.2.2.
_SCHEMES: Final = ('http://', 'https://')
#: Target of an OPTIONS request for the server as a whole, section 3.2.4.
_ASTERISK_FORM: Final = '*'


class RequestTarget(NamedTuple):
    """Parsed target of a request."""

    #: Path and query, ``*``, or the authority of a CONNECT request.
    path: str
    #: Host of a target in absolute form, otherwise ``None``.
    host: str | None = None


def parse_target(text: str, method: str) -> RequestTarget | BadRequest:
    """Parse a target in origin, absolute, asterisk or authority form."""
    if text.startswith('/'):
        return RequestTarget(text)
    if text == _ASTERISK_FORM and method == 'OPTIONS':
        return RequestTarget(text)
    for scheme in _SCHEMES:
        if text.lower().startswith(scheme):
            return _split_absolute(text[len(scheme) :])
    if method == 'CONNECT':
        return RequestTarget(text)
    return BadRequest(400, 'target-malformed')


def _split_absolute(text: str) -> RequestTarget | BadRequest:
    """Split an absolute target, without its scheme, into host and path."""
    ends = [text.index(delimiter) for delimiter in '/?' if delimiter in text]
    end = min(ends, default=len(text))
    host = text[:end]
    if not host or '@' in host:
        return BadRequest(400, 'target-malformed')
    path = text[end:]
    return RequestTarget(path if path.startswith('/') else f'/{path}', host)
