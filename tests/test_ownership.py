"""Tests of at-most-once execution: crashes, pauses, copies, hand-over."""

import conftest
from conftest import POST
import pytest

from vanilladrum.core import handover
from vanilladrum.core import peer_messages
from vanilladrum.core import request as requests

Outcome = requests.Outcome


def hosts_except(hosts, *numbers):
    """Return the numbers of all hosts but the given ones."""
    return [each for each in hosts.cores if each not in numbers]


def test_post_without_token_is_not_run(hosts):
    hosts.send(1, hosts.make_datagram(POST))
    assert hosts.last_response().outcome == Outcome.RENEW_TOKEN
    assert hosts.sent_to_servers == []


def test_copies_through_every_host_run_once(hosts):
    token = hosts.connect(1)
    raw = hosts.make_datagram(POST, token=token, payload=b"id-1")
    for number in hosts.cores:
        hosts.send(number, raw)
    assert len(hosts.sent_to_servers) == 1
    hosts.answer()
    for number in hosts.cores:
        hosts.send(number, raw)
        assert hosts.last_response().payload == b"id-1"
    assert len(hosts.sent_to_servers) == 1


def test_witness_records_before_dispatch(hosts):
    hosts.should_drop = lambda source, target, message: isinstance(
        message, peer_messages.Record
    )
    token = hosts.connect(1)
    hosts.send(1, hosts.make_datagram(POST, token=token))
    assert hosts.sent_to_servers == []
    hosts.run(0.5)
    assert hosts.last_response().outcome == Outcome.RENEW_TOKEN
    assert hosts.sent_to_servers == []


def test_copy_of_a_refused_request_is_refused_too(hosts):
    """The caller may repeat a refused request: no copy of it may run later."""
    hosts.should_drop = lambda source, target, message: isinstance(
        message, peer_messages.Record
    )
    raw = hosts.make_datagram(POST, token=hosts.connect(1))
    hosts.send(1, raw)
    hosts.run(0.5)
    hosts.should_drop = lambda source, target, message: False
    hosts.send(2, raw)
    assert hosts.last_response().outcome == Outcome.RENEW_TOKEN
    assert hosts.sent_to_servers == []


def test_owner_crash_before_arrival_is_reported_as_not_run(hosts):
    token = hosts.connect(1)
    owner = hosts.dispatcher_number()
    del hosts.cores[owner]
    hosts.run(4.0)
    receiver = hosts_except(hosts, owner)[0]
    hosts.send(receiver, hosts.make_datagram(POST, token=token))
    assert hosts.last_response().outcome == Outcome.RENEW_TOKEN
    hosts.send(
        receiver, hosts.make_datagram(POST, token=hosts.last_response().token)
    )
    assert len(hosts.sent_to_servers) == 1


def test_owner_crash_after_dispatch_is_reported_as_unknown(hosts):
    raw = hosts.make_datagram(POST, token=hosts.connect(1))
    hosts.send(1, raw)
    owner = hosts.dispatcher_number()
    del hosts.cores[owner]
    hosts.run(4.0)
    for receiver in list(hosts.cores):
        hosts.send(receiver, raw)
        assert hosts.last_response().outcome == Outcome.UNKNOWN
    assert len(hosts.sent_to_servers) == 1


def test_resumed_owner_does_not_run_requests_reported_as_not_run(hosts):
    token = hosts.connect(1)
    owner = hosts.dispatcher_number()
    hosts.paused.add(owner)
    hosts.run(4.0)
    raw = hosts.make_datagram(POST, token=token)
    receiver = hosts_except(hosts, owner)[0]
    hosts.send(receiver, raw)
    assert hosts.last_response().outcome == Outcome.RENEW_TOKEN
    hosts.paused.clear()
    hosts.send(owner, raw)
    assert hosts.last_response().outcome == Outcome.RENEW_TOKEN
    hosts.run(1.0)
    assert hosts.sent_to_servers == []


