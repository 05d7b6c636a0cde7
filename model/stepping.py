"""Builds minicheck protocols from models with a single state object."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import minicheck

# Maps a state to the label and next state of each enabled transition.
Transitions = Callable[[Any], Iterable[tuple[str, Any]]]
# Evaluates the protocol's fields, here only ``state``.
Predicate = Callable[[dict], bool]


def make_protocol(
    name: str,
    initial: object,
    steps: Transitions,
    invariants: dict[str, Predicate],
    goal: Predicate,
) -> minicheck.Protocol:
    """Return a protocol whose only field, ``state``, holds the model state.

    :param initial: the only initial state.
    :param steps: returns the label and next state of every transition that
        is enabled in a state.
    :param goal: predicate that every execution must be able to reach; used
        by the liveness check.
    """
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=("state",),
        initial=(initial,),
        transitions=lambda fields: [
            (label, (next_state,)) for label, next_state in steps(fields[0])
        ],
        invariants=invariants,
        goal=goal,
    )
