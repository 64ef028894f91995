"""Who an operator is: keys from the settings, and sessions of browsers."""

import hashlib
import hmac
import secrets
import threading
from collections.abc import Mapping
from http.cookies import SimpleCookie
from typing import Final

#: Name of the cookie that holds a session.
COOKIE: Final = 'merlintrail-session'
#: Sessions that are kept; the oldest ends first.
MAX_SESSIONS: Final = 256
_BEARER: Final = 'Bearer '


class Operators:
    """Recognises operators."""

    def __init__(self, keys: Mapping[str, str]) -> None:
        """Create the recognition.

        :param keys: name of each operator by key.
        """
        self._keys = keys
        self._sessions: dict[str, str] = {}
        self._lock = threading.Lock()

    def find_by_key(self, key: str) -> str | None:
        """Return the name of the operator with that key."""
        found = None
        for known, name in self._keys.items():
            if hmac.compare_digest(known.encode(), key.encode()):
                found = name
        return found

    def find_by_header(self, authorization: str) -> str | None:
        """Return the operator of an ``Authorization`` header."""
        if not authorization.startswith(_BEARER):
            return None
        return self.find_by_key(authorization.removeprefix(_BEARER))

    def open_session(self, name: str) -> str:
        """Begin a session and return its token."""
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
        """End a session."""
        with self._lock:
            self._sessions.pop(token, None)


def read_session_token(cookie_header: str) -> str:
    """Read the session token from a ``Cookie`` header."""
    morsel = SimpleCookie(cookie_header).get(COOKIE)
    return '' if morsel is None else morsel.value


def compute_form_token(session_token: str) -> str:
    """Compute the token that a form of the session must carry."""
    return hashlib.sha256(f'form {session_token}'.encode()).hexdigest()
