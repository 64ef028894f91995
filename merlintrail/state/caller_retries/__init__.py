"""Retries by callers: when they are due, their priority, and where they go."""

from merlintrail.state.caller_retries._failed_requests import FailedRequests
from merlintrail.state.caller_retries._refused_requests import (
    RefusedRequests,
    compute_retry_after,
    raise_priority,
)

__all__ = (
    'FailedRequests',
    'RefusedRequests',
    'compute_retry_after',
    'raise_priority',
)
