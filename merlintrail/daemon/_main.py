"""Assembly, running and shutdown of the daemon process."""

import asyncio
import gc
import os
import signal
import socket
import sys
from collections.abc import Sequence
from typing import Final

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
from merlintrail.node import (
    InvalidSettings,
    Node,
    Settings,
    parse_settings,
)
from merlintrail.observability import JsonLinesHandler, open_log

#: Exit status for a missing --settings flag, extra arguments, settings that
#: cannot be read or are invalid, and a log file that cannot be opened.
EXIT_INVALID_SETTINGS: Final = 2
#: Exit status when a listening address cannot be bound.
EXIT_CANNOT_LISTEN: Final = 3
#: Seconds between flushes of the buffered log lines.
LOG_FLUSH_INTERVAL_S: Final = 0.2
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


def run_node(listener: socket.socket | None) -> None:
    """Run a node until it is stopped, and exit.

    :param listener: socket that listens on the call address already, if
        there is one.
    """
    app.run(lambda arguments: _run(arguments, listener))


def _run(arguments: Sequence[str], listener: socket.socket | None) -> int:
    if len(arguments) > 1 or _SETTINGS_FLAG.value is None:
        sys.stderr.write(
            'usage: merlintraild --settings FILE [--check_settings]\n'
        )
        return EXIT_INVALID_SETTINGS
    wait_s = 0 if _CHECK_FLAG.value else SETTINGS_WAIT_S
    text = read_settings_file(_SETTINGS_FLAG.value, wait_s)
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
        status = uvloop.run(_serve(settings, text, log, listener))
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


async def _serve(
    settings: Settings,
    text: str,
    log: JsonLinesHandler,
    listener: socket.socket | None,
) -> int:
    runtime = create_runtime(settings)
    loop = asyncio.get_running_loop()
    reloader = SettingsReloader(
        str(_SETTINGS_FLAG.value), text, runtime.apply_settings
    )
    node = runtime.node
    loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
    loop.add_signal_handler(signal.SIGTERM, node.begin_shutdown, 'SIGTERM')
    loop.add_signal_handler(signal.SIGINT, _interrupt, node)
    tasks = [loop.create_task(_flush_log(log))]
    await wait_for_addresses(
        list_addresses(settings, has_listener=listener is not None),
        lambda: _is_stopping(node),
    )
    if _is_stopping(node):
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
