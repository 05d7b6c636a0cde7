"""State machine that runs each non-idempotent request at most once.

Every connection token names an owner and a witness, each by its
incarnation. Only the owner may dispatch the connection's non-idempotent
requests, and only after the witness has confirmed that it recorded the
request. A token without a witness lets the owner dispatch at once.

When the owner is lost, the witness determines whether a request may have
run. It fences the owner first, that is, it rejects all further records from
that incarnation. A request that is not recorded by then can never run.
"""

import enum

import attrs


class Stage(enum.Enum):
    """Processing stage of a request at its owner.

    ``RECORDING`` waits for the witness to confirm the record. ``REFUSED``
    means that the request will never run, ``UNKNOWN`` that it may have run.
    """

    NEW = "new"
    RECORDING = "recording"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Event(enum.Enum):
    """Input of the owner's state machine.

    ``ARRIVED`` is a caller's packet. ``RECORDED``, ``FENCED`` and
    ``WITNESS_SILENT`` (no reply in time) are results of recording the
    request at the witness. ``DROPPED`` means that the owner will not
    dispatch the request, ``GRANTED`` that a server's slot was assigned to
    it. The ``SERVER_`` events are results of an attempt; a server that
    declines has not run the request.
    """

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
    """Action that the owner performs on a transition.

    ``RECORD`` sends the request to the witness, ``ENQUEUE`` adds it to the
    dispatcher's queue, ``DISPATCH`` sends it to a server and ``TELL`` sends
    the final response to the caller.
    """

    NOTHING = "nothing"
    RECORD = "record"
    ENQUEUE = "enqueue"
    DISPATCH = "dispatch"
    TELL = "tell"


@attrs.frozen
class Transition:
    """Next stage of a request and the action that goes with it."""

    stage: Stage
    effect: Effect


FINAL_STAGES = frozenset({Stage.ANSWERED, Stage.REFUSED, Stage.UNKNOWN})

_TRANSITIONS = {
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
    """Return the transition for an event.

    An event that does not apply to the stage leaves it unchanged, with
    :attr:`Effect.NOTHING`.

    >>> advance(Stage.QUEUED, Event.GRANTED).effect.name
    'DISPATCH'
    >>> advance(Stage.REFUSED, Event.GRANTED).effect.name
    'NOTHING'
    """
    return _TRANSITIONS.get((stage, event), Transition(stage, Effect.NOTHING))


def stage_after_handover(stage: Stage) -> Stage:
    """Return the stage that the owner's successor takes over.

    The owner has stopped. A request that was queued or dispatched counts as
    one that may have run; a request in an earlier stage will never run.
    """
    if stage in FINAL_STAGES:
        return stage
    if stage in (Stage.QUEUED, Stage.DISPATCHED):
        return Stage.UNKNOWN
    return Stage.REFUSED


class ExecutionStatus(enum.Enum):
    """Whether a request of a lost owner may have run."""

    NEVER_RUN = "never_run"
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class WitnessState:
    """State of a witness for one owner and one request.

    :param fenced: whether records from the owner are rejected for good.
    :param recorded: whether the request was recorded before the owner was
        fenced.
    """

    fenced: bool = False
    recorded: bool = False


def record(state: WitnessState) -> WitnessState:
    """Return the state after the owner asked to record the request.

    A fenced owner's request is not recorded. The owner may dispatch only
    if the returned state is not fenced.
    """
    if state.fenced:
        return state
    return attrs.evolve(state, recorded=True)


def fence_and_check(
    state: WitnessState,
) -> tuple[WitnessState, ExecutionStatus]:
    """Fence the owner and return whether the request may have run.

    >>> fence_and_check(WitnessState())[1].name
    'NEVER_RUN'
    >>> fence_and_check(record(WitnessState()))[1].name
    'MAY_HAVE_RUN'
    """
    fenced = attrs.evolve(state, fenced=True)
    if state.recorded:
        return fenced, ExecutionStatus.MAY_HAVE_RUN
    return fenced, ExecutionStatus.NEVER_RUN
