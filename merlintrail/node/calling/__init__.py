"""Calls to backend servers, here and beside other nodes, and their retries."""

from merlintrail.node.calling._answers import read_peer_answer
from merlintrail.node.calling._dispatch import (
    Dispatcher,
    DispatcherDependencies,
)
from merlintrail.node.calling._exchange import PeerExchange
from merlintrail.node.calling._repeat_grants import GRANT_SUBJECT, RepeatGrants
from merlintrail.node.calling._repeat_limits import RepeatLimits
from merlintrail.node.calling._startup import StartupWait

__all__ = (
    'Dispatcher',
    'DispatcherDependencies',
    'GRANT_SUBJECT',
    'PeerExchange',
    'RepeatGrants',
    'RepeatLimits',
    'StartupWait',
    'read_peer_answer',
)
