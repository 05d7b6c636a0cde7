"""Results of operators' updates of the configuration.

The platform may be restored from a backup at any time; it then gives out
versions again.
"""

import enum

import attrs


class Resolution(enum.Enum):
    """Result of reading back an update whose confirmation was lost.

    ``ACCEPTED``: the update was stored. ``REFUSED``: another change was
    stored instead. ``REPEAT``: nothing was stored so far, so the update is to
    be repeated on the same condition.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    REPEAT = "repeat"


class Confirmation(enum.Enum):
    """Whether an accepted change is in force on all entry hosts.

    ``LOST``: the platform was restored to a state without the change, or the
    entry hosts have a newer configuration in force that does not contain it.
    """

    PENDING = "pending"
    IN_FORCE = "in force"
    LOST = "lost"


@attrs.frozen
class StoredState:
    """What identifies a configuration that the platform stores.

    A platform that is restored from a backup gives out versions again, but
    the changes have other generations.

    :param version: version of the object on the platform.
    :param generation: generation of the stored configuration.
    """

    version: int
    generation: int


def resolve_update(
    operation: str,
    base: StoredState,
    stored: StoredState,
    operations: tuple[str, ...],
) -> Resolution:
    """Determine the result of an update from the stored object.

    :param operation: id of the update.
    :param base: state on which the update was based.
    :param stored: state of the platform now.
    :param operations: ids of the last accepted updates, from the stored
        object.

    >>> base = StoredState(version=1, generation=5)
    >>> resolve_update("a", base, StoredState(3, 7), ("a", "b")).name
    'ACCEPTED'
    >>> resolve_update("a", base, base, ()).name
    'REPEAT'
    >>> resolve_update("a", base, StoredState(1, 6), ("b",)).name
    'REFUSED'
    """
    if operation in operations:
        return Resolution.ACCEPTED
    if stored == base:
        return Resolution.REPEAT
    return Resolution.REFUSED


def confirm(
    operation: str,
    generation: int,
    reported: tuple[int, ...],
    stored: StoredState,
    operations: tuple[str, ...],
) -> Confirmation:
    """Determine whether an accepted change is in force on all entry hosts.

    A higher generation than that of the change does not say that its
    configuration contains the change: the platform may have accepted the
    change after a restore, when the hosts had a newer configuration in force.

    :param operation: id of the change.
    :param generation: generation of the change.
    :param reported: generations in force, as the entry hosts report them.
    :param stored: state of the platform now.
    :param operations: ids of the last accepted updates, from the stored
        object.

    >>> confirm("a", 5, (5, 5), StoredState(2, 5), ("a",)).name
    'IN_FORCE'
    >>> confirm("a", 5, (6, 6), StoredState(3, 6), ("b",)).name
    'LOST'
    """
    if min(reported, default=generation) < generation:
        return Confirmation.PENDING
    newest = max(reported, default=generation)
    if newest == generation:
        return Confirmation.IN_FORCE
    if stored.generation < newest:
        return Confirmation.PENDING
    if operation in operations:
        return Confirmation.IN_FORCE
    return Confirmation.LOST
