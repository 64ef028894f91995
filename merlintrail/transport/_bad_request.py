"""Requests that are rejected before they reach a handler."""

from typing import NamedTuple


class BadRequest(NamedTuple):
    """Status and reason with which an invalid request is rejected."""

    status: int
    reason: str
