"""A worker: runs requests in its slots and sends heartbeats to its machine.

It takes commands as JSON lines on its standard input, and appends one JSON
line for each thing that it sees to a file:

    python3 worker.py PLAN

PLAN is a JSON object: id, service, address, control, outbound, zone, slots,
record, and queue (requests that wait for a slot).

The work of a request is told by its path: ``ms=800`` is 800 ms of work,
``bytes=N`` the length of the answer's body. ``call=/x/y~ms-250~times-3`` is
three calls of the worker's own after that work, one after the other, for the
target ``/x/y?ms=250``, which it sends to the Outbound address of its machine.
"""

import asyncio
import json
import os
import re
import sys
import time

from http11 import ask, encode_answer, encode_json, read_message

HEARTBEAT_S = 1.5


class Worker:
    """One start of a worker."""

    def __init__(self, plan):
        self.plan = plan
        self.id = plan['id']
        self.slots = plan['slots']
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.leaving = False
        self.has_left = False
        self.beats = True
        self.factor = 1.0
        self.changed = asyncio.Condition()
        self.record_file = open(plan['record'], 'a', buffering=1)

    def record(self, what, **fields):
        """Append a line to the record."""
        line = {'t': round(time.monotonic(), 4), 'worker': self.id, 'what': what}
        self.record_file.write(json.dumps({**line, **fields}) + '\n')

    # Heartbeats

    def build_beat(self, state):
        """Build a heartbeat's body."""
        self.sequence += 1
        return {
            'Service': self.plan['service'], 'Address': self.plan['address'],
            'Zone': self.plan['zone'], 'Version': 'v1', 'Slots': self.slots,
            'State': state, 'ColdRemaining': '0ms',
            'Sequence': self.sequence, 'born': self.born,
        }

    async def send_beat(self, beat=None, name='beat'):
        """Send a heartbeat, or one that was held back on its way."""
        beat = beat or self.build_beat(self.state)
        answer = await ask(
            self.plan['control'], 'POST', f'/Instances.Heartbeat/{self.id}',
            [('Content-Type', 'application/json')], encode_json(beat),
        )
        status = answer and answer[0]
        is_ack = status is not None and 200 <= status < 300
        self.record(name, state=beat['State'], sequence=beat['Sequence'],
                    status=status, ack=is_ack)
        return is_ack

    async def beat(self):
        """Send heartbeats."""
        while True:
            if self.beats:
                await self.send_beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self):
        """Say that it leaves."""
        answer = await ask(
            self.plan['control'], 'POST', f'/Instances.Leave/{self.id}',
            [('Content-Type', 'application/json')],
            encode_json({'born': self.born}),
        )
        status = answer and answer[0]
        is_ack = status is not None and 200 <= status < 300
        self.leaving = is_ack or self.leaving
        self.has_left = True
        self.record('leave', status=status, ack=is_ack)

    async def command(self, line):
        """Carry out a command."""
        what = line['do']
        if what == 'drain':
            self.state = 'draining'
            while not await self.send_beat():
                await asyncio.sleep(0.2)
            self.leaving = True
        elif what == 'leave':
            self.beats = False
            await self.leave()
        elif what == 'late-beat':
            # One that was sent before, and took so long on its way.
            await self.send_beat(self.held, 'late-beat')
        elif what == 'hold-beat':
            self.held = self.build_beat('ready')
            self.record('beat held back', sequence=self.held['Sequence'])
        elif what == 'slow':
            self.factor = line['x']
        elif what == 'end':
            if not self.has_left:
                await self.leave()
            self.record('exit', running=self.running)
            os._exit(0)

    async def listen_to_commands(self):
        """Read commands until the end of the input."""
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        tasks = set()
        while line := await reader.readline():
            task = asyncio.create_task(self.command(json.loads(line)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        os._exit(0)

    # Requests

    def answer_headers(self, attempt):
        """Headers of every answer."""
        headers = [('Server-Load', f'{self.running},{self.waiting},{self.slots}')]
        if attempt is not None:
            headers.append(('Attempt-Id', attempt))
        if self.leaving:
            headers.append(('Server-Leaving', '1'))
        return headers

    async def run(self, method, target, headers, body):
        """Run a request in a slot; return the encoded answer."""
        attempt = headers.get('attempt-id')
        left_s = int(headers.get('timeout-ms', 600000)) / 1000
        ends_at = time.monotonic() + left_s
        expected = headers.get('expect-instance')
        if target == '/health':
            status = 503 if self.leaving else 200
            return encode_answer(
                status, [('Instance-Id', self.id), *self.answer_headers(None)]
            )
        seen = {'attempt': attempt, 'target': target, 'timeout_ms': headers.get('timeout-ms')}
        if expected is not None and expected != self.id:
            self.record('misdirected', **seen)
            return encode_answer(
                421, [('Instance-Id', self.id), *self.answer_headers(attempt)]
            )
        if self.running >= self.slots and self.waiting >= self.plan.get('queue', 40):
            self.record('not executed', **seen)
            return encode_answer(
                503, [('Not-Executed', '1'), *self.answer_headers(attempt)]
            )
        async with self.changed:
            self.waiting += 1
            try:
                await self.changed.wait_for(lambda: self.running < self.slots)
            finally:
                self.waiting -= 1
            self.running += 1
        self.record('run', caller=headers.get('caller-service'), body=len(body), **seen)
        status = None
        try:
            work_s = find_number(target, 'ms', 50) / 1000 * self.factor
            left_s = ends_at - time.monotonic()
            await asyncio.sleep(max(0.0, min(work_s, left_s)))
            status = 200 if work_s <= left_s else 504
            call = re.search(
                r'[?&]call=([^&~]+)~ms-([0-9]+)~times-([0-9]+)', target
            )
            for number in range(int(call.group(3)) if call else 0):
                if status == 200:
                    status = await self.call(
                        f'{call.group(1)}?ms={call.group(2)}',
                        number, headers, ends_at,
                    )
            content = json.dumps({'worker': self.id, 'attempt': attempt}).encode()
            content = content.ljust(find_number(target, 'bytes', 0), b'.')
            return encode_answer(
                status,
                [('Response-Seal', f'seal.{self.id}.{attempt}'),
                 *self.answer_headers(attempt)],
                content,
            )
        finally:
            self.record('end', attempt=attempt, status=status)
            async with self.changed:
                self.running -= 1
                self.changed.notify_all()

    async def call(self, target, number, headers, ends_at):
        """Make a call of the worker's own; return the status of its run."""
        # An id of its own, which names the request that it is made for.
        attempt = f'{headers["attempt-id"]}.{number + 1}'
        left_s = max(0.01, ends_at - time.monotonic())
        self.record('call', attempt=attempt, target=target)
        answer = await ask(
            self.plan['outbound'], 'POST', target,
            [('Host', headers['host']), ('Attempt-Id', attempt),
             ('Timeout-Ms', str(int(left_s * 1000)))],
            timeout_s=left_s, own_host=False,
        )
        self.record(
            'call answered', attempt=attempt, target=target,
            status=None if answer is None else answer[0],
            seal=None if answer is None else answer[1].get('response-seal'),
        )
        if answer is None and time.monotonic() >= ends_at:
            return 504
        return 200 if answer is not None and answer[0] == 200 else 500

    async def serve(self, reader, writer):
        """Serve a connection; a request ends when its connection closes."""
        incoming = asyncio.create_task(read_message(reader))
        try:
            while message := await incoming:
                start, headers, body = message
                method, target, _ = start.split(' ')
                running = asyncio.create_task(
                    self.run(method, target, headers, body)
                )
                incoming = asyncio.create_task(read_message(reader))
                done, _ = await asyncio.wait(
                    {running, incoming}, return_when=asyncio.FIRST_COMPLETED
                )
                if running not in done and incoming.result() is None:
                    running.cancel()
                    await asyncio.gather(running, return_exceptions=True)
                    return
                writer.write(await running)
                await writer.drain()
        except OSError:
            pass
        finally:
            incoming.cancel()
            writer.close()


def find_number(target, name, default):
    """Find a number in a request's target."""
    match = re.search(rf'[?&]{name}=(\d+)', target)
    return int(match.group(1)) if match else default


async def main():
    """Run the worker until it is told to exit, or killed."""
    worker = Worker(json.loads(sys.argv[1]))
    host, _, port = worker.plan['address'].rpartition(':')
    server = await asyncio.start_server(worker.serve, host, int(port))
    async with server:
        await asyncio.gather(
            server.serve_forever(), worker.beat(), worker.listen_to_commands()
        )


asyncio.run(main())
