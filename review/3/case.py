"""LOST: some answers of one worker have a body without an end."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import standin  # noqa: E402

#: `MemoryMb` of the machines of the site, 300.
MEMORY_MB = 300
DESK_HOST = 'desk.example'
BOARD_HOST = 'board.example'
#: A piece of the endless body: some chunks of two bytes, sent at 3 MB a second.
CHUNKS = b'2\r\nab\r\n' * 1000
PAUSE_S = 0.002
#: One in so many answers of that worker has no end; 0.04 of them.
ENDLESS_EVERY = 25
#: Clients that keep a connection to the node beside that worker, and read.
READERS = 10
#: Clients of the worker's service at another machine.
VISITORS = 5
PLAY_S = 75
RESTART_S = 0.5
DEADLINE_S = 6.0


class EndlessWorker(standin.Worker):
    """A worker some of whose answers have a body that does not end."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.is_in_trouble = True
        self.answers = 0
        self.endless = 0

    async def start(self):
        server = await asyncio.start_server(
            self._serve, *self.address, limit=1 << 20)
        self._beats = asyncio.create_task(self._beat())
        self._server = server

    async def _serve(self, reader, writer):
        try:
            while (head := await standin.read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(' ')
                body = await standin.read_body(reader, headers)
                self.answers += 1
                if not self.is_in_trouble or self.answers % ENDLESS_EVERY:
                    writer.write(await self.handle(method, target, headers, body))
                    await writer.drain()
                    continue
                await self._answer_without_end(headers.get('attempt-id', ''), writer)
        except (standin.Closed, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer_without_end(self, attempt, writer):
        self.endless += 1
        self.runs.append(attempt)
        self.record.write('run', worker=self.identity, attempt=attempt, answer='endless')
        writer.write((
            'HTTP/1.1 200 OK\r\n'
            f'Attempt-Id: {attempt}\r\nResponse-Seal: {self.identity}\r\n'
            'Transfer-Encoding: chunked\r\n\r\n').encode())
        sent = 0
        try:
            while not writer.transport.is_closing():
                writer.write(CHUNKS)
                await writer.drain()
                sent += len(CHUNKS)
                await asyncio.sleep(PAUSE_S)
        finally:
            self.record.write('end', worker=self.identity, attempt=attempt,
                              sent_bytes=sent)


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
    faulty = deployment.add_machine('desk-1', 'ist-a', 'desk')
    worker = EndlessWorker(
        record, 'desk', *faulty.app, faulty.control, zone='ist-a', slots=10,
        work_s=0.3)
    worker.is_in_trouble = has_trouble
    deployment.workers['desk-1'] = worker
    deployment.add_machine('desk-2', 'ist-a', 'desk')
    deployment.add_worker('desk-2', slots=10, work_s=0.3)
    for name in ('board-1', 'board-2'):
        deployment.add_machine(name, 'ist-a', 'board')
        deployment.add_worker(name, work_s=0.25)
    deployment.store.write_config(standin.build_config(
        5,
        [standin.build_route('desk', DESK_HOST, '/desk/', 'idempotent', 'desk',
                             timeout=f'{DEADLINE_S:.0f}s'),
         standin.build_route('board', BOARD_HOST, '/board/', 'idempotent', 'board')],
        ['other', 'desk', 'board']))
    await deployment.start_all()
    await deployment.wait_until_ready()
    await asyncio.sleep(4)

    platform = standin.MemoryLimit(deployment, record, MEMORY_MB, RESTART_S)
    watch = asyncio.create_task(platform.watch())
    tasks = []
    visitor = standin.Client(record, deployment.machines['entry'].outbound, DESK_HOST)
    tasks += [asyncio.create_task(visit(visitor)) for _ in range(VISITORS)]
    readers = [
        standin.KeptClient(record, faulty.outbound, BOARD_HOST, '/board/1', 5.0)
        for _ in range(READERS)]
    tasks += [asyncio.create_task(reader.run()) for reader in readers]
    await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
    platform.is_over = True
    await watch
    return judge(deployment, record, platform, worker, readers)


async def visit(client):
    while True:
        await client.send('GET', '/desk/1', DEADLINE_S)
        await asyncio.sleep(0.1)


def judge(deployment, record, platform, worker, readers):
    passed_on = {
        attempt for name in ('board-1', 'board-2')
        for attempt in deployment.workers[name].runs}
    cut = [attempt for reader in readers for attempt in reader.cut
           if attempt in passed_on]
    served = sum(reader.served for reader in readers)
    record.say(f'{worker.endless} of {worker.answers} answers of one worker without '
               f'an end; {served} reads '
               f'served, {len(cut)} cut; nodes killed for their memory: '
               f'{platform.ends or "none"}; largest {platform.largest_mb:.0f} MB')
    if not served or not worker.runs:
        raise standin.CannotRun('nothing is served')
    if len(cut) > 3:
        return [f'LOST: {len(cut)} requests on kept connections were passed on to '
                'sound workers and their connections closed without an answer, as '
                f'the node ended by itself {len(platform.ends)} times']
    return []


standin.run_case(FOLDER, play)
