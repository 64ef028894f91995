"""What operators' requests need of the node and of the store."""

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

#: Seconds to wait for the node's own thread.
LOOP_TIMEOUT_S: Final = 10.0
#: Earlier documents that are shown.
HISTORY_COUNT: Final = 20


class NodeAccess:
    """The node, read on its own thread, and the store."""

    def __init__(
        self,
        node: Node,
        loop: asyncio.AbstractEventLoop,
        client: StoreClient,
    ) -> None:
        self.node = node
        self.loop = loop
        self._client = client

    def call_node(self, read: Callable[[], Any]) -> Any:
        """Run a function on the node's own thread."""

        async def call() -> Any:
            return read()

        future = asyncio.run_coroutine_threadsafe(call(), self.loop)
        return future.result(LOOP_TIMEOUT_S)

    def read_document(self) -> StoredDocument | StoreFailure:
        """Read the document in force from the store."""
        return read_stored_document(self._client)

    def read_history(self) -> list[Envelope] | StoreFailure:
        """Read the latest documents, the newest first."""
        stored = self.read_document()
        if isinstance(stored, StoreFailure):
            return stored
        return read_history(
            self._client, stored.envelope.generation, HISTORY_COUNT
        )

    def read_earlier(self, generation: int) -> list[Envelope]:
        """Read one generation; the list is empty when it is gone."""
        return read_history(self._client, generation, 1)

    def apply(
        self,
        request: AdminRequest,
        document: Mapping[str, Any],
        seen: int,
        change_id: str,
    ) -> Envelope | ChangeConflict | ChangeInvalid | StoreFailure:
        """Put a document in force for an operator."""
        change = ConfigurationChange(
            document, seen, str(request.operator), change_id, time.time()
        )
        return apply_change(self._client, change)


def tell_store_failure(failure: StoreFailure) -> AdminAnswer:
    """Build the answer that tells of a store failure."""
    return answer_json(
        503, {'error': f'store {failure.fault}: {failure.reason}'}
    )
