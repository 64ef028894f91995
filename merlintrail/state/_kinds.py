"""Kinds of requests and the settings that apply to them."""

from typing import NamedTuple

from merlintrail.protocol import Importance


class RequestKind(NamedTuple):
    """Requests to a service that share the same settings."""

    service: str
    name: str
    #: HTTP methods of the kind, empty for all.
    methods: frozenset[str]
    #: Path prefix within the service.
    path: str
    importance: Importance
    is_idempotent: bool
    #: Default and longest time to the deadline in milliseconds.
    deadline_ms: float
    #: Number of retries for one request over its whole call tree.
    retries: int
    #: Time in milliseconds within which an answer has its full value, if
    #: stated.
    objective_ms: float | None = None
    #: Number of backend servers that one call may be sent to, ``None`` for
    #: no limit.
    attempts: int | None = None

    @property
    def full_name(self) -> str:
        """``service/kind``."""
        return f'{self.service}/{self.name}'

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request is of this kind."""
        if self.methods and method not in self.methods:
            return False
        prefix = self.path.rstrip('/')
        return path == prefix or path.startswith(f'{prefix}/')
