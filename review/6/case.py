"""A change of the configuration with a name in French typography."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins2"))

import deployment  # noqa: E402

# The settings: bounds.config-apply-ms.
APPLY_SECONDS = 3.0
BEFORE_SECONDS = 5.0
AFTER_SECONDS = 10.0
RATE = 20
# In French a no-break space stands before a colon.
NO_BREAK_SPACE = "\u00a0"


def change(world):
    """Return the next version: one route moves, one is dropped, one is new."""
    configuration = world.configuration()
    by_service = {each["service"]: each for each in configuration["routes"]}
    by_service["archive"]["service"] = "archive-new"
    space = NO_BREAK_SPACE if deployment.TROUBLE else " "
    added = by_service["waves"] | {
        "name": f"houle{space}: bouées",
        "path-prefix": "/9000/",
    }
    configuration["routes"] = [
        by_service["waves"],
        by_service["archive"],
        added,
    ]
    return configuration


async def case(world):
    """Return whether the change is in force in time."""
    await world.start()
    total = BEFORE_SECONDS + APPLY_SECONDS + AFTER_SECONDS
    loads = [
        asyncio.create_task(
            world.clients.load(
                service, world.target(service), service, RATE, total
            )
        )
        for service in ("archive", "tides", "waves")
    ]
    await asyncio.sleep(BEFORE_SECONDS)
    acked_at = await world.store.put("config", "main", change(world))
    await asyncio.gather(*loads)
    late = collections.Counter()
    for server in world.servers:
        if server.service not in ("archive", "tides"):
            continue
        for _, request in server.ran:
            route = request.partition("-")[0]
            sent = world.clients.sent_at[request]
            if sent > acked_at + APPLY_SECONDS and route == server.service:
                late[f"{route} run by {server.service}"] += 1
    outcomes = collections.Counter()
    for name, (sent, outcome) in world.clients.requests.items():
        if sent > acked_at + APPLY_SECONDS:
            outcomes[f"{name.partition('-')[0]}: {outcome}"] += 1
    world.log.add("sent in time", **{"late": dict(late)})
    print(f"as only the older version allows: {dict(late)}; {dict(outcomes)}")
    return not late


if __name__ == "__main__":
    deployment.main(
        case,
        pathlib.Path(__file__).parent,
        services={"archive": 2, "archive-new": 2, "tides": 2, "waves": 2},
    )
