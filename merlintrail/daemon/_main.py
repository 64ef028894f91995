"""Start and end of the daemon process."""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import uvloop
from absl import app, flags

from merlintrail.console import start_console
from merlintrail.daemon._runtime import create_process
from merlintrail.daemon._reload import SettingsReloader
from merlintrail.node import (
    InvalidSettings,
    Node,
    Settings,
    parse_settings,
)
from merlintrail.observability import JsonLinesHandler, open_log

#: Exit status for settings that have faults.
EXIT_SETTINGS: Final = 2
#: Exit status for an address that cannot be bound.
EXIT_ADDRESS: Final = 3
#: Seconds between writes of the gathered log lines.
LOG_FLUSH_S: Final = 0.2
#: Allocations between collections of the youngest generation.
GC_THRESHOLD: Final = 50000
#: Seconds that the thread of the console may hold the interpreter.
SWITCH_INTERVAL_S: Final = 0.0005

_SETTINGS: Final = flags.DEFINE_string(
    'settings', None, 'Path of the JSON settings file.'
)
_CHECK: Final = flags.DEFINE_bool(
    'check_settings', False, 'Check the settings, print findings, and end.'
)


def run_daemon() -> None:
    """Run the program; the entry point ``merlintraild``."""
    app.run(_run)


def _run(arguments: Sequence[str]) -> int:
    if len(arguments) > 1 or _SETTINGS.value is None:
        sys.stderr.write(
            'usage: merlintraild --settings FILE [--check_settings]\n'
        )
        return EXIT_SETTINGS
    text = _read_settings(_SETTINGS.value)
    settings = None if text is None else _check_settings(text)
    if text is None or settings is None:
        return EXIT_SETTINGS
    if _CHECK.value:
        sys.stdout.write(f'{_SETTINGS.value}: no findings\n')
        return 0
    try:
        log = open_log(settings.log_path, settings.log_level, settings.instance)
    except OSError as error:
        sys.stderr.write(f'{settings.log_path}: {error.strerror}\n')
        return EXIT_SETTINGS
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    gc.set_threshold(GC_THRESHOLD, 20, 100)
    with log.applicationbound():
        status = uvloop.run(_serve(settings, text, log))
    log.flush()
    sys.stderr.flush()
    # Threads of the console and of the store must not delay the end.
    os._exit(status)


def _read_settings(path: str) -> str | None:
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        sys.stderr.write(f'{path}: {error}\n')
        return None


def _check_settings(text: str) -> Settings | None:
    settings = parse_settings(text)
    if isinstance(settings, InvalidSettings):
        for finding in settings.findings:
            sys.stderr.write(f'{_SETTINGS.value}: {finding}\n')
        return None
    return settings


async def _serve(settings: Settings, text: str, log: JsonLinesHandler) -> int:
    process = create_process(settings)
    loop = asyncio.get_running_loop()
    reloader = SettingsReloader(str(_SETTINGS.value), text, process.apply)
    node = process.node
    loop.add_signal_handler(signal.SIGHUP, reloader.ask)
    loop.add_signal_handler(signal.SIGTERM, node.begin_stop, 'SIGTERM')
    loop.add_signal_handler(signal.SIGINT, node.lifecycle.stopped.set)
    try:
        await node.start()
        await process.start_adapter()
        start_console(node, loop)
    except OSError as error:
        sys.stderr.write(f'cannot listen: {error}\n')
        return EXIT_ADDRESS
    tasks = [
        loop.create_task(_flush_log(log)),
        loop.create_task(reloader.run()),
    ]
    gc.freeze()
    await node.lifecycle.stopped.wait()
    for task in tasks:
        task.cancel()
    await _stop(node)
    return 0


async def _flush_log(log: JsonLinesHandler) -> None:
    while True:
        await asyncio.sleep(LOG_FLUSH_S)
        log.flush()


async def _stop(node: Node) -> None:
    await node.stop()
    node.metrics.shut_down()
