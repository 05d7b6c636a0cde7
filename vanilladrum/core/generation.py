"""Which configuration is newer, and what became of an update."""

import enum


class Resolution(enum.Enum):
    """What a read-back tells of an update whose confirmation was lost."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    REPEAT = "repeat"


def adopts(in_force: int, offered: int) -> bool:
    """Return whether an entry host adopts a generation; only upwards.

    >>> adopts(5, 6), adopts(5, 5), adopts(5, 4)
    (True, False, False)
    """
    return offered > in_force


def following(stored: int, now: float) -> int:
    """Return the generation of a change.

    The clock keeps it above what was in force even when the platform's
    object was restored from an old copy.

    :param stored: generation that the platform holds.
    :param now: wall-clock seconds.

    >>> following(7, 3.0), following(7, 100.9)
    (8, 100)
    """
    return max(stored + 1, int(now))


def resolve(
    operation: str, base: int, version: int, operations: tuple[str, ...]
) -> Resolution:
    """Tell what became of an update from what the platform holds now.

    :param operation: id of the update.
    :param base: version on which the update was conditional.
    :param version: version that the platform holds now.
    :param operations: ids of the last accepted updates.

    >>> resolve("a", 1, 3, ("a", "b")).name
    'ACCEPTED'
    >>> resolve("a", 1, 1, ()).name
    'REPEAT'
    """
    if operation in operations:
        return Resolution.ACCEPTED
    if version == base:
        return Resolution.REPEAT
    return Resolution.REFUSED
