"""Start numbers of a host and the states of an incarnation.

A start number is taken from the wall clock in hundredths of a second and
wraps around after 2**32 of them.
"""

import enum

from vanilladrum.core import peer_messages

START_BYTES = 4
START_MODULUS = 2**32
TICKS_PER_SECOND = 100


class State(enum.IntEnum):
    """State of an incarnation.

    Of two updates with equal refutation counts the one with the higher state
    takes precedence.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


def start_from_clock(wall: float) -> bytes:
    """Return the start number of a process that starts now.

    :param wall: wall-clock time in seconds.
    """
    ticks = int(wall * TICKS_PER_SECOND) % START_MODULUS
    return ticks.to_bytes(START_BYTES, "big")


def next_start(start: bytes) -> bytes:
    """Return the start number that follows another one.

    >>> next_start(bytes(4)).hex()
    '00000001'
    """
    after = (int.from_bytes(start, "big") + 1) % START_MODULUS
    return after.to_bytes(START_BYTES, "big")


def is_newer_start(one: bytes, other: bytes) -> bool:
    """Return whether one start number is newer than another.

    The comparison allows for wrap-around.

    >>> is_newer_start(b"\\0\\0\\0\\1", b"\\xff\\xff\\xff\\xff")
    True
    """
    difference = int.from_bytes(one, "big") - int.from_bytes(other, "big")
    return 0 < difference % START_MODULUS < START_MODULUS // 2


def supersedes(
    update: peer_messages.Member, known: peer_messages.Member
) -> bool:
    """Return whether an update replaces the known entry of an incarnation.

    A dead incarnation stays dead.
    """
    if known.state == State.DEAD:
        return False
    if update.state == State.DEAD:
        return True
    return (update.refutation, update.state) > (known.refutation, known.state)


def latest_newer_start(
    member: peer_messages.Member, members: dict[bytes, peer_messages.Member]
) -> list[peer_messages.Member]:
    """Return the entry of the host's latest known start after this one.

    :returns: a list of that entry, empty when there is no newer start.
    """
    return [
        other
        for other in members.values()
        if other.number == member.number
        and is_newer_start(other.start, member.start)
    ][-1:]
