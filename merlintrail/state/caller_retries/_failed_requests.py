"""Where requests failed lately, so that their retries go elsewhere.

A data centre that is short of one of the services that a request needs, or
whose servers are slow, fails the retry of the request in the same way. Shares
of failures show that only after several requests, whereas the caller's own
retry is mostly its last one.
"""

from collections import OrderedDict, deque
from typing import Final, NamedTuple

#: Seconds within which a caller is expected to retry a failed request.
RETRY_PERIOD_S: Final = 3.0
#: Largest number of different requests recorded at a time.
MAX_REQUESTS: Final = 1024
#: Failures of equal requests that are recorded at a time.
MAX_EQUAL_REQUESTS: Final = 16


class _Failure(NamedTuple):
    """One failure of a request."""

    failed_at: float
    data_centre: str


class FailedRequests:
    """Data centres of failed requests by digest, oldest digest first."""

    def __init__(self) -> None:
        self._failures: OrderedDict[str, deque[_Failure]] = OrderedDict()

    def __bool__(self) -> bool:
        """Return whether any request is recorded."""
        return bool(self._failures)

    def record(self, digest: str, data_centre: str, now: float) -> None:
        """Record that a request failed in a data centre."""
        failures = self._failures.setdefault(
            digest, deque(maxlen=MAX_EQUAL_REQUESTS)
        )
        failures.append(_Failure(now, data_centre))
        self._failures.move_to_end(digest)
        self._remove_expired(now)

    def pop(self, digest: str, now: float) -> str:
        """Return where an equal request failed, for one retry each.

        :returns: an empty string if none failed lately.
        """
        self._remove_expired(now)
        failures = self._failures.get(digest, deque())
        while failures:
            failure = failures.popleft()
            if not failures:
                del self._failures[digest]
            if now - failure.failed_at <= RETRY_PERIOD_S:
                return failure.data_centre
        return ''

    def _remove_expired(self, now: float) -> None:
        """Remove expired requests and the oldest above ``MAX_REQUESTS``."""
        while self._failures:
            newest = next(iter(self._failures.values()))[-1]
            is_full = len(self._failures) > MAX_REQUESTS
            is_recent = now - newest.failed_at <= RETRY_PERIOD_S
            if is_recent and not is_full:
                return
            self._failures.popitem(last=False)
