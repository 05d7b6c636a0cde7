"""Hand-over of a stopping entry host's state to its successor.

The stopping host dispatches and records no more requests, so the state
that it hands over does not change any more. With that state, the successor
can tell callers whether a request ran, but it never runs one.
"""

from vanilladrum.core import entryhost
from vanilladrum.core import peer_messages
from vanilladrum.core import request as requests


def export_state(host: entryhost.EntryHost) -> peer_messages.HandOver:
    """Return the state that a successor needs to answer for this host."""
    own_incarnations = host.membership.own_incarnations
    outcomes = [
        _outcome(entry.owner, entry.key, response)
        for entry, response in host.request_table.outcomes().items()
    ]
    for owner, responses in host.handed_over_outcomes.items():
        outcomes.extend(
            _outcome(owner, key, response)
            for key, response in responses.items()
        )
    return peer_messages.HandOver(
        sender=host.membership.own_entry.incarnation,
        ended=tuple(sorted({*own_incarnations, *host.handed_over_outcomes})),
        outcomes=tuple(outcomes),
        records=tuple(
            (owner, *key) for owner, key in host.witness_table.records
        ),
        fenced=tuple(host.witness_table.fenced),
        successors=tuple(host.successors.items()),
    )


def import_state(
    host: entryhost.EntryHost, message: peer_messages.HandOver
) -> None:
    """Take over the state of a stopped host.

    The operation is idempotent.
    """
    now = host.clock.monotonic()
    for owner in message.ended:
        host.handed_over_outcomes.setdefault(owner, {})
    for outcome in message.outcomes:
        key = (outcome.connection, outcome.exchange)
        host.handed_over_outcomes.setdefault(outcome.owner, {})[key] = (
            _response(outcome)
        )
    for owner, connection, exchange in message.records:
        record_key = (owner, (connection, exchange))
        host.witness_table.records.setdefault(record_key, now)
    for owner in message.fenced:
        host.witness_table.fenced.setdefault(owner, now)
    for incarnation, successor in message.successors:
        host.successors.setdefault(incarnation, successor)
    for incarnation in message.ended:
        host.successors[incarnation] = host.membership.own_entry.incarnation


def successor_candidates(
    host: entryhost.EntryHost,
) -> list[peer_messages.Member]:
    """Return the possible successors of this host, best first.

    Hosts that are not this host's witness for any service come first, so
    that the loss of a single host does not destroy both the outcomes and
    the witness's records.
    """
    own_entry = host.membership.own_entry
    witnesses = {
        pair.witness_incarnation
        for pair in map(
            host.dispatcher_pair, host.fleet.services if host.fleet else ()
        )
        if pair is not None
    }
    return sorted(
        (
            each
            for each in host.membership.dispatch_candidates()
            if each is not own_entry
        ),
        key=lambda each: (each.incarnation in witnesses, each.incarnation),
    )


def _outcome(
    owner: bytes, key: tuple[bytes, bytes], response: requests.Response
) -> peer_messages.Outcome:
    return peer_messages.Outcome(
        owner,
        key[0],
        key[1],
        response.outcome.value,
        response.code,
        tuple((each.number, each.value) for each in response.options),
        response.payload,
        response.token,
    )


def _response(outcome: peer_messages.Outcome) -> requests.Response:
    return requests.Response(
        requests.Outcome(outcome.outcome),
        code=outcome.code,
        options=tuple(
            requests.Option(number, value) for number, value in outcome.options
        ),
        payload=outcome.payload,
        token=outcome.token,
    )
