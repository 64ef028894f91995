"""DRAIN: an incomplete heartbeat of another writer names a draining worker."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import standin  # noqa: E402

HOST = 'desk.example'
DRAIN_S = 2.5
BEAT_S = 1.5
#: Heartbeats that the worker sends before it drains, and until it ends.
READY_BEATS = 4
BEATS = 8
#: From the ack of draining to the heartbeat of another writer.
FOREIGN_AFTER_S = 1.0
#: From the ack of draining to the end of the worker.
SERVES_S = 6.0
DEADLINE_S = 3.0


class LeavingWorker(standin.Worker):
    """A worker that drains some seconds after its start."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.acked_at = None

    async def run_life(self, record, has_foreign_writer):
        started_at = time.monotonic()
        others = []
        for number in range(1, BEATS + 1):
            state = 'ready' if number <= READY_BEATS else 'draining'
            is_acked = await self.send_beat(
                self.build_beat(number, state), record, number, state)
            if is_acked and state == 'draining' and self.acked_at is None:
                self.acked_at = time.monotonic()
                if has_foreign_writer:
                    others.append(asyncio.create_task(self.send_foreign(record)))
            due = started_at + number * BEAT_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await asyncio.gather(*others)
        if self.acked_at is None:
            return
        await asyncio.sleep(max(0.0, self.acked_at + SERVES_S - time.monotonic()))
        answer = await standin.ask(
            self.control, 'POST', f'/Instances.Leave/{self.identity}',
            {'Host': 'control', 'Content-Type': 'application/json'},
            json.dumps({'born': self.born}).encode())
        record.write('leave', worker=self.identity, status=answer.status)
        self.stop()
        record.write('end', worker=self.identity, at_work=self.running)

    async def send_foreign(self, record):
        """Send what another writer says of this worker: no Zone, no Version."""
        await asyncio.sleep(FOREIGN_AFTER_S)
        document = json.loads(self.build_beat(100, 'ready'))
        for name in ('Zone', 'Version', 'ColdRemaining'):
            del document[name]
        await self.send_beat(
            json.dumps(document).encode(), record, 'foreign', 'ready')

    def build_beat(self, number, state):
        host, port = self.address
        return json.dumps({
            'Service': self.service, 'Address': f'{host}:{port}',
            'Zone': self.zone, 'Version': 'v1', 'Slots': self.slots,
            'State': state, 'ColdRemaining': '0ms', 'Sequence': number,
            'born': self.born}).encode()

    async def send_beat(self, beat, record, number, state):
        try:
            answer = await asyncio.wait_for(standin.ask(
                self.control, 'POST', f'/Instances.Heartbeat/{self.identity}',
                {'Host': 'control', 'Content-Type': 'application/json'}, beat), 1.0)
        except (OSError, standin.Closed, asyncio.TimeoutError) as error:
            record.write('beat', worker=self.identity, sequence=number,
                         state=state, error=repr(error))
            return False
        record.write('beat', worker=self.identity, sequence=number, state=state,
                     status=answer.status)
        return 200 <= answer.status < 300


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
    deployment.add_worker('desk-1', slots=16, work_s=0.2)
    machine = deployment.machines['desk-2']
    leaving = LeavingWorker(
        record, 'desk', *machine.app, machine.control, zone='ist-a',
        slots=100, work_s=0.2)
    deployment.store.write_config(standin.build_config(
        5, [standin.build_route('desk', HOST, '/desk/', 'non_idempotent', 'desk')],
        ['desk', 'other']))
    await deployment.start_all()
    await leaving.start(sends_beats=False)
    await deployment.wait_until_ready()
    await asyncio.sleep(4)
    client = standin.Client(record, deployment.machines['entry'].outbound, HOST)
    leaving.born = int(time.time() * 1000)
    life = asyncio.create_task(leaving.run_life(record, has_trouble))
    sending = asyncio.create_task(send_steadily(client))
    await life
    sending.cancel()
    await asyncio.sleep(DEADLINE_S + 1)
    return judge(record, leaving, client)


async def send_steadily(client):
    tasks = []
    while True:
        tasks.append(asyncio.create_task(client.send(
            'POST', '/desk/1', DEADLINE_S, b'{"item": 7}')))
        await asyncio.sleep(0.03)


def judge(record, leaving, client):
    if leaving.acked_at is None or not leaving.runs:
        raise standin.CannotRun('the worker had no ack or no request')
    limit = leaving.acked_at + DRAIN_S
    late = [at - leaving.acked_at for at in leaving.run_times if at > limit]
    cut = set(leaving.runs) - set(leaving.done)
    unserved = [attempt for attempt in cut if client.answers[attempt].status != 200]
    record.say(f'{len(leaving.runs)} requests reached the leaving worker, '
               f'{len(late)} of them later than {DRAIN_S} s after the ack')
    if late:
        return [f'DRAIN: {len(late)} requests reached the worker {min(late):.1f} s '
                f'to {max(late):.1f} s after the ack of draining; {len(unserved)} '
                'were at work when it ended and are lost']
    return []


standin.run_case(FOLDER, play)
