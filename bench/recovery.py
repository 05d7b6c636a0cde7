"""What the loss of the bookings' dispatcher costs, by variant.

For each variant and fault: share of records told "unknown", and seconds
until the last request that the fault delayed was ended. Medians of rounds.
"""

import asyncio
import pathlib
import random
import signal
import statistics
import sys
import time

from aiocoap.numbers import codes
import attrs
import uvloop

from vanilladrum.core import address as addresses
from vanilladrum.standins import caller as callers

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "examples"))
import cluster as clusters  # noqa: E402
import run_cooperativa as example  # noqa: E402

HOSTS = 6
ROUNDS = 4
RATE = 150.0
CONNECTIONS = 400
BEFORE_SECONDS = 1.5
AFTER_SECONDS = 6.0
PAUSE_SECONDS = 4.0
DELAYED_SECONDS = 0.25
VARIANTS = ("shipped", "suspects_dispatch", "no_witness")
FAULTS = ("crash", "pause")
SERVER = {"straggler_ratio": 0.0, "service_seconds": 0.01}


@attrs.frozen
class Sample:
    """One request: when it began and ended, and what was told."""

    began: float
    ended: float
    record: bool
    told: callers.Told


async def drive(
    connections: list[callers.Connection],
    samples: list[Sample],
    seconds: float,
    rng: random.Random,
) -> None:
    """Send checks and records, half each, in an open loop."""
    tasks = set()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(rng.expovariate(RATE))
        connection = rng.choice(connections)
        record = rng.random() < 0.5
        task = asyncio.create_task(one(connection, record, samples))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)


async def one(
    connection: callers.Connection, record: bool, samples: list[Sample]
) -> None:
    """Send one request and note its end."""
    began = time.monotonic()
    code = codes.POST if record else codes.GET
    payload = b"bench|x" if record else b""
    ending = await connection.request(code, "/records/1", payload)
    samples.append(Sample(began, time.monotonic(), record, ending.told))


async def measure_round(
    cluster: clusters.Cluster, fault: str, seed: int
) -> tuple[float, float, int]:
    """Return share unknown, seconds to recover and records sent after."""
    rng = random.Random(seed)
    address = addresses.parse(cluster.at(0))
    connections = []
    for _ in range(CONNECTIONS):
        connection = callers.Connection(address, rng, 0.3)
        await connection.open()
        connections.append(connection)
    for connection in connections:
        await connection.request(codes.GET, "/slots/1")
    samples: list[Sample] = []
    load = asyncio.create_task(
        drive(connections, samples, BEFORE_SECONDS + AFTER_SECONDS, rng)
    )
    await asyncio.sleep(BEFORE_SECONDS)
    offset = next(iter(cluster.hosts.values()))
    seen = cluster.get(offset + 2, "/metrics")["dispatchers"]["bookings"]
    name = f"entry-{seen[0]}"
    at = time.monotonic()
    if fault == "crash":
        cluster.kill(name)
        cluster.tell_fabric_hosts()
    else:
        cluster.signal(name, signal.SIGSTOP)
        await asyncio.sleep(PAUSE_SECONDS)
        cluster.signal(name, signal.SIGCONT)
    await load
    for connection in connections:
        connection.close()
    if fault == "crash":
        number = int(name.removeprefix("entry-"))
        cluster.start_host(name, number, example.CENTRES[number % 4])
        cluster.wait_host(name)
        cluster.wait_joined()
        cluster.tell_fabric_hosts()
    return summarize(samples, at)


def summarize(samples: list[Sample], at: float) -> tuple[float, float, int]:
    """Work out what a fault at a time cost."""
    records = [each for each in samples if each.record and each.ended >= at]
    unknown = sum(each.told == callers.Told.UNKNOWN for each in records)
    delayed = [
        each.ended - at
        for each in samples
        if each.ended >= at and each.ended - each.began > DELAYED_SECONDS
    ]
    return unknown / len(records), max(delayed, default=0.0), len(records)


def measure_variant(name: str) -> None:
    """Run all faults under one variant."""
    with clusters.Cluster() as cluster:
        launcher = str(ROOT / "bench" / "variants.py")
        cluster.program = [sys.executable, launcher, name]
        example.start(cluster, HOSTS, **SERVER)
        # A lost datagram delays a request too; here the fault alone may.
        cluster.post(7, {"drop": 0.0, "duplicate": 0.0})
        for fault in FAULTS:
            rounds = [
                uvloop.run(measure_round(cluster, fault, seed))
                for seed in range(ROUNDS)
            ]
            unknown = statistics.median(each[0] for each in rounds)
            seconds = statistics.median(each[1] for each in rounds)
            worst = max(each[1] for each in rounds)
            records = sum(each[2] for each in rounds)
            print(
                f"{name:18} {fault:6} unknown {unknown:7.2%} of "
                f"{records} records, recovered after {seconds:.2f} s "
                f"(worst {worst:.2f} s)",
                flush=True,
            )


if __name__ == "__main__":
    for chosen in sys.argv[1:] or VARIANTS:
        measure_variant(chosen)
