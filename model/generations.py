"""Model of changes: two operators, a platform, entry hosts and peers.

The platform may be away at any time, an update may take effect late or
without its confirmation, and the object may be restored from an old copy.
Entry hosts learn from the platform, also by a stale watch, and from each
other, in any order. Decisions are the shipped functions.
"""

from collections.abc import Callable
from collections.abc import Iterator
import enum

import attrs
import minicheck

from model import stepping
from vanilladrum.core import generation as generations

OPERATORS = ("a", "b")
HOSTS = 2
RESTORES = 1
LAST_TICK = 4


class Phase(enum.Enum):
    """Where an operator stands."""

    IDLE = "idle"
    SENT = "sent"
    ASKING = "asking"
    ACCEPTED = "accepted"
    REFUSED = "refused"


@attrs.frozen
class Change:
    """One operator's change.

    :param base: version that it was made on.
    """

    phase: Phase = Phase.IDLE
    base: int = 0
    generation: int = 0


@attrs.frozen
class Stored:
    """The platform's object."""

    version: int = 0
    generation: int = 0
    operations: tuple[str, ...] = ()


@attrs.frozen
class State:
    """The whole system.

    :param past: objects that the platform has held.
    :param ever: operations that were ever accepted.
    :param clock: wall clock of the operators, in ticks.
    """

    changes: tuple[Change, ...] = (Change(),) * len(OPERATORS)
    stored: Stored = Stored()
    past: frozenset = frozenset({Stored()})
    ever: frozenset = frozenset()
    hosts: tuple[int, ...] = (0,) * HOSTS
    highest: tuple[int, ...] = (0,) * HOSTS
    restores: int = 0
    clock: int = 0
    stale_acceptance: bool = False


@attrs.frozen
class Rules:
    """The shipped protocol, or a mutant of it in one respect."""

    name: str = "shipped"
    breaks: str = ""
    adopts: Callable = generations.adopts
    following: Callable = generations.following
    resolve: Callable = generations.resolve
    conditional: bool = True


