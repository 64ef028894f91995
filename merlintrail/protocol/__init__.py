"""Headers, outcomes and typed messages, with their encoding and decoding."""

from merlintrail.protocol._call import (
    CallHeader,
    CallReport,
    decode_call_header,
    decode_call_report,
    encode_header_record,
)
from merlintrail.protocol._codec import (
    DecodeFailure,
    decode_json,
    decode_record,
    encode_json,
)
from merlintrail.protocol._dialect import (
    AnswerClass,
    BackendLoad,
    CallMetadata,
    Dialect,
    NativeDialect,
    list_returned_headers,
    parse_load,
)
from merlintrail.protocol._durations import parse_duration
from merlintrail.protocol._headers import (
    CALL_HEADER,
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    FLEET_KEY_HEADER,
    HOP_BY_HOP_HEADERS,
    IDEMPOTENCY_KEY_HEADER,
    INTERNAL_PREFIX,
    LEAVING_HEADER,
    OUTCOME_HEADER,
    RATE_LIMIT_HEADER,
    REASON_HEADER,
    REPORT_HEADER,
    REQUEST_ID_HEADER,
    CallerHeaders,
    read_caller_headers,
)
from merlintrail.protocol._identity import create_id, read_key_age_s
from merlintrail.protocol._importance import (
    MAX_PRIORITY,
    SUBLEVELS,
    Importance,
    compute_priority,
    read_importance,
)
from merlintrail.protocol._inquiry import Inquiry, InquiryAnswer, InquiryState
from merlintrail.protocol._notice import BackendNotice, parse_rate_limit
from merlintrail.protocol._outcome import (
    Outcome,
    Reason,
    Refusal,
    build_refusal_response,
)

__all__ = (
    'CALL_HEADER',
    'CONTEXT_HEADER',
    'DEADLINE_HEADER',
    'FLEET_KEY_HEADER',
    'HOP_BY_HOP_HEADERS',
    'IDEMPOTENCY_KEY_HEADER',
    'INTERNAL_PREFIX',
    'LEAVING_HEADER',
    'MAX_PRIORITY',
    'OUTCOME_HEADER',
    'RATE_LIMIT_HEADER',
    'REASON_HEADER',
    'REPORT_HEADER',
    'REQUEST_ID_HEADER',
    'SUBLEVELS',
    'AnswerClass',
    'BackendLoad',
    'BackendNotice',
    'CallHeader',
    'CallMetadata',
    'CallReport',
    'CallerHeaders',
    'DecodeFailure',
    'Dialect',
    'Importance',
    'Inquiry',
    'InquiryAnswer',
    'InquiryState',
    'NativeDialect',
    'Outcome',
    'Reason',
    'Refusal',
    'build_refusal_response',
    'compute_priority',
    'create_id',
    'decode_call_header',
    'decode_call_report',
    'decode_json',
    'decode_record',
    'encode_header_record',
    'encode_json',
    'list_returned_headers',
    'parse_duration',
    'parse_load',
    'parse_rate_limit',
    'read_caller_headers',
    'read_importance',
    'read_key_age_s',
)
