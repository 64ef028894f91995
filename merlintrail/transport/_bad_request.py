"""A request that is answered without being served."""

from typing import NamedTuple


class BadRequest(NamedTuple):
    """A request that cannot be served, with the status that says so."""

    status: int
    reason: str
