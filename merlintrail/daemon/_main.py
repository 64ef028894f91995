"""Assembly, running and shutdown of the daemon process."""

import asyncio
import gc
import os
import signal
import socket
import sys
from collections.abc import Sequence
from typing import Final, NamedTuple

import uvloop
from absl import app, flags

from merlintrail.console import start_console
from merlintrail.daemon._addresses import list_addresses, wait_for_addresses
from merlintrail.daemon._reload import SettingsReloader
from merlintrail.daemon._runtime import create_runtime
from merlintrail.daemon._settings_file import (
    SETTINGS_WAIT_S,
    read_settings_file,
)
from merlintrail.daemon._startup import StopRequest
from merlintrail.node import (
    InvalidSettings,
    Node,
    Settings,
    parse_settings,
)
from merlintrail.observability import JsonLinesHandler, open_log
from merlintrail.transport import start_server

#: Exit status for a missing --settings flag, extra arguments, settings that
#: cannot be read or are invalid, and a log file that cannot be opened.
EXIT_INVALID_SETTINGS: Final = 2
#: Exit status when a listening address cannot be bound.
EXIT_CANNOT_LISTEN: Final = 3
#: Seconds between flushes of the buffered log lines.
LOG_FLUSH_INTERVAL_S: Final = 0.2
#: Seconds in which a node that stops before it serves refuses callers.
REFUSAL_TIME_S: Final = 0.3
#: Net allocations of container objects that trigger a collection of the
#: youngest generation.
GC_YOUNG_GENERATION_THRESHOLD: Final = 50000
#: Thread switch interval of the interpreter in seconds: how long the thread of
#: the console may hold the interpreter lock while the event loop waits for it.
THREAD_SWITCH_INTERVAL_S: Final = 0.0005

_SETTINGS_FLAG: Final = flags.DEFINE_string(
    'settings', None, 'Path of the JSON settings file.'
)
_CHECK_FLAG: Final = flags.DEFINE_bool(
    'check_settings', False, 'Check the settings, print findings, and exit.'
)


def run_node(listener: socket.socket | None, stop_request: StopRequest) -> None:
    """Run a node until it is stopped, and exit.

    :param listener: socket that listens on the call address already, if
        there is one.
    :param stop_request: a stop that was requested so far.
    """
    app.run(lambda arguments: _run(arguments, listener, stop_request))


def _run(
    arguments: Sequence[str],
    listener: socket.socket | None,
    stop_request: StopRequest,
) -> int:
    if len(arguments) > 1 or _SETTINGS_FLAG.value is None:
        sys.stderr.write(
            'usage: merlintraild --settings FILE [--check_settings]\n'
        )
        return EXIT_INVALID_SETTINGS
    wait_s = 0 if _CHECK_FLAG.value else SETTINGS_WAIT_S
    text = read_settings_file(
        _SETTINGS_FLAG.value, wait_s, lambda: stop_request.is_made
    )
    settings = None if text is None else _parse_settings(text)
    if text is None or settings is None:
        return EXIT_INVALID_SETTINGS
    if _CHECK_FLAG.value:
        sys.stdout.write(f'{_SETTINGS_FLAG.value}: no findings\n')
        return 0
    try:
        log = open_log(settings.log_path, settings.log_level, settings.instance)
    except OSError as error:
        sys.stderr.write(f'{settings.log_path}: {error.strerror}\n')
        return EXIT_INVALID_SETTINGS
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    gc.set_threshold(GC_YOUNG_GENERATION_THRESHOLD, 20, 100)
    with log.applicationbound():
        status = uvloop.run(
            _serve(_Start(settings, text, listener, stop_request), log)
        )
    log.flush()
    sys.stderr.flush()
    # Skip the interpreter's shutdown, which may wait for the threads of the
    # console and of the store client.
    os._exit(status)


def _parse_settings(text: str) -> Settings | None:
    settings = parse_settings(text)
    if isinstance(settings, InvalidSettings):
        for finding in settings.findings:
            sys.stderr.write(f'{_SETTINGS_FLAG.value}: {finding}\n')
        return None
    return settings


class _Start(NamedTuple):
    """What a process starts with."""

    settings: Settings
    #: Content of the settings file.
    text: str
    #: Socket that listens on the call address already, if there is one.
    listener: socket.socket | None
    stop_request: StopRequest


async def _serve(start: _Start, log: JsonLinesHandler) -> int:
    settings = start.settings
    listener = start.listener
    runtime = create_runtime(settings)
    loop = asyncio.get_running_loop()
    reloader = SettingsReloader(
        str(_SETTINGS_FLAG.value), start.text, runtime.apply_settings
    )
    node = runtime.node
    _handle_signals(node, reloader, start.stop_request)
    tasks = [loop.create_task(_flush_log(log))]
    await wait_for_addresses(
        list_addresses(settings, has_listener=listener is not None),
        lambda: _is_stopping(node),
    )
    if _is_stopping(node):
        await _refuse_waiting_callers(node, listener)
        return 0
    try:
        await node.start(listener)
        await runtime.start_adapter()
        start_console(node, loop)
    except OSError as error:
        sys.stderr.write(f'cannot listen: {error}\n')
        return EXIT_CANNOT_LISTEN
    tasks.append(loop.create_task(reloader.run()))
    # Exclude the objects that the startup created from garbage collection.
    gc.freeze()
    await node.lifecycle.stopped.wait()
    for task in tasks:
        task.cancel()
    await _stop(node)
    return 0


def _handle_signals(
    node: Node, reloader: SettingsReloader, stop_request: StopRequest
) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
    loop.add_signal_handler(signal.SIGTERM, node.begin_shutdown, 'SIGTERM')
    loop.add_signal_handler(signal.SIGINT, _interrupt, node)
    if stop_request.is_made:
        node.begin_shutdown('SIGTERM')


async def _refuse_waiting_callers(
    node: Node, listener: socket.socket | None
) -> None:
    """Refuse the callers that have connected to a node before it serves."""
    if listener is None:
        return
    server = await start_server(node.ingress.refuse, '', 0, listener=listener)
    server.is_closing = True
    await asyncio.sleep(REFUSAL_TIME_S)
    server.close()


def _is_stopping(node: Node) -> bool:
    return node.lifecycle.is_draining or node.lifecycle.stopped.is_set()


def _interrupt(node: Node) -> None:
    """Stop like SIGTERM; while the node stops already, end at once."""
    if _is_stopping(node):
        node.lifecycle.stopped.set()
    else:
        node.begin_shutdown('SIGINT')


async def _flush_log(log: JsonLinesHandler) -> None:
    while True:
        await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
        log.flush()


async def _stop(node: Node) -> None:
    await node.stop()
    node.metrics.shut_down()
