"""Generations of the configuration and the result of an update."""

import enum


class Resolution(enum.Enum):
    """Result of reading back an update whose confirmation was lost.

    ``ACCEPTED``: the update was stored. ``REFUSED``: another change was
    stored instead. ``REPEAT``: nothing was stored so far, so the update is to
    be repeated on the same condition.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    REPEAT = "repeat"


def is_newer(in_force: int, offered: int) -> bool:
    """Return whether an offered generation is newer than the one in force.

    An entry host adopts only newer ones, so its generation never decreases.

    :param in_force: generation in force at the host.
    :param offered: generation of the offered configuration.

    >>> is_newer(5, 6), is_newer(5, 5), is_newer(5, 4)
    (True, False, False)
    """
    return offered > in_force


def next_generation(stored: int, now: float) -> int:
    """Return the generation of the next change.

    It is above the stored one, and at least the wall-clock time in seconds.
    The time keeps it above the generation in force even when the platform's
    object was restored from an old backup.

    :param stored: generation stored on the platform.
    :param now: wall-clock time in seconds.

    >>> next_generation(7, 3.0), next_generation(7, 100.9)
    (8, 100)
    """
    return max(stored + 1, int(now))


def resolve_update(
    operation: str, base: int, version: int, operations: tuple[str, ...]
) -> Resolution:
    """Determine the result of an update from the stored object.

    :param operation: id of the update.
    :param base: version on which the update was conditional.
    :param version: version stored on the platform now.
    :param operations: ids of the last accepted updates, from the stored
        object.

    >>> resolve_update("a", 1, 3, ("a", "b")).name
    'ACCEPTED'
    >>> resolve_update("a", 1, 1, ()).name
    'REPEAT'
    """
    if operation in operations:
        return Resolution.ACCEPTED
    if version == base:
        return Resolution.REPEAT
    return Resolution.REFUSED
