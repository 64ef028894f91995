"""The configuration that a node currently applies."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple

from merlintrail.observability import create_logger
from merlintrail.state._document import Configuration, build_configuration
from merlintrail.state._validation import (
    Finding,
    repair_document,
    validate_document,
)

#: Findings of an invalid document that its log line shows.
MAX_LOGGED_FINDINGS: Final = 20

_LOG: Final = create_logger('configuration')


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


class PreparedConfiguration(NamedTuple):
    """A configuration that was checked and built, but is not in force."""

    #: With the document as it will be in force.
    envelope: Envelope
    #: ``None`` if the document is refused as a whole.
    configuration: Configuration | None
    #: Faults of the document as it was written.
    findings: tuple[Finding, ...]


class ConfigurationHolder:
    """Holds the valid configuration with the highest generation received."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._envelope: Envelope | None = None
        self._listeners: list[Callable[[Configuration], None]] = []
        #: Generation that was found invalid last, 0 for none.
        self._invalid_generation = 0
        #: Findings of the document from which the one in force was made.
        self.findings: tuple[Finding, ...] = ()

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
        """Apply what is valid of a document if its generation is higher.

        A part that cannot be served costs that part alone.

        :returns: whether the document was applied.
        """
        if envelope.generation <= self.generation:
            return False
        return self.apply_prepared(self.prepare(envelope))

    def prepare(self, envelope: Envelope) -> PreparedConfiguration:
        """Check and build a configuration without applying it.

        Any thread may call it.
        """
        repaired = repair_document(envelope.document)
        if repaired is None:
            findings = tuple(validate_document(envelope.document))
            return PreparedConfiguration(envelope, None, findings)
        configuration = build_configuration(
            repaired.document,
            envelope.generation,
            envelope.change_id,
            self._current,
        )
        return PreparedConfiguration(
            envelope._replace(document=repaired.document),
            configuration,
            repaired.findings,
        )

    def apply_prepared(self, prepared: PreparedConfiguration) -> bool:
        """Apply a prepared configuration if its generation is still higher.

        :returns: whether it was applied.
        """
        envelope, configuration, findings = prepared
        if envelope.generation <= self.generation:
            return False
        if configuration is None:
            self._log_invalid(envelope, findings)
            return False
        if findings:
            _log_repaired(envelope, findings)
        self.findings = findings
        self._envelope = envelope
        self._current = configuration
        for listener in self._listeners:
            listener(configuration)
        return True

    def _log_invalid(
        self, envelope: Envelope, findings: Sequence[Finding]
    ) -> None:
        """Log once that a generation cannot be put in force."""
        if envelope.generation == self._invalid_generation:
            return
        self._invalid_generation = envelope.generation
        _LOG.error(
            'configuration invalid',
            extra={
                'generation': envelope.generation,
                'change_id': envelope.change_id,
                'generation_in_force': self.generation,
                **_describe_findings(findings),
            },
        )


def _log_repaired(envelope: Envelope, findings: Sequence[Finding]) -> None:
    """Log which parts of a generation are not in force as they were written."""
    _LOG.error(
        'configuration repaired',
        extra={
            'generation': envelope.generation,
            'change_id': envelope.change_id,
            **_describe_findings(findings),
        },
    )


def _describe_findings(findings: Sequence[Finding]) -> Mapping[str, Any]:
    return {
        'findings': [
            str(finding) for finding in findings[:MAX_LOGGED_FINDINGS]
        ],
        'finding_count': len(findings),
    }
