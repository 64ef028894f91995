"""Checks of a soak of route changes, by the servers that ran the requests."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Final, NamedTuple, TypeAlias

from merlintrail.bench._soak_faults import Disturbance
from merlintrail.bench.change_soak._callers import RouteRecord
from merlintrail.bench.change_soak._changes import (
    ADDED_PREFIX,
    ROUTE_PREFIXES,
    RouteChanges,
)

#: Seconds after a fault for which it still excuses what it disturbed.
STABLE_WINDOW_S: Final = 3.0
#: Seconds after which a node must not go back behind a version that it used.
ROLLBACK_SLACK_S: Final = 0.25
#: Smallest share of an added route's requests that are served, of the share
#: of the route that there always is.
MIN_ADDED_SHARE: Final = 0.25
#: Requests on an added route from which its share is judged.
MIN_ADDED_REQUESTS: Final = 20
_OK: Final = 200
_NOT_FOUND: Final = 404


class RouteRun(NamedTuple):
    """A request that a backend server began to run."""

    service: str
    #: Event loop time.
    at: float


RouteRuns: TypeAlias = Mapping[str, Sequence[RouteRun]]
_Check: TypeAlias = Callable[['SoakHistory'], Iterable[str]]


class SoakHistory(NamedTuple):
    """What happened in a soak."""

    records: Sequence[RouteRecord]
    #: Runs by the label of the request.
    runs: RouteRuns
    changes: RouteChanges
    disturbances: Sequence[Disturbance]

    def is_excused(self, record: RouteRecord) -> bool:
        """Return whether the store or the entry node was disturbed."""
        return any(
            fault.target in {record.entry, 'store'}
            and fault.begun_at <= record.sent_at
            and record.sent_at <= fault.ended_at + STABLE_WINDOW_S
            for fault in self.disturbances
        )


def check_history(history: SoakHistory) -> list[str]:
    """Return a message for each violated guarantee."""
    findings: list[str] = []
    checks: tuple[_Check, ...] = (
        _check_versions,
        _check_repeats,
        _check_order,
        _check_added_route,
    )
    for check in checks:
        findings.extend(check(history))
    return findings


def _check_versions(history: SoakHistory) -> Iterator[str]:
    """Yield requests that were handled as only an older version allows."""
    for record in history.records:
        if history.is_excused(record):
            continue
        allowed = history.changes.list_allowed(record.prefix, record.sent_at)
        place = f'{record.label} at {record.entry}'
        for run in history.runs.get(record.label, ()):
            if run.service not in allowed:
                yield f'{place} was run by {run.service}, not {sorted(allowed)}'
        if record.status == _NOT_FOUND and '' not in allowed:
            yield f'{place} was refused although its route is there'


def _check_repeats(history: SoakHistory) -> Iterator[str]:
    """Yield requests that ran twice although they must not."""
    for record in history.records:
        count = len(history.runs.get(record.label, ()))
        if count > 1 and not ROUTE_PREFIXES[record.prefix]:
            yield f'{record.label} at {record.entry} ran {count} times'


def _check_order(history: SoakHistory) -> Iterator[str]:
    """Yield nodes that went back behind a version that they had used."""
    by_entry: defaultdict[str, list[RouteRecord]] = defaultdict(list)
    for record in history.records:
        by_entry[record.entry].append(record)
    for entry, records in by_entry.items():
        records.sort(key=lambda one: one.sent_at)
        yield from _check_entry_order(history, entry, records)


def _check_entry_order(
    history: SoakHistory, entry: str, records: Sequence[RouteRecord]
) -> Iterator[str]:
    """Yield where a node went back; what disturbs it begins anew."""
    newest, seen_at = 0, -math.inf
    for record in records:
        if history.is_excused(record):
            newest = 0
            continue
        for run in history.runs.get(record.label, ()):
            oldest, latest = _find_versions(history.changes, record, run)
            is_later = record.sent_at >= seen_at + ROLLBACK_SLACK_S
            if latest < newest and is_later:
                yield f'{entry} went back from {newest} to {latest}'
            if oldest > newest:
                newest, seen_at = oldest, run.at


def _find_versions(
    changes: RouteChanges, record: RouteRecord, run: RouteRun
) -> tuple[int, float]:
    """Return the oldest and the latest version that allow a run.

    A run that none allows is the matter of another check.
    """
    numbers = [
        number
        for number, version in enumerate(changes.versions)
        if version.asked_at <= run.at
        and run.service in version.services.get(record.prefix, ())
    ]
    return (numbers[0], numbers[-1]) if numbers else (0, math.inf)


def _check_added_route(history: SoakHistory) -> Iterator[str]:
    """Yield a message if the route that is added is hardly served."""
    served: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    for record in history.records:
        allowed = history.changes.list_allowed(record.prefix, record.sent_at)
        if '' not in allowed and not history.is_excused(record):
            sent[record.prefix] += 1
            served[record.prefix] += record.status == _OK
    if sent[ADDED_PREFIX] < MIN_ADDED_REQUESTS:
        return
    first = next(iter(ROUTE_PREFIXES))
    usual_share = served[first] / max(1, sent[first])
    share = served[ADDED_PREFIX] / sent[ADDED_PREFIX]
    if share < usual_share * MIN_ADDED_SHARE:
        yield f'{share:.2f} of the requests on an added route were served'
