"""Requests that crash backend servers."""

from collections.abc import Collection, Sequence
from typing import Any, Final, NamedTuple

import xxhash

#: Suspects that are remembered at a time.
MAX_SUSPECTS: Final = 4096


def compute_digest(service: str, method: str, target: str, body: bytes) -> str:
    """Compute the digest by which equal requests are recognised."""
    head = f'{service}\n{method}\n{target}\n'.encode()
    digest: str = xxhash.xxh3_128_hexdigest(head + body)
    return digest


class Suspicion(NamedTuple):
    """Deaths of backend servers in which a request took part."""

    digest: str
    #: Identifiers of the deaths; none for a suspect that was acquitted.
    deaths: tuple[str, ...]
    #: Whether the request is refused everywhere.
    is_convicted: bool
    #: Seconds since the epoch.
    expires_at: float


def read_suspicion(record: Sequence[Any]) -> Suspicion | None:
    """Read a suspicion from a JSON array in the order of the fields.

    :returns: ``None`` when the array does not have that shape.
    """
    if len(record) != len(Suspicion._fields):
        return None
    digest, deaths, is_convicted, expires_at = record
    return Suspicion(digest, tuple(deaths), bool(is_convicted), expires_at)


class Quarantine:
    """Suspects and convicted requests, merged from every node.

    All requests running in a backend server when it dies become suspects.
    Only one suspect runs in a backend server at a time, so that a second
    death tells which of them is the cause. A suspect that runs to its end
    is acquitted.
    """

    def __init__(self) -> None:
        self._suspicions: dict[str, Suspicion] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no suspicion at all."""
        return not self._suspicions

    def record_death(
        self, death: str, digests: Collection[str], expires_at: float
    ) -> list[Suspicion]:
        """Take note of a death; return the suspicions to tell others."""
        distinct = sorted(set(digests))
        suspects = [digest for digest in distinct if digest in self._suspicions]
        changed = []
        for digest in distinct:
            known = self._suspicions.get(digest)
            deaths = () if known is None else known.deaths
            suspicion = Suspicion(
                digest,
                (*deaths, death),
                is_convicted=suspects == [digest],
                expires_at=expires_at,
            )
            self._put(suspicion)
            changed.append(suspicion)
        return changed

    def clear_suspect(self, digest: str, now: float) -> Suspicion | None:
        """Clear a suspect that ran to its end; return what to tell others."""
        known = self.find(digest, now)
        if known is None or known.is_convicted:
            return None
        del self._suspicions[digest]
        return known._replace(deaths=())

    def find(self, digest: str, now: float) -> Suspicion | None:
        """Return the suspicion against a request, unless it expired."""
        known = self._suspicions.get(digest)
        if known is not None and known.expires_at <= now:
            del self._suspicions[digest]
            return None
        return known

    def is_quarantined(self, digest: str, now: float) -> bool:
        """Tell whether a request is refused everywhere."""
        known = self.find(digest, now)
        return known is not None and known.is_convicted

    def merge(self, told: Suspicion, now: float) -> bool:
        """Take what another node found; return whether it was news."""
        known = self.find(told.digest, now)
        if told.expires_at <= now:
            return False
        if not told.deaths:
            if known is None or known.is_convicted:
                return False
            del self._suspicions[told.digest]
            return True
        if known is None:
            self._put(told)
            return True
        merged = known._replace(
            deaths=tuple(sorted({*known.deaths, *told.deaths})),
            is_convicted=known.is_convicted or told.is_convicted,
            expires_at=max(known.expires_at, told.expires_at),
        )
        if merged == known._replace(deaths=tuple(sorted(known.deaths))):
            return False
        self._put(merged)
        return True

    def list_suspicions(self, now: float) -> list[Suspicion]:
        """Return what has not expired."""
        return [
            known
            for known in self._suspicions.values()
            if known.expires_at > now
        ]

    def _put(self, suspicion: Suspicion) -> None:
        is_new = suspicion.digest not in self._suspicions
        if is_new and len(self._suspicions) >= MAX_SUSPECTS:
            del self._suspicions[next(iter(self._suspicions))]
        self._suspicions[suspicion.digest] = suspicion
