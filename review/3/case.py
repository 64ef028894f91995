"""CONFIG, LOST: a change adds a route whose name has a Turkish letter."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import standin  # noqa: E402

HOST = 'iade.example'
CONFIG_S = 2.5
REQUESTS = 60
DEADLINE_S = 5.0


async def play(record, has_trouble):
    zones = {'ist-a': 'marmara', 'ank-a': 'icanadolu'}
    deployment = standin.Deployment(record, zones)
    try:
        return await play_in(deployment, record, has_trouble)
    finally:
        await deployment.stop()


def build_config(version, routes):
    return standin.build_config(version, routes, ['desk', 'returns'])


async def play_in(deployment, record, has_trouble):
    await deployment.start()
    deployment.add_machine('entry', 'ist-a', 'desk')
    deployment.add_worker('entry')
    for name in ('returns-1', 'returns-2'):
        deployment.add_machine(name, 'ist-a', 'returns')
        deployment.add_worker(name, work_s=0.05)
    first = standin.build_route(
        'iade-listesi', HOST, '/liste/', 'non_idempotent', 'returns')
    deployment.store.write_config(build_config(5, [first]))
    await deployment.start_all()
    await deployment.wait_until_ready()
    await asyncio.sleep(4)
    client = standin.Client(record, deployment.machines['entry'].outbound, HOST)
    earlier = await send_some(client, '/liste/1')

    # The operator adds a route for the returns of the branches.
    name = 'iade-\u015fube' if has_trouble else 'iade-sube'
    added = standin.build_route(
        name, HOST, '/sube/', 'non_idempotent', 'returns')
    deployment.store.write_config(build_config(8, [first, added]))
    record.write('ack', version=8, route=name)
    await asyncio.sleep(CONFIG_S + 0.5)
    later = await send_some(client, '/sube/1')
    still = await send_some(client, '/liste/2')
    return judge(record, earlier + still, later)


async def send_some(client, target):
    answers = []
    for _ in range(REQUESTS):
        _, answer = await client.send('POST', target, DEADLINE_S, b'{"item": 7}')
        answers.append(answer)
        await asyncio.sleep(0.02)
    return answers


def judge(record, first, later):
    served = [
        sum(answer.status == 200 for answer in answers) / len(answers)
        for answers in (first, later)]
    ends = Counter(answer.end or answer.status for answer in later)
    record.say(f'first route: {served[0]:.2f} of {len(first)} served; '
               f'later route: {served[1]:.2f} of {len(later)}; ends {dict(ends)}')
    if served[0] < 0.5:
        raise standin.CannotRun('the first route is not served')
    findings = []
    if len(later) >= 20 and served[1] < served[0] / 4:
        findings.append(
            'CONFIG: the route that was added later is served less than a '
            f'quarter as often as the first one: {served[1]:.2f}, {served[0]:.2f}')
    return findings


standin.run_case(FOLDER, play)
