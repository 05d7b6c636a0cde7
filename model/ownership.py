"""Model of request ownership: entry hosts, caller, servers, network.

Owner and witness use the production transition functions of
:mod:`vanilladrum.core.ownership`. The successor is the entry host that takes
over the owner's table at a planned stop. The network stores every message
forever and delivers it any number of times, in any order, or never, so that
loss, duplication, delay and a paused host need no transitions of their own.
Entry hosts may have any view of each other: a packet may reach the owner, the
witness that decides for a lost owner, or the successor.
"""

from collections.abc import Callable
from collections.abc import Iterator
import enum

import attrs
import minicheck

from model import stepping
from vanilladrum.core import ownership

Stage = ownership.Stage
Event = ownership.Event
SERVER_COUNT = 2
NOT_RUN = "not_run"
UNKNOWN = "unknown"


class HostState(enum.Enum):
    """State of an entry host; ``CLOSED`` after a planned stop."""

    UP = "up"
    CRASHED = "crashed"
    CLOSED = "closed"


class AttemptState(enum.Enum):
    """State of the attempt to execute a request on one server."""

    NOT_SENT = "not_sent"
    SENT = "sent"
    EXECUTED = "executed"
    DECLINED = "declined"


@attrs.frozen
class RequestState:
    """State of one request on all hosts, and its messages in the network.

    :param stage: stage of the request at its owner.
    :param record_stored: whether the witness has recorded the request.
    :param record: whether the owner's record message to the witness is in
        the network.
    :param recorded: whether the witness's confirmation is in the network.
    :param refused: whether the witness's refusal of a fenced owner is in the
        network.
    :param attempts: state of the attempt on each server.
    :param current_server: server whose reply the owner waits for.
    :param executions: number of executions by servers.
    :param foreign_executions: number of executions by servers of another
        service.
    :param outcomes: all outcomes that were sent to the caller; an integer is
        the answer to the request with that number.
    :param handed_over_stage: stage in which the successor received the
        request.
    :param successor_runs: whether the successor has executed the request.
    """

    stage: Stage = Stage.NEW
    record_stored: bool = False
    record: bool = False
    recorded: bool = False
    refused: bool = False
    attempts: tuple[AttemptState, ...] = (
        AttemptState.NOT_SENT,
    ) * SERVER_COUNT
    current_server: int | None = None
    executions: int = 0
    foreign_executions: int = 0
    outcomes: frozenset = frozenset()
    handed_over_stage: Stage | None = None
    successor_runs: bool = False


@attrs.frozen
class State:
    """State of the whole system.

    :param fenced: whether the witness has fenced the owner.
    """

    requests: tuple[RequestState, ...]
    owner: HostState = HostState.UP
    witness: HostState = HostState.UP
    successor: HostState = HostState.UP
    fenced: bool = False


@attrs.frozen
class Rules:
    """Decision functions of the protocol; a mutant changes one of them.

    :param breaks: invariant that the mutant violates, or ``liveness``.
    :param advance: transition function of the owner.
    :param fence_and_check: function by which the witness fences the owner
        and decides whether a request may have been executed.
    :param stage_after_handover: maps the stage of a request at the owner to
        that at the successor.
    :param checks_service: whether servers of another service refuse a
        request.
    :param matches_token: whether the owner assigns answers to requests by
        their token.
    :param successor_runs: whether the successor executes requests that
        were refused.
    :param ignores_ended_attempts: whether the owner ignores replies of
        servers whose attempt has ended.
    :param tells_when_both_lost: whether the outcome is reported as unknown
        when both owner and witness are lost.
    """

    name: str = "shipped"
    breaks: str = ""
    advance: Callable = ownership.advance
    fence_and_check: Callable = ownership.fence_and_check
    stage_after_handover: Callable = ownership.stage_after_handover
    checks_service: bool = True
    matches_token: bool = True
    successor_runs: bool = False
    ignores_ended_attempts: bool = True
    tells_when_both_lost: bool = True


