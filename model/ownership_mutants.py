"""Mutants of the ownership protocol, each with the claim that it breaks."""

from collections.abc import Callable

from model import ownership as models
from vanilladrum.core import ownership

Stage = ownership.Stage
Event = ownership.Event


def _mutant(
    stage: Stage, event: Event, after: Stage, effect: ownership.Effect
) -> Callable:
    def advance(now: Stage, happened: Event) -> ownership.Transition:
        if (now, happened) == (stage, event):
            return ownership.Transition(after, effect)
        return ownership.advance(now, happened)

    return advance


def _judge_without_fence(view: ownership.WitnessView) -> tuple:
    _, judgement = ownership.judge(view)
    return view, judgement


def _hand_over_only_final(stage: Stage) -> Stage:
    return stage if stage in ownership.FINAL else Stage.REFUSED


MUTANTS = (
    models.Rules(
        "retries_after_silence",
        "executes_once",
        advance=_mutant(
            Stage.DISPATCHED,
            Event.SERVER_SILENT,
            Stage.QUEUED,
            ownership.Effect.ENQUEUE,
        ),
    ),
    models.Rules(
        "forgets_refusals",
        "not_run_is_true",
        advance=_mutant(
            Stage.REFUSED,
            Event.ARRIVED,
            Stage.RECORDING,
            ownership.Effect.RECORD,
        ),
    ),
    models.Rules(
        "dispatches_unrecorded",
        "not_run_is_true",
        advance=_mutant(
            Stage.NEW, Event.ARRIVED, Stage.QUEUED, ownership.Effect.ENQUEUE
        ),
    ),
    models.Rules(
        "judges_without_fence", "not_run_is_true", judge=_judge_without_fence
    ),
    models.Rules(
        "runs_when_witness_silent",
        "not_run_is_true",
        advance=_mutant(
            Stage.RECORDING,
            Event.WITNESS_SILENT,
            Stage.QUEUED,
            ownership.Effect.ENQUEUE,
        ),
    ),
    models.Rules(
        "hands_over_only_final",
        "not_run_is_true",
        handed_over=_hand_over_only_final,
    ),
    models.Rules(
        "takes_replies_to_ended_attempts",
        "not_run_is_true",
        ignores_ended_attempts=False,
    ),
    models.Rules("matches_by_order", "answer_belongs", matches_token=False),
    models.Rules("ignores_service", "own_service", checks_service=False),
    models.Rules("heir_runs", "one_holder", heir_runs=True),
)
SILENT_MUTANT = models.Rules(
    "silent_when_both_lost", "liveness", tells_when_both_lost=False
)
ALL = (*MUTANTS, SILENT_MUTANT)
