"""Mutants of the ownership protocol and the invariants that they violate."""

from collections.abc import Callable

from model import ownership as ownership_model
from vanilladrum.core import ownership

Stage = ownership.Stage
Event = ownership.Event


def _make_advance(
    stage: Stage, event: Event, next_stage: Stage, effect: ownership.Effect
) -> Callable:
    """Return the production transition function with one entry replaced."""

    def advance(
        current_stage: Stage, current_event: Event
    ) -> ownership.Transition:
        if (current_stage, current_event) == (stage, event):
            return ownership.Transition(next_stage, effect)
        return ownership.advance(current_stage, current_event)

    return advance


def _resolve_without_fence(state: ownership.WitnessState) -> tuple:
    _, status = ownership.fence_and_check(state)
    return state, status


def _hand_over_only_final(stage: Stage) -> Stage:
    return stage if stage in ownership.FINAL_STAGES else Stage.REFUSED


MUTANTS = (
    ownership_model.Rules(
        "retries_after_silence",
        "executes_once",
        advance=_make_advance(
            Stage.DISPATCHED,
            Event.SERVER_SILENT,
            Stage.QUEUED,
            ownership.Effect.ENQUEUE,
        ),
    ),
    ownership_model.Rules(
        "forgets_refusals",
        "not_run_is_true",
        advance=_make_advance(
            Stage.REFUSED,
            Event.ARRIVED,
            Stage.RECORDING,
            ownership.Effect.RECORD,
        ),
    ),
    ownership_model.Rules(
        "dispatches_unrecorded",
        "not_run_is_true",
        advance=_make_advance(
            Stage.NEW, Event.ARRIVED, Stage.QUEUED, ownership.Effect.ENQUEUE
        ),
    ),
    ownership_model.Rules(
        "resolves_without_fence",
        "not_run_is_true",
        fence_and_check=_resolve_without_fence,
    ),
    ownership_model.Rules(
        "runs_when_witness_silent",
        "not_run_is_true",
        advance=_make_advance(
            Stage.RECORDING,
            Event.WITNESS_SILENT,
            Stage.QUEUED,
            ownership.Effect.ENQUEUE,
        ),
    ),
    ownership_model.Rules(
        "hands_over_only_final",
        "not_run_is_true",
        stage_after_handover=_hand_over_only_final,
    ),
    ownership_model.Rules(
        "takes_replies_to_ended_attempts",
        "not_run_is_true",
        ignores_ended_attempts=False,
    ),
    ownership_model.Rules(
        "matches_by_order", "answer_belongs", matches_token=False
    ),
    ownership_model.Rules(
        "ignores_service", "own_service", checks_service=False
    ),
    ownership_model.Rules("successor_runs", "one_holder", successor_runs=True),
)
LIVENESS_MUTANT = ownership_model.Rules(
    "silent_when_both_lost", "liveness", tells_when_both_lost=False
)
ALL_MUTANTS = (*MUTANTS, LIVENESS_MUTANT)
