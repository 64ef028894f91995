"""The configuration in force at a node."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from merlintrail.state._document import Configuration, build_configuration
from merlintrail.state._validation import validate_document


class Envelope(NamedTuple):
    """A document as it is stored and handed on."""

    #: Raised by one with each accepted change, first 1.
    generation: int
    #: Identifier of the change, by which a lost answer is resolved.
    change_id: str
    #: Name of the operator's key.
    operator: str
    #: Seconds since the epoch.
    applied_at: float
    document: Mapping[str, Any]


class ConfigurationHolder:
    """Holds the newest configuration that was offered.

    A lower or equal generation is never accepted, whoever offers it.
    """

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._envelope: Envelope | None = None
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, ``None`` before the first."""
        return self._current

    @property
    def envelope(self) -> Envelope | None:
        """The document in force."""
        return self._envelope

    @property
    def generation(self) -> int:
        """Generation in force, 0 before the first."""
        return 0 if self._envelope is None else self._envelope.generation

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Have each newly accepted configuration told."""
        self._listeners.append(listener)

    def apply_if_newer(self, envelope: Envelope) -> bool:
        """Take a document if it is newer and valid."""
        if envelope.generation <= self.generation:
            return False
        if validate_document(envelope.document):
            return False
        self._envelope = envelope
        self._current = build_configuration(
            envelope.document, envelope.generation, envelope.change_id
        )
        for listener in self._listeners:
            listener(self._current)
        return True
