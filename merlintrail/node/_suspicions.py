"""Suspicions against requests, as calls and answers carry them."""

from collections.abc import Callable, Sequence
from typing import Any, Final

from merlintrail.node._calls import OutgoingCall, compute_call_digest
from merlintrail.state import Quarantine, Suspicion, read_suspicion

#: Seconds for which a suspicion holds before there is a configuration.
DEFAULT_EXPIRY_S: Final = 600.0


class Suspicions:
    """The quarantine of a node, and telling others of it."""

    def __init__(
        self,
        quarantine: Quarantine,
        wall_clock: Callable[[], float],
        tell: Callable[[list[Suspicion]], None],
        process: str,
    ) -> None:
        """Create the suspicions of a node.

        :param tell: tells every other node.
        :param process: identifies this run of the node among all.
        """
        self._quarantine = quarantine
        self._wall_clock = wall_clock
        self._tell = tell
        self._process = process
        self._deaths = 0
        #: Seconds for which a suspicion holds.
        self.expiry_s = DEFAULT_EXPIRY_S

    def take(self, record: Sequence[Any] | None) -> None:
        """Take a suspicion that came along with a call or an answer."""
        told = None if record is None else read_suspicion(record)
        if told is not None:
            self._quarantine.merge(told, self._wall_clock())

    def find(self, call: OutgoingCall) -> Suspicion | None:
        """Return the suspicion against the request of a call."""
        if self._quarantine.is_empty:
            return None
        return self._quarantine.find(
            compute_call_digest(call), self._wall_clock()
        )

    def is_convicted(self, call: OutgoingCall) -> bool:
        """Tell whether the request of a call is refused everywhere."""
        suspicion = self.find(call)
        return suspicion is not None and suspicion.is_convicted

    def clear_suspect(self, suspicion: Suspicion) -> None:
        """Clear a suspect that ran to its end."""
        cleared = self._quarantine.clear_suspect(
            suspicion.digest, self._wall_clock()
        )
        if cleared is not None:
            self._tell([cleared])

    def record_death(self, digests: Sequence[str]) -> list[Suspicion]:
        """Take note that a backend server died while requests ran in it."""
        self._deaths += 1
        suspicions = self._quarantine.record_death(
            f'{self._process}/{self._deaths}',
            digests,
            self._wall_clock() + self.expiry_s,
        )
        self._tell(suspicions)
        return suspicions