@attrs.frozen
class OwnershipModel:
    """State transitions of the model for a set of rules."""

    rules: Rules

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the label and next state of every enabled transition."""
        yield from self._crash_steps(state)
        for number, request in enumerate(state.requests):
            for label, changed, shared in self._request_steps(
                state, number, request
            ):
                requests = list(state.requests)
                requests[number] = changed
                yield (
                    f"{label} {number}",
                    attrs.evolve(state, requests=tuple(requests), **shared),
                )
        if state.owner == HostState.UP:
            yield from self._crossed_answer_steps(state)
            yield from self._hand_over_step(state)

    def _crash_steps(self, state: State) -> Iterator[tuple[str, State]]:
        for name in ("owner", "witness", "successor"):
            if getattr(state, name) == HostState.UP:
                yield (
                    f"{name} crashes",
                    attrs.evolve(state, **{name: HostState.CRASHED}),
                )

    def _hand_over_step(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield a planned stop.

        It is possible with open requests, because the drain time is limited.
        """
        handed_over = tuple(
            attrs.evolve(
                each,
                handed_over_stage=self.rules.stage_after_handover(each.stage),
            )
            for each in state.requests
        )
        yield (
            "owner hands over",
            attrs.evolve(state, owner=HostState.CLOSED, requests=handed_over),
        )

    def _request_steps(
        self, state: State, number: int, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        if state.owner == HostState.UP:
            yield from self._owner_steps(number, request)
        if state.witness == HostState.UP:
            yield from self._witness_steps(state, request)
        if (
            state.successor == HostState.UP
            and request.handed_over_stage is not None
        ):
            yield from self._successor_steps(number, request)
        yield from self._server_steps(request)
        both_lost = (
            state.owner != HostState.UP and state.witness != HostState.UP
        )
        if both_lost and self.rules.tells_when_both_lost:
            yield (
                "owner and witness lost",
                _report_outcome(request, UNKNOWN),
                {},
            )
        if not self.rules.checks_service:
            yield (
                "server of another service executes",
                attrs.evolve(request, foreign_executions=1),
                {},
            )

    def _owner_steps(
        self, number: int, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        events = [Event.ARRIVED, Event.DROPPED]
        if request.recorded:
            events.append(Event.RECORDED)
        if request.refused:
            events.append(Event.FENCED)
        if request.stage == Stage.RECORDING:
            events.append(Event.WITNESS_SILENT)
        if request.stage == Stage.DISPATCHED:
            events.append(Event.SERVER_SILENT)
        for event in events:
            changed = self._apply_event(number, request, event)
            if changed != request:
                yield f"owner {event.value}", changed, {}
        yield from self._dispatch_steps(number, request)
        yield from self._reply_steps(number, request)

    def _dispatch_steps(
        self, number: int, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        granted = self._apply_event(number, request, Event.GRANTED)
        if granted == request:
            return
        for server in range(SERVER_COUNT):
            if request.attempts[server] == AttemptState.NOT_SENT:
                sent = _set_attempt(granted, server, AttemptState.SENT)
                sent = attrs.evolve(sent, current_server=server)
                yield f"dispatch to server {server}", sent, {}

    def _reply_steps(
        self, number: int, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        for server in range(SERVER_COUNT):
            ended = server != request.current_server
            if ended and self.rules.ignores_ended_attempts:
                continue
            if request.attempts[server] == AttemptState.EXECUTED:
                changed = self._apply_event(
                    number, request, Event.SERVER_ANSWERED
                )
                yield f"answer of server {server}", changed, {}
            if request.attempts[server] == AttemptState.DECLINED:
                changed = self._apply_event(
                    number, request, Event.SERVER_DECLINED
                )
                yield f"declining reply of server {server}", changed, {}

    def _crossed_answer_steps(
        self, state: State
    ) -> Iterator[tuple[str, State]]:
        if self.rules.matches_token or len(state.requests) < 2:
            return
        first, second = state.requests[:2]
        waiting = first.stage == second.stage == Stage.DISPATCHED
        if waiting and AttemptState.EXECUTED in second.attempts:
            crossed = attrs.evolve(
                first, stage=Stage.ANSWERED, outcomes=first.outcomes | {1}
            )
            yield (
                "answer to the wrong request",
                attrs.evolve(state, requests=(crossed, second)),
            )

    def _witness_steps(
        self, state: State, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        witness_state = ownership.WitnessState(
            state.fenced, request.record_stored
        )
        if request.record:
            new_witness_state = ownership.record(witness_state)
            reply = (
                {"refused": True}
                if new_witness_state.fenced
                else {"recorded": True}
            )
            yield (
                "record reaches witness",
                attrs.evolve(
                    request, record_stored=new_witness_state.recorded, **reply
                ),
                {},
            )
        new_witness_state, status = self.rules.fence_and_check(witness_state)
        outcome = UNKNOWN
        if status == ownership.ExecutionStatus.NEVER_RUN:
            outcome = NOT_RUN
        yield (
            "witness decides",
            _report_outcome(request, outcome),
            {"fenced": new_witness_state.fenced},
        )

    def _successor_steps(
        self, number: int, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        if (
            self.rules.successor_runs
            and request.handed_over_stage == Stage.REFUSED
        ):
            yield (
                "successor executes",
                attrs.evolve(request, successor_runs=True, executions=1),
                {},
            )
            return
        outcome = _final_outcome(number, request.handed_over_stage)
        yield "successor reports", _report_outcome(request, outcome), {}

    def _server_steps(
        self, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        # A server detects duplicates by their message ID, so it executes or
        # declines an attempt only once.
        for server in range(SERVER_COUNT):
            if request.attempts[server] != AttemptState.SENT:
                continue
            executed = _set_attempt(request, server, AttemptState.EXECUTED)
            yield (
                f"server {server} executes",
                attrs.evolve(executed, executions=executed.executions + 1),
                {},
            )
            declined = _set_attempt(request, server, AttemptState.DECLINED)
            yield f"server {server} declines", declined, {}

    def _apply_event(
        self, number: int, request: RequestState, event: Event
    ) -> RequestState:
        transition = self.rules.advance(request.stage, event)
        changed = attrs.evolve(request, stage=transition.stage)
        if transition.effect == ownership.Effect.RECORD:
            return attrs.evolve(changed, record=True)
        if transition.effect == ownership.Effect.TELL:
            return _report_outcome(
                changed, _final_outcome(number, transition.stage)
            )
        return changed


def _final_outcome(number: int, stage: Stage) -> object:
    if stage == Stage.ANSWERED:
        return number
    return NOT_RUN if stage == Stage.REFUSED else UNKNOWN


def _report_outcome(request: RequestState, outcome: object) -> RequestState:
    return attrs.evolve(request, outcomes=request.outcomes | {outcome})


def _set_attempt(
    request: RequestState, server: int, attempt: AttemptState
) -> RequestState:
    attempts = list(request.attempts)
    attempts[server] = attempt
    return attrs.evolve(request, attempts=tuple(attempts))


def executes_once(fields: dict) -> bool:
    """No request is executed twice."""
    return all(each.executions <= 1 for each in fields["state"].requests)


def not_run_is_true(fields: dict) -> bool:
    """A request reported as not run is never executed, before or after."""
    return not any(
        NOT_RUN in each.outcomes and each.executions
        for each in fields["state"].requests
    )


def answer_belongs(fields: dict) -> bool:
    """An answer belongs to its own request, which was executed."""
    for number, each in enumerate(fields["state"].requests):
        answers = {
            outcome for outcome in each.outcomes if type(outcome) is int
        }
        if answers and (answers != {number} or not each.executions):
            return False
    return True


def own_service(fields: dict) -> bool:
    """No request is executed by a server of another service."""
    return all(
        not each.foreign_executions for each in fields["state"].requests
    )


def one_holder(fields: dict) -> bool:
    """The successor never executes requests of the owner that has stopped."""
    return not any(each.successor_runs for each in fields["state"].requests)


INVARIANTS = {
    each.__name__: each
    for each in (
        executes_once,
        not_run_is_true,
        answer_belongs,
        own_service,
        one_holder,
    )
}


def every_request_has_outcome(fields: dict) -> bool:
    """An outcome has been reported for every request."""
    return all(each.outcomes for each in fields["state"].requests)


def protocol(requests: int, rules: Rules) -> minicheck.Protocol:
    """Return the model for a set of rules as a minicheck protocol.

    :param requests: number of requests.
    """
    model = OwnershipModel(rules)
    initial = State((RequestState(),) * requests)
    return stepping.make_protocol(
        name=f"ownership-{rules.name}",
        initial=initial,
        steps=model.steps,
        invariants=INVARIANTS,
        goal=every_request_has_outcome,
    )
