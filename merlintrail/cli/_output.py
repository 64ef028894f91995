"""Output of the command line."""

import json
import sys
from collections.abc import Iterable

from merlintrail.cli._admin_client import AdminFailure, AdminReply
from merlintrail.cli._exit_codes import ExitCode

_UNAVAILABLE = 503
_UNAUTHORIZED = 401


def print_json(document: object) -> None:
    """Print a document to standard output as indented JSON."""
    sys.stdout.write(f'{json.dumps(document, indent=2)}\n')


def print_lines(lines: Iterable[str]) -> None:
    """Print lines to standard output."""
    for line in lines:
        sys.stdout.write(f'{line}\n')


def report_failure(reply: AdminReply | AdminFailure) -> ExitCode:
    """Print why a request failed and return the exit status for it."""
    if isinstance(reply, AdminReply):
        error = reply.document.get('error', reply.document)
        sys.stderr.write(f'refused with status {reply.status}: {error}\n')
        if reply.status == _UNAVAILABLE:
            return ExitCode.UNREACHABLE
        return ExitCode.FAILED
    sys.stderr.write(f'{reply.reason}\n')
    if reply.status == _UNAUTHORIZED:
        return ExitCode.UNAUTHORIZED
    return ExitCode.UNREACHABLE
