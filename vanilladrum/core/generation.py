"""Generations of the configuration."""


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
