"""A restarted proxy sends work to a database that should be left alone."""

import asyncio
import os
import pathlib
import sys

# The stand-ins of all cases are kept in the folder of the first one.
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / '1'))

from standin import fleet  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# The promotion calls of the platform are down for so long, from this time before
# the primary drains. They get no answer and are not carried out.
DOWN_S = 6
DOWN_BEFORE_S = 0.5
# Bounds of the site.
DRAIN_MS = 7000
CONTACT_MS = 4000
# The old primary serves a little longer than it has to.
EXIT_S = 9.5
# Work of one write.
WORK_MS = 24
# The proxies are restarted in turn; the first one before the primary drains.
FIRST_RESTART_S = -1.5
GAP_S = 1
WRITERS = 2
RUN_S = 20


async def writer(deployment, proxy, name, until, sent):
    """Send single writes; connect again whenever the session ends."""
    count = 0
    while deployment.clock() < until:
        client = fleet.Client(deployment, proxy, 'settle', name)
        try:
            if not await proxy.ready():
                raise ConnectionResetError('not ready')
            await client.open()
            while deployment.clock() < until:
                count += 1
                at = deployment.clock()
                task = asyncio.create_task(
                    client.query(f'WRITE {name} {count}')
                )
                await asyncio.sleep(0)
                request = client.last
                sent[request] = [proxy.name, at, None]
                answer = await task
                sent[request][2] = answer.outcome
                await asyncio.sleep(0.05)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
        finally:
            client.close()


async def restart(deployment, proxy, stops):
    """Restart one proxy as planned."""
    stops.setdefault(proxy.name, []).append([deployment.clock(), None])
    deployment.say(f'{proxy.name} gets SIGTERM')
    await proxy.restart()
    stops[proxy.name][-1][1] = deployment.clock()
    deployment.say(f'{proxy.name} is started again')


async def release(deployment, seen):
    """Replace the primary as the operator does."""
    group = deployment.group
    old = group.primary
    added = group.add('i-d')
    await added.listen(deployment.names)
    await asyncio.sleep(1 - DOWN_BEFORE_S)
    if TROUBLE:
        up_ms = deployment.clock() + DOWN_S * 1000
        deployment.orders.policy = lambda _number: (
            -1 if deployment.clock() < up_ms else None
        )
        deployment.say(f'the promotion calls are down for {DOWN_S} s')
    await asyncio.sleep(DOWN_BEFORE_S)
    old.state = 'draining'
    await asyncio.sleep(0.1)
    seen['old'] = old.name
    seen['at'] = deployment.clock()
    deployment.say(f'the store has accepted that {old.name} is draining')
    await asyncio.sleep(EXIT_S)
    old.stop()
    deployment.say(f'{old.name} exits')


async def run(record):
    """Return whether the rule was broken."""
    deployment = fleet.Fleet(record, size=8, fenced=True)
    try:
        await deployment.start()
        sent = {}
        stops = {}
        seen = {}
        until = deployment.clock() + RUN_S * 1000
        tasks = [
            asyncio.create_task(
                writer(deployment, proxy, f'{proxy.name}w{count}', until, sent)
            )
            for proxy in deployment.proxies
            for count in range(WRITERS)
        ]
        # The primary drains 1 s after the release has begun.
        for db in deployment.group.databases.values():
            db.work_ms = WORK_MS
        await asyncio.sleep(3 + FIRST_RESTART_S + 1)
        rolls = []
        release_later = later(-FIRST_RESTART_S - 1, release(deployment, seen))
        tasks.append(asyncio.create_task(release_later))
        for proxy in deployment.proxies:
            rolls.append(asyncio.create_task(restart(deployment, proxy, stops)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks, *rolls)
        return judge(deployment, sent, stops, seen)
    finally:
        deployment.close()


async def later(delay_s, action):
    """Run an action after a delay."""
    await asyncio.sleep(delay_s)
    await action


def in_touch(name, at, stops):
    """Return whether a proxy was in touch for the time before a moment."""
    for stopped, started in stops.get(name, []):
        ended = started or at
        if stopped <= at and at - ended < CONTACT_MS:
            return False
    return True


def judge(deployment, sent, stops, seen):
    """Write what was seen; return whether the rule was broken."""
    group = deployment.group
    for call in deployment.orders.seen:
        deployment.say('order', *call)
    for event in group.promoted:
        deployment.say('promoted', *event)
    broken = 0
    late = 0
    for arrived, _done, name, proxy, request, text, outcome in group.ran:
        if name != seen['old'] or request not in sent:
            continue
        after = arrived - seen['at']
        if after <= DRAIN_MS:
            continue
        late += 1
        taken_by = sent[request][0]
        if not all(
            in_touch(known, arrived, stops) for known in (proxy, taken_by)
        ):
            continue
        broken += 1
        deployment.say(
            f'BROKEN: {request} {text!r} reached {name} from {taken_by} through {proxy} '
            f'{after:.0f} ms after the acknowledgement: {outcome}; the client '
            f'got {sent[request][2]}'
        )
    unanswered = 0
    for request, (proxy, at, outcome) in sent.items():
        exited = seen['at'] + EXIT_S * 1000
        if exited - 200 < at < exited and 'COMPLETE' not in str(outcome):
            unanswered += 'INDOUBT' in str(outcome)
            deployment.say(f'{request} at {proxy}, sent {at:.0f}: {outcome}')
    deployment.say(
        f'{len(sent)} writes, {late} reached {seen["old"]} later than '
        f'{DRAIN_MS} ms after the acknowledgement, {broken} of them through '
        f'proxies in touch; {unanswered} writes in doubt as it exits'
    )
    return broken > 0


if __name__ == '__main__':
    sys.exit(fleet.run_case(run))