def test_fenced_owner_answers_and_takes_a_new_incarnation(hosts):
    """A witness may fence an owner that is still running.

    The owner must refuse the request rather than ignore it, and restart as a
    new incarnation so that it can accept requests again.
    """
    raw = hosts.make_datagram(POST, token=hosts.connect(1))
    owner = hosts.cores[hosts.dispatcher_number()]
    before = owner.membership.own_entry.incarnation
    witness = hosts.cores[hosts.witness_number()]
    witness.witness_table.fence_and_check(before, (b"", b""), 0.0)
    hosts.send(owner.membership.own_entry.number, raw)
    assert hosts.last_response().outcome == Outcome.RENEW_TOKEN
    assert hosts.sent_to_servers == []
    assert owner.membership.own_entry.incarnation != before
    hosts.run(1.0)
    assert all(
        core.membership.is_dead(before)
        for core in hosts.cores.values()
        if core is not owner
    )
    hosts.send(1, hosts.make_datagram(POST, token=hosts.last_response().token))
    assert len(hosts.sent_to_servers) == 1


def test_loss_of_owner_and_witness_is_reported_as_unknown(hosts):
    token = hosts.connect(1)
    owner, witness = hosts.dispatcher_number(), hosts.witness_number()
    del hosts.cores[owner]
    del hosts.cores[witness]
    hosts.run(5.0)
    # Only one host is left, so *hosts.cores is its number.
    hosts.send(*hosts.cores, hosts.make_datagram(POST, token=token))
    assert hosts.last_response().outcome == Outcome.UNKNOWN
    hosts.send(
        *hosts.cores,
        hosts.make_datagram(POST, token=hosts.last_response().token),
    )
    assert len(hosts.sent_to_servers) == 1


def test_request_declined_by_a_server_is_retried_on_another(hosts):
    hosts.send(1, hosts.make_datagram(POST, token=hosts.connect(1)))
    hosts.answer(declined=True)
    hosts.run(0.2)
    first, second = (each.server for _, each in hosts.sent_to_servers)
    assert first != second
    hosts.answer()
    assert hosts.last_response().outcome == Outcome.ANSWER


def test_unresponsive_server_leaves_the_outcome_unknown(hosts):
    """A request without an answer may have run and must not be retried."""
    hosts.send(1, hosts.make_datagram(POST, token=hosts.connect(1)))
    hosts.run(4.5)
    assert hosts.last_response().outcome == Outcome.UNKNOWN
    assert len({each.server for _, each in hosts.sent_to_servers}) == 1


@pytest.mark.parametrize("preferred_receiver", [1, 2, 3])
def test_planned_stop_keeps_responses_and_resolves_the_rest(
    hosts, preferred_receiver
):
    """After a planned stop the successor resolves the requests of the owner.

    It repeats the stored responses and refuses requests that never ran.

    :param preferred_receiver: host that receives the repeated requests; the
        successor if this host is the one that stopped.
    """
    token = hosts.connect(1)
    completed = hosts.make_datagram(POST, token=token, payload=b"done")
    hosts.send(1, completed)
    hosts.answer()
    owner = hosts.dispatcher_number()
    leaving = hosts.cores[owner]
    hosts.perform(owner, leaving.start_leaving())
    hosts.run(1.0)
    assert leaving.is_drained()
    successor = handover.successor_candidates(leaving)[0]
    exported = handover.export_state(leaving)
    handover.import_state(hosts.cores[successor.number], exported)
    del hosts.cores[owner]
    for number in hosts.cores:
        stop_completed = peer_messages.StopCompleted(
            exported.sender, successor.incarnation
        )
        event = conftest.actions.PeerMessage(successor.address, stop_completed)
        hosts.perform(number, hosts.cores[number].handle(event))
    receiver = (
        preferred_receiver
        if preferred_receiver in hosts.cores
        else successor.number
    )
    hosts.send(receiver, completed)
    assert hosts.last_response().payload == b"done"
    hosts.send(receiver, hosts.make_datagram(POST, token=token))
    assert hosts.last_response().outcome == Outcome.RENEW_TOKEN
    assert len(hosts.sent_to_servers) == 1


