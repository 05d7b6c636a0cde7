"""Tests with real processes, injected failures and simulated callers."""

import asyncio
import pathlib
import random
import signal
import socket
import subprocess
import sys

from aiocoap.numbers import codes
import pytest

from vanilladrum.core import address as addresses
from vanilladrum.standins import caller as callers
from vanilladrum.standins import content
from vanilladrum.wire import tunnel

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
sys.path.insert(0, str(EXAMPLES))
import cluster as clusters  # noqa: E402

PLAN = """
from vanilladrum import plan as plans
plan = plans.Plan(["bilbao"])
plan.service("bookings", 1, "{bookings}", [
    plans.server("booking-%d" % n, n, "bilbao", a, 2, n in {leaving})
    for n, a in ((1, "{one}"), (2, "{two}"))])
plan.service("patterns", 2, "{patterns}",
    [plans.server("pattern-1", 1, "bilbao", "{three}", slots=2)])
"""
FAST_SERVERS = {"straggler_ratio": 0.0, "service_seconds": 0.01}
SLOW_SERVERS = {"straggler_ratio": 0.0, "service_seconds": 1.0}


def apply_plan(cluster, leaving="()"):
    """Write a plan, print it as TOML and apply the printed file.

    :param leaving: numbers of the leaving bookings servers, as Python text.
    """
    plan = cluster.folder / "plan.py"
    text = PLAN.format(
        bookings=cluster.address(0),
        patterns=cluster.address(1),
        one=cluster.address(11),
        two=cluster.address(12),
        three=cluster.address(31),
        leaving=leaving,
    )
    plan.write_text(text, encoding="utf-8")
    printed_path = cluster.folder / "printed.toml"
    url = cluster.url(5, "")
    printed_path.write_text(
        cluster.command("print", str(plan), url), encoding="utf-8"
    )
    cluster.command("apply", str(printed_path), url)


def start_cluster(cluster, **server_options):
    cluster.start_platform()
    cluster.start_backend("booking-1", "bookings", 11, **server_options)
    cluster.start_backend("booking-2", "bookings", 12, **server_options)
    cluster.start_backend("pattern-1", "patterns", 31, **server_options)
    for number in (1, 2, 3):
        cluster.start_host(f"entry-{number}", number, "bilbao")
    cluster.update_platform_hosts()
    apply_plan(cluster)
    for name in cluster.hosts:
        cluster.wait_host(name)
    cluster.wait_joined()
    for name, offset in cluster.backends.items():
        cluster.wait_http(cluster.url(offset, "/report"), name)
    cluster.start_fabric([0, 1])
    return cluster


@pytest.fixture
def cluster():
    with clusters.Cluster() as new_cluster:
        yield start_cluster(new_cluster, **FAST_SERVERS)


@pytest.fixture
def slow_cluster():
    with clusters.Cluster() as new_cluster:
        yield start_cluster(new_cluster, **SLOW_SERVERS)


async def open_connection(cluster, offset=0):
    """Return a connection that has received its first response.

    :param offset: offset of the service's port in the cluster's range.
    """
    address = addresses.parse(cluster.address(offset))
    connection = callers.Connection(address, random.Random(1), 0.3)
    await connection.open()
    result = await connection.request(codes.GET, "/slots/1")
    assert result.outcome == callers.RequestOutcome.ANSWERED
    return connection


def dispatcher_and_witness(cluster):
    """Return the host names of the dispatcher and witness of bookings."""
    offset = next(iter(cluster.hosts.values()))
    numbers = cluster.get(offset + 2, "/metrics")["dispatchers"]["bookings"]
    return [f"entry-{number}" for number in numbers]


def execution_count(cluster, request_id):
    """Return how often the backend servers have run a request."""
    return sum(
        cluster.get(offset, "/report")["executions"].get(request_id, 0)
        for offset in cluster.backends.values()
    )


async def wait_until(condition):
    """Wait for a condition for at most 30 s.

    :raises AssertionError: if it does not hold in time.
    """
    for _ in range(600):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("condition not met in time")


