"""Subcommands of ``merlintrail config``."""

import sys
import time
import uuid
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, Final

from merlintrail.cli._admin_client import (
    AdminClient,
    AdminFailure,
    AdminReply,
)
from merlintrail.cli._exit_codes import ExitCode
from merlintrail.cli._output import print_json, print_lines, report_failure
from merlintrail.state import (
    Finding,
    ParsedDocument,
    find_differences,
    hash_api_key,
    parse_document,
)

#: Seconds between polls of the fleet while waiting.
POLL_INTERVAL_S: Final = 0.2
_OK: Final = 200
_CONFLICT: Final = 409
_UNPROCESSABLE: Final = 422


def read_document(path: str) -> ParsedDocument:
    """Read a document from a file, or from standard input for ``-``."""
    try:
        text = (
            sys.stdin.read()
            if path == '-'
            else Path(path).read_text(encoding='utf-8')
        )
    except (OSError, UnicodeDecodeError) as error:
        return ParsedDocument({}, (Finding('', str(error)),))
    return parse_document(text)


def _print_findings(path: str, findings: Iterable[Finding]) -> None:
    for finding in findings:
        sys.stderr.write(f'{path}: {finding}\n')


def check_document(path: str) -> ExitCode:
    """Validate a document without contacting a node."""
    parsed = read_document(path)
    _print_findings(path, parsed.findings)
    if parsed.findings:
        return ExitCode.INVALID
    print_lines([f'{path}: no findings'])
    return ExitCode.OK


def digest_api_key() -> ExitCode:
    """Print the digest of the API key on standard input.

    The key is not an argument, so that it is in no list of processes.
    """
    key = sys.stdin.readline().rstrip('\r\n')
    if not key:
        sys.stderr.write('standard input: no API key\n')
        return ExitCode.INVALID
    print_lines([hash_api_key(key)])
    return ExitCode.OK


def show_document(client: AdminClient, *, with_envelope: bool) -> ExitCode:
    """Print the document in force, as the store has it.

    :param with_envelope: whether to print the metadata of the document, such
        as its generation and operator, as well.
    """
    reply = client.send_request('GET', '/v1/configuration')
    if isinstance(reply, AdminFailure) or reply.status != _OK:
        return report_failure(reply)
    envelope = reply.document
    if not envelope['generation']:
        sys.stderr.write('no document has been applied yet\n')
    print_json(envelope if with_envelope else envelope['document'])
    return ExitCode.OK


def show_difference(client: AdminClient, path: str) -> ExitCode:
    """Print the differences of a document from the one in force."""
    parsed = read_document(path)
    if parsed.findings:
        _print_findings(path, parsed.findings)
        return ExitCode.INVALID
    reply = client.send_request('GET', '/v1/configuration')
    if isinstance(reply, AdminFailure) or reply.status != _OK:
        return report_failure(reply)
    envelope = reply.document
    differences = find_differences(envelope['document'], parsed.document)
    print_lines(
        [
            f'against generation {envelope["generation"]}',
            *(str(difference) for difference in differences),
        ]
    )
    return ExitCode.OK


def show_history(client: AdminClient) -> ExitCode:
    """Print generation, time, operator and change of recent documents."""
    reply = client.send_request('GET', '/v1/configuration/history')
    if isinstance(reply, AdminFailure) or reply.status != _OK:
        return report_failure(reply)
    for envelope in reply.document:
        moment = time.strftime(
            '%Y-%m-%dT%H:%M:%SZ', time.gmtime(envelope['applied_at'])
        )
        print_lines(
            [
                f'{envelope["generation"]}\t{moment}\t'
                f'{envelope["operator"]}\t{envelope["change_id"]}'
            ]
        )
    return ExitCode.OK


def apply_document(
    client: AdminClient, path: str, seen_generation: int | None, wait_s: float
) -> ExitCode:
    """Apply a document if ``seen_generation`` is still in force.

    :param seen_generation: generation that the operator started from, or
        ``None`` for the one in force.
    :param wait_s: seconds to wait until every node has the document in force,
        0 not to wait.
    """
    parsed = read_document(path)
    if parsed.findings:
        _print_findings(path, parsed.findings)
        return ExitCode.INVALID
    if seen_generation is None:
        current = client.send_request('GET', '/v1/configuration')
        if isinstance(current, AdminFailure) or current.status != _OK:
            return report_failure(current)
        seen_generation = int(current.document['generation'])
    reply = _send_document(client, parsed.document, seen_generation)
    if isinstance(reply, AdminFailure):
        return report_failure(reply)
    if reply.status == _CONFLICT:
        return _report_conflict(parsed.document, reply.document['current'])
    if reply.status == _UNPROCESSABLE:
        findings = [Finding(**entry) for entry in reply.document['findings']]
        _print_findings(path, findings)
        return ExitCode.INVALID
    if reply.status != _OK:
        return report_failure(reply)
    generation = int(reply.document['generation'])
    print_lines([f'generation {generation} is accepted'])
    return _wait_for_fleet(client, generation, wait_s)


def _send_document(
    client: AdminClient, document: Mapping[str, Any], seen_generation: int
) -> AdminReply | AdminFailure:
    """Send a change, and send it once more if no response arrives.

    Both requests carry the same ``change_id``, so that the change is applied
    once even if only the first response was lost.
    """
    change = {
        'document': document,
        'seen_generation': seen_generation,
        'change_id': str(uuid.uuid4()),
    }
    reply = client.send_request('POST', '/v1/configuration', change)
    if isinstance(reply, AdminFailure) and not reply.status:
        reply = client.send_request('POST', '/v1/configuration', change)
    return reply


def _report_conflict(
    document: Mapping[str, Any], current: Mapping[str, Any]
) -> ExitCode:
    sys.stderr.write(
        f'{current["operator"]} applied generation {current["generation"]} '
        'meanwhile; nothing was applied. Your document would change:\n'
    )
    for difference in find_differences(current['document'], document):
        sys.stderr.write(f'  {difference}\n')
    return ExitCode.CONFLICT


def _wait_for_fleet(
    client: AdminClient, generation: int, wait_s: float
) -> ExitCode:
    """Poll the fleet until every node has the generation in force."""
    if wait_s <= 0:
        return ExitCode.OK
    started_at = time.monotonic()
    lagging: Sequence[str] = ()
    while time.monotonic() - started_at < wait_s:
        reply = client.send_request('GET', '/v1/fleet')
        if isinstance(reply, AdminFailure):
            return report_failure(reply)
        lagging = [
            status['instance']
            for status in reply.document
            if status.get('generation', 0) < generation
        ]
        if not lagging:
            elapsed_s = time.monotonic() - started_at
            print_lines(
                [
                    f'in force on {len(reply.document)} nodes '
                    f'after {elapsed_s:.2f} s'
                ]
            )
            return ExitCode.OK
        time.sleep(POLL_INTERVAL_S)
    sys.stderr.write(f'not in force yet on: {", ".join(lagging)}\n')
    return ExitCode.NOT_EVERYWHERE


def write_example() -> ExitCode:
    """Print a minimal valid document."""
    print_json(
        {
            'format': 1,
            'services': [
                {
                    'name': 'my-service',
                    'kinds': [
                        {
                            'name': 'lookup',
                            'path': '/',
                            'importance': 'normal',
                            'idempotent': True,
                            'deadline_ms': 1000,
                            'retries': 2,
                        }
                    ],
                }
            ],
            'regions': [
                {'name': 'my-region', 'data_centres': ['my-data-centre']}
            ],
        }
    )
    return ExitCode.OK
