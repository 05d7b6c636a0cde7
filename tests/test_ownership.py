"""At most once: owner, witness, crash, pause, copies, hand-over."""

import conftest
from conftest import POST
import pytest

from vanilladrum.core import handover
from vanilladrum.core import peers
from vanilladrum.core import request as requests

Outcome = requests.Outcome


def others(hosts, *numbers):
    return [each for each in hosts.cores if each not in numbers]


def test_post_without_token_is_not_run(hosts):
    hosts.send(1, hosts.raw(POST))
    assert hosts.told().outcome == Outcome.RENEW_TOKEN
    assert hosts.to_server == []


def test_copies_through_every_host_run_once(hosts):
    token = hosts.connect(1)
    raw = hosts.raw(POST, token=token, payload=b"id-1")
    for number in hosts.cores:
        hosts.send(number, raw)
    assert len(hosts.to_server) == 1
    hosts.answer()
    for number in hosts.cores:
        hosts.send(number, raw)
        assert hosts.told().payload == b"id-1"
    assert len(hosts.to_server) == 1


def test_witness_records_before_dispatch(hosts):
    hosts.lose = lambda a, b, message: isinstance(message, peers.Record)
    token = hosts.connect(1)
    hosts.send(1, hosts.raw(POST, token=token))
    assert hosts.to_server == []
    hosts.run(0.5)
    assert hosts.told().outcome == Outcome.RENEW_TOKEN
    assert hosts.to_server == []


def test_refusal_is_remembered_when_a_copy_comes(hosts):
    hosts.lose = lambda a, b, message: isinstance(message, peers.Record)
    raw = hosts.raw(POST, token=hosts.connect(1))
    hosts.send(1, raw)
    hosts.run(0.5)
    hosts.lose = lambda a, b, message: False
    hosts.send(2, raw)
    assert hosts.told().outcome == Outcome.RENEW_TOKEN
    assert hosts.to_server == []


def test_crash_before_arrival_is_told_as_not_run(hosts):
    token = hosts.connect(1)
    owner = hosts.dispatcher()
    del hosts.cores[owner]
    hosts.run(4.0)
    landing = others(hosts, owner)[0]
    hosts.send(landing, hosts.raw(POST, token=token))
    assert hosts.told().outcome == Outcome.RENEW_TOKEN
    hosts.send(landing, hosts.raw(POST, token=hosts.told().token))
    assert len(hosts.to_server) == 1


def test_crash_after_dispatch_is_told_as_unknown(hosts):
    raw = hosts.raw(POST, token=hosts.connect(1))
    hosts.send(1, raw)
    owner = hosts.dispatcher()
    del hosts.cores[owner]
    hosts.run(4.0)
    for landing in list(hosts.cores):
        hosts.send(landing, raw)
        assert hosts.told().outcome == Outcome.UNKNOWN
    assert len(hosts.to_server) == 1


def test_paused_owner_that_wakes_runs_nothing_judged_not_run(hosts):
    token = hosts.connect(1)
    owner = hosts.dispatcher()
    hosts.frozen.add(owner)
    hosts.run(4.0)
    raw = hosts.raw(POST, token=token)
    landing = others(hosts, owner)[0]
    hosts.send(landing, raw)
    assert hosts.told().outcome == Outcome.RENEW_TOKEN
    hosts.frozen.clear()
    hosts.send(owner, raw)
    assert hosts.told().outcome == Outcome.RENEW_TOKEN
    hosts.run(1.0)
    assert hosts.to_server == []


def test_fenced_owner_answers_and_takes_a_new_incarnation(hosts):
    raw = hosts.raw(POST, token=hosts.connect(1))
    owner = hosts.cores[hosts.dispatcher()]
    before = owner.membership.me.incarnation
    witness = hosts.cores[hosts.witness()]
    witness.witness.judge(before, (b"", b""), 0.0)
    hosts.send(owner.membership.me.number, raw)
    assert hosts.told().outcome == Outcome.RENEW_TOKEN
    assert hosts.to_server == []
    assert owner.membership.me.incarnation != before
    hosts.run(1.0)
    assert all(
        core.membership.is_lost(before)
        for core in hosts.cores.values()
        if core is not owner
    )
    hosts.send(1, hosts.raw(POST, token=hosts.told().token))
    assert len(hosts.to_server) == 1


def test_loss_of_owner_and_witness_is_told_as_unknown(hosts):
    token = hosts.connect(1)
    owner, witness = hosts.dispatcher(), hosts.witness()
    del hosts.cores[owner]
    del hosts.cores[witness]
    hosts.run(5.0)
    hosts.send(*hosts.cores, hosts.raw(POST, token=token))
    assert hosts.told().outcome == Outcome.UNKNOWN
    hosts.send(*hosts.cores, hosts.raw(POST, token=hosts.told().token))
    assert len(hosts.to_server) == 1


def test_only_a_servers_own_not_run_is_retried(hosts):
    hosts.send(1, hosts.raw(POST, token=hosts.connect(1)))
    hosts.answer(declined=True)
    hosts.run(0.2)
    first, second = (each.server for _, each in hosts.to_server)
    assert first != second
    hosts.answer()
    assert hosts.told().outcome == Outcome.ANSWER


