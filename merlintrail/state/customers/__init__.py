"""Customers that share the fleet: identity, quotas and fair shedding."""

from merlintrail.state.customers._customers import (
    Customer,
    CustomerTable,
    hash_api_key,
)
from merlintrail.state.customers._fair_share import FairOrder
from merlintrail.state.customers._fleet_usage import FleetUsage
from merlintrail.state.customers._quota import (
    QuotaAnswer,
    QuotaLimiter,
    QuotaVerdict,
    TokenBucket,
    UsageCount,
    UsageReport,
)

__all__ = (
    'Customer',
    'CustomerTable',
    'FairOrder',
    'FleetUsage',
    'QuotaAnswer',
    'QuotaLimiter',
    'QuotaVerdict',
    'TokenBucket',
    'UsageCount',
    'UsageReport',
    'hash_api_key',
)
