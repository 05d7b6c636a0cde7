"""Starts of a host and the states that an incarnation goes through."""

import enum

from vanilladrum.core import peers

START_BYTES = 4
START_SPAN = 2**32
TICKS_A_SECOND = 100


class State(enum.IntEnum):
    """State of an incarnation; of equal refutations the higher wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


def first_start(wall: float) -> bytes:
    """Return the start of a process that begins now.

    :param wall: wall-clock seconds.
    """
    ticks = int(wall * TICKS_A_SECOND) % START_SPAN
    return ticks.to_bytes(START_BYTES, "big")


def following_start(start: bytes) -> bytes:
    """Return the start after another one.

    >>> following_start(bytes(4)).hex()
    '00000001'
    """
    after = (int.from_bytes(start, "big") + 1) % START_SPAN
    return after.to_bytes(START_BYTES, "big")


def newer(one: bytes, other: bytes) -> bool:
    """Return whether a start comes after another; the count wraps round.

    >>> newer(b"\\0\\0\\0\\1", b"\\xff\\xff\\xff\\xff")
    True
    """
    ahead = int.from_bytes(one, "big") - int.from_bytes(other, "big")
    return 0 < ahead % START_SPAN < START_SPAN // 2


def supersedes(heard: peers.Member, known: peers.Member) -> bool:
    """Return whether news of an incarnation replace what is known of it."""
    if known.state == State.DEAD:
        return False
    if heard.state == State.DEAD:
        return True
    return (heard.refutation, heard.state) > (known.refutation, known.state)


def following(
    member: peers.Member, members: dict[bytes, peers.Member]
) -> list[peers.Member]:
    """Return the latest known start of a host after this one, if any."""
    return [
        other
        for other in members.values()
        if other.number == member.number and newer(other.start, member.start)
    ][-1:]
