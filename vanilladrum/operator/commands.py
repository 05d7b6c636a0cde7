"""Implementation of the commands that use the platform's object API."""

from collections.abc import AsyncIterator
import contextlib
import sys

from vanilladrum.operator import change
from vanilladrum.operator import in_force
from vanilladrum import plan as plans
from vanilladrum.wire import platform as platforms


@contextlib.asynccontextmanager
async def open_client(url: str) -> AsyncIterator[platforms.PlatformClient]:
    """Yield a client of the object API and close it afterwards."""
    client = platforms.PlatformClient(url)
    try:
        yield client
    finally:
        await client.close()


async def print_plan(path: str, url: str) -> None:
    """Validate a plan and print it as TOML for review.

    The output names the accepted generation as its base.
    """
    plan = plans.load(path)
    async with open_client(url) as client:
        stored = await change.fetch_stored(client)
    text = change.printed(plan, stored.generation)
    change.check({"base": 0, **plan.document()}, path)
    sys.stdout.write(text)


async def show_difference(path: str, url: str) -> None:
    """Validate a printed configuration and show its changes.

    They are shown as a diff from the accepted configuration.
    """
    printed = change.read_printed(path)
    change.check(printed, path)
    async with open_client(url) as client:
        stored = await change.fetch_stored(client)
    print(change.difference(stored.content, printed) or "no difference")


async def apply(path: str, url: str, timeout: float) -> None:
    """Apply a printed configuration and wait until it is in force."""
    printed = change.read_printed(path)
    async with open_client(url) as client:
        try:
            accepted = await change.apply(client, printed, path)
        except change.StaleBaseError as error:
            print(error.difference)
            raise
        print(f"generation {accepted.generation} accepted")
        await _wait_in_force(
            client, printed["data_centres"], accepted, timeout
        )


async def rotate_keys(url: str, timeout: float) -> None:
    """Add or activate a token key and wait until the change is in force."""
    async with open_client(url) as client:
        accepted = await change.rotate_keys(client)
        print(f"generation {accepted.generation} accepted")
        stored = await change.fetch_stored(client)
        data_centres = stored.content["data_centres"]
        await _wait_in_force(client, data_centres, accepted, timeout)


async def status(url: str) -> None:
    """Show the accepted generation and those in force at the entry hosts."""
    async with open_client(url) as client:
        stored = await change.fetch_stored(client)
        print(f"accepted: generation {stored.generation}")
        for name in stored.content.get("data_centres", []):
            status_object = await client.get(change.STATUS_KIND, name)
            hosts = status_object.value.get("hosts", {})
            host_generations = ", ".join(
                f"{host}: {number}" for host, number in sorted(hosts.items())
            )
            current = status_object.value.get("generation", 0)
            print(
                f"{name}: generation {current} in force ({host_generations})"
            )


async def _wait_in_force(
    client: platforms.PlatformClient,
    data_centres: list[str],
    accepted: change.AcceptedChange,
    timeout: float,
) -> None:
    await in_force.wait_in_force(
        client,
        data_centres,
        accepted,
        timeout,
        lambda name, current: print(f"{name}: generation {current} in force"),
    )
    print(f"generation {accepted.generation} in force everywhere")
