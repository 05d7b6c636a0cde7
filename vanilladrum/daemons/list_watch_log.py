"""Log lines of the list watchers."""

from vanilladrum.core import position as positions
from vanilladrum.daemons import json_log
from vanilladrum.platform import store as stores


def write_abandoned(
    log: json_log.EventLog, kind: str, source: stores.Store, waited: float
) -> None:
    """Log that a list was given up before it was answered.

    :param waited: seconds since it was requested.
    """
    log.event(
        "list abandoned",
        kind=kind,
        source=source.address,
        waited=round(waited, 3),
        receiving=source.is_receiving(),
    )


def write_unnamed(
    log: json_log.EventLog, kind: str, source: stores.Store, count: int
) -> None:
    """Log that objects of an answer were left out.

    :param count: number of these objects.
    """
    log.event(
        "objects left out",
        kind=kind,
        source=source.address,
        unnamed=count,
        reason="their names cannot be read",
    )


def write_refused(
    log: json_log.EventLog,
    kind: str,
    source: stores.Store,
    outcome: stores.Listing | stores.Changes,
    position: positions.StorePosition | None,
) -> None:
    """Log that an answer is older than what was received before.

    :param position: what was received before.
    """
    if not log.is_allowed("answer refused"):
        return
    log.event(
        "answer refused",
        kind=kind,
        source=source.address,
        era=outcome.era,
        revision=outcome.revision,
        own_position=position,
    )
