"""CONFIG: half of the machines lose power, among them all that watch the store."""

import asyncio
import base64
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import standin  # noqa: E402

HOST = 'desk.example'
ZONES = ('ist-a', 'ank-a')
MACHINES_PER_ZONE = 4
CONFIG_S = 2.5
#: Seconds for which the machines are without power.
DARK_S = 5.0
#: From the loss of power to the operator's change.
LEAD_S = 0.5
#: Added to the bound, for the way of a request to the node.
MARGIN_S = 0.2
DEADLINE_S = 2.0


async def play(record, has_trouble):
    zones = {'ist-a': 'marmara', 'ank-a': 'icanadolu'}
    deployment = standin.Deployment(record, zones)
    try:
        return await play_in(deployment, record, has_trouble)
    finally:
        await deployment.stop()


async def play_in(deployment, record, has_trouble):
    await deployment.start()
    for zone in ZONES:
        for number in range(MACHINES_PER_ZONE):
            name = f'{zone}-{number}'
            deployment.add_machine(name, zone, 'desk')
            deployment.add_worker(name, work_s=0.02)
    first = standin.build_route('first', HOST, '/first/', 'idempotent', 'desk')
    added = standin.build_route('added', HOST, '/added/', 'idempotent', 'desk')
    deployment.store.write_config(standin.build_config(5, [first], ['desk']))
    await deployment.start_all()
    await deployment.wait_until_ready()
    await asyncio.sleep(8)
    dark = find_watching(deployment) if has_trouble else []
    lit = [name for name in deployment.machines if name not in dark]
    record.say(f'without power: {dark or "none"}')
    for name in dark:
        deployment.signal(name, signal.SIGKILL)
        deployment.workers[name].stop()
    restart = asyncio.create_task(restore_power(deployment, dark))
    await asyncio.sleep(LEAD_S)
    deployment.store.write_config(
        standin.build_config(9, [first, added], ['desk']))
    acked_at = time.monotonic()
    record.write('ack', version=9)
    looks = await asyncio.gather(
        *(look(deployment, record, name, acked_at) for name in lit))
    await restart
    return judge(record, lit, looks)


def find_watching(deployment):
    """Return the machines whose nodes hold a key with a lease in the store."""
    addresses = set()
    for item in deployment.store.items.values():
        if item['Lease']:
            document = json.loads(base64.b64decode(item['Value']))
            addresses.add(str(document.get('address', '')).rpartition(':')[0])
    names = [name for name, machine in deployment.machines.items()
             if machine.ip in addresses]
    if not 0 < len(names) <= len(deployment.machines) * 0.55:
        raise standin.CannotRun(f'{len(names)} machines hold a lease')
    return names


async def restore_power(deployment, names):
    await asyncio.sleep(DARK_S)
    for name in names:
        await deployment.start_node(name)


async def look(deployment, record, name, acked_at):
    """Send requests on both routes to one node until 7 s after the ack.

    :returns: for both routes the time since the ack and the status.
    """
    client = standin.Client(record, deployment.machines[name].outbound, HOST)
    seen = []
    while time.monotonic() < acked_at + 7:
        for target in ('/first/1', '/added/1'):
            at = time.monotonic() - acked_at
            _, answer = await client.send('GET', target, DEADLINE_S)
            seen.append((target, at, answer.status))
        await asyncio.sleep(0.1)
    return seen


def judge(record, lit, looks):
    findings = []
    for name, seen in zip(lit, looks):
        late = [at for target, at, status in seen
                if target == '/added/1' and status == 404
                and at > CONFIG_S + MARGIN_S]
        first = [at for target, at, status in seen
                 if target == '/added/1' and status == 200]
        served = sum(status == 200 for target, _, status in seen
                     if target == '/first/1')
        record.say(
            f'{name}: {served} on the first route, added route from '
            f'{min(first, default=-1):.1f} s, {len(late)} late refusals')
        if late:
            findings.append(
                f'CONFIG: {name} refused {len(late)} requests with 404, sent '
                f'{min(late):.1f} s to {max(late):.1f} s after the ack of a '
                'version that allows them')
    if not any(status == 200 for seen in looks for _, _, status in seen):
        raise standin.CannotRun('nothing is served')
    return findings


standin.run_case(FOLDER, play)