@attrs.frozen
class Generations:
    """Steps of the model under some rules."""

    rules: Rules

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Return every step that may follow."""
        for number, change in enumerate(state.changes):
            yield from self._operator(state, number, change)
        for number in range(HOSTS):
            offers = {state.stored.generation, *state.hosts}
            # A stale watch may bring anything that was ever held.
            offers |= {each.generation for each in state.past}
            for offered in sorted(offers):
                if self.rules.adopts(state.hosts[number], offered):
                    yield (
                        f"host {number} adopts",
                        _adopt(state, number, offered),
                    )
        if state.restores < RESTORES:
            for old in sorted(state.past, key=lambda each: each.version):
                yield (
                    "restore",
                    attrs.evolve(
                        state,
                        # The platform counts versions on, content goes back.
                        stored=attrs.evolve(
                            old, version=state.stored.version + 1
                        ),
                        restores=state.restores + 1,
                    ),
                )

    def _operator(
        self, state: State, number: int, change: Change
    ) -> Iterator[tuple[str, State]]:
        if change.phase == Phase.IDLE:
            clock = min(LAST_TICK, max((state.clock, *state.hosts)) + 1)
            made = Change(
                Phase.SENT,
                state.stored.version,
                self.rules.following(state.stored.generation, clock),
            )
            yield (
                f"{number} sends",
                attrs.evolve(_with(state, number, made), clock=clock),
            )
            return
        if change.base == state.stored.version or not self.rules.conditional:
            if change.phase in (Phase.SENT, Phase.ASKING):
                yield from self._accept(state, number, change)
            else:
                # A late copy of an update that the operator has given up.
                yield from self._accept_late(state, number, change)
        if change.phase == Phase.SENT:
            asking = attrs.evolve(change, phase=Phase.ASKING)
            yield f"{number} hears nothing", _with(state, number, asking)
        if change.phase == Phase.ASKING:
            yield from self._read_back(state, number, change)

    def _accept(
        self, state: State, number: int, change: Change
    ) -> Iterator[tuple[str, State]]:
        after = _store(state, number, change)
        told = attrs.evolve(change, phase=Phase.ACCEPTED)
        yield f"{number} is confirmed", _with(after, number, told)
        lost = attrs.evolve(change, phase=Phase.ASKING)
        yield f"{number} loses the confirmation", _with(after, number, lost)

    def _accept_late(
        self, state: State, number: int, change: Change
    ) -> Iterator[tuple[str, State]]:
        if change.phase == Phase.REFUSED:
            yield f"late update of {number}", _store(state, number, change)

    def _read_back(
        self, state: State, number: int, change: Change
    ) -> Iterator[tuple[str, State]]:
        found = self.rules.resolve(
            OPERATORS[number],
            change.base,
            state.stored.version,
            state.stored.operations,
        )
        if found == generations.Resolution.ACCEPTED:
            told = attrs.evolve(change, phase=Phase.ACCEPTED)
            yield f"{number} reads acceptance", _with(state, number, told)
        if found == generations.Resolution.REFUSED:
            told = attrs.evolve(change, phase=Phase.REFUSED)
            yield f"{number} reads refusal", _with(state, number, told)


def _adopt(state: State, number: int, offered: int) -> State:
    hosts = list(state.hosts)
    highest = list(state.highest)
    hosts[number] = offered
    highest[number] = max(highest[number], offered)
    return attrs.evolve(state, hosts=tuple(hosts), highest=tuple(highest))


def _store(state: State, number: int, change: Change) -> State:
    name = OPERATORS[number]
    stored = Stored(
        state.stored.version + 1,
        change.generation,
        (*state.stored.operations, name),
    )
    in_force = max(state.hosts)
    return attrs.evolve(
        state,
        stored=stored,
        past=state.past | {stored},
        ever=state.ever | {name},
        stale_acceptance=state.stale_acceptance
        or change.generation <= in_force,
    )


def _with(state: State, number: int, change: Change) -> State:
    changes = list(state.changes)
    changes[number] = change
    return attrs.evolve(state, changes=tuple(changes))


def never_reverts(fields: dict) -> bool:
    """No entry host goes back to an older generation."""
    state = fields["state"]
    return state.hosts == state.highest


def success_is_true(fields: dict) -> bool:
    """Whoever is told of success had the change accepted."""
    state = fields["state"]
    return all(
        name in state.ever
        for name, change in zip(OPERATORS, state.changes, strict=True)
        if change.phase == Phase.ACCEPTED
    )


def refusal_is_true(fields: dict) -> bool:
    """Whoever is told of a refusal never has the change accepted.

    Claimed as long as no old copy of the object was restored.
    """
    state = fields["state"]
    return bool(state.restores) or not any(
        name in state.ever
        for name, change in zip(OPERATORS, state.changes, strict=True)
        if change.phase == Phase.REFUSED
    )


def accepted_is_newer(fields: dict) -> bool:
    """An accepted change is above all that is in force, so it gets there."""
    return not fields["state"].stale_acceptance


INVARIANTS = {
    each.__name__: each
    for each in (
        never_reverts,
        success_is_true,
        refusal_is_true,
        accepted_is_newer,
    )
}


def protocol(rules: Rules) -> minicheck.Protocol:
    """Return the model under some rules."""
    model = Generations(rules)
    return stepping.make_protocol(
        name=f"generations-{rules.name}",
        initial=State(),
        steps=model.steps,
        invariants=INVARIANTS,
        goal=lambda fields: (
            len(set(fields["state"].hosts)) == 1
            and fields["state"].hosts[0] >= fields["state"].stored.generation
        ),
    )


def _last_operation_only(
    operation: str, base: int, version: int, operations: tuple[str, ...]
) -> generations.Resolution:
    return generations.resolve(operation, base, version, operations[-1:])


def _success_on_any_newer(
    operation: str, base: int, version: int, operations: tuple[str, ...]
) -> generations.Resolution:
    if version > base:
        return generations.Resolution.ACCEPTED
    return generations.Resolution.REPEAT


MUTANTS = (
    Rules("adopts_anything", "never_reverts", adopts=lambda a, b: a != b),
    Rules(
        "success_on_any_newer",
        "success_is_true",
        resolve=_success_on_any_newer,
    ),
    Rules(
        "last_operation_only", "refusal_is_true", resolve=_last_operation_only
    ),
    Rules("unconditional", "refusal_is_true", conditional=False),
    Rules(
        "counts_from_stored",
        "accepted_is_newer",
        following=lambda stored, now: stored + 1,
    ),
)
