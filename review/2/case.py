"""Copies of opening packets go to the service that the route has left."""

import asyncio

from standins import client
from standins import day
from standins import wire

SLACK_SECONDS = 0.25
MAX_CONNECTIONS = 10
REQUESTS_PER_SECOND = 80
# The crest: clients that keep a flow open and send a request each second. With
# their requests the traffic is below 1.7 times the usual, for 2.2 s.
HOLDERS = 30
HOLDERS_PER_SECOND = 25


async def hold(
    clients: client.Clients,
    target: wire.Endpoint,
    name: str,
    free: asyncio.Event,
) -> None:
    """Keep a flow open for many requests until the crest is over."""
    flow = await clients.open(target)
    number = 0
    while flow is not None and not free.is_set():
        number += 1
        await flow.request(f"{name}-{number}")
        try:
            await asyncio.wait_for(free.wait(), 1.0)
        except TimeoutError:
            continue
    if flow is not None:
        await flow.close()


async def send_steadily(today: day.Day, target: wire.Endpoint) -> None:
    number = 0
    while True:
        number += 1
        clients = today.clients[number % len(today.clients)]
        task = asyncio.create_task(clients.fetch(target, f"c{number}"))
        today.requests.add(task)
        task.add_done_callback(today.requests.discard)
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def play(today: day.Day) -> list:
    target = today.targets["patronaje"]
    old = [each for each in today.servers if each.service == "patronaje"]
    for each in old:
        each.max_connections = MAX_CONNECTIONS
    today.max_connections["patronaje"] = MAX_CONNECTIONS
    await today.write_configuration()
    today.tasks.append(asyncio.create_task(send_steadily(today, target)))
    await asyncio.sleep(day.STABLE_SECONDS + 1)
    free = asyncio.Event()
    today.log.event("crest begins")
    for number in range(HOLDERS):
        if today.trouble:
            clients = today.clients[number % len(today.clients)]
            task = asyncio.create_task(
                hold(clients, target, f"held{number}", free)
            )
            today.tasks.append(task)
        await asyncio.sleep(1 / HOLDERS_PER_SECOND)
    await asyncio.sleep(0.8)
    await today.write_configuration(patronaje="reservas")
    await asyncio.sleep(0.2)
    free.set()
    today.log.event("crest over")
    await asyncio.sleep(5.0)
    return regressions(today, {each.name for each in old}, target)


def regressions(
    today: day.Day, old: set[str], target: wire.Endpoint
) -> list[dict]:
    """Return the flows that machines sent to the old service too late.

    Each machine is judged from the moment when a server saw through it that
    the route has moved.
    """
    opened = [
        each
        for each in today.log.all("flow opened")
        if each["flow"][1] == target
    ]
    effect: dict[str, float] = {}
    for each in opened:
        if each["server"] not in old:
            machine = each["through"]
            effect[machine] = min(effect.get(machine, each["at"]), each["at"])
    sent = {
        (each["flow"], each["copies"]): each["at"]
        for each in today.log.all("syn sent")
    }
    return [
        each | {"sent": sent[each["flow"], each["copies"]]}
        for each in opened
        if each["server"] in old
        and each["through"] in effect
        and sent[each["flow"], each["copies"]]
        > effect[each["through"]] + SLACK_SECONDS
    ]


if __name__ == "__main__":
    day.main(__file__, play)
