"""Start of the daemon: listens for callers before it loads the program.

Loading the program takes most of the start. Callers that connect meanwhile
wait in the backlog of the socket instead of being rejected. Therefore this
module imports little.
"""

import json
import signal
import socket
import sys
from collections.abc import Sequence
from typing import Final

#: Connections that wait to be accepted, as in ``transport``, which is not
#: loaded yet.
BACKLOG: Final = 1024
_CHECK_ARGUMENT: Final = '--check_settings'
_SETTINGS_PREFIX: Final = '--settings='


def run_daemon() -> None:
    """Run the daemon; the console script ``merlintraild`` calls this."""
    ignore_reload_requests()
    stop_request = StopRequest()
    stop_request.await_signal()
    listener = open_call_listener(sys.argv[1:])
    # The rest of the program is loaded while the socket listens.
    from merlintrail.daemon._main import run_node  # noqa: WPS433

    run_node(listener, stop_request)


class StopRequest:
    """A stop that was requested before the program could serve it.

    By default the signal ends the process, and resets the connections of the
    callers that wait in the backlog.
    """

    def __init__(self) -> None:
        self.is_made = False

    def await_signal(self) -> None:
        """Remember the signal to stop until the program handles it."""
        signal.signal(signal.SIGTERM, self._record)

    def _record(self, *_: object) -> None:
        self.is_made = True


def ignore_reload_requests() -> None:
    """Ignore requests to reload the settings until the program serves them.

    By default the signal ends a process. The settings have not been read yet,
    and a change after that is noticed without the signal.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def open_call_listener(arguments: Sequence[str]) -> socket.socket | None:
    """Listen on the call address of the settings file.

    :param arguments: arguments of the command line.
    :returns: ``None`` if they name no readable settings file, or its call
        address cannot be bound. The program tries again and reports why.
    """
    if _CHECK_ARGUMENT in arguments:
        return None
    for argument in arguments:
        if argument.startswith(_SETTINGS_PREFIX):
            path = argument.removeprefix(_SETTINGS_PREFIX)
            try:
                return _listen(_read_call_address(path))
            except (OSError, ValueError):
                return None
    return None


def _read_call_address(path: str) -> tuple[str, int]:
    """Read the call address.

    :raises ValueError: if the settings have none.
    """
    with open(path, encoding='utf-8') as settings_file:
        settings = json.load(settings_file)
    address = isinstance(settings, dict) and settings.get('call_address')
    if not isinstance(address, str):
        raise ValueError('the settings have no call address')
    host, _, port = address.rpartition(':')
    return host, int(port)


def _listen(address: tuple[str, int]) -> socket.socket:
    listener = socket.create_server(address, backlog=BACKLOG)
    listener.setblocking(False)
    return listener
