"""Transitions of one non-idempotent request at its owner and its witness.

The owner is the one incarnation that a connection token names. It alone may
dispatch. Before it does, the witness that the token names has recorded the
request. A witness that is asked about a lost owner first fences it: it
acknowledges nothing more, so whatever it has not recorded can never run.
"""

import enum

import attrs


class Stage(enum.Enum):
    """Where a request stands at its owner."""

    NEW = "new"
    RECORDING = "recording"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Event(enum.Enum):
    """What happens to a request at its owner."""

    ARRIVED = "arrived"
    RECORDED = "recorded"
    FENCED = "fenced"
    WITNESS_SILENT = "witness_silent"
    DROPPED = "dropped"
    GRANTED = "granted"
    SERVER_ANSWERED = "server_answered"
    SERVER_DECLINED = "server_declined"
    SERVER_SILENT = "server_silent"


class Effect(enum.Enum):
    """What the owner does next."""

    NOTHING = "nothing"
    RECORD = "record"
    ENQUEUE = "enqueue"
    DISPATCH = "dispatch"
    TELL = "tell"


@attrs.frozen
class Transition:
    """The stage that follows and what the owner does."""

    stage: Stage
    effect: Effect


FINAL = frozenset({Stage.ANSWERED, Stage.REFUSED, Stage.UNKNOWN})

_OWNER = {
    (Stage.NEW, Event.ARRIVED): Transition(Stage.RECORDING, Effect.RECORD),
    (Stage.NEW, Event.DROPPED): Transition(Stage.REFUSED, Effect.TELL),
    (Stage.RECORDING, Event.ARRIVED): Transition(
        Stage.RECORDING, Effect.RECORD
    ),
    (Stage.RECORDING, Event.RECORDED): Transition(
        Stage.QUEUED, Effect.ENQUEUE
    ),
    (Stage.RECORDING, Event.FENCED): Transition(Stage.REFUSED, Effect.TELL),
    (Stage.RECORDING, Event.WITNESS_SILENT): Transition(
        Stage.REFUSED, Effect.TELL
    ),
    (Stage.RECORDING, Event.DROPPED): Transition(Stage.REFUSED, Effect.TELL),
    (Stage.QUEUED, Event.DROPPED): Transition(Stage.REFUSED, Effect.TELL),
    (Stage.QUEUED, Event.GRANTED): Transition(
        Stage.DISPATCHED, Effect.DISPATCH
    ),
    (Stage.DISPATCHED, Event.SERVER_ANSWERED): Transition(
        Stage.ANSWERED, Effect.TELL
    ),
    (Stage.DISPATCHED, Event.SERVER_DECLINED): Transition(
        Stage.QUEUED, Effect.ENQUEUE
    ),
    (Stage.DISPATCHED, Event.SERVER_SILENT): Transition(
        Stage.UNKNOWN, Effect.TELL
    ),
    (Stage.ANSWERED, Event.ARRIVED): Transition(Stage.ANSWERED, Effect.TELL),
    (Stage.REFUSED, Event.ARRIVED): Transition(Stage.REFUSED, Effect.TELL),
    (Stage.UNKNOWN, Event.ARRIVED): Transition(Stage.UNKNOWN, Effect.TELL),
}


def advance(stage: Stage, event: Event) -> Transition:
    """Return what follows; an event that does not apply changes nothing.

    >>> advance(Stage.QUEUED, Event.GRANTED).effect.name
    'DISPATCH'
    >>> advance(Stage.REFUSED, Event.GRANTED).effect.name
    'NOTHING'
    """
    return _OWNER.get((stage, event), Transition(stage, Effect.NOTHING))


def handed_over(stage: Stage) -> Stage:
    """Return the stage in which a request goes to the heir of its owner.

    The owner has ended. What it had begun and not finished may have run;
    what it had not begun never will.
    """
    if stage in FINAL:
        return stage
    if stage in (Stage.QUEUED, Stage.DISPATCHED):
        return Stage.UNKNOWN
    return Stage.REFUSED


class Judgement(enum.Enum):
    """What a witness knows of a request whose owner is lost."""

    NEVER_RUN = "never_run"
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class WitnessView:
    """What a witness holds for one owner and one request.

    :param fenced: whether the owner has been given up for good.
    :param recorded: whether the request was recorded before that.
    """

    fenced: bool = False
    recorded: bool = False


def record(view: WitnessView) -> WitnessView:
    """Record a request on behalf of its owner, unless that is fenced.

    The owner may dispatch only when the result is not fenced.
    """
    if view.fenced:
        return view
    return attrs.evolve(view, recorded=True)


def judge(view: WitnessView) -> tuple[WitnessView, Judgement]:
    """Fence the owner and tell what may have become of the request.

    >>> judge(WitnessView())[1].name
    'NEVER_RUN'
    >>> judge(record(WitnessView()))[1].name
    'MAY_HAVE_RUN'
    """
    fenced = attrs.evolve(view, fenced=True)
    if view.recorded:
        return fenced, Judgement.MAY_HAVE_RUN
    return fenced, Judgement.NEVER_RUN
