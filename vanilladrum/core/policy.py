"""Registry of load-balancing policies that choose a backend server."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Any

from vanilladrum.core import errors


class ServerLoad:
    """Attributes of a candidate that policies read.

    :param busy: number of requests or flows that the server handles now.
    :param slots: number of them that it can handle at once.
    """

    busy: float
    slots: float


# Chooses one of the candidates, of which there is at least one.
Policy = Callable[[Sequence[Any], random.Random], Any]
# Policies by the name in the configuration.
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Return a decorator that registers a policy by its configured name."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


def find(name: str) -> Policy:
    """Return the policy registered under a name.

    :raises ConfigurationError: when there is none.
    """
    if name not in POLICIES:
        raise errors.ConfigurationError(
            f"policy {name!r} is not known; use one of {sorted(POLICIES)}"
        )
    return POLICIES[name]


@policy("least_busy")
def least_busy(
    candidates: Sequence[ServerLoad], rng: random.Random
) -> ServerLoad:
    """Choose the server with the lowest share of busy slots.

    Ties are broken at random.
    """
    lowest = min(server.busy / server.slots for server in candidates)
    ties = [each for each in candidates if each.busy / each.slots == lowest]
    return rng.choice(ties)


@policy("random")
def random_server(
    candidates: Sequence[ServerLoad], rng: random.Random
) -> ServerLoad:
    """Choose at random; the baseline for the comparison of policies."""
    return rng.choice(candidates)


@policy("power_of_two")
def power_of_two(
    candidates: Sequence[ServerLoad], rng: random.Random
) -> ServerLoad:
    """Choose the server with the lower share of busy slots of two.

    The two are drawn independently at random and may be the same server.
    """
    first = rng.choice(candidates)
    second = rng.choice(candidates)
    if second.busy / second.slots < first.busy / first.slots:
        return second
    return first