async def test_owner_killed_between_dispatch_and_answer(slow_cluster):
    """Guard against a second run of a request whose owner was killed.

    Its outcome is reported as unknown, and the connection stays usable.
    """
    connection = await open_connection(slow_cluster)
    owner, _ = dispatcher_and_witness(slow_cluster)
    request_task = asyncio.create_task(
        connection.request(codes.POST, "/records/1", b"id-1|x")
    )
    await wait_until(lambda: execution_count(slow_cluster, "id-1"))
    slow_cluster.kill(owner)
    slow_cluster.update_fabric_hosts()
    result = await request_task
    assert result.outcome == callers.RequestOutcome.UNKNOWN
    second_result = await connection.request(
        codes.POST, "/records/1", b"id-2|x"
    )
    assert second_result.outcome == callers.RequestOutcome.ANSWERED
    assert execution_count(slow_cluster, "id-1") == 1
    assert execution_count(slow_cluster, "id-2") == 1


async def test_idle_connection_survives_a_killed_owner(cluster):
    connection = await open_connection(cluster)
    owner, _ = dispatcher_and_witness(cluster)
    cluster.kill(owner)
    cluster.update_fabric_hosts()
    result = await connection.request(codes.POST, "/records/1", b"id-1|x")
    assert result.outcome == callers.RequestOutcome.ANSWERED
    assert execution_count(cluster, "id-1") == 1


async def test_resumed_owner_runs_nothing_twice(cluster):
    connection = await open_connection(cluster)
    owner, _ = dispatcher_and_witness(cluster)
    cluster.signal(owner, signal.SIGSTOP)
    result = await connection.request(codes.POST, "/records/1", b"id-1|x")
    cluster.signal(owner, signal.SIGCONT)
    assert result.outcome == callers.RequestOutcome.ANSWERED
    await wait_until(
        lambda: (
            len(cluster.get(cluster.hosts[owner] + 2, "/metrics")["alive"])
            == 3
        )
    )
    assert execution_count(cluster, "id-1") == 1


async def test_copies_through_every_host_at_once_run_once(cluster):
    connection = await open_connection(cluster)
    message = connection._new_message(
        codes.POST, "/records/1", b"id-1|x", None, None
    )
    caller = addresses.Address(
        "127.0.0.1", connection.endpoint.local_address.port
    )
    datagram = tunnel.wrap(caller, connection.service, message.encode())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(3):
            for text in cluster.tunnel_addresses():
                to = addresses.parse(text)
                sender.sendto(datagram, (to.host, to.port))
    await wait_until(lambda: execution_count(cluster, "id-1"))
    reply, _ = await connection._exchange_message(message)
    expected = content.response_body("bookings", "/records/1", b"id-1|x")
    assert reply.payload == expected
    assert execution_count(cluster, "id-1") == 1


async def test_connection_survives_a_rolling_restart_of_hosts_and_servers(
    cluster,
):
    """Hosts are replaced in turn while one server after another leaves.

    The server processes run on.
    """
    connection = await open_connection(cluster)
    outcomes = set()
    for number in (1, 2, 3):
        apply_plan(cluster, f"({number % 2 + 1},)")
        cluster.start_host(f"entry-{number + 3}", number + 3, "bilbao")
        cluster.wait_host(f"entry-{number + 3}")
        # The fabric stops sending to the host before the host stops.
        offset = cluster.hosts.pop(f"entry-{number}")
        cluster.update_fabric_hosts()
        cluster.hosts[f"entry-{number}"] = offset
        stop_coroutine = asyncio.to_thread(cluster.stop, f"entry-{number}")
        stop_task = asyncio.create_task(stop_coroutine)
        count = 0
        while not stop_task.done():
            count += 1
            request_id = f"id-{number}-{count}"
            result = await connection.request(
                codes.POST, "/records/1", f"{request_id}|x".encode()
            )
            outcomes.add(result.outcome)
            assert execution_count(cluster, request_id) == 1
        assert await stop_task == 0
    assert outcomes == {callers.RequestOutcome.ANSWERED}


