"""Model of configuration changes: operators, a platform and entry hosts.

The platform may be unavailable at any time. An update may take effect late,
its confirmation may be lost, and the stored object may be restored from an
old backup; the platform then gives out its later versions again. Entry hosts
receive configurations from the platform, possibly through a stale watch, and
from each other, in any order, and store one again that the platform has lost.
The decisions on adoption, numbering and reading back are made by the
production functions of :mod:`vanilladrum.core.generation` and
:mod:`vanilladrum.core.update`.
"""

from collections.abc import Callable
from collections.abc import Iterator
import enum

import attrs
import minicheck

from model import stepping
from vanilladrum.core import generation as generations
from vanilladrum.core import update as updates

OPERATORS = ("a", "b", "c")
HOST_COUNT = 2
MAX_RESTORES = 1
# Bounds the number of states.
MAX_CLOCK_TICK = 4


class Phase(enum.Enum):
    """State of an operator's update.

    In ``READING_BACK``, the operator has received no confirmation and reads
    the stored object to find out whether the update was accepted.
    """

    IDLE = "idle"
    SENT = "sent"
    READING_BACK = "reading_back"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    IN_FORCE = "in_force"


@attrs.frozen
class Change:
    """One operator's update.

    :param base: stored state that the operator has read; the update is
        conditional on its version.
    :param generation: generation of the new configuration.
    :param restores: number of restores before the update was sent.
    """

    phase: Phase = Phase.IDLE
    base: updates.StoredState = updates.StoredState(0, 0)
    generation: int = 0
    restores: int = 0


@attrs.frozen
class StoredObject:
    """The configuration object on the platform.

    :param version: version that the platform assigns on each write.
    :param generation: generation of the stored configuration.
    :param operations: ids of the accepted updates, oldest first.
    """

    version: int = 0
    generation: int = 0
    operations: tuple[str, ...] = ()

    @property
    def state(self) -> updates.StoredState:
        """Return what an operator compares when it reads the object back."""
        return updates.StoredState(self.version, self.generation)


@attrs.frozen
class State:
    """State of the whole system.

    :param stored_history: all objects that the platform has stored.
    :param accepted_operations: ids of all updates that were ever accepted,
        including those lost by a restore.
    :param host_generations: generation in force on each entry host.
    :param highest_generations: highest generation that each entry host has
        had in force.
    :param restores: number of restores from an old backup.
    :param changes: update of each operator.
    :param stored: object on the platform now.
    :param clock: wall clock of the operators, in ticks; up to
        ``MAX_CLOCK_TICK``, it is above every generation in force when an
        update is sent.
    :param stale_acceptance: whether the platform accepted an update that was
        sent after the last restore and whose generation wasn't above all
        generations in force.
    :param repeated_over_unseen: whether an operator repeated an update over
        another change than the one that it was based on.
    :param false_confirmation: whether an operator was told that an update is
        in force while an entry host had a configuration without it.
    """

    changes: tuple[Change, ...]
    stored: StoredObject = StoredObject()
    stored_history: frozenset = frozenset({StoredObject()})
    accepted_operations: frozenset = frozenset()
    host_generations: tuple[int, ...] = (0,) * HOST_COUNT
    highest_generations: tuple[int, ...] = (0,) * HOST_COUNT
    restores: int = 0
    clock: int = 0
    stale_acceptance: bool = False
    repeated_over_unseen: bool = False
    false_confirmation: bool = False


@attrs.frozen
class Rules:
    """Decision functions of the protocol; a mutant replaces one of them.

    :param breaks: invariant that the mutant violates.
    :param adopts: decides whether an entry host replaces its generation, the
        first argument, by an offered one.
    :param following: returns the generation of an update, given the stored
        generation and the clock.
    :param resolve: decides from the stored object whether an unconfirmed
        update was accepted.
    :param confirm: decides whether an accepted update is in force.
    :param conditional: whether the platform checks the version on which an
        update is conditional.
    :param writes_back: whether an entry host stores the configuration in
        force again if the platform has an older one.
    :param operator_count: number of operators in the model.
    """

    name: str = "shipped"
    breaks: str = ""
    adopts: Callable = generations.is_newer
    following: Callable = generations.next_generation
    resolve: Callable = updates.resolve_update
    confirm: Callable = updates.confirm
    conditional: bool = True
    writes_back: bool = True
    operator_count: int = 2


