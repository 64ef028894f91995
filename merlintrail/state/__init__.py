"""Node-local state, and admission, shedding, routing and retry decisions."""

from merlintrail.state._admission import AdmissionController
from merlintrail.state._backend_notices import BackendNotices
from merlintrail.state._call_queues import AdmissionRequest, CallQueues
from merlintrail.state._call_table import CallRecord, CallTable
from merlintrail.state._demand import DemandEstimate, is_shed
from merlintrail.state._difference import Difference, find_differences
from merlintrail.state._document import (
    CallerLimits,
    Configuration,
    LedgerSettings,
    PlannedStop,
    RetryBudgetSettings,
    Service,
    build_configuration,
)
from merlintrail.state._downstream_levels import (
    DownstreamLevels,
    LevelReportFilter,
    build_level_key,
    merge_levels,
)
from merlintrail.state._holder import ConfigurationHolder, Envelope
from merlintrail.state._kinds import RequestKind
from merlintrail.state._ledger_index import KeyRecord, KeyState, LedgerIndex
from merlintrail.state._limits import (
    AdaptiveLimit,
    ConcurrencyLimit,
    FixedLimit,
    create_limit,
)
from merlintrail.state._links import LinkAllowance
from merlintrail.state._members import (
    Member,
    MemberStatus,
    MemberTable,
    ServiceOffer,
    read_member,
)
from merlintrail.state._message_sizes import MessageSizes
from merlintrail.state._quarantine import Quarantine, compute_digest
from merlintrail.state._rate_limit import RateLimit
from merlintrail.state._reported_levels import SheddingLevelTable
from merlintrail.state._retry_account import RetryAccount
from merlintrail.state._routes import (
    Route,
    RouteSplitter,
    RouteTable,
    ServiceShare,
)
from merlintrail.state._routing import RoutingTable
from merlintrail.state._routing_request import (
    Choice,
    NodeLocation,
    NoTarget,
    RoutingRequest,
    Tier,
)
from merlintrail.state._shedding import SheddingController
from merlintrail.state._startup_wait import (
    MAX_UNCONFIGURED_S,
    compute_startup_wait,
)
from merlintrail.state._stops import (
    LongestDurations,
    find_planned_stop,
    overlaps_planned_stop,
)
from merlintrail.state._suspicion import (
    Suspicion,
    merge_suspicions,
    read_suspicion,
)
from merlintrail.state._targets import Target
from merlintrail.state._validation import (
    Finding,
    ParsedDocument,
    RepairedDocument,
    create_validator,
    find_schema_faults,
    load_schema,
    parse_document,
    parse_json_object,
    repair_document,
    validate_document,
)
from merlintrail.state.caller_retries import (
    FailedRequests,
    RefusedRequests,
    compute_retry_after,
    raise_priority,
)
from merlintrail.state.customers import (
    Customer,
    CustomerTable,
    FairOrder,
    FleetUsage,
    QuotaAnswer,
    QuotaLimiter,
    QuotaVerdict,
    TokenBucket,
    UsageCount,
    UsageReport,
    hash_api_key,
)

__all__ = (
    'MAX_UNCONFIGURED_S',
    'AdaptiveLimit',
    'AdmissionController',
    'AdmissionRequest',
    'BackendNotices',
    'CallQueues',
    'CallRecord',
    'CallTable',
    'CallerLimits',
    'Choice',
    'ConcurrencyLimit',
    'Configuration',
    'ConfigurationHolder',
    'Customer',
    'CustomerTable',
    'DemandEstimate',
    'Difference',
    'DownstreamLevels',
    'Envelope',
    'FailedRequests',
    'FairOrder',
    'Finding',
    'FixedLimit',
    'FleetUsage',
    'KeyRecord',
    'KeyState',
    'LedgerIndex',
    'LedgerSettings',
    'LevelReportFilter',
    'LinkAllowance',
    'LongestDurations',
    'Member',
    'MemberStatus',
    'MemberTable',
    'MessageSizes',
    'NoTarget',
    'NodeLocation',
    'ParsedDocument',
    'PlannedStop',
    'Quarantine',
    'QuotaAnswer',
    'QuotaLimiter',
    'QuotaVerdict',
    'RateLimit',
    'RefusedRequests',
    'RequestKind',
    'RetryAccount',
    'RetryBudgetSettings',
    'Route',
    'RouteSplitter',
    'RouteTable',
    'RoutingRequest',
    'RoutingTable',
    'Service',
    'ServiceOffer',
    'ServiceShare',
    'SheddingController',
    'SheddingLevelTable',
    'Suspicion',
    'Target',
    'Tier',
    'TokenBucket',
    'UsageCount',
    'UsageReport',
    'build_configuration',
    'build_level_key',
    'compute_digest',
    'compute_retry_after',
    'compute_startup_wait',
    'create_limit',
    'find_differences',
    'find_planned_stop',
    'create_validator',
    'RepairedDocument',
    'find_schema_faults',
    'hash_api_key',
    'is_shed',
    'load_schema',
    'merge_levels',
    'merge_suspicions',
    'overlaps_planned_stop',
    'parse_document',
    'parse_json_object',
    'raise_priority',
    'read_member',
    'read_suspicion',
    'repair_document',
    'validate_document',
)
