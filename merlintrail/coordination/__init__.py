"""Coordination between nodes: store, membership, configuration, ledger."""

from merlintrail.coordination._backoff import Backoff, repeat_until_done
from merlintrail.coordination._changes import (
    CONFIGURATION_KEY,
    ChangeConflict,
    ChangeInvalid,
    ConfigurationChange,
    StoredDocument,
    apply_change,
    read_envelope,
    read_history,
    read_stored_document,
)
from merlintrail.coordination._configuration_check import ConfigurationCheck
from merlintrail.coordination._configuration_source import ConfigurationSource
from merlintrail.coordination._configuration_watch import ConfigurationWatch
from merlintrail.coordination._confirmation import ConfirmationRecord
from merlintrail.coordination._departures import DepartureRecord
from merlintrail.coordination._heartbeat import Heartbeats
from merlintrail.coordination._http_store import HttpStore, create_http_store
from merlintrail.coordination._ledger import (
    KeyedRequest,
    Ledger,
    check_key_age,
    create_ledger,
    find_slot,
    find_slot_owner,
)
from merlintrail.coordination._ledger_slot import LedgerSlot, SlotDependencies
from merlintrail.coordination._membership import Membership, MembershipState
from merlintrail.coordination._messages import Gossip
from merlintrail.coordination._peers import (
    PEER_PATH,
    HttpPeerClient,
    PeerClient,
)
from merlintrail.coordination._quarantine_archive import QuarantineArchive
from merlintrail.coordination._relay import Relay, RelayDependencies
from merlintrail.coordination._relay_slots import (
    RELAYS_PER_DATA_CENTRE,
    RelayAnnouncement,
    build_relay_key,
    find_relays,
)
from merlintrail.coordination._store import (
    Store,
    StoreFailure,
    StoreFault,
    StoreItem,
    StoreItems,
    StoreValue,
    Transaction,
)
from merlintrail.coordination._store_client import (
    StoreClient,
    create_store_client,
)
from merlintrail.coordination._store_wire import (
    ERA_HEADER,
    StoreCall,
    StorePage,
    StoreWire,
    add_faults,
    find_last_key,
    ignore_answer,
    read_entries,
    read_name,
    read_version,
)
from merlintrail.coordination._supervision import run_supervised
from merlintrail.coordination._topology import choose_neighbours
from merlintrail.coordination._usage_exchange import UsageExchange

__all__ = (
    'CONFIGURATION_KEY',
    'ERA_HEADER',
    'PEER_PATH',
    'RELAYS_PER_DATA_CENTRE',
    'Backoff',
    'ChangeConflict',
    'ChangeInvalid',
    'ConfigurationChange',
    'ConfigurationCheck',
    'ConfigurationSource',
    'ConfigurationWatch',
    'ConfirmationRecord',
    'DepartureRecord',
    'Gossip',
    'Heartbeats',
    'HttpPeerClient',
    'HttpStore',
    'KeyedRequest',
    'Ledger',
    'LedgerSlot',
    'Membership',
    'MembershipState',
    'PeerClient',
    'QuarantineArchive',
    'Relay',
    'RelayAnnouncement',
    'RelayDependencies',
    'SlotDependencies',
    'Store',
    'StoreCall',
    'StoreClient',
    'StoreFailure',
    'StoreFault',
    'StoreItem',
    'StoreItems',
    'StorePage',
    'StoreValue',
    'StoreWire',
    'StoredDocument',
    'Transaction',
    'UsageExchange',
    'add_faults',
    'apply_change',
    'build_relay_key',
    'check_key_age',
    'choose_neighbours',
    'create_http_store',
    'create_ledger',
    'create_store_client',
    'find_last_key',
    'find_relays',
    'find_slot',
    'find_slot_owner',
    'ignore_answer',
    'read_entries',
    'read_envelope',
    'read_history',
    'read_name',
    'read_stored_document',
    'read_version',
    'repeat_until_done',
    'run_supervised',
)
