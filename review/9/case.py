"""A restarted node sends requests to a worker that it has let go.

The worker leaves, and its node acknowledges that. The node is killed and
starts again, and a heartbeat that the worker sent before arrives late.
"""

import asyncio
import time
from pathlib import Path

from deployment import (
    DRAIN_S,
    STABLE_WINDOW_S,
    ZONES,
    CannotRun,
    build_route,
    run_case,
    send,
    send_usual,
    start_all,
)

HOST = 'jepu9.example'
PREFIX = '/puka111/'
SERVICE = 'huvo11a'
TIMEOUT_MS = 1500
LEAVING = 'sidecar-ist-a-1'
#: Seconds for which the worker serves after the ack.
SERVES_S = 12.0
#: Seconds by which the heartbeat comes late.
LATE_S = 3.0
REQUESTS = 5


async def case(deployment, has_trouble):
    """Play the case; return what broke the rule."""
    workers = {f'sidecar-{zone}-1': SERVICE for zone in ZONES}
    route = build_route(
        'r-u6wsjnb', HOST, PREFIX, SERVICE, 'non_idempotent', TIMEOUT_MS
    )
    await start_all(deployment, [route], [SERVICE], workers)
    machine = deployment.machines[LEAVING]
    sent, served = await send_usual(
        deployment.machines.values(), HOST, PREFIX,
        STABLE_WINDOW_S + 2.0, 2, TIMEOUT_MS,
    )
    deployment.note(f'{sent} usual requests sent, {served} served')
    # The heartbeat that will come late is sent before the worker leaves.
    deployment.command(LEAVING, do='hold-beat')
    await asyncio.sleep(0.1)
    deployment.command(LEAVING, do='leave')
    left_at = time.monotonic()
    deployment.note(f'worker i-{LEAVING} leaves')
    await asyncio.sleep(0.5)
    if has_trouble:
        deployment.note(f'the node of {LEAVING} is killed and starts again')
        deployment.kill(f'node {LEAVING}')
        await asyncio.sleep(0.3)
        deployment.start_node(LEAVING)
        await deployment.wait_until_ready([LEAVING])
        started_at = time.monotonic()
    await asyncio.sleep(max(0.0, left_at + LATE_S - time.monotonic()))
    deployment.command(LEAVING, do='late-beat')
    deployment.note(f'its heartbeat of before arrives, {LATE_S} s late')
    await asyncio.sleep(0.3)
    if has_trouble:
        in_touch_at = started_at + STABLE_WINDOW_S + 0.5
        await asyncio.sleep(max(0.0, in_touch_at - time.monotonic()))
    else:
        await asyncio.sleep(STABLE_WINDOW_S)
    deployment.note(f'clients at {LEAVING} send {REQUESTS} requests')
    tasks = [
        asyncio.create_task(
            send(machine, 'POST', HOST, f'{PREFIX}n{index}?ms=300', TIMEOUT_MS, b'order')
        )
        for index in range(REQUESTS)
    ]
    if has_trouble:
        await asyncio.sleep(0.15)
        deployment.note(f'worker i-{LEAVING} ends')
        deployment.command(LEAVING, do='end')
    for answer in await asyncio.gather(*tasks):
        deployment.note(
            f'attempt {answer.attempt} {answer.target}: {answer.end} after '
            f'{answer.lasted_s:.2f} s'
        )
    if time.monotonic() - left_at > SERVES_S:
        raise CannotRun('it took longer than the worker serves')
    return judge(deployment, f'i-{LEAVING}')


def judge(deployment, worker):
    """DRAIN: no request reaches it later than ``Drain`` after its ack."""
    events = [
        event for event in deployment.read_events() if event['worker'] == worker
    ]
    acks = [
        event['t'] for event in events if event['what'] == 'leave' and event['ack']
    ]
    if not acks:
        raise CannotRun('the leaving of the worker had no ack')
    acked_at = acks[0]
    deployment.note(
        f'{worker} had the ack of its leaving at '
        f'{acked_at - deployment.began:.3f} s'
    )
    ended = {event['attempt'] for event in events if event['what'] == 'end'}
    broken = []
    for event in events:
        after_s = event['t'] - acked_at
        if event['what'] == 'run' and after_s > DRAIN_S:
            cut = '' if event['attempt'] in ended else ', whose end cut it off'
            broken.append(
                f'attempt {event["attempt"]} {event["target"]} reached {worker} '
                f'{after_s:.2f} s after that{cut}'
            )
    return broken


run_case(case, Path(__file__).parent)
