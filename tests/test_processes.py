"""Failures brought about on real processes; small fakes stand outside."""

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
STEADY = {"straggler_ratio": 0.0, "service_seconds": 0.01}
SLOW = {"straggler_ratio": 0.0, "service_seconds": 1.0}


def apply(cluster, leaving="()"):
    plan = cluster.folder / "plan.py"
    text = PLAN.format(
        bookings=cluster.at(0),
        patterns=cluster.at(1),
        one=cluster.at(11),
        two=cluster.at(12),
        three=cluster.at(31),
        leaving=leaving,
    )
    plan.write_text(text, encoding="utf-8")
    printed = cluster.folder / "printed.toml"
    url = cluster.url(5, "")
    printed.write_text(
        cluster.command("print", str(plan), url), encoding="utf-8"
    )
    cluster.command("apply", str(printed), url)


def started(cluster, **server):
    cluster.start_platform()
    cluster.start_backend("booking-1", "bookings", 11, **server)
    cluster.start_backend("booking-2", "bookings", 12, **server)
    cluster.start_backend("pattern-1", "patterns", 31, **server)
    for number in (1, 2, 3):
        cluster.start_host(f"entry-{number}", number, "bilbao")
    cluster.tell_platform_hosts()
    apply(cluster)
    for name in cluster.hosts:
        cluster.wait_host(name)
    cluster.wait_joined()
    for name, offset in cluster.backends.items():
        cluster.wait_http(cluster.url(offset, "/report"), name)
    cluster.start_fabric([0, 1])
    return cluster


@pytest.fixture
def cluster():
    with clusters.Cluster() as found:
        yield started(found, **STEADY)


@pytest.fixture
def slow_cluster():
    with clusters.Cluster() as found:
        yield started(found, **SLOW)


async def connect(cluster, offset=0):
    address = addresses.parse(cluster.at(offset))
    connection = callers.Connection(address, random.Random(1), 0.3)
    await connection.open()
    ending = await connection.request(codes.GET, "/slots/1")
    assert ending.told == callers.Told.ANSWERED
    return connection


def pair(cluster):
    """Return the names of dispatcher and witness of the bookings."""
    offset = next(iter(cluster.hosts.values()))
    found = cluster.get(offset + 2, "/metrics")["dispatchers"]["bookings"]
    return [f"entry-{number}" for number in found]


def executions(cluster, name):
    return sum(
        cluster.get(offset, "/report")["executions"].get(name, 0)
        for offset in cluster.backends.values()
    )


async def until(condition):
    for _ in range(600):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("condition not met in time")


async def test_owner_killed_between_dispatch_and_answer(slow_cluster):
    connection = await connect(slow_cluster)
    owner, _ = pair(slow_cluster)
    post = asyncio.create_task(
        connection.request(codes.POST, "/records/1", b"id-1|x")
    )
    await until(lambda: executions(slow_cluster, "id-1"))
    slow_cluster.kill(owner)
    slow_cluster.tell_fabric_hosts()
    ending = await post
    assert ending.told == callers.Told.UNKNOWN
    again = await connection.request(codes.POST, "/records/1", b"id-2|x")
    assert again.told == callers.Told.ANSWERED
    assert executions(slow_cluster, "id-1") == 1
    assert executions(slow_cluster, "id-2") == 1


async def test_killed_owner_costs_an_idle_connection_nothing(cluster):
    connection = await connect(cluster)
    owner, _ = pair(cluster)
    cluster.kill(owner)
    cluster.tell_fabric_hosts()
    ending = await connection.request(codes.POST, "/records/1", b"id-1|x")
    assert ending.told == callers.Told.ANSWERED
    assert executions(cluster, "id-1") == 1


async def test_paused_owner_wakes_and_runs_nothing_twice(cluster):
    connection = await connect(cluster)
    owner, _ = pair(cluster)
    cluster.signal(owner, signal.SIGSTOP)
    ending = await connection.request(codes.POST, "/records/1", b"id-1|x")
    cluster.signal(owner, signal.SIGCONT)
    assert ending.told == callers.Told.ANSWERED
    await until(
        lambda: (
            len(cluster.get(cluster.hosts[owner] + 2, "/metrics")["alive"])
            == 3
        )
    )
    assert executions(cluster, "id-1") == 1


async def test_copies_through_every_host_at_once_run_once(cluster):
    connection = await connect(cluster)
    message = connection._message(
        codes.POST, "/records/1", b"id-1|x", None, None
    )
    caller = addresses.Address("127.0.0.1", connection.endpoint.local.port)
    datagram = tunnel.wrap(caller, connection.service, message.encode())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(3):
            for text in cluster.tunnels():
                to = addresses.parse(text)
                sender.sendto(datagram, (to.host, to.port))
    await until(lambda: executions(cluster, "id-1"))
    reply, _ = await connection._exchange_once(message)
    expected = content.answer("bookings", "/records/1", b"id-1|x")
    assert reply.payload == expected
    assert executions(cluster, "id-1") == 1


