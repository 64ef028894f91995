"""Outcomes of calls, and the answers that report a refusal."""

import enum
import math
from typing import Any, Final, NamedTuple

from merlintrail.protocol._codec import encode_json
from merlintrail.protocol._headers import (
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
)
from merlintrail.transport import HttpResponse


class Outcome(enum.StrEnum):
    """Whether a call ran."""

    #: The backend server's complete answer is delivered.
    COMPLETED = 'completed'
    #: The request is proved not to have run on any backend server.
    NOT_RUN = 'not-run'
    #: The request ran in part, or it is unknown whether it ran.
    MAY_HAVE_RUN = 'may-have-run'


class Reason(enum.StrEnum):
    """Why a call was refused, cancelled or timed out."""

    OVERLOAD = 'overload'
    RATE_LIMITED = 'rate-limited'
    SHED_EARLY = 'shed-early'
    DEADLINE_UNREACHABLE = 'deadline-unreachable'
    DEADLINE_PASSED = 'deadline-passed'
    DRAINING = 'draining'
    #: The process ended before the call did.
    NODE_STOPPED = 'node-stopped'
    #: The node failed while it served the call.
    INTERNAL_ERROR = 'internal-error'
    PLANNED_STOP = 'planned-stop'
    NO_BACKEND_SERVER = 'no-backend-server'
    #: The node has no memory or no connection left for the call.
    NO_ROOM = 'no-room'
    NO_CONFIGURATION = 'no-configuration'
    UNKNOWN_SERVICE = 'unknown-service'
    #: The route exists, but takes no requests for the time being.
    ROUTE_CLOSED = 'route-closed'
    UNKNOWN_CONTEXT = 'unknown-context'
    UNKNOWN_API_KEY = 'unknown-api-key'
    #: A call without API key names a parent that does not run here.
    UNKNOWN_PARENT = 'unknown-parent'
    QUOTA_EXCEEDED = 'quota-exceeded'
    BAD_REQUEST = 'bad-request'
    QUARANTINED = 'quarantined'
    SUSPECT_ALREADY_RUNNING = 'suspect-already-running'
    PARENT_ENDED = 'parent-ended'
    TOMBSTONE = 'tombstone'
    STALE_INCARNATION = 'stale-incarnation'
    DUPLICATE_CALL = 'duplicate-call'
    RETRY_ACCOUNT_EMPTY = 'retry-account-empty'
    #: The share of repeats at the backend server is used up.
    REPEAT_SHARE_SPENT = 'repeat-share-spent'
    BACKEND_REFUSED = 'backend-server-refused'
    BACKEND_LOST = 'backend-server-lost'
    BACKEND_DISPLACED = 'backend-server-displaced'
    PEER_LOST = 'peer-lost'
    KEY_TOO_OLD = 'key-too-old'
    KEY_FROM_FUTURE = 'key-from-future'
    KEY_IN_USE = 'key-running'
    KEY_EXECUTED = 'key-already-executed'
    #: The key is not recorded, but the store was restored from an older copy,
    #: so that its record may be lost.
    STORE_RESTORED = 'store-restored'
    KEY_REUSED = 'key-for-another-request'
    LEDGER_UNAVAILABLE = 'ledger-unavailable'
    LEDGER_MOVED = 'ledger-owner-moved'
    CALL_CHAIN_TOO_DEEP = 'call-chain-too-deep'
    #: Another node gave a reason that this version does not know.
    UNKNOWN_REASON = 'unknown-reason'


_STATUS_BY_REASON: Final = {
    Reason.DEADLINE_UNREACHABLE: 504,
    Reason.DEADLINE_PASSED: 504,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_CONTEXT: 400,
    Reason.UNKNOWN_API_KEY: 401,
    Reason.QUOTA_EXCEEDED: 429,
    Reason.BAD_REQUEST: 400,
    Reason.QUARANTINED: 422,
    Reason.BACKEND_LOST: 502,
    Reason.PEER_LOST: 504,
    Reason.NODE_STOPPED: 504,
    Reason.PARENT_ENDED: 504,
    Reason.INTERNAL_ERROR: 500,
    Reason.KEY_TOO_OLD: 422,
    Reason.KEY_FROM_FUTURE: 422,
    Reason.KEY_IN_USE: 409,
    Reason.KEY_EXECUTED: 409,
    Reason.STORE_RESTORED: 409,
    Reason.KEY_REUSED: 422,
    Reason.CALL_CHAIN_TOO_DEEP: 508,
}
_DEFAULT_STATUS: Final = 503
#: Statuses that are sent with a ``Retry-After`` header.
_RETRY_AFTER_STATUSES: Final = frozenset((409, 429, 502, 503, 504))


class Refusal(NamedTuple):
    """Returned in place of an answer to a call that was refused or failed."""

    outcome: Outcome
    reason: Reason
    #: Human-readable details.
    detail: str = ''
    #: Seconds after which the caller should retry.
    retry_after_s: float = 1.0

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return _STATUS_BY_REASON.get(self.reason, _DEFAULT_STATUS)


def read_refusal(outcome: Any, reason: Any) -> Refusal:
    """Read the refusal of another node, which may be of another version.

    An unknown outcome counts as one that may have run.
    """
    known_outcome = Outcome.MAY_HAVE_RUN
    if outcome in tuple(Outcome):
        known_outcome = Outcome(outcome)
    if reason in tuple(Reason):
        return Refusal(known_outcome, Reason(reason))
    return Refusal(known_outcome, Reason.UNKNOWN_REASON, str(reason))


def build_refusal_response(refusal: Refusal, request_id: str) -> HttpResponse:
    """Build the answer that reports a refusal to a caller."""
    headers = [
        ('content-type', 'application/json'),
        (OUTCOME_HEADER, refusal.outcome.value),
        (REASON_HEADER, refusal.reason.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    if refusal.status in _RETRY_AFTER_STATUSES:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers.append(('retry-after', str(seconds)))
    body = encode_json(
        {
            'outcome': refusal.outcome.value,
            'reason': refusal.reason.value,
            'detail': refusal.detail,
            'request_id': request_id,
        }
    )
    return HttpResponse(refusal.status, headers, body)
