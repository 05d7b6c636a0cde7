"""Start numbers of a host and the states of an incarnation.

A start number is the wall-clock time in hundredths of a second, modulo 2**32.
A host number and a start number identify an incarnation.
"""

import enum

from vanilladrum.core import peer_messages

START_BYTES = 4
START_MODULUS = 2**32
TICKS_PER_SECOND = 100


class State(enum.IntEnum):
    """State of an incarnation.

    Of two updates with equal refutation counts the one with the higher state
    takes precedence; see :func:`supersedes`.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


def start_from_clock(wall: float) -> bytes:
    """Return the start number of a process that starts at a given time.

    :param wall: wall-clock time in seconds.
    """
    ticks = int(wall * TICKS_PER_SECOND) % START_MODULUS
    return ticks.to_bytes(START_BYTES, "big")


def next_start(start: bytes) -> bytes:
    """Return a start number plus one, with wrap-around.

    >>> next_start(bytes(4)).hex()
    '00000001'
    """
    after = (int.from_bytes(start, "big") + 1) % START_MODULUS
    return after.to_bytes(START_BYTES, "big")


def is_newer_start(one: bytes, other: bytes) -> bool:
    """Return whether the first start number is newer than the second.

    Because of the wrap-around, newer means less than 2**31 ahead.

    >>> is_newer_start(b"\\0\\0\\0\\1", b"\\xff\\xff\\xff\\xff")
    True
    """
    difference = int.from_bytes(one, "big") - int.from_bytes(other, "big")
    return 0 < difference % START_MODULUS < START_MODULUS // 2


def supersedes(
    update: peer_messages.Member, known: peer_messages.Member
) -> bool:
    """Return whether an update replaces the known entry of an incarnation.

    A dead incarnation stays dead, and ``DEAD`` replaces any other state.
    Otherwise the higher refutation count takes precedence and, if they are
    equal, the higher state.
    """
    if known.state == State.DEAD:
        return False
    if update.state == State.DEAD:
        return True
    return (update.refutation, update.state) > (known.refutation, known.state)


def latest_newer_start(
    member: peer_messages.Member, members: dict[bytes, peer_messages.Member]
) -> list[peer_messages.Member]:
    """Return an entry of the same host with a newer start number.

    :param members: entries by incarnation, in the order of their last change.
    :returns: a list of the entry that changed last among those with a newer
        start number, empty if there are none.
    """
    return [
        other
        for other in members.values()
        if other.number == member.number
        and is_newer_start(other.start, member.start)
    ][-1:]
