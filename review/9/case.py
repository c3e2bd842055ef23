"""Burst of users: prepared statements on a connection to a database."""

import asyncio
import time

from standins import deployment

# Usual sessions, each with prepared statements of its own: 64 in all, and 32
# transactions in a second.
_USUAL = 16
_STATEMENTS = 4
_PAUSE_S = 0.5
# The burst brings 0.7 times as many transactions for three seconds, each with a
# session of its own.
_BURST_PER_S = 22
_BURST_S = 3.0
_RUN_S = 9.0
_FAILURES = (
    OSError,
    asyncio.TimeoutError,
    asyncio.IncompleteReadError,
    deployment.NotRunError,
)


class Seen:
    """What all clients have seen.

    Attributes:
      prepared: Sessions whose PREPARE was acknowledged.
      operations: Number of transactions that were begun.
      failed: Transactions that were lost, by the answer.
    """

    def __init__(self) -> None:
        """Start without statements."""
        self.prepared: set[str] = set()
        self.operations = 0
        self.failed: list[str] = []


async def use_session(
    running: deployment.Deployment, number: int, until_s: float, seen: Seen
) -> None:
    """Prepare statements and execute them in one or more transactions.

    Args:
      running: Deployment of the case.
      number: Number of the session.
      until_s: Time until which it begins transactions after the first.
      seen: What all clients have seen.
    """
    client = None
    try:
        client = await running.proxies[0].client('delivery')
        for part in range(_STATEMENTS):
            text = f'PREPARE s{part} WRITE q{number}x{part}'
            if (await client.ask(text)).done:
                seen.prepared.add(client.name)
        await transact(client, number, seen)
        while time.monotonic() < until_s:
            await asyncio.sleep(_PAUSE_S)
            await transact(client, number, seen)
    except _FAILURES as error:
        running.record('client', number, 'ends', type(error).__name__)
    finally:
        if client is not None:
            client.close()


async def transact(client: deployment.Client, number: int, seen: Seen) -> None:
    """Play one transaction, which executes two statements twice each."""
    seen.operations += 1
    first = seen.operations
    await client.ask('BEGIN')
    for part in range(2 * 2):
        name = f's{(first + part // 2) % _STATEMENTS}'
        answer = await client.ask(f'EXECUTE {name} a{number} d{part}')
        if not answer.done:
            seen.failed.append(answer.rest)
            await client.ask('ROLLBACK')
            return
    answer = await client.ask('COMMIT')
    if not answer.done:
        seen.failed.append(answer.rest)


async def case(running: deployment.Deployment) -> int:
    """Play the usual users, and a burst in between."""
    seen = Seen()
    started_s = time.monotonic()
    sessions = []
    for number in range(_USUAL):
        sessions.append(
            asyncio.create_task(
                use_session(running, number, started_s + _RUN_S, seen)
            )
        )
        await asyncio.sleep(0.03)
    await asyncio.sleep(2)
    if running.trouble:
        for number in range(int(_BURST_PER_S * _BURST_S)):
            single = use_session(running, _USUAL + number, 0, seen)
            sessions.append(asyncio.create_task(single))
            await asyncio.sleep(1 / _BURST_PER_S)
    await asyncio.gather(*sessions)
    broken = [
        row
        for row in running.services[0].violations
        if row[1].partition('s')[0] in seen.prepared
    ]
    for _kind, request, name in broken:
        running.record('PINNED', request, 'unknown at the database:', name)
    for answer in seen.failed:
        running.record('transaction lost:', answer)
    running.record(
        'transactions',
        seen.operations,
        'lost',
        len(seen.failed),
        'unknown names',
        len(broken),
    )
    if not seen.prepared:
        return deployment.NOT_RUN
    return deployment.BROKEN if broken else deployment.HELD


def main() -> None:
    """Play the case."""
    running = deployment.Deployment(__file__)
    # One of eight nodes opens 34 / 9 connections to a database, this one 6 / 2.
    service = running.service(
        'paste-ledger', ('i-a1', 'i-b2', 'i-c3'), max_connections=6
    )
    for database in service.databases.values():
        database.work_s = 0.011
    running.route('delivery', 'paste-ledger', 'read_your_writes', stale_ms=2500)
    running.run(case)


main()
