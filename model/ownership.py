"""Model of ownership: owner, witness, heir, caller, servers, network.

The steps of owner and witness are the shipped transition functions. The
network keeps every message for ever and delivers it any number of times, in
any order, or never, so that loss, copies, delay and a paused host need no
steps of their own. Views of entry hosts are arbitrary: a packet may go to
the owner, to the witness as the judge of a lost owner, or to the heir.
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
SERVERS = 2
NOT_RUN = "not_run"
UNKNOWN = "unknown"


class Host(enum.Enum):
    """State of an entry host."""

    UP = "up"
    CRASHED = "crashed"
    CLOSED = "closed"


class Reply(enum.Enum):
    """What a server did with an attempt, by its one reply."""

    NONE = "none"
    SENT = "sent"
    RAN = "ran"
    DECLINED = "declined"


@attrs.frozen
class RequestState:
    """One request with all messages that concern it.

    :param record: the owner's message to the witness is in the network.
    :param recorded: so is the witness's confirmation.
    :param refused: so is the witness's refusal of a fenced owner.
    :param attempts: per server, what is in the network.
    :param running: the server whose attempt the owner waits for.
    :param told: everything that the caller may be told; an integer is the
        answer to the request of that number.
    """

    stage: Stage = Stage.NEW
    known: bool = False
    record: bool = False
    recorded: bool = False
    refused: bool = False
    attempts: tuple[Reply, ...] = (Reply.NONE,) * SERVERS
    running: int | None = None
    runs: int = 0
    foreign_runs: int = 0
    told: frozenset = frozenset()
    inherited: Stage | None = None
    heir_runs: bool = False


@attrs.frozen
class State:
    """The whole system."""

    requests: tuple[RequestState, ...]
    owner: Host = Host.UP
    witness: Host = Host.UP
    heir: Host = Host.UP
    fenced: bool = False


@attrs.frozen
class Rules:
    """The shipped protocol, or a mutant of it in one respect."""

    name: str = "shipped"
    breaks: str = ""
    advance: Callable = ownership.advance
    judge: Callable = ownership.judge
    handed_over: Callable = ownership.handed_over
    checks_service: bool = True
    matches_token: bool = True
    heir_runs: bool = False
    ignores_ended_attempts: bool = True
    tells_when_both_lost: bool = True


@attrs.frozen
class Ownership:
    """Steps of the model under some rules."""

    rules: Rules

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Return every step that may follow."""
        yield from self._crashes(state)
        for number, request in enumerate(state.requests):
            for label, after, globals_ in self._request(
                state, number, request
            ):
                changed = list(state.requests)
                changed[number] = after
                yield (
                    f"{label} {number}",
                    attrs.evolve(state, requests=tuple(changed), **globals_),
                )
        if state.owner == Host.UP:
            yield from self._crossed_answers(state)
            yield from self._close(state)

    def _crashes(self, state: State) -> Iterator[tuple[str, State]]:
        for name in ("owner", "witness", "heir"):
            if getattr(state, name) == Host.UP:
                yield (
                    f"{name} crashes",
                    attrs.evolve(state, **{name: Host.CRASHED}),
                )

    def _close(self, state: State) -> Iterator[tuple[str, State]]:
        """A planned stop, in time or cut short by its drain limit."""
        handed = tuple(
            attrs.evolve(each, inherited=self.rules.handed_over(each.stage))
            for each in state.requests
        )
        yield (
            "owner hands over",
            attrs.evolve(state, owner=Host.CLOSED, requests=handed),
        )

    def _request(
        self, state: State, number: int, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        if state.owner == Host.UP:
            yield from self._owner(number, request)
        if state.witness == Host.UP:
            yield from self._witness(state, request)
        if state.heir == Host.UP and request.inherited is not None:
            yield from self._heir(number, request)
        yield from self._servers(request)
        both_lost = state.owner != Host.UP and state.witness != Host.UP
        if both_lost and self.rules.tells_when_both_lost:
            yield "both lost", _tell(request, UNKNOWN), {}
        if not self.rules.checks_service:
            yield (
                "foreign address",
                attrs.evolve(request, foreign_runs=1),
                {},
            )

    def _owner(
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
            after = self._apply(number, request, event)
            if after != request:
                yield f"owner {event.value}", after, {}
        yield from self._dispatch(number, request)
        yield from self._replies(number, request)

    def _dispatch(
        self, number: int, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        granted = self._apply(number, request, Event.GRANTED)
        if granted == request:
            return
        for server in range(SERVERS):
            if request.attempts[server] == Reply.NONE:
                sent = _attempt(granted, server, Reply.SENT)
                sent = attrs.evolve(sent, running=server)
                yield f"dispatch to {server}", sent, {}

    def _replies(
        self, number: int, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        for server in range(SERVERS):
            ended = server != request.running
            if ended and self.rules.ignores_ended_attempts:
                continue
            if request.attempts[server] == Reply.RAN:
                after = self._apply(number, request, Event.SERVER_ANSWERED)
                yield f"answer of {server}", after, {}
            if request.attempts[server] == Reply.DECLINED:
                after = self._apply(number, request, Event.SERVER_DECLINED)
                yield f"decline of {server}", after, {}

    def _crossed_answers(self, state: State) -> Iterator[tuple[str, State]]:
        if self.rules.matches_token or len(state.requests) < 2:
            return
        first, second = state.requests[:2]
        waiting = first.stage == second.stage == Stage.DISPATCHED
        if waiting and Reply.RAN in second.attempts:
            crossed = attrs.evolve(
                first, stage=Stage.ANSWERED, told=first.told | {1}
            )
            yield (
                "crossed answer",
                attrs.evolve(state, requests=(crossed, second)),
            )

    def _witness(
        self, state: State, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        view = ownership.WitnessView(state.fenced, request.known)
        if request.record:
            after = ownership.record(view)
            reply = {"refused": True} if after.fenced else {"recorded": True}
            yield (
                "record",
                attrs.evolve(request, known=after.recorded, **reply),
                {},
            )
        after, judgement = self.rules.judge(view)
        told = UNKNOWN
        if judgement == ownership.Judgement.NEVER_RUN:
            told = NOT_RUN
        yield "judge", _tell(request, told), {"fenced": after.fenced}

    def _heir(
        self, number: int, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        if self.rules.heir_runs and request.inherited == Stage.REFUSED:
            yield (
                "heir runs",
                attrs.evolve(request, heir_runs=True, runs=1),
                {},
            )
            return
        told = _told(number, request.inherited)
        yield "heir tells", _tell(request, told), {}

    def _servers(
        self, request: RequestState
    ) -> Iterator[tuple[str, RequestState, dict]]:
        # A server knows copies of a message by its message ID, so that it
        # runs or declines an attempt once.
        for server in range(SERVERS):
            if request.attempts[server] != Reply.SENT:
                continue
            ran = _attempt(request, server, Reply.RAN)
            yield (
                f"server {server} runs",
                attrs.evolve(ran, runs=ran.runs + 1),
                {},
            )
            declined = _attempt(request, server, Reply.DECLINED)
            yield f"server {server} declines", declined, {}

    def _apply(
        self, number: int, request: RequestState, event: Event
    ) -> RequestState:
        transition = self.rules.advance(request.stage, event)
        after = attrs.evolve(request, stage=transition.stage)
        if transition.effect == ownership.Effect.RECORD:
            return attrs.evolve(after, record=True)
        if transition.effect == ownership.Effect.TELL:
            return _tell(after, _told(number, transition.stage))
        return after


def _told(number: int, stage: Stage) -> object:
    if stage == Stage.ANSWERED:
        return number
    return NOT_RUN if stage == Stage.REFUSED else UNKNOWN


def _tell(request: RequestState, told: object) -> RequestState:
    return attrs.evolve(request, told=request.told | {told})


def _attempt(request: RequestState, server: int, reply: Reply) -> RequestState:
    attempts = list(request.attempts)
    attempts[server] = reply
    return attrs.evolve(request, attempts=tuple(attempts))


def executes_once(fields: dict) -> bool:
    """No request runs twice."""
    return all(each.runs <= 1 for each in fields["state"].requests)


def not_run_is_true(fields: dict) -> bool:
    """Whoever is told "not run" is never proved wrong, then or later."""
    return not any(
        NOT_RUN in each.told and each.runs for each in fields["state"].requests
    )


def answer_belongs(fields: dict) -> bool:
    """An answer is the answer to its own request, and that ran."""
    for number, each in enumerate(fields["state"].requests):
        answers = {told for told in each.told if type(told) is int}
        if answers and (answers != {number} or not each.runs):
            return False
    return True


def own_service(fields: dict) -> bool:
    """No request runs on a server of another service."""
    return all(not each.foreign_runs for each in fields["state"].requests)


def one_holder(fields: dict) -> bool:
    """Once an owner has ended, nobody runs its requests."""
    return not any(each.heir_runs for each in fields["state"].requests)


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


def everyone_is_told(fields: dict) -> bool:
    """Every request has been told something."""
    return all(each.told for each in fields["state"].requests)


def protocol(requests: int, rules: Rules) -> minicheck.Protocol:
    """Return the model with a number of requests under some rules."""
    model = Ownership(rules)
    initial = State((RequestState(),) * requests)
    return stepping.make_protocol(
        name=f"ownership-{rules.name}",
        initial=initial,
        steps=model.steps,
        invariants=INVARIANTS,
        goal=everyone_is_told,
    )
