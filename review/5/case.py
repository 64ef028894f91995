"""MIXED: a change adds a route for paths that begin with /-/."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import standin  # noqa: E402

HOST = 'desk.example'
CONFIG_S = 2.5
REQUESTS = 20
DEADLINE_S = 3.0


async def play(record, has_trouble):
    zones = {'ist-a': 'marmara', 'ank-a': 'icanadolu'}
    deployment = standin.Deployment(record, zones)
    try:
        return await play_in(deployment, record, has_trouble)
    finally:
        await deployment.stop()


async def play_in(deployment, record, has_trouble):
    await deployment.start()
    deployment.add_machine('entry', 'ist-a', 'other')
    deployment.add_worker('entry')
    for name in ('desk-1', 'desk-2'):
        deployment.add_machine(name, 'ist-a', 'desk')
        deployment.add_worker(name, work_s=0.05)
    first = standin.build_route('charts', HOST, '/charts/', 'idempotent', 'desk')
    deployment.store.write_config(
        standin.build_config(5, [first], ['desk', 'other']))
    await deployment.start_all()
    await deployment.wait_until_ready()
    await asyncio.sleep(4)
    client = standin.Client(record, deployment.machines['entry'].outbound, HOST)
    await send_some(client, '/charts/1')

    # The operator adds the pages of the service about itself.
    prefix = '/-/' if has_trouble else '/about/'
    added = standin.build_route('about', HOST, prefix, 'idempotent', 'desk')
    deployment.store.write_config(
        standin.build_config(8, [first, added], ['desk', 'other']))
    record.write('ack', version=8, prefix=prefix)
    await asyncio.sleep(CONFIG_S + 0.5)
    await send_some(client, '/charts/2')
    for page in ('health', 'shops'):
        await send_some(client, f'{prefix}{page}')
    return judge(record, deployment, client)


async def send_some(client, target):
    for _ in range(REQUESTS):
        await client.send('GET', target, DEADLINE_S)
        await asyncio.sleep(0.02)


def judge(record, deployment, client):
    run = {attempt for worker in deployment.workers.values() for attempt in worker.runs}
    foreign = []
    missing = []
    statuses = Counter()
    for attempt, answer in client.answers.items():
        statuses[answer.status] += 1
        is_success = 200 <= answer.status < 300
        is_worker = (attempt in run and answer.headers.get('response-seal')
                     and answer.body == standin.build_body(attempt, 1000))
        if is_success and not is_worker:
            foreign.append((attempt, answer.body))
        if answer.status == 404:
            missing.append(attempt)
    record.say(f'{len(client.answers)} requests, statuses {dict(statuses)}, '
               f'{len(run)} run by a worker')
    if not run:
        raise standin.CannotRun('nothing is served')
    findings = []
    if foreign:
        findings.append(
            f'MIXED: {len(foreign)} successes without the Response-Seal and the '
            f'body of a worker, such as {foreign[0][1]!r}')
    if missing:
        findings.append(
            f'CONFIG: {len(missing)} requests were refused with 404 though the '
            'route has been there for longer than Config')
    return findings


standin.run_case(FOLDER, play)
