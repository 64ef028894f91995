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
from merlintrail.coordination import create_http_store
from merlintrail.node import (
    Environment,
    InvalidSettings,
    Node,
    Settings,
    create_environment,
    create_node,
    parse_settings,
)
from merlintrail.observability import JsonLinesHandler, open_log
from merlintrail.platform import (
    PlatformDialect,
    PlatformStoreWire,
    start_adapter,
)

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


def run_daemon() -> None:
    """Run the program; the entry point ``merlintraild``."""
    app.run(_run)


def _run(arguments: Sequence[str]) -> int:
    if len(arguments) > 1 or _SETTINGS.value is None:
        sys.stderr.write('usage: merlintraild --settings FILE\n')
        return EXIT_SETTINGS
    settings = _load_settings(_SETTINGS.value)
    if settings is None:
        return EXIT_SETTINGS
    try:
        log = open_log(settings.log_path, settings.log_level)
    except OSError as error:
        sys.stderr.write(f'{settings.log_path}: {error.strerror}\n')
        return EXIT_SETTINGS
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    gc.set_threshold(GC_THRESHOLD, 20, 100)
    with log.applicationbound():
        status = uvloop.run(_serve(settings, log))
    log.flush()
    sys.stderr.flush()
    # Threads that wait for the store must not delay the end.
    os._exit(status)


def _load_settings(path: str) -> Settings | None:
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        sys.stderr.write(f'{path}: {error.strerror}\n')
        return None
    settings = parse_settings(text)
    if isinstance(settings, InvalidSettings):
        for finding in settings.findings:
            sys.stderr.write(f'{path}: {finding}\n')
        return None
    return settings


async def _serve(settings: Settings, log: JsonLinesHandler) -> int:
    node = create_node(settings, _create_environment(settings))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.begin_stop, 'SIGTERM')
    loop.add_signal_handler(signal.SIGINT, node.lifecycle.stopped.set)
    try:
        await node.start()
        if settings.platform is not None:
            await start_adapter(node, settings.platform)
        console = start_console(node, loop)
    except OSError as error:
        sys.stderr.write(f'cannot listen: {error}\n')
        return EXIT_ADDRESS
    flusher = loop.create_task(_flush_log(log))
    gc.freeze()
    await node.lifecycle.stopped.wait()
    flusher.cancel()
    await _stop(node)
    console.stop()
    return 0


def _create_environment(settings: Settings) -> Environment:
    """Choose how store, callers and backend servers are spoken to."""
    if settings.platform is None:
        return create_environment(create_http_store(settings.store_addresses))
    wire = PlatformStoreWire(settings.platform)
    store = create_http_store(settings.store_addresses, wire)
    return create_environment(store, PlatformDialect())


async def _flush_log(log: JsonLinesHandler) -> None:
    while True:
        await asyncio.sleep(LOG_FLUSH_S)
        log.flush()


async def _stop(node: Node) -> None:
    await node.stop()
    node.metrics.shut_down()
