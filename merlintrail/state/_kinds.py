"""Terms on which requests of one kind are served."""

from typing import NamedTuple

from merlintrail.protocol import Importance


class RequestKind(NamedTuple):
    """One kind of request to a service."""

    service: str
    name: str
    #: Methods that belong to the kind; empty for all.
    methods: frozenset[str]
    #: Path prefix below the service.
    path: str
    importance: Importance
    is_idempotent: bool
    deadline_ms: float
    #: Retries of one request, summed over its whole call tree.
    retries: int
    #: Milliseconds within which an answer is worth most, if stated.
    objective_ms: float | None = None
    #: Backend servers that one call of the kind may be handed to.
    attempts: int | None = None

    @property
    def full_name(self) -> str:
        """``service/kind``."""
        return f'{self.service}/{self.name}'

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request belongs to the kind."""
        if self.methods and method not in self.methods:
            return False
        prefix = self.path.rstrip('/')
        return path == prefix or path.startswith(f'{prefix}/')