async def test_second_sigterm_does_not_interrupt_requests(slow_cluster):
    connection = await open_connection(slow_cluster)
    owner, _ = dispatcher_and_witness(slow_cluster)
    request_task = asyncio.create_task(
        connection.request(codes.POST, "/records/1", b"id-1|x")
    )
    await wait_until(lambda: execution_count(slow_cluster, "id-1"))
    process = slow_cluster.processes[owner]
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    result = await request_task
    assert result.outcome == callers.RequestOutcome.ANSWERED
    assert await asyncio.to_thread(process.wait, 30) == 0


async def test_requests_and_joining_hosts_survive_a_platform_outage(cluster):
    cluster.post(5, {"away": True})
    connection = await open_connection(cluster)
    cluster.start_host("entry-4", 4, "bilbao")
    cluster.wait_host("entry-4")
    # Datagrams now arrive at the joined host only.
    cluster.hosts = {"entry-4": cluster.hosts["entry-4"]}
    cluster.update_fabric_hosts()
    result = await connection.request(codes.POST, "/records/1", b"id-1|x")
    assert result.outcome == callers.RequestOutcome.ANSWERED


async def test_restored_old_platform_object_does_not_revert_hosts(cluster):
    path = "/objects/configuration/fleet"
    old_object = cluster.get(5, path)
    apply_plan(cluster, "(1,)")
    newer_generation = cluster.get(5, path)["value"]["generation"]
    cluster.post(5, {"restore": {path: old_object}})
    cluster.start_host("entry-4", 4, "bilbao")
    cluster.wait_host("entry-4")

    def generation_of(name):
        offset = cluster.hosts[name]
        return cluster.get(offset + 2, "/metrics")["generation"]

    await wait_until(lambda: generation_of("entry-4") == newer_generation)
    assert {generation_of(name) for name in cluster.hosts} == {
        newer_generation
    }
    await wait_until(
        lambda: cluster.get(5, path)["value"]["generation"] == newer_generation
    )
    apply_plan(cluster, "(2,)")
    assert all(
        generation_of(name) > newer_generation for name in cluster.hosts
    )


async def test_second_operators_stale_change_is_refused(cluster):
    url = cluster.url(5, "")
    stale = cluster.command("print", str(cluster.folder / "plan.py"), url)
    apply_plan(cluster, "(1,)")
    path = cluster.folder / "stale.toml"
    path.write_text(stale, encoding="utf-8")
    completed = subprocess.run(
        [sys.executable, "-m", "vanilladrum", "apply", str(path), url],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 3
    assert "print again" in completed.stderr
    assert "leaving" in completed.stdout


async def test_lost_confirmation_is_read_back(cluster):
    path = "/objects/configuration/fleet"
    before = cluster.get(5, path)
    cluster.post(5, {"lose_confirmations": 1})
    apply_plan(cluster, "(1,)")
    after = cluster.get(5, path)
    assert after["version"] == before["version"] + 1
    status = cluster.command("status", cluster.url(5, ""))
    accepted = after["value"]["generation"]
    assert f"accepted: generation {accepted}" in status


async def test_leaving_server_gets_no_new_work(cluster):
    connection = await open_connection(cluster)
    apply_plan(cluster, "(1,)")
    offset = cluster.backends["booking-1"]
    before = cluster.get(offset, "/report")["counters"].get("executed", 0)
    for number in range(20):
        result = await connection.request(codes.GET, f"/slots/{number}")
        assert result.outcome == callers.RequestOutcome.ANSWERED
    after = cluster.get(offset, "/report")["counters"].get("executed", 0)
    assert after == before


def test_port_in_use_ends_the_daemon_with_exit_code_2(cluster):
    """A second process is started with the settings of a running host."""
    cluster.processes["taken"] = cluster.processes["entry-1"]
    path = cluster.folder / "entry-1.toml"
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "vanilladrum",
            "entry_host",
            f"--settings={path}",
        ],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    del cluster.processes["taken"]
    assert completed.returncode == 2
    assert "cannot be bound" in completed.stderr
