"""Tests of the console and the administration API over HTTP."""

import asyncio
import html
import json
import re
import threading
import unittest
from typing import Any, Final
from urllib.parse import urlencode

import urllib3

from merlintrail.console import start_console
from merlintrail.coordination import create_http_store
from merlintrail.lab._ports import find_free_ports
from merlintrail.lab.store import start_store
from merlintrail.node import create_environment, create_node, parse_settings
from merlintrail.state.tests.test_validation import load_example

_KEY: Final = 'operator-key-1'
_FIELD: Final = re.compile('<input[^>]*name="([^"]*)"[^>]*value="([^"]*)"')
_SELECT: Final = re.compile(
    '<select[^>]*name="([^"]*)"[^>]*>.*?<option selected>([^<]*)<'
)
_TEXTAREA: Final = re.compile(
    '<textarea[^>]*name="([^"]*)"[^>]*>([^<]*)</textarea>'
)


class _Server:
    """A test store and a node with its console, on their own thread."""

    def __init__(self) -> None:
        store, call, peer, admin = find_free_ports(4)
        self.address = f'127.0.0.1:{admin}'
        self._store_port = store
        settings = {
            'instance': 'one',
            'data_centre': 'marmara-1',
            'call_address': f'127.0.0.1:{call}',
            'peer_address': f'127.0.0.1:{peer}',
            'admin_address': self.address,
            'store_addresses': [f'127.0.0.1:{store}'],
            'fleet_key': 'fleet-key',
            'operator_keys': [{'name': 'ayse', 'key': _KEY}],
        }
        self._settings = json.dumps(settings)
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._ready.wait(10)

    def stop(self) -> None:
        """Stop the console and the event loop."""
        self._console.stop()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    def _run(self) -> None:
        self._loop.run_until_complete(self._start())
        self._ready.set()
        self._loop.run_forever()

    async def _start(self) -> None:
        await start_store('127.0.0.1', self._store_port)
        settings = parse_settings(self._settings)
        assert not hasattr(settings, 'findings')
        store = create_http_store(settings.store_addresses)
        node = create_node(settings, create_environment(store))
        self._console = start_console(node, self._loop)


