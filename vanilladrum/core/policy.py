"""Choices of server among those with a free slot, in a registry."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Any

from vanilladrum.core import errors


class Slots:
    """What a choice of server may look at.

    :param busy: requests or flows that the server has now.
    :param slots: how many it serves at once.
    """

    busy: float
    slots: float


# Returns one of the candidates that it was given.
Choice = Callable[[Sequence[Any], random.Random], Any]
POLICIES: dict[str, Choice] = {}


def policy(name: str) -> Callable[[Choice], Choice]:
    """Register a choice of server under the name used in settings."""

    def register(choice: Choice) -> Choice:
        POLICIES[name] = choice
        return choice

    return register


def find(name: str) -> Choice:
    """Return the choice registered under a name.

    :raises ConfigurationError: when there is none.
    """
    if name not in POLICIES:
        raise errors.ConfigurationError(
            f"policy {name!r} is not known; use one of {sorted(POLICIES)}"
        )
    return POLICIES[name]


@policy("least_busy")
def least_busy(free: Sequence[Slots], rng: random.Random) -> Slots:
    """Choose the lowest share of busy slots; ties at random."""
    lowest = min(server.busy / server.slots for server in free)
    ties = [each for each in free if each.busy / each.slots == lowest]
    return rng.choice(ties)


@policy("random")
def any_free(free: Sequence[Slots], rng: random.Random) -> Slots:
    """Choose at random, the baseline of the comparisons."""
    return rng.choice(free)


@policy("power_of_two")
def power_of_two(free: Sequence[Slots], rng: random.Random) -> Slots:
    """Choose the less busy of two drawn at random."""
    first = rng.choice(free)
    second = rng.choice(free)
    if second.busy / second.slots < first.busy / first.slots:
        return second
    return first
