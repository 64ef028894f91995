"""What the platform says becomes our own types, and the reverse."""

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
    HeartbeatParts,
    HeartbeatService,
    read_heartbeat,
)
from merlintrail.platform.tests.samples import CONTENT, SETTINGS
from merlintrail.protocol import (
    CallMetadata,
    AnswerClass,
    Outcome,
    Reason,
    Refusal,
    encode_json,
)
from merlintrail.state import build_configuration, validate_document
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_DIALECT: Final = PlatformDialect()
_TOKEN: Final = '9c41d07b'
_ECHO: Final = ('attempt-id', _TOKEN)
_RECEIPT: Final = ('response-seal', '3e1b.07')
_VERDICTS: Final = (
    ('success', 200, (_ECHO, _RECEIPT), AnswerClass.ANSWERED),
    ('not found there', 404, (_ECHO, _RECEIPT), AnswerClass.ANSWERED),
    ('no receipt', 200, (_ECHO,), AnswerClass.FOREIGN),
    ('no echo', 200, (_RECEIPT,), AnswerClass.FOREIGN),
    (
        'echo of another',
        200,
        (('attempt-id', 'other'), _RECEIPT),
        AnswerClass.FOREIGN,
    ),
    ('failed', 500, (_ECHO, _RECEIPT), AnswerClass.FAILED),
    ('timed out', 504, (_ECHO, _RECEIPT), AnswerClass.FAILED),
    ('shed', 503, (('not-executed', '1'),), AnswerClass.NOT_RUN),
    ('unproved', 503, (_ECHO,), AnswerClass.FAILED),
    ('another server', 421, (), AnswerClass.MISDIRECTED),
)
_STATUSES: Final = (
    (Outcome.NOT_RUN, Reason.OVERLOAD, 503),
    (Outcome.NOT_RUN, Reason.DEADLINE_UNREACHABLE, 503),
    (Outcome.NOT_RUN, Reason.QUARANTINED, 503),
    (Outcome.NOT_RUN, Reason.NO_CONFIGURATION, 503),
    (Outcome.NOT_RUN, Reason.UNKNOWN_SERVICE, 404),
    (Outcome.NOT_RUN, Reason.BAD_REQUEST, 400),
    (Outcome.MAY_HAVE_RUN, Reason.DEADLINE_PASSED, 504),
    (Outcome.MAY_HAVE_RUN, Reason.PEER_LOST, 504),
    (Outcome.MAY_HAVE_RUN, Reason.BACKEND_LOST, 502),
    (Outcome.MAY_HAVE_RUN, Reason.BACKEND_REFUSED, 502),
    (Outcome.MAY_HAVE_RUN, Reason.OVERLOAD, 504),
)
_BEAT: Final[dict[str, Any]] = {
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
_BAD_BEATS: Final = (
    ('not an object', [1]),
    ('no service', {**_BEAT, 'Service': None}),
    ('unknown state', {**_BEAT, 'State': 'asleep'}),
    ('state of another type', {**_BEAT, 'State': 7}),
    ('slots of another type', {**_BEAT, 'Slots': '36'}),
    ('no slots', {**_BEAT, 'Slots': 0}),
    ('address', {**_BEAT, 'Address': 'here'}),
    ('sequence', {**_BEAT, 'Sequence': 'four'}),
    ('start with a fraction', {**_BEAT, 'born': 1000.5}),
    ('no start', {key: _BEAT[key] for key in _BEAT if key != 'born'}),
    ('cold', {**_BEAT, 'ColdRemaining': 'long'}),
)
#: Names of the platform's wire, which only the adapter may use.
_WIRE_NAMES: Final = re.compile(
    'attempt-id|response-seal|not-executed|expect-instance|caller-service'
    '|server-load|instance-id|timeout-ms|kv-(key|range|watch|txn|lease|keep)'
    '|op/config|ColdRemaining|Instances[.](Heartbeat|Leave)',
    re.IGNORECASE,
)


def _request(**headers: str) -> HttpRequest:
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return HttpRequest('GET', '/x', named, b'')


class DialectTest(unittest.TestCase):
    """Headers of callers and backend servers."""

    def test_answers_of_backend_servers(self) -> None:
        """Echo, receipt and status tell what an answer is."""
        for name, status, headers, verdict in _VERDICTS:
            with self.subTest(name):
                answer = HttpResponse(status, headers, b'')
                self.assertEqual(
                    _DIALECT.classify_answer(_TOKEN, answer), verdict
                )

    def test_statuses_promise_only_what_is_proved(self) -> None:
        """503, 404 and 400 for what did not run, 502 and 504 for the rest."""
        for outcome, reason, status in _STATUSES:
            with self.subTest(f'{outcome} {reason}'):
                answer = _DIALECT.build_refusal(
                    Refusal(outcome, reason, retry_after_s=0.25), 'id'
                )
                self.assertEqual(answer.status, status)
                pause = answer.find_header('retry-after')
                self.assertEqual(pause, '0.25' if status == 503 else None)

    def test_what_callers_forge_goes_no_further(self) -> None:
        """Timeout, expected identity and caller's service are the node's."""
        forwarded = _DIALECT.list_forwarded_headers(
            _request(
                host='h',
                attempt_id=_TOKEN,
                timeout_ms='5',
                expect_instance='i-1',
                caller_service='forged',
                merlintrail_call='[]',
                connection='close',
                x_other='kept',
            )
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

    def test_caller(self) -> None:
        """Identifier, timeout, and the call that it may belong to."""
        read = _DIALECT.read_caller(
            _request(attempt_id='abc.1.def', timeout_ms='700')
        )
        self.assertEqual(
            (read.request_id, read.deadline_ms, read.context),
            ('abc.1.def', 700, 'abc.1'),
        )
        self.assertFalse(read.must_resolve_context)
        for text in ('', '-5', '1.5', 'soon', '0'):
            with self.subTest(text):
                faulty = _DIALECT.read_caller(_request(timeout_ms=text))
                self.assertTrue(faulty.findings)

    def test_load(self) -> None:
        """Three numbers, anything else tells nothing."""
        for text, load in (('3,0,8', (3, 0, 8)), ('3,0', None), ('x', None)):
            answer = HttpResponse(200, (('server-load', text),), b'')
            self.assertEqual(_DIALECT.read_load(answer), load)


class ConfigurationTest(unittest.TestCase):
    """The operator's configuration as our document."""

    def test_document_is_valid_and_complete(self) -> None:
        """Routes, splits, importance by rank, limits, regions."""
        envelope = build_envelope(CONTENT, SETTINGS)
        document = envelope['document']
        self.assertEqual(validate_document(document), [])
        configuration = build_configuration(document, 7, '')
        found = configuration.routes.find('two.example', '/any/thing')
        assert found is not None
        self.assertEqual([share.weight for share in found.shares], [90, 10])
        self.assertEqual(found.kind.importance.name, 'LOW')
        self.assertEqual(found.kind.attempts, 3)
        written = configuration.routes.find('one.example:80', '/write/x')
        assert written is not None
        self.assertFalse(written.kind.is_idempotent)
        self.assertEqual(written.kind.objective_ms, 2000)
        self.assertEqual(configuration.caller_limits.idle_timeout_ms, 15000)
        self.assertEqual(configuration.regions['a2'], 'a')

    def test_other_shapes_are_refused(self) -> None:
        """A missing member, a wrong duration, a wrong version."""
        route = CONTENT['Routes'][0]
        for content in (
            {**CONTENT, 'Version': 'x'},
            {**CONTENT, 'Routes': [{**route, 'Timeout': '5'}]},
            {**CONTENT, 'Routes': [{**route, 'Timeout': 5}]},
            {key: CONTENT[key] for key in CONTENT if key != 'Services'},
        ):
            with self.assertRaises((LookupError, TypeError, ValueError)):
                build_envelope(content, SETTINGS)


class HeartbeatTest(unittest.TestCase):
    """Heartbeats and leaves of the backend server beside a node."""

    def setUp(self) -> None:
        self.announced: list[Announcement] = []
        self.dismissed: list[tuple[str, int | None]] = []
        self.service = HeartbeatService(
            HeartbeatParts(
                self.announce,
                self.dismiss,
                lambda name: name == 'vault',
                lambda: '127.0.0.1:3',
            )
        )

    def announce(self, announcement: Announcement) -> AnnouncementOrder:
        """Keep an announcement."""
        self.announced.append(announcement)
        return AnnouncementOrder.RENEWAL

    def dismiss(self, identity: str, started_at_ms: int | None) -> bool:
        """Keep a leave."""
        self.dismissed.append((identity, started_at_ms))
        return False

    def post(self, target: str, document: Any) -> int:
        """Send a call and return its status."""
        request = HttpRequest('POST', target, {}, encode_json(document))
        return run_virtually(self.service.handle(request)).status

    def test_heartbeat(self) -> None:
        """It becomes an announcement."""
        self.assertEqual(self.post('/Instances.Heartbeat/i-1', _BEAT), 200)
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

    def test_malformed_heartbeats_name_no_server(self) -> None:
        """Each is answered with its findings and changes nothing."""
        for name, document in _BAD_BEATS:
            with self.subTest(name):
                read = read_heartbeat('i-1', document)
                assert isinstance(read, InvalidAnnouncement), read
                self.assertTrue(read.findings)
                status = self.post('/Instances.Heartbeat/i-1', document)
                self.assertEqual(status, 400)
        for change in ({'Service': 'noter'}, {'Address': '127.0.0.1:9'}):
            status = self.post('/Instances.Heartbeat/i', {**_BEAT, **change})
            self.assertEqual(status, 400)
        self.assertEqual(self.announced, [])

    def test_leave(self) -> None:
        """It is taken also from a server that was not known."""
        self.assertEqual(self.post('/Instances.Leave/i-1', {'born': 5}), 200)
        self.assertEqual(self.post('/Instances.Leave/i-2', {}), 200)
        self.assertEqual(self.dismissed, [('i-1', 5), ('i-2', None)])
        self.assertEqual(self.post('/other', {}), 404)


class BoundaryTest(unittest.TestCase):
    """The platform's names stay in the adapter."""

    def test_no_wire_name_elsewhere(self) -> None:
        """Neither in code nor in tests of other packages."""
        root = Path(merlintrail.__file__).parent
        for path in sorted(root.rglob('*.py')):
            if 'platform' in path.relative_to(root).parts:
                continue
            with self.subTest(str(path.relative_to(root))):
                found = _WIRE_NAMES.search(path.read_text(encoding='utf-8'))
                self.assertIsNone(found)
