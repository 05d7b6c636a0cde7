"""Waiting until a change is in force in all data centres."""

import asyncio
from collections.abc import Callable
import time

from vanilladrum.core import errors
from vanilladrum.core import update as updates
from vanilladrum.operator import change
from vanilladrum.wire import platform as platforms

# Interval between two reads of the status objects.
POLL_INTERVAL_SECONDS = 0.2


class NotInForceError(errors.VanilladrumError):
    """An accepted change did not come into force everywhere in time."""


async def wait_in_force(
    client: platforms.PlatformClient,
    data_centres: list[str],
    accepted: change.AcceptedChange,
    timeout: float,
    on_progress: Callable[[str, int], None],
) -> None:
    """Wait until each data centre reports that a change is in force.

    :param timeout: seconds to wait.
    :param on_progress: called with data centre and generation on each change.
    :raises NotInForceError: if the wait times out; the message lists the data
        centres that are still on an older generation. Also if the platform
        was restored and the change is lost.
    :raises PlatformError: if the platform does not answer; the wait ends.
    """
    generation = accepted.generation
    reported: dict[str, int] = {}
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        for name in data_centres:
            status_object = await client.get(change.STATUS_KIND, name)
            in_force = status_object.value.get("generation", 0)
            if reported.get(name) != in_force:
                reported[name] = in_force
                on_progress(name, in_force)
        if await _is_in_force(client, accepted, tuple(reported.values())):
            return
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    lagging = [
        name for name in data_centres if reported.get(name, 0) < generation
    ]
    raise NotInForceError(
        f"generation {generation} is accepted but not yet reported in "
        f"force by {lagging or data_centres}; check their entry hosts"
    )


async def _is_in_force(
    client: platforms.PlatformClient,
    accepted: change.AcceptedChange,
    reported: tuple[int, ...],
) -> bool:
    """Return whether a change is in force in all data centres.

    :raises NotInForceError: if the change is lost.
    """
    stored = await change.fetch_stored(client)
    confirmation = updates.confirm(
        accepted.operation,
        accepted.generation,
        reported,
        stored.state,
        tuple(stored.content.get("operations", ())),
    )
    if confirmation == updates.Confirmation.LOST:
        raise NotInForceError(
            f"generation {accepted.generation} was accepted, but generation "
            f"{stored.generation} is in force without it, because the "
            "platform was restored from a backup; print the plan again and "
            "apply it"
        )
    return confirmation == updates.Confirmation.IN_FORCE
