"""Runs vanilladrum with one design decision changed, for comparison.

Usage: python bench/variants.py VARIANT COMMAND...
"""

from collections.abc import Callable
import sys

import attrs

from vanilladrum import __main__ as command_line
from vanilladrum.core import incarnations
from vanilladrum.core import membership as memberships
from vanilladrum.core import placement

VARIANTS: dict[str, Callable[[], None]] = {}


def variant(patch: Callable[[], None]) -> Callable[[], None]:
    """Register a variant, a function that patches modules, by its name."""
    VARIANTS[patch.__name__] = patch
    return patch


@variant
def shipped() -> None:
    """Change nothing."""


@variant
def no_witness() -> None:
    """Issue connection tokens without a witness.

    The outcome of all requests of a lost owner is then unknown.
    """
    original_choose_pair = placement.choose_pair

    def choose_without_witness(
        service: int, candidates: list
    ) -> placement.DispatcherPair | None:
        pair = original_choose_pair(service, candidates)
        return attrs.evolve(pair, witness=None) if pair else None

    placement.choose_pair = choose_without_witness


@variant
def suspects_dispatch() -> None:
    """Let a suspected host remain dispatcher until it is declared dead."""

    def alive_or_suspected(self: memberships.Membership) -> list:
        members = [
            member
            for member in self.members.values()
            if member.state
            in (incarnations.State.ALIVE, incarnations.State.SUSPECT)
        ]
        if self.own_entry.state == incarnations.State.ALIVE:
            members.append(self.own_entry)
        return members

    memberships.Membership.dispatch_candidates = alive_or_suspected


if __name__ == "__main__":
    VARIANTS[sys.argv.pop(1)]()
    command_line.main()
