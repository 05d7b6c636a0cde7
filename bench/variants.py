"""Runs the product with one design decision changed, for comparison.

Usage: python bench/variants.py VARIANT COMMAND...
"""

from collections.abc import Callable
import sys

import attrs

from vanilladrum import __main__ as command_line
from vanilladrum.core import membership as memberships
from vanilladrum.core import placement
from vanilladrum.core import starts

VARIANTS: dict[str, Callable[[], None]] = {}


def variant(change: Callable[[], None]) -> Callable[[], None]:
    """Register a variant under the name of its function."""
    VARIANTS[change.__name__] = change
    return change


@variant
def shipped() -> None:
    """Change nothing."""


@variant
def no_witness() -> None:
    """Issue tokens without a witness: a lost owner leaves all unknown."""
    choose = placement.choose_pair

    def alone(service: int, alive: list) -> placement.Pair | None:
        pair = choose(service, alive)
        return attrs.evolve(pair, witness=None) if pair else None

    placement.choose_pair = alone


@variant
def suspects_dispatch() -> None:
    """Let a suspected host stay dispatcher until it is declared dead."""

    def alive(self: memberships.Membership) -> list:
        found = [
            member
            for member in self.members.values()
            if member.state in (starts.State.ALIVE, starts.State.SUSPECT)
        ]
        if self.me.state == starts.State.ALIVE:
            found.append(self.me)
        return found

    memberships.Membership.trusted = alive


if __name__ == "__main__":
    VARIANTS[sys.argv.pop(1)]()
    command_line.main()
