"""Transactions that begin on a proxy that is being stopped."""

import asyncio
import os
import pathlib
import random
import signal
import sys

# The stand-ins of all cases are kept in the folder of the first one.
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / '1'))

from standin import fleet  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Bounds of the site, and what RULES.md excuses.
GRACE_S = 6
EXCUSED_MS = 3000
LOSS_SLACK_MS = 200
# Work of a statement; the route's timeout is 1,000 ms.
WORK_MS = 40
SESSIONS = 30
# When a session begins its transaction after SIGTERM, and its pause after BEGIN.
BEGIN_S = (2.3, 2.9)
PAUSE_S = (2.2, 2.8)


async def reader(deployment, proxy, name, start_ms, sent):
    """Read now and then, and begin a transaction a while after the start."""
    dice = random.Random(name)
    begin_ms = start_ms + dice.uniform(*BEGIN_S) * 1000
    client = fleet.Client(deployment, proxy, 'certs', name)

    async def ask(text):
        at = deployment.clock()
        task = asyncio.create_task(client.query(text))
        await asyncio.sleep(0)
        request = client.last
        sent[request] = [name, text, at, None, None]
        try:
            answer = await task
            sent[request][3] = answer.outcome
        finally:
            sent[request][4] = deployment.clock()

    try:
        await client.open()
        while deployment.clock() < begin_ms - 150:
            await ask(f'READ {name}')
            await asyncio.sleep(dice.uniform(0.05, 0.15))
        await asyncio.sleep(max(begin_ms - deployment.clock(), 0) / 1000)
        await ask('BEGIN')
        await asyncio.sleep(dice.uniform(*PAUSE_S))
        await ask(f'WRITE {name} 1')
        await ask('COMMIT')
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as end:
        deployment.say(f'{name}: the connection ended, {end!r}')
    finally:
        client.close()


async def run(record):
    """Return whether the rule was broken."""
    deployment = fleet.Fleet(record, size=8, fenced=True)
    try:
        await deployment.start()
        for db in deployment.group.databases.values():
            db.work_ms = WORK_MS
        proxy = deployment.proxies[0]
        sent = {}
        start_ms = deployment.clock() + 2000
        tasks = [
            asyncio.create_task(
                reader(deployment, proxy, f'c{number}', start_ms, sent)
            )
            for number in range(SESSIONS)
        ]
        await asyncio.sleep(2)
        stopped = deployment.clock()
        if TROUBLE:
            proxy.process.send_signal(signal.SIGTERM)
            deployment.say(f'{proxy.name} gets SIGTERM')
        while deployment.clock() < stopped + GRACE_S * 1000:
            await asyncio.sleep(0.01)
            if proxy.process.poll() is not None:
                after = deployment.clock() - stopped
                deployment.say(f'{proxy.name} has exited after {after:.0f} ms')
                break
        await asyncio.gather(*tasks)
        return judge(deployment, sent, stopped)
    finally:
        deployment.close()


def judge(deployment, sent, stopped):
    """Write what was seen; return whether the rule was broken."""
    arrived = {
        request: (at, name)
        for at, _done, name, _proxy, request, _text, _outcome in (
            deployment.group.ran
        )
    }
    broken = 0
    for request, (name, text, at, outcome, ended) in sent.items():
        if outcome is not None or request not in arrived:
            continue
        after = at - stopped
        if not EXCUSED_MS < after < (GRACE_S + 1) * 1000:
            continue
        broken += 1
        deployment.say(
            f'BROKEN: {request} {text!r} of {name}, sent {after:.0f} ms after '
            f'SIGTERM, reached {arrived[request][1]} at {arrived[request][0]}; '
            f'the connection ended at {ended:.0f} without an answer'
        )
    deployment.say(
        f'{len(sent)} requests, {broken} were passed on to a database and '
        'never answered'
    )
    return broken > 0


if __name__ == '__main__':
    sys.exit(fleet.run_case(run))
