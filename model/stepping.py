"""Models whose state changes step by step, as the checker takes them."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import minicheck

Steps = Callable[[Any], Iterable[tuple[str, Any]]]
Claim = Callable[[dict], bool]


def make_protocol(
    name: str,
    initial: object,
    steps: Steps,
    invariants: dict[str, Claim],
    goal: Claim,
) -> minicheck.Protocol:
    """Return a protocol whose one field, ``state``, is the whole state.

    :param steps: returns label and next state of all steps from a state.
    :param goal: holds in states in which nothing is left to do.
    """
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=("state",),
        initial=(initial,),
        transitions=lambda fields: [
            (label, (after,)) for label, after in steps(fields[0])
        ],
        invariants=invariants,
        goal=goal,
    )