@attrs.frozen
class GenerationModel:
    """State transitions of the model for a set of rules."""

    rules: Rules

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the label and next state of every enabled transition."""
        for number, change in enumerate(state.changes):
            yield from self._operator_steps(state, number, change)
        for number in range(HOST_COUNT):
            offered_generations = {
                state.stored.generation,
                *state.host_generations,
            }
            # A stale watch may deliver any object that was ever stored.
            offered_generations |= {
                each.generation for each in state.stored_history
            }
            for offered in sorted(offered_generations):
                if self.rules.adopts(state.host_generations[number], offered):
                    yield (
                        f"host {number} adopts",
                        _adopt(state, number, offered),
                    )
            if (
                self.rules.writes_back
                and state.host_generations[number] > state.stored.generation
            ):
                yield f"host {number} writes back", _write_back(state, number)
        if state.restores < MAX_RESTORES:
            for backup in sorted(
                state.stored_history, key=lambda each: each.version
            ):
                yield (
                    "restore",
                    attrs.evolve(
                        state, stored=backup, restores=state.restores + 1
                    ),
                )

    def _operator_steps(
        self, state: State, number: int, change: Change
    ) -> Iterator[tuple[str, State]]:
        if change.phase == Phase.IDLE:
            clock = min(
                MAX_CLOCK_TICK, max((state.clock, *state.host_generations)) + 1
            )
            sent = Change(
                Phase.SENT,
                state.stored.state,
                self.rules.following(state.stored.generation, clock),
                state.restores,
            )
            yield (
                f"operator {number} sends update",
                attrs.evolve(
                    _replace_change(state, number, sent), clock=clock
                ),
            )
            return
        if (
            change.base.version == state.stored.version
            or not self.rules.conditional
        ):
            if change.phase in (Phase.SENT, Phase.READING_BACK):
                yield from self._accept(state, number, change)
            else:
                # A delayed copy of an update that the operator has
                # already treated as refused.
                yield from self._accept_late(state, number, change)
        if change.phase == Phase.SENT:
            reading_back = attrs.evolve(change, phase=Phase.READING_BACK)
            yield (
                f"operator {number} times out",
                _replace_change(state, number, reading_back),
            )
        if change.phase == Phase.READING_BACK:
            yield from self._read_back(state, number, change)
        if change.phase == Phase.ACCEPTED:
            yield from self._confirm(state, number, change)

    def _accept(
        self, state: State, number: int, change: Change
    ) -> Iterator[tuple[str, State]]:
        next_state = _store_change(state, number, change)
        confirmed = attrs.evolve(change, phase=Phase.ACCEPTED)
        yield (
            f"operator {number} receives confirmation",
            _replace_change(next_state, number, confirmed),
        )
        unconfirmed = attrs.evolve(change, phase=Phase.READING_BACK)
        yield (
            f"confirmation for operator {number} is lost",
            _replace_change(next_state, number, unconfirmed),
        )

    def _accept_late(
        self, state: State, number: int, change: Change
    ) -> Iterator[tuple[str, State]]:
        if change.phase == Phase.REFUSED:
            yield (
                f"delayed update of operator {number}",
                _store_change(state, number, change),
            )

    def _confirm(
        self, state: State, number: int, change: Change
    ) -> Iterator[tuple[str, State]]:
        operation = OPERATORS[number]
        confirmation = self.rules.confirm(
            operation,
            change.generation,
            state.host_generations,
            state.stored.state,
            state.stored.operations,
        )
        if confirmation != updates.Confirmation.IN_FORCE:
            return
        is_false = any(
            operation not in _stored_with(state, generation).operations
            for generation in state.host_generations
        )
        in_force = attrs.evolve(change, phase=Phase.IN_FORCE)
        yield (
            f"operator {number} is told that its update is in force",
            attrs.evolve(
                _replace_change(state, number, in_force),
                false_confirmation=state.false_confirmation or is_false,
            ),
        )

    def _read_back(
        self, state: State, number: int, change: Change
    ) -> Iterator[tuple[str, State]]:
        resolution = self.rules.resolve(
            OPERATORS[number],
            change.base,
            state.stored.state,
            state.stored.operations,
        )
        if resolution == updates.Resolution.ACCEPTED:
            resolved = attrs.evolve(change, phase=Phase.ACCEPTED)
            yield (
                f"operator {number} reads back acceptance",
                _replace_change(state, number, resolved),
            )
        if resolution == updates.Resolution.REFUSED:
            resolved = attrs.evolve(change, phase=Phase.REFUSED)
            yield (
                f"operator {number} reads back refusal",
                _replace_change(state, number, resolved),
            )
        if (
            resolution == updates.Resolution.REPEAT
            and change.base.version == state.stored.version
        ):
            is_unseen = change.base != state.stored.state
            repeated = attrs.evolve(
                state,
                repeated_over_unseen=state.repeated_over_unseen or is_unseen,
            )
            yield from self._accept(repeated, number, change)


def _adopt(state: State, number: int, offered: int) -> State:
    in_force = list(state.host_generations)
    highest = list(state.highest_generations)
    in_force[number] = offered
    highest[number] = max(highest[number], offered)
    return attrs.evolve(
        state,
        host_generations=tuple(in_force),
        highest_generations=tuple(highest),
    )


def _stored_with(state: State, generation: int) -> StoredObject:
    """Return the latest stored object with a generation."""
    return max(
        (
            each
            for each in state.stored_history
            if each.generation == generation
        ),
        key=lambda each: each.version,
    )


def _write_back(state: State, number: int) -> State:
    lost = _stored_with(state, state.host_generations[number])
    stored = attrs.evolve(lost, version=state.stored.version + 1)
    return attrs.evolve(
        state,
        stored=stored,
        stored_history=state.stored_history | {stored},
    )


def _store_change(state: State, number: int, change: Change) -> State:
    operation = OPERATORS[number]
    stored = StoredObject(
        state.stored.version + 1,
        change.generation,
        (*state.stored.operations, operation),
    )
    in_force = max(state.host_generations)
    return attrs.evolve(
        state,
        stored=stored,
        stored_history=state.stored_history | {stored},
        accepted_operations=state.accepted_operations | {operation},
        stale_acceptance=state.stale_acceptance
        or (
            change.generation <= in_force and change.restores == state.restores
        ),
    )


def _replace_change(state: State, number: int, change: Change) -> State:
    changes = list(state.changes)
    changes[number] = change
    return attrs.evolve(state, changes=tuple(changes))


def never_reverts(fields: dict) -> bool:
    """No entry host reverts to an older generation."""
    state = fields["state"]
    return state.host_generations == state.highest_generations


def success_is_true(fields: dict) -> bool:
    """An operator that reports success had its update accepted."""
    state = fields["state"]
    return all(
        name in state.accepted_operations
        for name, change in zip(OPERATORS, state.changes, strict=False)
        if change.phase in (Phase.ACCEPTED, Phase.IN_FORCE)
    )


def refusal_is_true(fields: dict) -> bool:
    """An update that was reported as refused is never accepted.

    Holds only while no old backup of the object was restored.
    """
    state = fields["state"]
    return bool(state.restores) or not any(
        name in state.accepted_operations
        for name, change in zip(OPERATORS, state.changes, strict=False)
        if change.phase == Phase.REFUSED
    )


def accepted_is_newer(fields: dict) -> bool:
    """An accepted generation is above all that are in force.

    Otherwise the entry hosts would never adopt it. An update that was sent
    before a restore may be accepted after it, see ``confirmation_is_true``.
    """
    return not fields["state"].stale_acceptance


def repeats_over_base_only(fields: dict) -> bool:
    """No operator repeats an update over a change that it has not read."""
    return not fields["state"].repeated_over_unseen


def confirmation_is_true(fields: dict) -> bool:
    """An update that is confirmed to be in force is in force on all hosts."""
    return not fields["state"].false_confirmation


INVARIANTS = {
    each.__name__: each
    for each in (
        never_reverts,
        success_is_true,
        refusal_is_true,
        accepted_is_newer,
        repeats_over_base_only,
        confirmation_is_true,
    )
}


def protocol(rules: Rules) -> minicheck.Protocol:
    """Return the model for a set of rules as a minicheck protocol.

    Its goal is that all entry hosts have the stored generation in force.
    """
    model = GenerationModel(rules)
    return stepping.make_protocol(
        name=f"generations-{rules.name}",
        initial=State((Change(),) * rules.operator_count),
        steps=model.steps,
        invariants=INVARIANTS,
        goal=lambda fields: (
            set(fields["state"].host_generations)
            == {fields["state"].stored.generation}
        ),
    )


def _last_operation_only(
    operation: str,
    base: updates.StoredState,
    stored: updates.StoredState,
    operations: tuple[str, ...],
) -> updates.Resolution:
    return updates.resolve_update(operation, base, stored, operations[-1:])


def _success_on_any_newer(
    operation: str,
    base: updates.StoredState,
    stored: updates.StoredState,
    operations: tuple[str, ...],
) -> updates.Resolution:
    if stored.version > base.version:
        return updates.Resolution.ACCEPTED
    return updates.Resolution.REPEAT


def _versions_only(
    operation: str,
    base: updates.StoredState,
    stored: updates.StoredState,
    operations: tuple[str, ...],
) -> updates.Resolution:
    same_generation = attrs.evolve(stored, generation=base.generation)
    return updates.resolve_update(operation, base, same_generation, operations)


def _confirm_by_number(
    operation: str,
    generation: int,
    reported: tuple[int, ...],
    stored: updates.StoredState,
    operations: tuple[str, ...],
) -> updates.Confirmation:
    if min(reported) < generation:
        return updates.Confirmation.PENDING
    return updates.Confirmation.IN_FORCE


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
    Rules(
        "confirms_by_number",
        "confirmation_is_true",
        confirm=_confirm_by_number,
    ),
    Rules(
        "versions_only",
        "repeats_over_base_only",
        resolve=_versions_only,
        operator_count=3,
    ),
    Rules("never_writes_back", "liveness", writes_back=False),
)
