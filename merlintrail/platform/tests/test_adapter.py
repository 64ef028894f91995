"""Tests of the translation between wire formats and merlintrail's types."""

import re
import unittest
from pathlib import Path
from typing import Any, Final

import merlintrail
from merlintrail.node import (
    Announcement,
    AnnouncementOrder,
    InvalidAnnouncement,
)
from merlintrail.platform import PlatformDialect
from merlintrail.platform._configuration import build_envelope
from merlintrail.platform._heartbeats import (
    HeartbeatDependencies,
    HeartbeatService,
    read_heartbeat,
)
from merlintrail.platform.tests.samples import (
    CONFIGURATION,
    SETTINGS,
    put_in_force,
)
from merlintrail.protocol import (
    AnswerClass,
    BackendNotice,
    CallMetadata,
    DecodeFailure,
    Importance,
    Outcome,
    Reason,
    Refusal,
    encode_json,
)
from merlintrail.state import (
    ConfigurationHolder,
    Envelope,
    build_configuration,
    validate_document,
)
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_DIALECT: Final = PlatformDialect()
_TOKEN: Final = '9c41d07b'
_ECHO: Final = ('attempt-id', _TOKEN)
_EXECUTION_PROOF: Final = ('response-seal', '3e1b.07')
_ANSWER_CASES: Final = (
    ('success', 200, (_ECHO, _EXECUTION_PROOF), AnswerClass.ANSWERED),
    (
        'client error',
        404,
        (_ECHO, _EXECUTION_PROOF),
        AnswerClass.ANSWERED,
    ),
    ('no proof of execution', 200, (_ECHO,), AnswerClass.FOREIGN),
    ('no echo', 200, (_EXECUTION_PROOF,), AnswerClass.FOREIGN),
    (
        'echo of another attempt',
        200,
        (('attempt-id', 'other'), _EXECUTION_PROOF),
        AnswerClass.FOREIGN,
    ),
    ('server error', 500, (_ECHO, _EXECUTION_PROOF), AnswerClass.FAILED),
    ('timeout', 504, (_ECHO, _EXECUTION_PROOF), AnswerClass.FAILED),
    ('not executed', 503, (_ECHO, ('not-executed', '1')), AnswerClass.NOT_RUN),
    (
        'refusal that names no attempt',
        503,
        (('not-executed', '1'),),
        AnswerClass.FOREIGN,
    ),
    (
        'refusal of another attempt',
        503,
        (('attempt-id', 'other'), ('not-executed', '1')),
        AnswerClass.FOREIGN,
    ),
    ('failure that names no attempt', 500, (), AnswerClass.FOREIGN),
    ('503 without not-executed', 503, (_ECHO,), AnswerClass.FAILED),
    ('misdirected', 421, (_ECHO,), AnswerClass.MISDIRECTED),
    ('misdirected without attempt', 421, (), AnswerClass.FOREIGN),
)
_REFUSAL_STATUSES: Final = (
    (Outcome.NOT_RUN, Reason.OVERLOAD, 503),
    (Outcome.NOT_RUN, Reason.DEADLINE_UNREACHABLE, 503),
    (Outcome.NOT_RUN, Reason.QUARANTINED, 503),
    (Outcome.NOT_RUN, Reason.NO_CONFIGURATION, 503),
    (Outcome.NOT_RUN, Reason.UNKNOWN_SERVICE, 404),
    (Outcome.NOT_RUN, Reason.BAD_REQUEST, 400),
    (Outcome.NOT_RUN, Reason.UNKNOWN_API_KEY, 401),
    (Outcome.NOT_RUN, Reason.QUOTA_EXCEEDED, 429),
    (Outcome.MAY_HAVE_RUN, Reason.DEADLINE_PASSED, 504),
    (Outcome.MAY_HAVE_RUN, Reason.PEER_LOST, 504),
    (Outcome.MAY_HAVE_RUN, Reason.BACKEND_LOST, 502),
    (Outcome.MAY_HAVE_RUN, Reason.BACKEND_REFUSED, 502),
    (Outcome.MAY_HAVE_RUN, Reason.OVERLOAD, 504),
)
_HEARTBEAT: Final[dict[str, Any]] = {
    'Service': 'vault',
    'Address': '127.0.0.1:3',
    'Zone': 'a1',
    'Version': 'v1',
    'Slots': 36,
    'State': 'ready',
    'ColdRemaining': '1.5s',
    'Sequence': 4,
    'born': 1000,
}
_INVALID_HEARTBEATS: Final[tuple[tuple[str, Any], ...]] = (
    ('state a list', {**_HEARTBEAT, 'State': ['ready']}),
    ('not an object', [1]),
    ('no service', {**_HEARTBEAT, 'Service': None}),
    ('unknown state', {**_HEARTBEAT, 'State': 'asleep'}),
    ('state of another type', {**_HEARTBEAT, 'State': 7}),
    ('slots of another type', {**_HEARTBEAT, 'Slots': '36'}),
    ('no slots', {**_HEARTBEAT, 'Slots': 0}),
    ('address', {**_HEARTBEAT, 'Address': 'here'}),
    ('port out of range', {**_HEARTBEAT, 'Address': '127.0.0.1:99999'}),
    ('slots a truth value', {**_HEARTBEAT, 'Slots': True}),
    ('start a truth value', {**_HEARTBEAT, 'born': True}),
    ('start too large', {**_HEARTBEAT, 'born': 10**15}),
    ('sequence too large', {**_HEARTBEAT, 'Sequence': 10**15}),
    ('sequence', {**_HEARTBEAT, 'Sequence': 'four'}),
    ('fractional start', {**_HEARTBEAT, 'born': 1000.5}),
    ('no start', {key: _HEARTBEAT[key] for key in _HEARTBEAT if key != 'born'}),
    ('cold remaining', {**_HEARTBEAT, 'ColdRemaining': 'long'}),
    ('zone of another type', {**_HEARTBEAT, 'Zone': 3}),
    ('version of another type', {**_HEARTBEAT, 'Version': ['v1']}),
    *(
        (f'no {left_out}', {**_HEARTBEAT, left_out: None})
        for left_out in _HEARTBEAT
    ),
)
#: Names of the platform's wire format, which only the adapter may use.
_PLATFORM_WIRE_NAMES: Final = re.compile(
    'attempt-id|response-seal|not-executed|expect-instance|caller-service'
    '|server-(load|limit|leaving)|instance-id|timeout-ms|kv-(key|range|watch|txn|lease|keep)'
    '|op/config|ColdRemaining|Instances[.](Heartbeat|Leave)',
    re.IGNORECASE,
)


