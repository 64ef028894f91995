"""A node that stops takes its worker's late calls, and breaks them off.

One node gets SIGTERM, the worker beside it goes on. Requests that the worker
took in time make calls of their own late in the grace; the node passes them
on and answers them by itself before they end.
"""

import asyncio
import signal
import time
from pathlib import Path

from deployment import (
    STABLE_WINDOW_S,
    ZONES,
    CannotRun,
    build_route,
    run_case,
    send,
    send_usual,
    start_all,
)

HOST = 'hulo84.example'
OUTER = '/leny950/'
INNER = '/puka111/'
SERVICE = 'huvo11a'
INNER_SERVICE = 'kafi81c'
TIMEOUT_MS = 5000
INNER_TIMEOUT_MS = 2000
GRACE_S = 6.0
#: Seconds after the SIGTERM at which the outer requests are sent.
SENT_AFTER_S = 1.5
#: Work of an outer request before its calls, number of the calls, which it
#: makes one after the other, and work of each.
WORK_MS = 300
CALLS = 16
INNER_WORK_MS = 250
REQUESTS = 6
#: Seconds between the outer requests, so that their calls are not in step.
GAP_S = 0.045
STOPPED = 'sidecar-ist-a-1'
CLIENTS = 'sidecar-ist-a-2'


async def case(deployment, has_trouble):
    """Play the case; return what broke the rule."""
    workers = {f'sidecar-{zone}-2': INNER_SERVICE for zone in ZONES}
    workers |= {f'sidecar-{zone}-1': SERVICE for zone in ZONES}
    routes = [
        build_route('r-zs989an', HOST, OUTER, SERVICE, 'idempotent', TIMEOUT_MS),
        build_route(
            'r-u6wsjnb', HOST, INNER, INNER_SERVICE, 'non_idempotent',
            INNER_TIMEOUT_MS, Priority=0,
        ),
    ]
    await start_all(deployment, routes, [SERVICE, INNER_SERVICE], workers)
    clients = deployment.machines[CLIENTS]
    sent, served = await send_usual(
        [clients], HOST, OUTER, STABLE_WINDOW_S + 3.0, 20, TIMEOUT_MS
    )
    deployment.note(f'{sent} usual requests sent, {served} served')
    stopped_at = time.monotonic()
    if has_trouble:
        deployment.note(f'the node of {STOPPED} gets SIGTERM; its worker goes on')
        deployment.processes[f'node {STOPPED}'].send_signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    deployment.note(f'clients at {CLIENTS} send {REQUESTS} requests')
    call = f'call={INNER}c~ms-{INNER_WORK_MS}~times-{CALLS}'
    requests = []
    for index in range(REQUESTS):
        target = f'{OUTER}d{index}?ms={WORK_MS}&{call}'
        requests.append(
            asyncio.create_task(send(clients, 'GET', HOST, target, TIMEOUT_MS))
        )
        await asyncio.sleep(GAP_S)
    answers = await asyncio.gather(*requests)
    for answer in answers:
        deployment.note(
            f'attempt {answer.attempt}: {answer.end} after {answer.lasted_s:.2f} s'
        )
    await asyncio.sleep(1.0)
    if has_trouble:
        ended = deployment.processes[f'node {STOPPED}'].poll()
        deployment.note(f'the node of {STOPPED} ended with status {ended}')
    return judge(deployment, stopped_at)


def judge(deployment, stopped_at):
    """LOST: no request is broken off while its worker is at work."""
    events = deployment.read_events()
    calls = {
        event['attempt']: event['t'] for event in events
        if event['what'] == 'call' and event['worker'] == f'i-{STOPPED}'
    }
    if not calls:
        raise CannotRun('no request reached the worker beside the stopped node')
    runs = {event['attempt']: event for event in events if event['what'] == 'run'}
    ends = {event['attempt']: event for event in events if event['what'] == 'end'}
    broken = []
    for event in events:
        if event['what'] != 'call answered' or event['attempt'] not in calls:
            continue
        attempt = event['attempt']
        sent_s = calls[attempt] - stopped_at
        answered_s = event['t'] - stopped_at
        run, end = runs.get(attempt), ends.get(attempt)
        line = (
            f'call {attempt} sent {sent_s:.2f} s after the SIGTERM, answered '
            f'{event["status"]} after {answered_s:.2f} s'
        )
        if run is not None:
            line += f'; begun by {run["worker"]}'
        if end is not None:
            line += f', which ended it after {end["t"] - stopped_at:.2f} s'
        if event['status'] != 200 or sent_s > 4.5:
            deployment.note(line)
        # Excused: the deadline or the timeout was reached, the worker broke
        # off, or it was sent no later than 3 s after the SIGTERM.
        was_at_work = run is not None and (end is None or end['t'] > event['t'])
        is_due = answered_s - sent_s >= INNER_TIMEOUT_MS / 1000
        if was_at_work and not is_due and sent_s > 3.0 and event['seal'] is None:
            broken.append(line)
    return broken


run_case(case, Path(__file__).parent)
