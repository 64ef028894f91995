"""HTTP/1.1 servers and pooled client connections on asyncio."""

from merlintrail.transport._address import Address, parse_address
from merlintrail.transport._bad_request import BadRequest
from merlintrail.transport._client import (
    TIMEOUT,
    ClientConnection,
    ExchangeTimeouts,
)
from merlintrail.transport._connection_end import (
    ConnectionEnd,
    DisplacedConnections,
    EndCause,
    EndingConnection,
    RefusedRequest,
)
from merlintrail.transport._connection_group import (
    RequestHandler,
    ServerReports,
)
from merlintrail.transport._descriptor_budget import DescriptorBudget
from merlintrail.transport._failure import FailureStage, TransportFailure
from merlintrail.transport._memory_budget import MemoryBudget, MemoryHold
from merlintrail.transport._memory_costs import REQUEST_BYTES
from merlintrail.transport._message import (
    HeaderList,
    HttpRequest,
    HttpResponse,
    encode_request,
    encode_response,
)
from merlintrail.transport._own_answers import build_failure
from merlintrail.transport._pool import ConnectionPool, create_pool
from merlintrail.transport._request_parser import ServerLimits
from merlintrail.transport._server import HttpServer, start_server
from merlintrail.transport._server_memory import (
    PipelineLimits,
    ServerMemory,
    create_memory,
)
from merlintrail.transport._untaken_answers import UntakenAnswers

__all__ = (
    'REQUEST_BYTES',
    'TIMEOUT',
    'Address',
    'BadRequest',
    'ClientConnection',
    'ConnectionEnd',
    'ConnectionPool',
    'DescriptorBudget',
    'DisplacedConnections',
    'EndCause',
    'EndingConnection',
    'ExchangeTimeouts',
    'FailureStage',
    'HeaderList',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'MemoryBudget',
    'MemoryHold',
    'PipelineLimits',
    'RefusedRequest',
    'RequestHandler',
    'ServerLimits',
    'ServerMemory',
    'ServerReports',
    'TransportFailure',
    'UntakenAnswers',
    'build_failure',
    'create_memory',
    'create_pool',
    'encode_request',
    'encode_response',
    'parse_address',
    'start_server',
)