def _build_request(**headers: str) -> HttpRequest:
    normalized = {
        name.replace('_', '-'): text for name, text in headers.items()
    }
    return HttpRequest('GET', '/x', normalized, b'')


class DialectTest(unittest.TestCase):
    """Headers and statuses exchanged with callers and backend servers."""

    def test_classification_of_answers(self) -> None:
        """Echo, proof of execution and status decide the class of an answer."""
        for name, status, headers, expected in _ANSWER_CASES:
            with self.subTest(name):
                answer = HttpResponse(status, headers, b'')
                self.assertEqual(
                    _DIALECT.classify_answer(_TOKEN, answer), expected
                )

    def test_refusal_statuses(self) -> None:
        """A request that may have run never gets 503, 404 or 400.

        Callers take these statuses as a guarantee that it did not run.
        """
        for outcome, reason, status in _REFUSAL_STATUSES:
            with self.subTest(f'{outcome} {reason}'):
                answer = _DIALECT.build_refusal(
                    Refusal(outcome, reason, retry_after_s=0.25), 'id'
                )
                self.assertEqual(answer.status, status)
                retry_after = answer.find_header('retry-after')
                has_retry_time = status in {429, 503}
                self.assertEqual(
                    retry_after, '0.25' if has_retry_time else None
                )

    def test_customer_headers(self) -> None:
        """Neither keys nor what a caller says of its customer pass.

        Without customers these are headers like any others.
        """
        request = _build_request(host='h', api_key='secret', tenant='forged')
        forwarded = _DIALECT.list_forwarded_headers(request, has_customers=True)
        self.assertEqual(dict(forwarded), {'host': 'h'})
        forwarded = _DIALECT.list_forwarded_headers(
            request, has_customers=False
        )
        self.assertEqual(dict(forwarded), dict(request.headers))
        self.assertEqual(_DIALECT.read_caller(request).api_key, 'secret')
        metadata = CallMetadata(_TOKEN, 1.0, None, 'vault', 'acme')
        headers = dict(_DIALECT.list_backend_headers(metadata))
        self.assertEqual(headers['tenant'], 'acme')

    def test_forged_headers_are_dropped(self) -> None:
        """Callers cannot set headers that the node itself sends."""
        forwarded = _DIALECT.list_forwarded_headers(
            _build_request(
                host='h',
                attempt_id=_TOKEN,
                timeout_ms='5',
                expect_instance='i-1',
                caller_service='forged',
                merlintrail_call='[]',
                connection='close',
                x_other='kept',
            ),
            has_customers=False,
        )
        self.assertEqual(
            dict(forwarded),
            {'host': 'h', 'attempt-id': _TOKEN, 'x-other': 'kept'},
        )
        metadata = CallMetadata(_TOKEN, 1.2345, 'i-2', 'vault')
        self.assertEqual(
            dict(_DIALECT.list_backend_headers(metadata)),
            {
                'timeout-ms': '1234',
                'caller-service': 'vault',
                'expect-instance': 'i-2',
            },
        )

    def test_caller_headers(self) -> None:
        """Identifier, timeout and a possible parent call are read."""
        caller_headers = _DIALECT.read_caller(
            _build_request(attempt_id='abc.1.def', timeout_ms='700')
        )
        self.assertEqual(
            (
                caller_headers.request_id,
                caller_headers.deadline_ms,
                caller_headers.context,
            ),
            ('abc.1.def', 700, 'abc.1'),
        )
        self.assertFalse(caller_headers.must_resolve_context)
        for text in ('', '-5', '1.5', 'soon', '0', '\u00b2', '9' * 5000):
            with self.subTest(text):
                invalid = _DIALECT.read_caller(_build_request(timeout_ms=text))
                self.assertTrue(invalid.findings)

    def test_load_header(self) -> None:
        """The load is three numbers; any other form yields none."""
        for text, load in (('3,0,8', (3, 0, 8)), ('3,0', None), ('x', None)):
            answer = HttpResponse(200, (('server-load', text),), b'')
            self.assertEqual(_DIALECT.read_load(answer), load)

    def test_notice_headers(self) -> None:
        """A limit is a decimal number; leaving is stated with ``1``."""
        for text, rate_limit in (
            ('19.5', 19.5),
            ('0', 0.0),
            ('.5', 0.5),
            ('7.', 7.0),
            (None, None),
        ):
            self.assertEqual(_read_notice(text).rate_limit, rate_limit)
        for text in ('', 'nan', 'inf', '-1', '+1', '1e3', '1_0', '1,5', '٣'):
            with self.subTest(text):
                self.assertIsInstance(
                    _read_notice(text).rate_limit, DecodeFailure
                )
        for text, is_leaving in (('1', True), ('0', False), (None, False)):
            self.assertEqual(
                _read_notice(None, leaving=text).is_leaving, is_leaving
            )


