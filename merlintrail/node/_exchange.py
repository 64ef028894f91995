"""Sending a call to another node, and finding out what became of it."""

import asyncio
import base64
from collections.abc import Callable
from typing import Final

from merlintrail.coordination import PeerClient
from merlintrail.node._calls import OutgoingCall, build_call_headers
from merlintrail.observability import log_decision
from merlintrail.protocol import (
    CallHeader,
    DecodeFailure,
    Inquiry,
    InquiryAnswer,
    InquiryState,
    Outcome,
    Reason,
    Refusal,
    decode_record,
    encode_fields,
)
from merlintrail.state import Member
from merlintrail.transport import (
    ClientConnection,
    ConnectionPool,
    FailureStage,
    HttpResponse,
    Patience,
    TransportFailure,
)

#: Seconds after which a call is asked for at the earliest.
MIN_PATIENCE_S: Final = 0.15
#: Usual latencies after which a call is asked for.
PATIENCE_FACTOR: Final = 4.0
#: Seconds to wait for the answer to an inquiry.
INQUIRY_TIMEOUT_S: Final = 0.25
#: Inquiries without any word after which the peer counts as lost.
MAX_SILENT_INQUIRIES: Final = 3
#: Growth of the pause between inquiries about a running call.
PAUSE_GROWTH: Final = 1.5
MAX_PAUSE_S: Final = 2.0
#: Subject of an inquiry.
INQUIRY_SUBJECT: Final = 'inquiry'


class _Watch:
    """Inquiries made while an exchange is still waiting."""

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None
        #: What they found.
        self.verdict: HttpResponse | Refusal | None = None


class PeerExchange:
    """Exchanges calls with other nodes.

    A call that takes longer than usual, or whose connection fails, is asked
    for on a new connection. Only an answer to that proves ``not-run``.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        peers: PeerClient,
        fleet_key: str,
        clock: Callable[[], float],
    ) -> None:
        self._pool = pool
        self._peers = peers
        self._fleet_key = fleet_key
        self._clock = clock

    async def send(
        self,
        member: Member,
        header: CallHeader,
        call: OutgoingCall,
        usual_s: float,
    ) -> HttpResponse | Refusal:
        """Send a call and return the peer's answer or what became of it.

        :param usual_s: usual latency of such calls in seconds.
        """
        watch = _Watch()

        def start_watch(connection: ClientConnection) -> None:
            watch.task = asyncio.create_task(
                self._watch(member, header, call.deadline, watch, connection)
            )

        remaining_s = max(0.0, call.deadline - self._clock())
        slow_s = max(MIN_PATIENCE_S, usual_s * PATIENCE_FACTOR)
        patience = Patience(remaining_s, min(slow_s, remaining_s), start_watch)
        try:
            answer = await self._exchange(member, header, call, patience)
        finally:
            if watch.task is not None:
                watch.task.cancel()
        if watch.verdict is not None:
            return watch.verdict
        if isinstance(answer, HttpResponse):
            return answer
        if answer.stage == FailureStage.CONNECT:
            return Refusal(Outcome.NOT_RUN, Reason.PEER_LOST, answer.reason)
        return await self._resolve(member, header, call.deadline)

    async def _exchange(
        self,
        member: Member,
        header: CallHeader,
        call: OutgoingCall,
        patience: Patience,
    ) -> HttpResponse | TransportFailure:
        return await self._pool.exchange(
            member.peer_address,
            call.method,
            call.target,
            build_call_headers(
                call.headers, encode_fields(header), self._fleet_key
            ),
            call.body,
            patience=patience,
        )

    async def _watch(
        self,
        member: Member,
        header: CallHeader,
        deadline: float,
        watch: _Watch,
        connection: ClientConnection,
    ) -> None:
        """Ask for a slow call until there is a verdict; then end the wait."""
        watch.verdict = await self._resolve(member, header, deadline)
        connection.give_up('ended by an inquiry')

    async def _resolve(
        self, member: Member, header: CallHeader, deadline: float
    ) -> HttpResponse | Refusal:
        """Ask until the fate of the call is known or its deadline passes."""
        pause_s = MIN_PATIENCE_S
        silent = 0
        while silent < MAX_SILENT_INQUIRIES:
            if self._clock() >= deadline:
                return Refusal(Outcome.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
            known = await self._inquire(member, header)
            if known is None:
                silent += 1
                continue
            silent = 0
            verdict = self._judge(member, header, known)
            if verdict is not None:
                return verdict
            remaining_s = deadline - self._clock()
            await asyncio.sleep(max(0.0, min(pause_s, remaining_s)))
            if remaining_s <= pause_s:
                return Refusal(Outcome.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
            pause_s = min(MAX_PAUSE_S, pause_s * PAUSE_GROWTH)
        return Refusal(
            Outcome.MAY_HAVE_RUN, Reason.PEER_LOST, 'no word of the call'
        )

    async def _inquire(
        self, member: Member, header: CallHeader
    ) -> InquiryAnswer | None:
        answer = await self._peers.send_request(
            member.peer_address,
            INQUIRY_SUBJECT,
            Inquiry(header.call_id, header.incarnation)._asdict(),
            timeout_s=INQUIRY_TIMEOUT_S,
            is_fresh=True,
        )
        if isinstance(answer, TransportFailure):
            return None
        known = decode_record(InquiryAnswer, answer)
        return None if isinstance(known, DecodeFailure) else known

    def _judge(
        self, member: Member, header: CallHeader, known: InquiryAnswer
    ) -> HttpResponse | Refusal | None:
        if known.state == InquiryState.RUNNING:
            return None
        dropped = self._pool.drop_idle(member.peer_address)
        log_decision(
            'inquiry',
            request_id=header.request_id,
            call_id=header.call_id,
            instance=member.node_id,
            state=known.state,
            dropped_connections=dropped,
        )
        if known.state == InquiryState.TOMBSTONE:
            return Refusal(Outcome.NOT_RUN, Reason.TOMBSTONE, 'never arrived')
        if known.state == InquiryState.FINISHED and known.status:
            return HttpResponse(
                known.status,
                [(name, text) for name, text in known.headers],
                base64.b64decode(known.body),
            )
        return Refusal(Outcome.MAY_HAVE_RUN, Reason.PEER_LOST, known.state)