class ApplicationTest(unittest.TestCase):
    """Requests to the console and the API of one node."""

    def setUp(self) -> None:
        self.server = _Server()
        self.http = urllib3.PoolManager(retries=False, timeout=10)
        self.cookie = ''

    def tearDown(self) -> None:
        self.server.stop()

    def call_api(
        self,
        method: str,
        path: str,
        document: object = None,
        key: str = _KEY,
    ) -> tuple[int, Any]:
        """Send a request to the administration API."""
        answer = self.http.request(
            method,
            f'http://{self.server.address}{path}',
            body=None if document is None else json.dumps(document),
            headers={'Authorization': f'Bearer {key}'},
        )
        return answer.status, json.loads(answer.data)

    def browse(
        self, path: str, fields: dict[str, str] | None = None
    ) -> tuple[int, str]:
        """Load a page, or submit a form."""
        answer = self.http.request(
            'GET' if fields is None else 'POST',
            f'http://{self.server.address}{path}',
            body=None if fields is None else urlencode(fields),
            headers={'Cookie': self.cookie},
            redirect=False,
        )
        cookie = answer.headers.get('Set-Cookie')
        if cookie:
            self.cookie = cookie.partition(';')[0]
        return answer.status, answer.data.decode()

    def apply(
        self, seen_generation: int, deadline_ms: int = 800
    ) -> tuple[int, Any]:
        """Apply the example document with the given deadline."""
        document = load_example()
        document['services'][0]['kinds'][0]['deadline_ms'] = deadline_ms
        body = {'document': document, 'seen_generation': seen_generation}
        return self.call_api('POST', '/v1/configuration', body)

    def read_fields(self, page: str) -> dict[str, str]:
        """Return the form fields of a page as a browser submits them."""
        matches = [
            *_FIELD.findall(page),
            *_SELECT.findall(page),
            *_TEXTAREA.findall(page),
        ]
        return {
            html.unescape(name): html.unescape(text) for name, text in matches
        }

    def test_key_is_required(self) -> None:
        """A missing or wrong key is answered with 401 and changes nothing."""
        for key in ('', 'wrong', f'{_KEY}x'):
            for method, path in (
                ('GET', '/v1/status'),
                ('POST', '/v1/configuration'),
                ('POST', '/v1/configuration/check'),
            ):
                self.assertEqual(self.call_api(method, path, {}, key)[0], 401)
        self.assertEqual(self.browse('/configuration')[0], 401)
        status, _ = self.browse('/login', {'key': 'wrong'})
        self.assertEqual(status, 401)
        _, envelope = self.call_api('GET', '/v1/configuration')
        self.assertEqual(envelope['generation'], 0)

    def test_metrics_need_no_key(self) -> None:
        """Metrics are served as Prometheus text without a key."""
        answer = self.http.request(
            'GET', f'http://{self.server.address}/metrics'
        )
        self.assertEqual(answer.status, 200)
        self.assertIn('text/plain', answer.headers['Content-Type'])
        self.assertIn(b'merlintrail_members', answer.data)

    def test_routes(self) -> None:
        """There are no routes without a configuration."""
        self.assertEqual(self.call_api('GET', '/v1/routes'), (200, []))

    def test_api_applies_and_refuses(self) -> None:
        """Changes are applied, refused on conflict or findings, and listed."""
        self.assertEqual(self.apply(0), (200, {'generation': 1}))
        status, conflict = self.apply(0, 900)
        self.assertEqual(status, 409)
        self.assertEqual(conflict['current']['operator'], 'ayse')
        status, answer = self.apply(1, -1)
        self.assertEqual(status, 422)
        self.assertEqual(
            answer['findings'][0]['place'],
            '/services/0/kinds/0/deadline_ms',
        )
        self.assertEqual(self.apply(1, 900)[0], 200)
        _, history = self.call_api('GET', '/v1/configuration/history')
        self.assertEqual(
            [envelope['generation'] for envelope in history], [2, 1]
        )

    def test_bad_bodies(self) -> None:
        """Malformed bodies get 400 with an error, unknown paths 404."""
        bodies: tuple[object, ...] = ([], {}, {'document': 1}, {'document': {}})
        for body in bodies:
            status, answer = self.call_api('POST', '/v1/configuration', body)
            self.assertEqual(status, 400)
            self.assertIn('error', answer)
        self.assertEqual(self.call_api('GET', '/v1/nothing')[0], 404)

    def test_unchanged_form_applies_same_document(self) -> None:
        """Submitting an unchanged form applies an identical document."""
        self.apply(0)
        self.browse('/login', {'key': _KEY})
        _, page = self.browse('/configuration')
        fields = self.read_fields(page)
        status, page = self.browse('/configuration', {**fields, 'do': 'apply'})
        self.assertEqual(status, 200)
        self.assertIn('Generation 2 is accepted', page)
        _, envelope = self.call_api('GET', '/v1/configuration')
        self.assertEqual(envelope['document'], load_example())

    def test_error_is_shown_beside_its_field(self) -> None:
        """Text in a number field is reported and kept, but not applied."""
        self.apply(0)
        self.browse('/login', {'key': _KEY})
        _, page = self.browse('/configuration')
        fields = self.read_fields(page)
        fields['services.0.kinds.0.deadline_ms'] = 'soon'
        status, page = self.browse('/configuration', {**fields, 'do': 'apply'})
        self.assertEqual(status, 422)
        self.assertIn('f-services-0-kinds-0-deadline_ms-error', page)
        self.assertIn('value="soon"', page)
        _, envelope = self.call_api('GET', '/v1/configuration')
        self.assertEqual(envelope['generation'], 1)

    def test_conflict_keeps_entries(self) -> None:
        """A conflict shows the other changes and keeps the entries.

        Submitting the form again then succeeds.
        """
        self.apply(0)
        self.browse('/login', {'key': _KEY})
        _, page = self.browse('/configuration')
        fields = self.read_fields(page)
        fields['services.0.kinds.0.retries'] = '1'
        self.apply(1, 950)
        status, page = self.browse('/configuration', {**fields, 'do': 'apply'})
        self.assertEqual(status, 409)
        self.assertIn('deadline_ms: 800 -&gt; 950', page)
        kept = self.read_fields(page)
        self.assertEqual(kept['services.0.kinds.0.retries'], '1')
        self.assertEqual(kept['seen'], '2')
        status, _ = self.browse('/configuration', {**kept, 'do': 'apply'})
        self.assertEqual(status, 200)

    def test_rows_are_added_and_removed(self) -> None:
        """Buttons add and remove rows without JavaScript."""
        self.apply(0)
        self.browse('/login', {'key': _KEY})
        _, page = self.browse('/configuration')
        fields = self.read_fields(page)
        _, page = self.browse(
            '/configuration', {**fields, 'do': 'add:services.0.kinds'}
        )
        self.assertIn('services.0.kinds.2.', self.read_fields(page))
        _, page = self.browse(
            '/configuration', {**fields, 'do': 'remove:services.3'}
        )
        self.assertNotIn('services.3.name', self.read_fields(page))

    def test_form_without_token_is_refused(self) -> None:
        """A form without its CSRF token is refused with 403."""
        self.browse('/login', {'key': _KEY})
        status, _ = self.browse('/configuration', {'do': 'apply'})
        self.assertEqual(status, 403)
