"""Checks of the guarantees that must hold during a fault soak.

They compare the answers that callers received with the run logs of the
backend servers.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Final

from merlintrail.bench._soak_faults import FAULT_FREE_ENTRY_INDEX
from merlintrail.bench.fault_soak._callers import RequestRecord, build_run_label
from merlintrail.lab.backend import read_run_log
from merlintrail.protocol import Reason

#: Minimum share of successes among the requests sent after recovery.
MIN_RECOVERED_SHARE: Final = 0.95
_OK: Final = 200
#: Status of a request that is refused because it crashes backend servers.
_QUARANTINED: Final = 422
_NOT_RUN: Final = 'not-run'
#: Crashes after which a crashing request has to be stopped, and the seconds
#: within which every node has to know it.
MAX_CRASHES: Final = 3
QUARANTINE_NOTICE_S: Final = 3.0
#: Runs after that time that are allowed.
MAX_LATE_RUNS: Final = 3


def count_runs(logs: Iterable[Path]) -> Counter[str]:
    """Count the runs of each attempt in the run logs of backend servers.

    :returns: number of runs by run label.
    """
    runs: Counter[str] = Counter()
    for log in logs:
        runs.update(run.label for run in read_run_log(log))
    return runs


def check_record(
    record: RequestRecord, runs_by_label: Mapping[str, int]
) -> Iterator[str]:
    """Yield a message for each guarantee that was violated for one request.

    The outcome ``not-run`` refers to the last attempt only: an earlier attempt
    with the same idempotency key may have run.
    """
    run_labels = [
        build_run_label(record.label, number + 1)
        for number in range(record.attempts)
    ]
    runs = sum(runs_by_label.get(run_label, 0) for run_label in run_labels)
    runs_of_last_attempt = runs_by_label.get(run_labels[-1], 0)
    prefix = f'{record.label}: status {record.status} {record.outcome}'
    if record.entry_index == FAULT_FREE_ENTRY_INDEX and not record.status:
        yield f'{prefix}: no answer from an entry node that ran all the time'
    if record.status == _OK and not record.has_matching_body:
        yield f'{prefix}: the answer belongs to another request'
    if record.status == _OK and not runs:
        yield f'{prefix}: succeeded, but no backend server ran it'
    if runs > 1 and not record.kind.is_idempotent:
        yield f'{prefix}: ran {runs} times'
    if record.outcome == _NOT_RUN and runs_of_last_attempt:
        yield (
            f'{prefix}: reported as not run, '
            f'but ran {runs_of_last_attempt} times'
        )


def check_records(
    records: Sequence[RequestRecord], runs: Mapping[str, int]
) -> list[str]:
    """Return a message for each violated guarantee."""
    crashing = [record for record in records if record.kind.is_crashing]
    harmless = [record for record in records if not record.kind.is_crashing]
    findings = [
        finding for record in harmless for finding in check_record(record, runs)
    ]
    findings.extend(check_crashing_requests(crashing, runs))
    findings.extend(check_quarantined_requests(harmless))
    return findings


def check_crashing_requests(
    records: Iterable[RequestRecord], runs: Mapping[str, int]
) -> Iterator[str]:
    """Yield a message if the crashing request was not stopped in time.

    It counts as sent to a backend server when the attempt was sent that the
    server logged.
    """
    run_times = sorted(
        record.sent_at
        for record in records
        for _ in range(runs.get(build_run_label(record.label, 1), 0))
    )
    if len(run_times) < MAX_CRASHES:
        return
    stopped_from = run_times[MAX_CRASHES - 1] + QUARANTINE_NOTICE_S
    late = sum(1 for sent_at in run_times if sent_at > stopped_from)
    if late > MAX_LATE_RUNS:
        yield (
            f'the crashing request ran {len(run_times)} times, {late} of them '
            f'later than {QUARANTINE_NOTICE_S} s after the third'
        )


def check_quarantined_requests(records: Sequence[RequestRecord]) -> list[str]:
    """Return a message if too many harmless requests were quarantined."""
    refused = sum(1 for record in records if record.status == _QUARANTINED)
    if refused <= 5 + len(records) / 500:
        return []
    return [f'{refused} of {len(records)} harmless requests were quarantined']


def compute_success_share(
    records: Iterable[RequestRecord], since_s: float
) -> float:
    """Return the share of successes among the requests sent from a time on.

    Keys that a restored store may have lost are refused until they are
    provably newer, which takes longer than a run; they are left out.

    :param since_s: seconds since the start of the load.
    :returns: 0 if no request was sent from then on.
    """
    measured = [
        record
        for record in records
        if record.sent_at >= since_s
        and not record.kind.is_crashing
        and record.reason != Reason.STORE_RESTORED.value
    ]
    success_count = sum(1 for record in measured if record.status == _OK)
    return success_count / len(measured) if measured else 0.0
