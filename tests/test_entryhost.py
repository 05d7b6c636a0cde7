"""Routing, connection tokens, configuration and limits of an entry host."""

import ast
import pathlib

import attrs
import conftest
from conftest import make_fleet
from conftest import PATTERNS
from conftest import POST
import pytest

import vanilladrum.core
from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import request as requests
from vanilladrum.core import serverstate

Outcome = requests.Outcome
IO_MODULES = {
    "aiohttp",
    "asyncio",
    "io",
    "logging",
    "os",
    "pathlib",
    "selectors",
    "socket",
    "ssl",
    "subprocess",
    "threading",
    "time",
    "uvloop",
    "websockets",
}


def test_core_imports_nothing_with_io():
    folder = pathlib.Path(vanilladrum.core.__file__).parent
    imported = set()
    for path in folder.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Import):
                imported.update(each.name.split(".")[0] for each in node.names)
            if isinstance(node, ast.ImportFrom):
                imported.add(node.module.split(".")[0])
    assert imported & IO_MODULES == set()
    assert "attrs" in imported


def test_get_is_answered_through_any_host(hosts):
    token = hosts.connect(1)
    for number in hosts.cores:
        hosts.send(
            number, hosts.make_datagram(token=token, payload=b"%d" % number)
        )
        hosts.answer()
        assert hosts.last_response().payload == b"%d" % number


def test_token_of_another_caller_is_renewed_not_served(hosts):
    token = hosts.connect(1)
    other_caller = addresses.Address("127.0.0.1", 40001)
    hosts.send(1, hosts.make_datagram(POST, token=token), caller=other_caller)
    assert hosts.last_response().outcome == Outcome.RENEW_TOKEN
    assert hosts.sent_to_servers == []


def test_token_of_another_service_is_renewed_not_served(hosts):
    token = hosts.connect(1)
    hosts.send(1, hosts.make_datagram(POST, token=token), service=PATTERNS)
    assert hosts.last_response().outcome == Outcome.RENEW_TOKEN
    assert hosts.sent_to_servers == []


def test_requests_reach_servers_of_their_service_only(hosts):
    for service, index in ((conftest.SERVICE, 0), (PATTERNS, 1)):
        token = hosts.connect(2, service=service)
        hosts.send(3, hosts.make_datagram(token=token), service=service)
        servers = hosts.cores[1].fleet.services[index].servers
        assert hosts.sent_to_servers[-1][1].server in [
            server.address for server in servers
        ]


def test_packet_to_an_address_without_service_gets_no_response(hosts):
    unknown = addresses.Address("127.0.0.1", 1)
    hosts.send(1, hosts.make_datagram(), service=unknown)
    assert hosts.sent_to_callers == []


def test_token_with_an_unknown_key_gets_no_response(hosts):
    token = bytearray(hosts.connect(1))
    token[0] |= 0x0F
    responses = len(hosts.sent_to_callers)
    hosts.send(1, hosts.make_datagram(POST, token=bytes(token)))
    assert len(hosts.sent_to_callers) == responses


def test_key_rotation_keeps_connections(hosts):
    """Tokens stay valid after the new key is added and after it is active."""
    token = hosts.connect(1)
    old = make_fleet(1)
    keys = (*old.keys, fleets.SealingKey(1, "cd" * 16))
    for generation, active in ((2, 0), (3, 1)):
        for core in hosts.cores.values():
            core.configure(
                attrs.evolve(
                    old, generation=generation, keys=keys, active_key=active
                )
            )
        hosts.send(1, hosts.make_datagram(token=token))
        hosts.answer()
        assert hosts.last_response().outcome == Outcome.ANSWER


def test_older_generation_is_never_adopted_again(hosts):
    core = hosts.cores[1]
    assert core.configure(make_fleet(5))
    for stale in (4, 5, 1):
        assert not core.configure(make_fleet(stale, servers=1))
        assert core.generation == 5
        assert len(core.fleet.services[0].servers) == 2


def test_refused_configuration_leaves_the_current_one_in_force(hosts):
    core = hosts.cores[1]
    invalid = attrs.evolve(make_fleet(9), data_centres=("oviedo",))
    with pytest.raises(errors.ConfigurationError, match="bilbao"):
        core.configure(invalid)
    assert core.generation == 1


