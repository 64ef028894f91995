"""``merlintrail load``: send requests and print a JSON summary line."""

import asyncio
import json
import random
import sys
from typing import Final

from absl import flags

from merlintrail.cli._exit_codes import ExitCode
from merlintrail.load import LoadGenerator, LoadKind

_RATE: Final = flags.DEFINE_float('rate', 10.0, 'load: requests per second.')
_DURATION: Final = flags.DEFINE_float(
    'duration', 5.0, 'load: duration in seconds.'
)
_DEADLINE_MS: Final = flags.DEFINE_float(
    'deadline_ms', 1000.0, 'load: deadline in milliseconds.'
)
_KEYED: Final = flags.DEFINE_bool(
    'keyed', False, 'load: send an idempotency key with each request.'
)
_METHOD: Final = flags.DEFINE_string('method', 'POST', 'load: HTTP method.')
_SEED: Final = flags.DEFINE_integer(
    'seed', 1, 'load: random seed of arrival times and idempotency keys.'
)


def send_load(address: str, target: str) -> ExitCode:
    """Send requests and print a summary of their outcomes.

    :param address: call address of a node, ``host:port``.
    :param target: ``/SERVICE/PATH``.
    """
    kind = LoadKind(
        'load',
        target,
        _RATE.value,
        _DEADLINE_MS.value,
        method=str(_METHOD.value),
        is_keyed=_KEYED.value,
        expects_echo=False,
    )
    generator = LoadGenerator([address], random.Random(_SEED.value))
    result = asyncio.run(generator.run([kind], _DURATION.value))
    sys.stdout.write(f'{json.dumps(result.summarise())}\n')
    return ExitCode.OK if result.success_count else ExitCode.FAILED
