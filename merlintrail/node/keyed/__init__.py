"""Calls with an idempotency key."""

from merlintrail.node.keyed._keyed import KeyedCalls, KeyedCallsDependencies

__all__ = (
    'KeyedCalls',
    'KeyedCallsDependencies',
)
