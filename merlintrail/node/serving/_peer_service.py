"""Request handling for other nodes of the fleet."""

import base64
import hmac
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple, Protocol

from merlintrail.coordination import PEER_PATH, Heartbeats, UsageExchange
from merlintrail.node._calls import (
    GatewayResult,
    OutgoingCall,
    build_peer_answer,
    list_forwarded_headers,
)
from merlintrail.node.backend import BackendGateway
from merlintrail.node.calling import GRANT_SUBJECT, RepeatGrants
from merlintrail.node.keyed import KeyedCalls
from merlintrail.observability import log_decision
from merlintrail.protocol import (
    CALL_HEADER,
    FLEET_KEY_HEADER,
    CallHeader,
    DecodeFailure,
    Inquiry,
    InquiryAnswer,
    InquiryState,
    Outcome,
    Reason,
    Refusal,
    Repeat,
    build_refusal_response,
    decode_call_header,
    decode_json,
    decode_record,
    encode_json,
)
from merlintrail.state import CallTable, RetryAccount
from merlintrail.transport import HttpRequest, HttpResponse

_MS_PER_S: Final = 1000
_UNAUTHORIZED: Final = HttpResponse(401, (), b'')
_NOT_FOUND: Final = HttpResponse(404, (), b'')

#: Handles the JSON document of a control message.
MessageHandler = Callable[[dict[str, Any]], object]


class StatusProvider(Protocol):
    """Provides the state of the node for operators."""

    def build_status(self) -> Mapping[str, Any]:
        """Return the state of the node."""


class PeerServiceDependencies(NamedTuple):
    """Dependencies of :class:`PeerService`."""

    fleet_key: str
    incarnation: int
    calls: CallTable
    gateway: BackendGateway
    keyed: KeyedCalls
    heartbeats: Heartbeats
    usage: UsageExchange
    grants: RepeatGrants
    #: Answers status messages.
    status: StatusProvider
    clock: Callable[[], float]


class PeerService:
    """Handles calls and control messages of other nodes.

    A call may only run once: repeated call identifiers are refused.
    """

    def __init__(self, deps: PeerServiceDependencies) -> None:
        self._deps = deps
        self._clock = deps.clock
        self._handlers: Mapping[str, MessageHandler] = {
            'gossip': deps.heartbeats.handle_gossip,
            'join': deps.heartbeats.handle_join,
            'compare': deps.heartbeats.reconciliation.handle_comparison,
            'suspicions': deps.heartbeats.reconciliation.handle_suspicions,
            'configuration': self._answer_configuration,
            'inquiry': self._answer_inquiry,
            'recall': deps.keyed.handle_recall,
            'usage': deps.usage.handle_report,
            'usage-sums': deps.usage.handle_sums,
            GRANT_SUBJECT: deps.grants.handle,
            'status': lambda _: deps.status.build_status(),
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Authenticate and handle one request of another node."""
        key = request.headers.get(FLEET_KEY_HEADER, '')
        if not hmac.compare_digest(key.encode(), self._deps.fleet_key.encode()):
            log_decision('refuse', reason='wrong fleet key')
            return _UNAUTHORIZED
        encoded = request.headers.get(CALL_HEADER)
        if encoded is not None:
            return await self._handle_call(request, encoded)
        if request.target.startswith(PEER_PATH):
            return self._handle_message(request)
        return _NOT_FOUND

    async def _handle_call(
        self, request: HttpRequest, encoded: str
    ) -> HttpResponse:
        header = decode_call_header(encoded)
        if isinstance(header, DecodeFailure):
            refusal = Refusal(
                Outcome.NOT_RUN, Reason.BAD_REQUEST, header.reason
            )
            return build_refusal_response(refusal, '')
        call = self._build_call(request, header)
        if header.key is None:
            gateway_result = await self._deps.gateway.handle_call(header, call)
            return build_peer_answer(gateway_result, header.request_id)
        return await self._handle_keyed(header, call)

    async def _handle_keyed(
        self, header: CallHeader, call: OutgoingCall
    ) -> HttpResponse:
        if header.incarnation != self._deps.incarnation:
            refusal = Refusal(Outcome.NOT_RUN, Reason.STALE_INCARNATION)
            return build_refusal_response(refusal, header.request_id)
        calls = self._deps.calls
        state = calls.begin(header.call_id, header.deadline_ms / _MS_PER_S)
        if state is not None:
            refusal = Refusal(Outcome.MAY_HAVE_RUN, Reason.DUPLICATE_CALL)
            if state == InquiryState.TOMBSTONE:
                refusal = Refusal(Outcome.NOT_RUN, Reason.TOMBSTONE)
            return build_refusal_response(refusal, header.request_id)
        gateway_result: GatewayResult | None = None
        try:
            gateway_result = await self._deps.keyed.handle_peer_call(
                header, call
            )
        finally:
            if gateway_result is None:
                calls.abandon(header.call_id)
        answer = build_peer_answer(gateway_result, header.request_id)
        calls.finish(header.call_id, answer)
        return answer

    def _build_call(
        self, request: HttpRequest, header: CallHeader
    ) -> OutgoingCall:
        return OutgoingCall(
            header.request_id,
            header.kind,
            header.service,
            request.method,
            request.target,
            list_forwarded_headers(request),
            request.body,
            header.priority,
            header.is_idempotent,
            self._clock() + header.deadline_ms / _MS_PER_S,
            RetryAccount(header.retries),
            header.depth,
            header.key,
            header.caller_service,
            header.objective_ms,
            is_routed=header.is_routed,
            customer=header.customer,
            is_repeat=header.repeat != Repeat.FIRST,
        )

    def _handle_message(self, request: HttpRequest) -> HttpResponse:
        handle = self._handlers.get(request.target.removeprefix(PEER_PATH))
        document = decode_json(request.body or b'{}')
        if handle is None:
            return _NOT_FOUND
        if not isinstance(document, dict):
            return HttpResponse(400, (), b'')
        answer = handle(document)
        if isinstance(answer, DecodeFailure):
            return HttpResponse(400, (), answer.reason.encode())
        if hasattr(answer, '_asdict'):
            answer = answer._asdict()
        return HttpResponse(200, (), encode_json(answer))

    def _answer_configuration(self, document: dict[str, Any]) -> object:
        difference = self._deps.heartbeats.handle_configuration(document)
        return (
            DecodeFailure('no configuration')
            if difference is None
            else (difference)
        )

    def _answer_inquiry(self, document: dict[str, Any]) -> object:
        inquiry = decode_record(Inquiry, document)
        if isinstance(inquiry, DecodeFailure):
            return inquiry
        if inquiry.incarnation != self._deps.incarnation:
            return InquiryAnswer(InquiryState.OTHER_INCARNATION.value)
        record = self._deps.calls.find_or_tombstone(inquiry.call_id)
        if record.state == InquiryState.UNKNOWN:
            log_decision(
                'inquiry', call_id=inquiry.call_id, state=record.state.value
            )
        if record.answer is None:
            return InquiryAnswer(record.state.value)
        return InquiryAnswer(
            record.state.value,
            record.answer.status,
            tuple(record.answer.headers),
            base64.b64encode(record.answer.body).decode(),
        )
