"""Requests of customers: identity, importance, and what is passed on."""

import io
import unittest
from collections.abc import Mapping
from typing import Any, Final

from merlintrail.node.tests.session import Session, build_document, build_kind
from merlintrail.observability import JsonLinesHandler, run_deferred
from merlintrail.protocol import (
    API_KEY_HEADER,
    CUSTOMER_HEADER,
    OUTCOME_HEADER,
    Outcome,
)
from merlintrail.state import hash_api_key
from merlintrail.testing import run_virtually
from merlintrail.transport import HttpRequest, HttpResponse

_KEY: Final = 'key-of-acme-9c41d07be2a35f68'
_OTHER_KEY: Final = 'key-of-bulk-3e1b07a2600c9f2a'
_UNAUTHORIZED: Final = 401
_OK: Final = 200


def _build_customers(**keys: str) -> list[Mapping[str, Any]]:
    return [
        {'name': name, 'key_digests': [hash_api_key(key)] if key else []}
        for name, key in keys.items()
    ]


class CustomerTest(unittest.TestCase):
    """One node for callers, one with a server that makes a nested call."""

    def setUp(self) -> None:
        """Describe two services and two customers."""
        self.document = build_document(
            {'front': [build_kind('ask')], 'deep': [build_kind('look')]}
        )
        self.document['customers'] = _build_customers(
            acme=_KEY, bulk=_OTHER_KEY
        )
        #: Headers that the backend servers received, by service.
        self.received: list[tuple[str, Mapping[str, str]]] = []

    def create_session(self) -> Session:
        """Create the nodes, and servers that record what they receive."""
        session = Session(self.document, ('entry', 'front', 'deep'))

        async def serve_front(request: HttpRequest) -> HttpResponse:
            self.received.append(('front', request.headers))
            answer = await session.call_nested('front', request, '/deep/look')
            return HttpResponse(answer.status, (), b'front')

        async def serve_deep(request: HttpRequest) -> HttpResponse:
            self.received.append(('deep', request.headers))
            return HttpResponse(_OK, (), b'deep')

        session.add_backend('front', 'front', serve_front)
        session.add_backend('deep', 'deep', serve_deep)
        return session

    async def call(self, session: Session, **headers: str) -> HttpResponse:
        """Send one request with headers to the entry."""
        named = {
            f'merlintrail-{name.replace("_", "-")}': text
            for name, text in headers.items()
        }
        return await session.call('entry', '/front/ask', 'body', named)

    def test_name_replaces_key(self) -> None:
        """The whole tree gets the customer's name, and the key stays here."""

        async def scenario() -> None:
            session = self.create_session()
            answer = await self.call(session, api_key=_KEY, customer='forged')
            self.assertEqual(answer.status, _OK)

        run_virtually(scenario())
        self.assertEqual([name for name, _ in self.received], ['front', 'deep'])
        for _, headers in self.received:
            self.assertEqual(headers[CUSTOMER_HEADER], 'acme')
            self.assertNotIn(API_KEY_HEADER, headers)
            self.assertNotIn(_KEY, str(headers))

    def test_key_in_no_message_or_log(self) -> None:
        """Neither messages between nodes nor log lines hold a key."""
        log = io.StringIO()
        messages: list[str] = []

        async def scenario() -> None:
            session = self.create_session()
            for address, handle in tuple(session.network.handlers.items()):

                async def record(
                    request: HttpRequest, handle: Any = handle
                ) -> HttpResponse:
                    messages.append(f'{request.headers} {request.body!r}')
                    answer: HttpResponse = await handle(request)
                    return answer

                session.network.handlers[address] = record
            for key in (_KEY, 'unknown-key', ''):
                await self.call(session, api_key=key)
            run_deferred()

        with JsonLinesHandler(log).applicationbound():
            run_virtually(scenario())
        self.assertTrue(messages)
        for text in (*messages, log.getvalue()):
            self.assertNotIn(_KEY, text)
            self.assertNotIn('unknown-key', text)
        self.assertIn('unknown-api-key', log.getvalue())

    def test_unknown_keys(self) -> None:
        """Unknown, absent, empty, doubled and odd keys are refused at once."""
        doubled = f'{_KEY}, {_OTHER_KEY}'
        cases = ('nobody', '', doubled, f' {_KEY}\x00', '\udcff', f'{_KEY} ')

        async def scenario() -> None:
            session = self.create_session()
            answers = [await self.call(session, api_key=key) for key in cases]
            answers.append(await self.call(session))
            for answer in answers:
                self.assertEqual(answer.status, _UNAUTHORIZED)
                headers = dict(answer.headers)
                self.assertEqual(headers[OUTCOME_HEADER], Outcome.NOT_RUN.value)

        run_virtually(scenario())
        self.assertEqual(self.received, [])

    def test_withdrawn_key(self) -> None:
        """A key counts as long as the configuration in force has it."""

        async def scenario() -> None:
            session = self.create_session()
            self.assertEqual(
                (await self.call(session, api_key=_KEY)).status, _OK
            )
            changed = {
                **self.document,
                'customers': _build_customers(acme='', bulk=_OTHER_KEY),
            }
            session.apply(changed, 2)
            answer = await self.call(session, api_key=_KEY)
            self.assertEqual(answer.status, _UNAUTHORIZED)
            answer = await self.call(session, api_key=_OTHER_KEY)
            self.assertEqual(answer.status, _OK)

        run_virtually(scenario())

    def test_importance_of_customer(self) -> None:
        """A customer's importance goes before that of the request kind."""
        self.document['customers'][0] = {
            **self.document['customers'][0],
            'importance': 'low',
        }
        priorities: list[int] = []

        async def scenario() -> None:
            session = self.create_session()
            dispatcher = session.nodes['entry'].dispatcher
            dispatch = dispatcher.dispatch

            async def record(call: Any) -> Any:
                priorities.append(call.priority)
                return await dispatch(call)

            dispatcher.dispatch = record  # type: ignore[method-assign]
            await self.call(session, api_key=_KEY)
            await self.call(session, api_key=_OTHER_KEY)

        run_virtually(scenario())
        low, normal = priorities
        self.assertLess(low, 32)
        self.assertGreaterEqual(normal, 32)

    def test_no_customers(self) -> None:
        """Without customers no key is needed, and none is looked at."""
        del self.document['customers']

        async def scenario() -> None:
            session = self.create_session()
            answer = await self.call(session, api_key='anything')
            self.assertEqual(answer.status, _OK)

        run_virtually(scenario())
        for _, headers in self.received:
            self.assertNotIn(CUSTOMER_HEADER, headers)