def test_interrupted_stop_hands_over_started_requests_as_unknown(hosts):
    """The stop ends before the server answers, so the request may have run."""
    started = hosts.make_datagram(POST, token=hosts.connect(1))
    hosts.send(1, started)
    owner = hosts.dispatcher_number()
    hosts.perform(owner, hosts.cores[owner].start_leaving())
    exported = handover.export_state(hosts.cores[owner])
    successor = hosts.cores[hosts_except(hosts, owner)[0]]
    handover.import_state(successor, exported)
    del hosts.cores[owner]
    for core in hosts.cores.values():
        core.successors[exported.sender] = (
            successor.membership.own_entry.incarnation
        )
        core.membership.mark_dead(exported.sender)
    hosts.send(successor.membership.own_entry.number, started)
    assert hosts.last_response().outcome == Outcome.UNKNOWN


def test_new_requests_go_to_another_owner_while_one_stops(hosts):
    token = hosts.connect(1)
    owner = hosts.dispatcher_number()
    hosts.perform(owner, hosts.cores[owner].start_leaving())
    hosts.run(1.0)
    receiver = hosts_except(hosts, owner)[0]
    hosts.send(receiver, hosts.make_datagram(POST, token=token))
    assert hosts.last_response().outcome == Outcome.RENEW_TOKEN
    hosts.send(
        receiver, hosts.make_datagram(POST, token=hosts.last_response().token)
    )
    assert len(hosts.sent_to_servers) == 1
    assert hosts.sent_to_servers[0][0] != owner


def test_host_that_does_not_know_the_owner_does_not_fence_it(hosts):
    """A joining host may receive a request before it knows the token's owner.

    If it took the owner for dead, the witness would fence a running host.
    """
    token = hosts.connect(1)
    owner = hosts.cores[
        hosts.dispatcher_number()
    ].membership.own_entry.incarnation
    hosts.send(1, hosts.make_datagram(POST, token=token))
    joining_host = hosts.add(4)
    del joining_host.membership.members[owner]
    hosts.send(4, hosts.make_datagram(POST, token=token))
    for core in hosts.cores.values():
        assert not core.witness_table.fenced
    assert len(hosts.sent_to_servers) == 2


def test_new_incarnation_not_known_yet_is_not_fenced(hosts):
    """A token may arrive before the gossip about its owner's new incarnation.

    Hosts must not take the unknown incarnation for a dead one and fence it.
    """
    owner = hosts.cores[hosts.dispatcher_number()]
    number = owner.membership.own_entry.number
    service = owner.fleet.services[0]
    owner.membership.start_new_incarnation()
    # Restart until the new incarnation is the service's dispatcher.
    while (
        owner.dispatcher_pair(service).dispatcher
        is not owner.membership.own_entry
    ):
        owner.membership.start_new_incarnation()
    hosts.send(number, hosts.make_datagram())
    token = hosts.last_response().token
    for receiver in hosts_except(hosts, number):
        hosts.send(receiver, hosts.make_datagram(POST, token=token))
    for core in hosts.cores.values():
        assert not core.witness_table.fenced
    hosts.run(1.0)
    hosts.send(
        hosts_except(hosts, number)[0], hosts.make_datagram(POST, token=token)
    )
    assert len(hosts.sent_to_servers) == 1


def test_new_incarnation_is_announced_at_once(hosts):
    """One tick after its start, all hosts know the new incarnation."""
    owner = hosts.cores[hosts.dispatcher_number()]
    hosts.run(0.1)
    owner.membership.start_new_incarnation()
    incarnation = owner.membership.own_entry.incarnation
    hosts.perform(owner.membership.own_entry.number, owner.tick())
    for core in hosts.cores.values():
        assert core.membership.find(incarnation) is not None


def test_full_table_ignores_requests_instead_of_refusing(hosts):
    """A request without a table entry gets no response, and is counted."""
    token = hosts.connect(1)
    owner = hosts.cores[hosts.dispatcher_number()]
    owner.request_table.max_entries = 1
    hosts.send(1, hosts.make_datagram(POST, token=token))
    response_count = len(hosts.sent_to_callers)
    hosts.send(1, hosts.make_datagram(POST, token=token))
    assert len(hosts.sent_to_callers) == response_count
    assert owner.counters["table_full"] == 1
