"""The configuration that a node currently applies."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from merlintrail.state._document import Configuration, build_configuration
from merlintrail.state._validation import validate_document


class Envelope(NamedTuple):
    """A configuration document with the data of its last change."""

    #: Incremented by each accepted change, beginning with 1.
    generation: int
    #: Identifier of the change. An operator who lost the answer to a change
    #: finds out by it whether the change was applied.
    change_id: str
    #: Name of the operator's key.
    operator: str
    #: Seconds since the epoch.
    applied_at: float
    document: Mapping[str, Any]


class ConfigurationHolder:
    """Holds the valid configuration with the highest generation received."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._envelope: Envelope | None = None
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration | None:
        """The current configuration, ``None`` before the first."""
        return self._current

    @property
    def envelope(self) -> Envelope | None:
        """The envelope of the current configuration."""
        return self._envelope

    @property
    def generation(self) -> int:
        """The current generation, 0 before the first."""
        return 0 if self._envelope is None else self._envelope.generation

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Add a function to call with each new configuration."""
        self._listeners.append(listener)

    def apply_if_newer(self, envelope: Envelope) -> bool:
        """Apply a document if its generation is higher and it is valid.

        :returns: whether the document was applied.
        """
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
