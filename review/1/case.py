"""The watch of the servers is lost in an outage of 0.6 s of the store."""

import asyncio

from standins import day

# A change of a server is followed by a new watch within half a second.
UNTIL_OUTAGE_SECONDS = 0.2
OUTAGE_SECONDS = 0.6


async def play(today: day.Day) -> list:
    today.start_traffic()
    await asyncio.sleep(day.STABLE_SECONDS + 1)
    await today.servers[-1].leave(day.DRAIN_SECONDS, longer=1.0)
    await asyncio.sleep(UNTIL_OUTAGE_SECONDS)
    today.store.silent = today.trouble
    await asyncio.sleep(OUTAGE_SECONDS)
    today.store.silent = False
    today.log.event("outage over")
    await asyncio.sleep(day.STABLE_SECONDS + 5)
    leaving = today.servers[0]
    acked = await leaving.leave(day.DRAIN_SECONDS, longer=5.0)
    await asyncio.sleep(day.DRAIN_SECONDS + 6.0)
    return today.opened_later(leaving.name, acked, day.DRAIN_SECONDS)


if __name__ == "__main__":
    day.main(__file__, play)
