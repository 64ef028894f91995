"""Sending a call to another node and determining its outcome."""

import asyncio
from collections.abc import Callable
from typing import Final

from merlintrail.coordination import PeerClient
from merlintrail.node._calls import OutgoingCall, build_call_headers
from merlintrail.observability import log_decision
from merlintrail.protocol import (
    REASON_HEADER,
    REPORT_HEADER,
    CallHeader,
    DecodeFailure,
    Inquiry,
    InquiryAnswer,
    InquiryState,
    Outcome,
    Reason,
    Refusal,
    decode_answer,
    decode_record,
    encode_header_record,
)
from merlintrail.state import Member
from merlintrail.transport import (
    ClientConnection,
    ConnectionPool,
    ExchangeTimeouts,
    FailureStage,
    HttpResponse,
    TransportFailure,
)

#: Minimum delay in seconds from sending a call to the first inquiry, and the
#: first interval between inquiries.
MIN_INQUIRY_DELAY_S: Final = 0.15
#: Multiple of the typical latency after which an inquiry is sent.
INQUIRY_DELAY_FACTOR: Final = 4.0
#: Seconds to wait for the answer to an inquiry.
INQUIRY_TIMEOUT_S: Final = 0.25
#: Inquiries that are made at the same time, by default.
MAX_INQUIRIES: Final = 82
#: Consecutive unanswered inquiries after which the peer counts as lost.
MAX_UNANSWERED_INQUIRIES: Final = 3
#: Factor by which the interval between inquiries about a running call grows.
INQUIRY_BACKOFF_FACTOR: Final = 1.5
#: Longest interval between inquiries in seconds.
MAX_INQUIRY_INTERVAL_S: Final = 2.0
#: Seconds beyond the deadline of a call after which an answer no longer proves
#: that it never arrived: the other node may have forgotten it by then.
PROOF_MARGIN_S: Final = 2.0
#: Subject of inquiry messages between nodes.
INQUIRY_SUBJECT: Final = 'inquiry'


class _InquiryWatch:
    """Inquiries about a call whose exchange is still waiting."""

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None
        #: Outcome that the inquiries determined, ``None`` until then.
        self.result: HttpResponse | Refusal | None = None


