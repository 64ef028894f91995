"""Authentication of operators by key or by browser session."""

import hashlib
import hmac
import secrets
import threading
from collections.abc import Mapping
from http.cookies import SimpleCookie
from typing import Final

#: Name of the cookie that holds the session token.
COOKIE: Final = 'merlintrail-session'
#: Maximum number of open sessions; opening another closes the oldest.
MAX_SESSIONS: Final = 256
_BEARER: Final = 'Bearer '


class OperatorRegistry:
    """Looks up operators by key, header or session."""

    def __init__(self, keys: Mapping[str, str]) -> None:
        """Create a registry without sessions.

        :param keys: operator names by key.
        """
        self._keys = keys
        self._sessions: dict[str, str] = {}
        self._lock = threading.Lock()

    def find_by_key(self, key: str) -> str | None:
        """Return the name of the operator with that key."""
        operator = None
        for operator_key, name in self._keys.items():
            if hmac.compare_digest(operator_key.encode(), key.encode()):
                operator = name
        return operator

    def find_by_header(self, authorization: str) -> str | None:
        """Return the operator whose key an ``Authorization`` header carries."""
        if not authorization.startswith(_BEARER):
            return None
        return self.find_by_key(authorization.removeprefix(_BEARER))

    def open_session(self, name: str) -> str:
        """Open a session and return its token."""
        token = secrets.token_urlsafe()
        with self._lock:
            if len(self._sessions) >= MAX_SESSIONS:
                self._sessions.pop(next(iter(self._sessions)))
            self._sessions[token] = name
        return token

    def find_by_session(self, token: str) -> str | None:
        """Return the operator of a session."""
        with self._lock:
            return self._sessions.get(token)

    def close_session(self, token: str) -> None:
        """Close a session, if it is open."""
        with self._lock:
            self._sessions.pop(token, None)


def read_session_token(cookie_header: str) -> str:
    """Return the session token of a ``Cookie`` header, empty if none."""
    morsel = SimpleCookie(cookie_header).get(COOKIE)
    return '' if morsel is None else morsel.value


def compute_form_token(session_token: str) -> str:
    """Compute the CSRF token that forms of the session must carry."""
    return hashlib.sha256(f'form {session_token}'.encode()).hexdigest()