def send_block(hosts, number: int, token: bytes) -> None:
    """Deliver a request of a block-wise transfer to the dispatcher.

    :param number: number of the block.
    """
    raw = hosts.make_datagram(token=token)
    message = conftest.peer_messages.Forward(
        raw, conftest.CALLER, conftest.SERVICE, None, 0, False
    )
    event = hosts.packet_event(message)
    request = attrs.evolve(event.request, block=number)
    dispatcher = hosts.dispatcher_number()
    event = attrs.evolve(event, request=request)
    hosts.perform(dispatcher, hosts.cores[dispatcher].handle(event))


def test_leaving_server_finishes_transfers_and_gets_no_new_requests(hosts):
    """Block 0 starts a transfer; later blocks go to the same server."""
    send_block(hosts, 0, hosts.connect(1))
    hosts.answer()
    transfer_token = hosts.last_response().token
    transfer_server = hosts.sent_to_servers[-1][1].server
    fleet = make_fleet(2)
    servers = tuple(
        attrs.evolve(each, state=serverstate.ServerState.LEAVING)
        if each.address == transfer_server
        else each
        for each in fleet.services[0].servers
    )
    service = attrs.evolve(fleet.services[0], servers=servers)
    fleet = attrs.evolve(fleet, services=(service, fleet.services[1]))
    for core in hosts.cores.values():
        core.configure(fleet)
    for _ in range(10):
        hosts.send(1, hosts.make_datagram(token=transfer_token))
        assert hosts.sent_to_servers[-1][1].server != transfer_server
        hosts.answer()
    send_block(hosts, 0, transfer_token)
    assert hosts.sent_to_servers[-1][1].server != transfer_server
    hosts.answer()
    send_block(hosts, 1, transfer_token)
    assert hosts.sent_to_servers[-1][1].server == transfer_server


def test_unanswered_get_is_reported_as_unknown_not_as_not_run(hosts):
    token = hosts.connect(1)
    for core in hosts.cores.values():
        for dispatcher in core.dispatchers.values():
            dispatcher.retry_budget = 0.0
    hosts.send(1, hosts.make_datagram(token=token))
    # The hedged copy, sent after 1 s, is not answered either.
    hosts.run(5.5)
    assert hosts.last_response().outcome == Outcome.UNKNOWN


def test_get_overdue_after_a_silent_attempt_is_reported_as_unknown(hosts):
    """The first attempt gets no answer; its retry waits for a free slot.

    When the deadline ends that wait, the first attempt may still have run.
    """
    token = hosts.connect(1)
    hosts.send(1, hosts.make_datagram(token=token))
    hosts.run(3.9)
    for _ in range(8):
        hosts.send(1, hosts.make_datagram(token=token))
    hosts.run(1.2)
    outcomes = {
        action.exchange: action.response.outcome
        for _, action in hosts.sent_to_callers
    }
    first = hosts.sent_to_servers[0][1].request.exchange
    assert outcomes[first] == Outcome.UNKNOWN


def test_queue_drops_overdue_requests_before_dispatch(hosts):
    token = hosts.connect(1)
    for _ in range(6):
        hosts.send(1, hosts.make_datagram(POST, token=token))
    assert len(hosts.sent_to_servers) == 4
    hosts.run(3.0)
    expired = [
        action
        for _, action in hosts.sent_to_callers
        if action.response.retry_after
    ]
    assert expired == []
    hosts.run(2.5)
    expired = [
        action
        for _, action in hosts.sent_to_callers
        if action.response.retry_after
    ]
    assert {action.response.outcome for action in expired} <= {Outcome.NOT_RUN}
    dispatched = {
        action.request.exchange for _, action in hosts.sent_to_servers
    }
    assert not dispatched & {action.exchange for action in expired}


def test_hops_are_limited_when_membership_views_differ(hosts):
    token = hosts.connect(1)
    raw = hosts.make_datagram(POST, token=token)
    owner = hosts.dispatcher_number()
    incarnation = hosts.cores[owner].membership.own_entry.incarnation
    del hosts.cores[owner]
    remaining = list(hosts.cores)
    for source, target in (remaining, remaining[::-1]):
        # Each view has the lost owner at the address of the other host, so
        # the two hosts forward the request to each other.
        members = hosts.cores[source].membership.members
        other = hosts.cores[target].membership.own_entry
        members[incarnation] = attrs.evolve(
            members[incarnation], address=other.address
        )
    hosts.send(remaining[0], raw)
    limited = [core.counters["hop_limit"] for core in hosts.cores.values()]
    assert sum(limited) == 1
