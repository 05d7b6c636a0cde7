"""Log events of requests that wait for a server."""

from collections.abc import Iterable

from vanilladrum.core.overdue import monitor as overdue_monitors
from vanilladrum.daemons import json_log
from vanilladrum.platform import packet as packets


def write(
    log: json_log.EventLog, events: Iterable[overdue_monitors.Event]
) -> None:
    """Log events of the core."""
    for event in events:
        if isinstance(event, overdue_monitors.RequestOverdue):
            log.event(
                "request overdue",
                flow=packets.format_flow(event.key),
                server=event.server.name,
                waited=round(event.waited, 4),
            )
            continue
        log.event(
            "server presumed dead",
            server=event.server.name,
            seconds=round(event.seconds, 4),
            checks=event.checks,
            resets=event.resets,
        )
