"""Requests that wait behind a suspect get no answer at their route's timeout.

One worker crashes while pages of two routes are read from it. Clients beside
the worker that takes the second attempts read the same pages.
"""

import asyncio
from pathlib import Path

from deployment import (
    STABLE_WINDOW_S,
    ZONES,
    build_route,
    run_case,
    send,
    send_usual,
    start_all,
)

HOST = 'hulo84.example'
LONG = '/leny950/'
SHORT = '/puka111/'
SERVICE = 'huvo11a'
OTHER_SERVICE = 'kafi81c'
LONG_TIMEOUT_MS = 5000
SHORT_TIMEOUT_MS = 1000
#: What the clients of the short route wait.
PATIENCE_MS = 3000
WORK_MS = 450
LONG_PAGES = 10
SHORT_PAGES = 10
#: Clients at the second machine that read each short page.
READERS = 2
USUAL_S = 12.0
USUAL_PER_S = 25
#: Seconds after the timeout of the route in which the answer is due.
SLACK_S = 0.5
CRASHING = 'sidecar-ist-a-1'
SECOND = 'sidecar-ist-b-1'
#: Machine of the first clients; a worker of another service runs on it.
CLIENTS = 'sidecar-ist-a-2'


def read_pages(machine, prefix, count, timeout_ms):
    """Let clients at a machine read pages."""
    return [
        asyncio.create_task(
            send(machine, 'GET', HOST, f'{prefix}page{page}?ms={WORK_MS}', timeout_ms)
        )
        for page in range(count)
    ]


async def case(deployment, has_trouble):
    """Play the case; return what broke the rule."""
    workers = {f'sidecar-{zone}-1': SERVICE for zone in ZONES}
    workers[CLIENTS] = OTHER_SERVICE
    routes = [
        build_route('r-zs989an', HOST, LONG, SERVICE, 'idempotent', LONG_TIMEOUT_MS),
        build_route('r-u6wsjnb', HOST, SHORT, SERVICE, 'idempotent', SHORT_TIMEOUT_MS),
    ]
    await start_all(deployment, routes, [SERVICE, OTHER_SERVICE], workers)
    clients = deployment.machines[CLIENTS]
    second = deployment.machines[SECOND]
    sent, served = await send_usual(
        [clients, second], HOST, LONG,
        STABLE_WINDOW_S + USUAL_S, USUAL_PER_S, LONG_TIMEOUT_MS,
    )
    deployment.note(f'{sent} usual requests sent, {served} served')
    first = read_pages(clients, LONG, LONG_PAGES, LONG_TIMEOUT_MS)
    first += read_pages(clients, SHORT, SHORT_PAGES, PATIENCE_MS)
    await asyncio.sleep(0.25)
    if has_trouble:
        deployment.note(f'worker i-{CRASHING} crashes (SIGKILL)')
        deployment.kill(f'worker {CRASHING}')
    await asyncio.sleep(0.25)
    deployment.note(f'clients at {SECOND} read the pages of the short route')
    later = []
    for _ in range(READERS):
        later += read_pages(second, SHORT, SHORT_PAGES, PATIENCE_MS)
    answers = await asyncio.gather(*first, *later)
    for answer in answers:
        deployment.note(
            f'attempt {answer.attempt} {answer.target}: '
            f'{"no answer" if answer.end == "none" else answer.end} after '
            f'{answer.lasted_s:.2f} s'
        )
    return judge(deployment, answers)


def judge(deployment, answers):
    """CONFIG: what is unanswered at the route's timeout is answered soon."""
    unanswered = []
    late = []
    for answer in answers:
        is_short = answer.target.startswith(SHORT)
        timeout_s = (SHORT_TIMEOUT_MS if is_short else LONG_TIMEOUT_MS) / 1000
        if answer.lasted_s > timeout_s:
            unanswered.append(answer)
        if answer.lasted_s > timeout_s + SLACK_S:
            late.append(answer)
    never = sum(answer.end == 'none' for answer in late)
    line = (
        f'{len(unanswered)} requests were unanswered at the timeout of their '
        f'route, {len(late)} of these also {SLACK_S} s later, and {never} '
        'got no answer while their clients waited'
    )
    deployment.note(line)
    is_broken = len(late) >= 8 and 2 * len(late) > len(unanswered)
    return [line] if is_broken else []


run_case(case, Path(__file__).parent)