class PeerExchange:
    """Exchanges calls with other nodes.

    If a call takes much longer than usual, or its connection fails once
    established, the peer is queried for its outcome on a new connection.
    Only the answer to that inquiry can prove that such a call did not run.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        peers: PeerClient,
        fleet_key: str,
        clock: Callable[[], float],
        max_inquiries: int = MAX_INQUIRIES,
    ) -> None:
        """Initialize without exchanges.

        :param max_inquiries: inquiries that are made at the same time.
        """
        self._pool = pool
        self._peers = peers
        self._fleet_key = fleet_key
        self._clock = clock
        #: Inquiries that may be made at the same time, each on a connection of
        #: its own.
        self._inquiries = asyncio.Semaphore(max_inquiries)

    async def send(
        self,
        member: Member,
        header: CallHeader,
        call: OutgoingCall,
        typical_latency_s: float,
    ) -> HttpResponse | Refusal:
        """Send a call and return the peer's answer or the call's outcome.

        :param typical_latency_s: mean latency of such calls in seconds.
        """
        watch = _InquiryWatch()

        def start_inquiries(connection: ClientConnection) -> None:
            watch.task = asyncio.create_task(
                self._inquire_while_waiting(
                    member, header, call.deadline, watch, connection
                )
            )

        remaining_s = max(0.0, call.deadline - self._clock())
        inquiry_delay_s = max(
            MIN_INQUIRY_DELAY_S, typical_latency_s * INQUIRY_DELAY_FACTOR
        )
        timeouts = ExchangeTimeouts(
            remaining_s, min(inquiry_delay_s, remaining_s), start_inquiries
        )
        try:
            answer = await self._exchange(member, header, call, timeouts)
        finally:
            if watch.task is not None:
                watch.task.cancel()
        if watch.result is not None:
            return watch.result
        if isinstance(answer, HttpResponse):
            if answer.find_header(REPORT_HEADER) is not None:
                return answer
            _log_unreported(member, header, answer)
        elif answer.stage == FailureStage.ROOM:
            return Refusal(Outcome.NOT_RUN, Reason.NO_ROOM, answer.reason)
        elif answer.stage == FailureStage.CONNECT:
            return Refusal(Outcome.NOT_RUN, Reason.PEER_LOST, answer.reason)
        return await self._inquire_outcome(member, header, call.deadline)

    async def _exchange(
        self,
        member: Member,
        header: CallHeader,
        call: OutgoingCall,
        timeouts: ExchangeTimeouts,
    ) -> HttpResponse | TransportFailure:
        return await self._pool.exchange(
            member.peer_address,
            call.method,
            call.target,
            build_call_headers(
                call.headers, encode_header_record(header), self._fleet_key
            ),
            call.body,
            timeouts=timeouts,
        )

    async def _inquire_while_waiting(
        self,
        member: Member,
        header: CallHeader,
        deadline: float,
        watch: _InquiryWatch,
        connection: ClientConnection,
    ) -> None:
        """Query the outcome of a slow call, then end its exchange."""
        try:
            watch.result = await self._inquire_outcome(member, header, deadline)
        except Exception:
            connection.abort_exchange('inquiry failed')
            raise
        connection.abort_exchange('ended by an inquiry')

    async def _inquire_outcome(
        self, member: Member, header: CallHeader, deadline: float
    ) -> HttpResponse | Refusal:
        """Send inquiries until the outcome is known or the deadline passes.

        Give up after several consecutive inquiries without a reply.
        """
        interval_s = MIN_INQUIRY_DELAY_S
        unanswered = 0
        while unanswered < MAX_UNANSWERED_INQUIRIES:
            if self._clock() >= deadline:
                return Refusal(Outcome.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
            inquiry_answer = await self._inquire(member, header)
            if inquiry_answer is None:
                unanswered += 1
                continue
            unanswered = 0
            result = self._classify_inquiry_answer(
                member, header, inquiry_answer
            )
            if self._clock() > deadline + PROOF_MARGIN_S and result is not None:
                result = _distrust_late_proof(result)
            if result is not None:
                return result
            remaining_s = deadline - self._clock()
            await asyncio.sleep(max(0.0, min(interval_s, remaining_s)))
            if remaining_s <= interval_s:
                return Refusal(Outcome.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
            interval_s = min(
                MAX_INQUIRY_INTERVAL_S, interval_s * INQUIRY_BACKOFF_FACTOR
            )
        return Refusal(
            Outcome.MAY_HAVE_RUN,
            Reason.PEER_LOST,
            'no word of the call',
        )

    async def _inquire(
        self, member: Member, header: CallHeader
    ) -> InquiryAnswer | None:
        async with self._inquiries:
            answer = await self._peers.send_request(
                member.peer_address,
                INQUIRY_SUBJECT,
                Inquiry(header.call_id, header.incarnation)._asdict(),
                timeout_s=INQUIRY_TIMEOUT_S,
                is_fresh=True,
            )
        if isinstance(answer, TransportFailure):
            return None
        inquiry_answer = decode_record(InquiryAnswer, answer)
        return (
            None
            if isinstance(inquiry_answer, DecodeFailure)
            else inquiry_answer
        )

    def _classify_inquiry_answer(
        self, member: Member, header: CallHeader, inquiry_answer: InquiryAnswer
    ) -> HttpResponse | Refusal | None:
        if inquiry_answer.state == InquiryState.RUNNING:
            return None
        dropped_connections = self._pool.drop_idle(member.peer_address)
        log_decision(
            'inquiry',
            request_id=header.request_id,
            call_id=header.call_id,
            instance=member.node_id,
            state=inquiry_answer.state,
            dropped_connections=dropped_connections,
        )
        if inquiry_answer.state == InquiryState.TOMBSTONE:
            return Refusal(Outcome.NOT_RUN, Reason.TOMBSTONE, 'never arrived')
        answer = decode_answer(
            inquiry_answer.status, inquiry_answer.headers, inquiry_answer.body
        )
        is_known = (
            inquiry_answer.state == InquiryState.FINISHED
            and inquiry_answer.status
        )
        if is_known and isinstance(answer, HttpResponse):
            return answer
        return Refusal(
            Outcome.MAY_HAVE_RUN, Reason.PEER_LOST, inquiry_answer.state
        )


def _log_unreported(
    member: Member, header: CallHeader, answer: HttpResponse
) -> None:
    """Log an answer of the peer's server, which does not know the call.

    It may have refused the call for want of room, or belong to another one.
    """
    log_decision(
        'peer-answer',
        request_id=header.request_id,
        call_id=header.call_id,
        instance=member.node_id,
        status=answer.status,
        reason=answer.find_header(REASON_HEADER),
    )


def _distrust_late_proof(
    result: HttpResponse | Refusal,
) -> HttpResponse | Refusal:
    """Return a result in which nothing is proved not to have run."""
    if isinstance(result, Refusal) and result.outcome == Outcome.NOT_RUN:
        return Refusal(Outcome.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
    return result
