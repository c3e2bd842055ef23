"""Transactions that are open while the primary is replaced."""

import asyncio
import os
import pathlib
import random
import sys

# The stand-ins of all cases are kept in the folder of the first one.
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / '1'))

from standin import fleet  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Sessions at each proxy, and the pause between WRITE and COMMIT.
SESSIONS = 3
PAUSE_S = (1.6, 2.6)
RUN_S = 36
# The store takes 60 times as long for 4.5 s, once beside each replacement.
SLOW_MS = 240
SLOW_S = 4.5
# The databases are replaced one after the other.
RELEASES = 3
GAP_S = 11


async def clerk(deployment, proxy, name, until, done):
    """Run transactions with a pause before the COMMIT."""
    dice = random.Random(name)
    while deployment.clock() < until:
        client = fleet.Client(deployment, proxy, 'settle', name)
        try:
            await client.open()
            while deployment.clock() < until:
                await client.query('BEGIN')
                answer = await client.query(f'WRITE {name} {dice.random()}')
                if answer.ok:
                    await asyncio.sleep(dice.uniform(*PAUSE_S))
                    answer = await client.query('COMMIT')
                    if answer.ok:
                        done[client.last] = (name, answer.outcome)
                if not answer.lines[-1].startswith('READY I'):
                    await client.query('ROLLBACK')
                await asyncio.sleep(0.05)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            await asyncio.sleep(0.2)
        finally:
            client.close()


async def release(deployment, number):
    """Replace the primary as the operator does."""
    group = deployment.group
    old = group.primary
    added = group.add(f'i-new{number}')
    await added.listen(deployment.names)
    deployment.say(f'{added.name} starts')
    await asyncio.sleep(1)
    old.state = 'draining'
    deployment.store.answer_ms = SLOW_MS
    deployment.say(f'{old.name} reports draining, the store is slow')
    await asyncio.sleep(SLOW_S)
    deployment.store.answer_ms = 4
    deployment.say('the store is fast again')
    await asyncio.sleep(9 - SLOW_S)
    old.stop()
    deployment.say(f'{old.name} exits')


async def run(record):
    """Return whether the rule was broken."""
    deployment = fleet.Fleet(record, size=8, fenced=False)
    try:
        await deployment.start()
        start = deployment.clock()
        done = {}
        until = start + RUN_S * 1000
        clerks = [
            clerk(deployment, proxy, f'{proxy.name}c{number}', until, done)
            for proxy in deployment.proxies
            for number in range(SESSIONS)
        ]
        tasks = [asyncio.create_task(known) for known in clerks]
        await asyncio.sleep(4)
        if TROUBLE:
            for number in range(RELEASES):
                await asyncio.gather(
                    release(deployment, number), asyncio.sleep(GAP_S)
                )
        await asyncio.gather(*tasks)
        return judge(deployment, done)
    finally:
        deployment.close()


def judge(deployment, done):
    """Write what was seen; return whether the rule was broken."""
    group = deployment.group
    for call in deployment.orders.seen:
        deployment.say('order', *call)
    for event in group.promoted:
        deployment.say('promoted', *event)
    broken = False
    for request, at, name in group.split:
        if request in done:
            broken = True
            deployment.say(
                f'BROKEN: {request} was committed by {name} at {at} ms, '
                f'after its successor led; the client got {done[request]}'
            )
    missing = 0
    kept = {
        request for entry in group.primary.log for request in entry.requests
    }
    for request in done:
        missing += request not in kept
    deployment.say(
        f'{len(done)} commits acknowledged, {missing} of them are not in the '
        f'log of {group.primary.name}, {len(group.split)} statements committed '
        'at a replaced primary'
    )
    return broken


if __name__ == '__main__':
    sys.exit(fleet.run_case(run))