def _read_notice(
    rate_limit: str | None, leaving: str | None = None
) -> BackendNotice:
    headers = {'server-limit': rate_limit, 'server-leaving': leaving}
    answer = HttpResponse(
        200,
        tuple(
            (name, text) for name, text in headers.items() if text is not None
        ),
        b'',
    )
    return _DIALECT.read_notice(answer)


class ConfigurationTest(unittest.TestCase):
    """Translation of the operator's configuration into a document."""

    def test_customers(self) -> None:
        """Tenants are customers, whose keys appear only as digests."""
        content = {
            **CONFIGURATION,
            'Tenants': [
                {
                    'Name': 'pulo780',
                    'ApiKeys': ['secret', 'second'],
                    'Priority': 1,
                    'RatePerS': 175,
                    'Burst': 50,
                },
                {'Name': 'free', 'ApiKeys': [], 'RatePerS': 0},
            ],
        }
        document = build_envelope(content, SETTINGS)['document']
        self.assertEqual(validate_document(document), [])
        self.assertNotIn('secret', str(document))
        customers = build_configuration(document, 7, '').customers
        customer = customers.identify('secret')
        assert customer is not None
        self.assertEqual(customer.name, 'pulo780')
        self.assertEqual(customer.importance, Importance.HIGH)
        self.assertEqual((customer.rate_per_s, customer.burst), (175, 50))
        free = customers.find('free')
        assert free is not None
        self.assertIsNone(free.rate_per_s)

    def test_invalid_customers(self) -> None:
        """Unusable keys cost themselves alone, and open no door."""
        sound = {'Name': 'sound', 'ApiKeys': ['good']}
        for tenant in (
            {'Name': 'a', 'ApiKeys': ['']},
            {'Name': 'a', 'ApiKeys': [7, {}]},
            {'Name': 'a'},
            {'ApiKeys': ['x']},
            {'Name': 7, 'ApiKeys': ['x']},
            'x',
        ):
            with self.subTest(str(tenant)):
                customers = put_in_force(
                    {**CONFIGURATION, 'Tenants': [tenant, sound]}
                ).customers
                customer = customers.identify('good')
                self.assertEqual(customer and customer.name, 'sound')
                for key in ('', '7', 'x'):
                    self.assertIsNone(customers.identify(key))
        # Without any customer, no key would be needed.
        holder = ConfigurationHolder()
        content = {**CONFIGURATION, 'Tenants': [{'ApiKeys': ['x']}]}
        envelope = Envelope(**build_envelope(content, SETTINGS))
        self.assertFalse(holder.apply_if_newer(envelope))

    def test_key_of_two_customers(self) -> None:
        """It is a finding, and belongs to the first of them."""
        shared = [
            {'Name': 'a', 'ApiKeys': ['x']},
            {'Name': 'b', 'ApiKeys': ['x', 'y']},
        ]
        content = {**CONFIGURATION, 'Tenants': shared}
        document = build_envelope(content, SETTINGS)['document']
        findings = validate_document(document)
        self.assertEqual(
            [str(finding) for finding in findings],
            ["/customers/1/key_digests: a key of 'b' is also one of 'a'"],
        )
        customers = put_in_force(content).customers
        names = [customers.identify(key) for key in ('x', 'y')]
        self.assertEqual([one and one.name for one in names], ['a', 'b'])

    def test_document_is_valid_and_complete(self) -> None:
        """Routes, splits, importance, limits and regions are translated."""
        envelope = build_envelope(CONFIGURATION, SETTINGS)
        document = envelope['document']
        self.assertEqual(validate_document(document), [])
        configuration = build_configuration(document, 7, '')
        read_route = configuration.routes.find('two.example', '/any/thing')
        assert read_route is not None
        self.assertEqual(
            [share.weight for share in read_route.shares], [90, 10]
        )
        self.assertEqual(read_route.kind.importance.name, 'LOW')
        self.assertEqual(read_route.kind.attempts, 3)
        write_route = configuration.routes.find('one.example:80', '/write/x')
        assert write_route is not None
        self.assertFalse(write_route.kind.is_idempotent)
        self.assertEqual(write_route.kind.objective_ms, 2000)
        self.assertEqual(configuration.caller_limits.idle_timeout_ms, 15000)
        self.assertEqual(configuration.regions['a2'], 'a')

    def test_attempts_beyond_the_limit_cost_no_configuration(self) -> None:
        """They are brought within it, and the document stays valid."""
        for attempts, expected in ((0, 1), (3, 3), (99, 16)):
            routes = [
                {**route, 'MaxAttempts': attempts}
                for route in CONFIGURATION['Routes']
            ]
            envelope = build_envelope(
                {**CONFIGURATION, 'Routes': routes}, SETTINGS
            )
            self.assertEqual(validate_document(envelope['document']), [])
            for route in envelope['document']['routes']:
                self.assertEqual(route['attempts'], expected)

    def test_unreadable_version_raises(self) -> None:
        """Without a version nothing can be put in force."""
        versions: tuple[Any, ...] = ('x', '', None, [], True, 'f' * 17, -1)
        for version in versions:
            with self.assertRaises((LookupError, TypeError, ValueError)):
                build_envelope({**CONFIGURATION, 'Version': version}, SETTINGS)
        with self.assertRaises(LookupError):
            build_envelope({}, SETTINGS)

    def test_kinds_that_may_be_repeated(self) -> None:
        """A download is idempotent; any unknown kind is not."""
        route = CONFIGURATION['Routes'][0]
        for kind, is_idempotent in (
            ('idempotent', True),
            ('download', True),
            ('non_idempotent', False),
            ('unknown', False),
        ):
            with self.subTest(kind):
                routes = [{**route, 'Kind': kind}]
                envelope = build_envelope(
                    {**CONFIGURATION, 'Routes': routes}, SETTINGS
                )
                translated = envelope['document']['routes'][0]
                self.assertEqual(translated['idempotent'], is_idempotent)


