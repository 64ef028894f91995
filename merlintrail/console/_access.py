"""Access to the node and the store from the threads of the console."""

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

from merlintrail.console._messages import (
    AdminAnswer,
    AdminRequest,
    answer_json,
)
from merlintrail.coordination import (
    ChangeConflict,
    ChangeInvalid,
    ConfigurationChange,
    StoreClient,
    StoredDocument,
    StoreFailure,
    apply_change,
    read_history,
    read_stored_document,
)
from merlintrail.node import Node
from merlintrail.state import Envelope

#: Seconds to wait for a result from the node's event loop.
LOOP_TIMEOUT_S: Final = 10.0
#: Maximum number of documents in the history.
HISTORY_LIMIT: Final = 20


class NodeAccess:
    """Reads the node on its event loop, and documents from the store."""

    def __init__(
        self,
        node: Node,
        loop: asyncio.AbstractEventLoop,
        client: StoreClient,
    ) -> None:
        self.node = node
        self.loop = loop
        self._client = client

    def run_on_node(self, function: Callable[[], Any]) -> Any:
        """Run a function on the node's event loop and return its result.

        :raises TimeoutError: after :data:`LOOP_TIMEOUT_S`.
        """

        async def call() -> Any:
            return function()

        future = asyncio.run_coroutine_threadsafe(call(), self.loop)
        return future.result(LOOP_TIMEOUT_S)

    def read_document(self) -> StoredDocument | StoreFailure:
        """Read the document in force from the store."""
        return read_stored_document(self._client)

    def read_history(self) -> list[Envelope] | StoreFailure:
        """Read the most recent documents, newest first."""
        stored = self.read_document()
        if isinstance(stored, StoreFailure):
            return stored
        return read_history(
            self._client, stored.envelope.generation, HISTORY_LIMIT
        )

    def read_generation(self, generation: int) -> list[Envelope]:
        """Return one generation in a list, empty if it cannot be read."""
        return read_history(self._client, generation, 1)

    def apply(
        self,
        request: AdminRequest,
        document: Mapping[str, Any],
        seen_generation: int,
        change_id: str,
    ) -> Envelope | ChangeConflict | ChangeInvalid | StoreFailure:
        """Apply a document in the name of the operator of the request."""
        change = ConfigurationChange(
            document,
            seen_generation,
            str(request.operator),
            change_id,
            time.time(),
            self.run_on_node(lambda: self.node.holder.generation),
        )
        return apply_change(self._client, change)


def answer_store_failure(failure: StoreFailure) -> AdminAnswer:
    """Build the answer that reports a store failure."""
    return answer_json(
        503, {'error': f'store {failure.fault}: {failure.reason}'}
    )
