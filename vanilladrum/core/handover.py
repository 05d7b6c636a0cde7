"""What a stopping entry host hands to its heir.

The sender has ended: it dispatches and records nothing more. What it hands
over are facts, so that the heir can judge requests but never runs them.
"""

from vanilladrum.core import entryhost
from vanilladrum.core import peers
from vanilladrum.core import request as requests


def export(host: entryhost.EntryHost) -> peers.HandOver:
    """Return everything an heir needs to judge in a host's place."""
    own = host.membership.own_incarnations
    outcomes = [
        _outcome(entry.owner, entry.key, response)
        for entry, response in host.table.outcomes().items()
    ]
    for owner, told in host.inherited.items():
        outcomes.extend(
            _outcome(owner, key, response) for key, response in told.items()
        )
    return peers.HandOver(
        sender=host.membership.me.incarnation,
        closed=tuple(sorted({*own, *host.inherited})),
        outcomes=tuple(outcomes),
        records=tuple((owner, *key) for owner, key in host.witness.records),
        fenced=tuple(host.witness.fenced),
        heirs=tuple(host.heirs.items()),
    )


def adopt(host: entryhost.EntryHost, handed: peers.HandOver) -> None:
    """Take over the facts of a host that has ended; repeating is harmless."""
    now = host.clock.monotonic()
    for owner in handed.closed:
        host.inherited.setdefault(owner, {})
    for each in handed.outcomes:
        key = (each.connection, each.exchange)
        host.inherited.setdefault(each.owner, {})[key] = _response(each)
    for owner, connection, exchange in handed.records:
        name = (owner, (connection, exchange))
        host.witness.records.setdefault(name, now)
    for owner in handed.fenced:
        host.witness.fenced.setdefault(owner, now)
    for ended, heir in handed.heirs:
        host.heirs.setdefault(ended, heir)
    for ended in handed.closed:
        host.heirs[ended] = host.membership.me.incarnation


def heirs(host: entryhost.EntryHost) -> list[peers.Member]:
    """Return the hosts that could judge in this one's place, best first.

    Hosts that are no witnesses of ours come first, so that the loss of one
    host does not take both the answers and the records.
    """
    me = host.membership.me
    witnesses = {
        pair.witness_incarnation
        for pair in map(host.pair, host.fleet.services if host.fleet else ())
        if pair is not None
    }
    return sorted(
        (each for each in host.membership.trusted() if each is not me),
        key=lambda each: (each.incarnation in witnesses, each.incarnation),
    )


def _outcome(
    owner: bytes, key: tuple[bytes, bytes], response: requests.Response
) -> peers.Outcome:
    return peers.Outcome(
        owner,
        key[0],
        key[1],
        response.outcome.value,
        response.code,
        tuple((each.number, each.value) for each in response.options),
        response.payload,
        response.token,
    )


def _response(handed: peers.Outcome) -> requests.Response:
    return requests.Response(
        requests.Outcome(handed.outcome),
        code=handed.code,
        options=tuple(
            requests.Option(number, value) for number, value in handed.options
        ),
        payload=handed.payload,
        token=handed.token,
    )