class HeartbeatTest(unittest.TestCase):
    """Heartbeats and leaves of the backend server beside a node."""

    def setUp(self) -> None:
        self.announced: list[Announcement] = []
        self.departures: list[tuple[str, int | None]] = []
        self.service = HeartbeatService(
            HeartbeatDependencies(
                self.announce,
                self.record_departure,
                lambda name: name == 'vault',
                lambda: '127.0.0.1:3',
            )
        )

    def announce(self, announcement: Announcement) -> AnnouncementOrder:
        """Record an announcement."""
        self.announced.append(announcement)
        return AnnouncementOrder.RENEWAL

    def record_departure(
        self, identity: str, started_at_ms: int | None
    ) -> bool:
        """Record a departure."""
        self.departures.append((identity, started_at_ms))
        return False

    def post(self, target: str, document: Any) -> int:
        """Send a call and return its status."""
        request = HttpRequest('POST', target, {}, encode_json(document))
        return run_virtually(self.service.handle(request)).status

    def test_heartbeat(self) -> None:
        """A valid heartbeat becomes an announcement."""
        self.assertEqual(self.post('/Instances.Heartbeat/i-1', _HEARTBEAT), 200)
        self.assertEqual(
            self.announced,
            [
                Announcement(
                    'vault',
                    '127.0.0.1:3',
                    36,
                    identity='i-1',
                    started_at_ms=1000,
                    sequence=4,
                )
            ],
        )

    def test_invalid_heartbeats_are_rejected(self) -> None:
        """They get status 400 and announce nothing.

        Rejected as well are heartbeats of a service that is not configured and
        of an address that is not beside the node.
        """
        for name, document in _INVALID_HEARTBEATS:
            with self.subTest(name):
                result = read_heartbeat('i-1', document)
                assert isinstance(result, InvalidAnnouncement), result
                self.assertTrue(result.findings)
                status = self.post('/Instances.Heartbeat/i-1', document)
                self.assertEqual(status, 400)
        for change in ({'Service': 'noter'}, {'Address': '127.0.0.1:9'}):
            status = self.post(
                '/Instances.Heartbeat/i', {**_HEARTBEAT, **change}
            )
            self.assertEqual(status, 400)
        self.assertEqual(self.announced, [])

    def test_leave(self) -> None:
        """A leave is accepted even if no such backend server is registered."""
        self.assertEqual(self.post('/Instances.Leave/i-1', {'born': 5}), 200)
        self.assertEqual(self.post('/Instances.Leave/i-2', {}), 200)
        self.assertEqual(self.departures, [('i-1', 5), ('i-2', None)])
        self.assertEqual(self.post('/other', {}), 404)


class BoundaryTest(unittest.TestCase):
    """Only the adapter uses the platform's wire names."""

    def test_no_wire_names_in_other_packages(self) -> None:
        """Neither code nor tests of other packages contain them."""
        root = Path(merlintrail.__file__).parent
        for path in sorted(root.rglob('*.py')):
            if 'platform' in path.relative_to(root).parts:
                continue
            with self.subTest(str(path.relative_to(root))):
                match = _PLATFORM_WIRE_NAMES.search(
                    path.read_text(encoding='utf-8')
                )
                self.assertIsNone(match)