def test_silent_server_leaves_the_outcome_unknown(hosts):
    hosts.send(1, hosts.raw(POST, token=hosts.connect(1)))
    hosts.run(4.5)
    assert hosts.told().outcome == Outcome.UNKNOWN
    assert len({each.server for _, each in hosts.to_server}) == 1


@pytest.mark.parametrize("lands_on", [1, 2, 3])
def test_planned_stop_keeps_answers_and_judges_the_rest(hosts, lands_on):
    token = hosts.connect(1)
    done = hosts.raw(POST, token=token, payload=b"done")
    hosts.send(1, done)
    hosts.answer()
    owner = hosts.dispatcher()
    leaving = hosts.cores[owner]
    hosts.perform(owner, leaving.start_leaving())
    hosts.run(1.0)
    assert leaving.finished()
    heir = handover.heirs(leaving)[0]
    handed = handover.export(leaving)
    handover.adopt(hosts.cores[heir.number], handed)
    del hosts.cores[owner]
    for number in hosts.cores:
        closed = peers.Closed(handed.sender, heir.incarnation)
        event = conftest.actions.PeerMessage(heir.address, closed)
        hosts.perform(number, hosts.cores[number].handle(event))
    landing = lands_on if lands_on in hosts.cores else heir.number
    hosts.send(landing, done)
    assert hosts.told().payload == b"done"
    hosts.send(landing, hosts.raw(POST, token=token))
    assert hosts.told().outcome == Outcome.RENEW_TOKEN
    assert len(hosts.to_server) == 1


def test_stop_cut_short_hands_over_what_began_as_unknown(hosts):
    began = hosts.raw(POST, token=hosts.connect(1))
    hosts.send(1, began)
    owner = hosts.dispatcher()
    hosts.perform(owner, hosts.cores[owner].start_leaving())
    handed = handover.export(hosts.cores[owner])
    heir = hosts.cores[others(hosts, owner)[0]]
    handover.adopt(heir, handed)
    del hosts.cores[owner]
    for core in hosts.cores.values():
        core.heirs[handed.sender] = heir.membership.me.incarnation
        core.membership.bury(handed.sender)
    hosts.send(heir.membership.me.number, began)
    assert hosts.told().outcome == Outcome.UNKNOWN


def test_stopping_owner_turns_new_requests_to_the_next(hosts):
    token = hosts.connect(1)
    owner = hosts.dispatcher()
    hosts.perform(owner, hosts.cores[owner].start_leaving())
    hosts.run(1.0)
    landing = others(hosts, owner)[0]
    hosts.send(landing, hosts.raw(POST, token=token))
    assert hosts.told().outcome == Outcome.RENEW_TOKEN
    hosts.send(landing, hosts.raw(POST, token=hosts.told().token))
    assert len(hosts.to_server) == 1
    assert hosts.to_server[0][0] != owner


def test_stranger_to_the_owner_does_not_have_it_given_up(hosts):
    token = hosts.connect(1)
    owner = hosts.cores[hosts.dispatcher()].membership.me.incarnation
    hosts.send(1, hosts.raw(POST, token=token))
    newcomer = hosts.add(4)
    del newcomer.membership.members[owner]
    hosts.send(4, hosts.raw(POST, token=token))
    for core in hosts.cores.values():
        assert not core.witness.fenced
    assert len(hosts.to_server) == 2


def test_new_incarnation_that_is_not_known_yet_is_not_fenced(hosts):
    owner = hosts.cores[hosts.dispatcher()]
    number = owner.membership.me.number
    service = owner.fleet.services[0]
    owner.membership.take_new_incarnation()
    while owner.pair(service).dispatcher is not owner.membership.me:
        owner.membership.take_new_incarnation()
    hosts.send(number, hosts.raw())
    token = hosts.told().token
    for landing in others(hosts, number):
        hosts.send(landing, hosts.raw(POST, token=token))
    for core in hosts.cores.values():
        assert not core.witness.fenced
    hosts.run(1.0)
    hosts.send(others(hosts, number)[0], hosts.raw(POST, token=token))
    assert len(hosts.to_server) == 1


def test_new_incarnation_is_announced_at_once(hosts):
    owner = hosts.cores[hosts.dispatcher()]
    hosts.run(0.1)
    owner.membership.take_new_incarnation()
    incarnation = owner.membership.me.incarnation
    hosts.perform(owner.membership.me.number, owner.tick())
    for core in hosts.cores.values():
        assert core.membership.find(incarnation) is not None


def test_full_table_ignores_instead_of_refusing(hosts):
    token = hosts.connect(1)
    owner = hosts.cores[hosts.dispatcher()]
    owner.table.max_entries = 1
    hosts.send(1, hosts.raw(POST, token=token))
    told = len(hosts.to_caller)
    hosts.send(1, hosts.raw(POST, token=token))
    assert len(hosts.to_caller) == told
    assert owner.counters["table_full"] == 1
