"""Checks of what backend servers got after they made a statement.

A backend server states in its answers how many requests a second it takes, or
that it is leaving. The entry node without faults passes the answers on.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import groupby
from typing import Final

from merlintrail.bench._soak_faults import FAULT_FREE_ENTRY_INDEX
from merlintrail.bench.fault_soak._callers import (
    DEADLINE_MS,
    RequestRecord,
    build_run_label,
)
from merlintrail.lab.backend import LoggedRun
from merlintrail.lab.statement_rule import (
    LEAVING_NOTICE_S,
    LIMIT_NOTICE_S,
    WINDOW_S,
    compute_allowed,
    find_busiest_window,
)
from merlintrail.protocol import DecodeFailure, parse_rate_limit

_MS_PER_S: Final = 1000


def check_statements(
    runs: Sequence[LoggedRun],
    records: Iterable[RequestRecord],
    started_at: float,
) -> Iterator[str]:
    """Yield a message for each statement that was not kept to.

    :param runs: requests that one backend server ran, in order of time.
    :param records: requests that callers sent.
    :param started_at: monotonic time at which the load started.
    """
    sent_at = {
        build_run_label(record.label, attempt + 1): started_at + record.sent_at
        for record in records
        if record.entry_index == FAULT_FREE_ENTRY_INDEX
        for attempt in range(record.attempts)
    }
    passed_on = [run for run in runs if run.label in sent_at]
    for _, group in groupby(passed_on, lambda run: run.started_at_ms):
        process_runs = list(group)
        yield from _check_leaving(process_runs, sent_at)
        for limit, limited in groupby(process_runs, _read_limit):
            if limit is not None:
                yield from _check_limit(limit, list(limited))


def _read_limit(run: LoggedRun) -> float | None:
    limit = parse_rate_limit(run.rate_limit)
    return None if isinstance(limit, DecodeFailure) else limit


def _check_limit(limit: float, runs: Sequence[LoggedRun]) -> Iterator[str]:
    allowed = compute_allowed(limit)
    busiest = find_busiest_window(
        [run.at for run in runs], runs[0].at + LIMIT_NOTICE_S
    )
    if busiest > allowed:
        yield (
            f'a backend server that stated {limit} requests a second got '
            f'{busiest} in {WINDOW_S} s; allowed {allowed}'
        )


def _check_leaving(
    runs: Sequence[LoggedRun], sent_at: Mapping[str, float]
) -> Iterator[str]:
    stated = [run for run in runs if run.is_leaving]
    if not stated:
        return
    passed_on_by = stated[0].at + DEADLINE_MS / _MS_PER_S
    late = [
        run.label
        for run in stated
        if sent_at[run.label] > passed_on_by + LEAVING_NOTICE_S
    ]
    if late:
        yield (
            f'a backend server that stated that it leaves got {len(late)} '
            f'requests later: {late[:3]}'
        )