async def test_all_hosts_and_servers_roll_under_one_connection(cluster):
    connection = await connect(cluster)
    told = set()
    for number in (1, 2, 3):
        apply(cluster, f"({number % 2 + 1},)")
        cluster.start_host(f"entry-{number + 3}", number + 3, "bilbao")
        cluster.wait_host(f"entry-{number + 3}")
        offset = cluster.hosts.pop(f"entry-{number}")
        cluster.tell_fabric_hosts()
        cluster.hosts[f"entry-{number}"] = offset
        stop = asyncio.to_thread(cluster.stop, f"entry-{number}")
        stopping = asyncio.create_task(stop)
        count = 0
        while not stopping.done():
            count += 1
            name = f"id-{number}-{count}"
            ending = await connection.request(
                codes.POST, "/records/1", f"{name}|x".encode()
            )
            told.add(ending.told)
            assert executions(cluster, name) == 1
        assert await stopping == 0
    assert told == {callers.Told.ANSWERED}


async def test_second_sigterm_cuts_nothing_off(slow_cluster):
    connection = await connect(slow_cluster)
    owner, _ = pair(slow_cluster)
    post = asyncio.create_task(
        connection.request(codes.POST, "/records/1", b"id-1|x")
    )
    await until(lambda: executions(slow_cluster, "id-1"))
    process = slow_cluster.processes[owner]
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    ending = await post
    assert ending.told == callers.Told.ANSWERED
    assert await asyncio.to_thread(process.wait, 30) == 0


async def test_platform_outage_changes_nothing_and_hosts_still_join(cluster):
    cluster.post(5, {"away": True})
    connection = await connect(cluster)
    cluster.start_host("entry-4", 4, "bilbao")
    cluster.wait_host("entry-4")
    cluster.hosts = {"entry-4": cluster.hosts["entry-4"]}
    cluster.tell_fabric_hosts()
    ending = await connection.request(codes.POST, "/records/1", b"id-1|x")
    assert ending.told == callers.Told.ANSWERED


async def test_restored_old_platform_object_takes_nothing_back(cluster):
    path = "/objects/configuration/fleet"
    old = cluster.get(5, path)
    apply(cluster, "(1,)")
    newer = cluster.get(5, path)["value"]["generation"]
    cluster.post(5, {"restore": {path: old}})
    cluster.start_host("entry-4", 4, "bilbao")
    cluster.wait_host("entry-4")

    def in_force(name):
        offset = cluster.hosts[name]
        return cluster.get(offset + 2, "/metrics")["generation"]

    await until(lambda: in_force("entry-4") == newer)
    assert {in_force(name) for name in cluster.hosts} == {newer}
    apply(cluster, "(2,)")
    assert all(in_force(name) > newer for name in cluster.hosts)


async def test_second_operators_stale_change_is_refused(cluster):
    url = cluster.url(5, "")
    stale = cluster.command("print", str(cluster.folder / "plan.py"), url)
    apply(cluster, "(1,)")
    path = cluster.folder / "stale.toml"
    path.write_text(stale, encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-m", "vanilladrum", "apply", str(path), url],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 3
    assert "print again" in done.stderr
    assert "leaving" in done.stdout


async def test_lost_confirmation_is_read_back(cluster):
    path = "/objects/configuration/fleet"
    before = cluster.get(5, path)
    cluster.post(5, {"lose_confirmations": 1})
    apply(cluster, "(1,)")
    after = cluster.get(5, path)
    assert after["version"] == before["version"] + 1
    status = cluster.command("status", cluster.url(5, ""))
    accepted = after["value"]["generation"]
    assert f"accepted: generation {accepted}" in status


async def test_leaving_server_gets_no_new_work(cluster):
    connection = await connect(cluster)
    apply(cluster, "(1,)")
    offset = cluster.backends["booking-1"]
    before = cluster.get(offset, "/report")["counters"].get("executed", 0)
    for number in range(20):
        ending = await connection.request(codes.GET, f"/slots/{number}")
        assert ending.told == callers.Told.ANSWERED
    after = cluster.get(offset, "/report")["counters"].get("executed", 0)
    assert after == before


def test_taken_port_ends_the_daemon_with_exit_code_2(cluster):
    cluster.processes["taken"] = cluster.processes["entry-1"]
    path = cluster.folder / "entry-1.toml"
    done = subprocess.run(
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
    assert done.returncode == 2
    assert "cannot be bound" in done.stderr
