"""Subcommands that print the state of nodes."""

from collections.abc import Mapping, Sequence
from typing import Any

from merlintrail.cli._admin_client import AdminClient, AdminFailure
from merlintrail.cli._exit_codes import ExitCode
from merlintrail.cli._output import print_json, print_lines, report_failure

_OK = 200


def show_resource(client: AdminClient, path: str) -> ExitCode:
    """Print a resource of the administration API as JSON."""
    reply = client.send_request('GET', path)
    if isinstance(reply, AdminFailure) or reply.status != _OK:
        return report_failure(reply)
    print_json(reply.document)
    return ExitCode.OK


def show_status(client: AdminClient, *, as_json: bool) -> ExitCode:
    """Print the state of every node, one per line, or all as JSON."""
    reply = client.send_request('GET', '/v1/fleet')
    if isinstance(reply, AdminFailure) or reply.status != _OK:
        return report_failure(reply)
    if as_json:
        print_json(reply.document)
    else:
        print_lines(_format_fleet(reply.document))
    all_answered = all('error' not in status for status in reply.document)
    return ExitCode.OK if all_answered else ExitCode.FAILED


def _format_fleet(fleet: Sequence[Mapping[str, Any]]) -> Sequence[str]:
    lines = ['INSTANCE\tDATA CENTRE\tGENERATION\tRELAY\tBACKEND SERVERS']
    for status in sorted(fleet, key=_read_instance):
        if 'error' in status:
            lines.append(f'{status["instance"]}\t{status["error"]}')
            continue
        backends = ', '.join(
            _format_backend(backend) for backend in status['backend_servers']
        )
        relay = 'relay' if status['is_relay'] else '-'
        lines.append(
            f'{status["instance"]}\t{status["data_centre"]}\t'
            f'{status["generation"]}\t{relay}\t{backends}'
        )
    return lines


def _read_instance(status: Mapping[str, Any]) -> str:
    return str(status['instance'])


def _format_backend(backend: Mapping[str, Any]) -> str:
    state = 'ready' if backend['is_ready'] else 'not ready'
    return (
        f'{backend["service"]} {state} '
        f'{backend["running"]}/{backend["limit"]} running '
        f'{backend["queued"]} queued level {backend["shedding_level"]}'
    )
