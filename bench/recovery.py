"""Impact of losing the dispatcher of the bookings service, for each variant.

Prints for each variant and fault the share of records whose outcome was
reported as unknown, and the seconds until the last delayed request ended, as
medians over the rounds.
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

HOST_COUNT = 6
ROUNDS = 4
REQUEST_RATE = 150.0
CONNECTION_COUNT = 400
SECONDS_BEFORE_FAULT = 1.5
SECONDS_AFTER_FAULT = 6.0
PAUSE_SECONDS = 4.0
# A request that takes longer counts as delayed by the fault.
MIN_DELAY_SECONDS = 0.25
VARIANTS = ("shipped", "suspects_dispatch", "no_witness")
FAULTS = ("crash", "pause")
SERVER_OPTIONS = {"straggler_ratio": 0.0, "service_seconds": 0.01}


@attrs.frozen
class RequestSample:
    """Start and end of one request in seconds, and its outcome.

    :param record: whether the request was a record, which isn't idempotent.
    """

    started: float
    ended: float
    record: bool
    outcome: callers.RequestOutcome


async def generate_load(
    connections: list[callers.Connection],
    samples: list[RequestSample],
    seconds: float,
    rng: random.Random,
) -> None:
    """Send reads and records, half each, in an open loop.

    :param seconds: duration of the load.
    """
    tasks = set()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(rng.expovariate(REQUEST_RATE))
        connection = rng.choice(connections)
        record = rng.random() < 0.5
        task = asyncio.create_task(send_request(connection, record, samples))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)


async def send_request(
    connection: callers.Connection, record: bool, samples: list[RequestSample]
) -> None:
    """Send one request and add a sample of it."""
    started = time.monotonic()
    code = codes.POST if record else codes.GET
    payload = b"bench|x" if record else b""
    result = await connection.request(code, "/records/1", payload)
    samples.append(
        RequestSample(started, time.monotonic(), record, result.outcome)
    )


async def measure_round(
    cluster: clusters.Cluster, fault: str, seed: int
) -> tuple[float, float, int]:
    """Cause one fault under load and measure its impact.

    Only requests that ended after the fault count.

    :returns: share of the records whose outcome is unknown, seconds from the
        fault until the last delayed request ended, and number of records.
    """
    rng = random.Random(seed)
    address = addresses.parse(cluster.address(0))
    connections = []
    for _ in range(CONNECTION_COUNT):
        # The first retransmission is sent after 0.3 s.
        connection = callers.Connection(address, rng, 0.3)
        await connection.open()
        connections.append(connection)
    for connection in connections:
        await connection.request(codes.GET, "/slots/1")
    samples: list[RequestSample] = []
    load = asyncio.create_task(
        generate_load(
            connections,
            samples,
            SECONDS_BEFORE_FAULT + SECONDS_AFTER_FAULT,
            rng,
        )
    )
    await asyncio.sleep(SECONDS_BEFORE_FAULT)
    # Port offset of any entry host; its metrics port is 2 above.
    offset = next(iter(cluster.hosts.values()))
    dispatcher = cluster.get(offset + 2, "/metrics")["dispatchers"]["bookings"]
    name = f"entry-{dispatcher[0]}"
    fault_time = time.monotonic()
    if fault == "crash":
        cluster.kill(name)
        cluster.update_fabric_hosts()
    else:
        cluster.signal(name, signal.SIGSTOP)
        await asyncio.sleep(PAUSE_SECONDS)
        cluster.signal(name, signal.SIGCONT)
    await load
    for connection in connections:
        connection.close()
    if fault == "crash":
        number = int(name.removeprefix("entry-"))
        cluster.start_host(name, number, example.DATA_CENTRES[number % 4])
        cluster.wait_host(name)
        cluster.wait_joined()
        cluster.update_fabric_hosts()
    return summarize_samples(samples, fault_time)


def summarize_samples(
    samples: list[RequestSample], fault_time: float
) -> tuple[float, float, int]:
    """Compute the impact of a fault.

    :param fault_time: time of the fault on the monotonic clock, in seconds.
    :returns: as for :func:`measure_round`.
    """
    records = [
        each for each in samples if each.record and each.ended >= fault_time
    ]
    unknown = sum(
        each.outcome == callers.RequestOutcome.UNKNOWN for each in records
    )
    delayed = [
        each.ended - fault_time
        for each in samples
        if each.ended >= fault_time
        and each.ended - each.started > MIN_DELAY_SECONDS
    ]
    return unknown / len(records), max(delayed, default=0.0), len(records)


def measure_variant(name: str) -> None:
    """Run all faults with one variant and print a row for each."""
    with clusters.Cluster() as cluster:
        script = str(ROOT / "bench" / "variants.py")
        cluster.command_prefix = [sys.executable, script, name]
        example.start_processes(cluster, HOST_COUNT, **SERVER_OPTIONS)
        # Lost datagrams would delay requests too, so only the fault may
        # cause delays.
        cluster.post(7, {"drop": 0.0, "duplicate": 0.0})
        for fault in FAULTS:
            rounds = [
                uvloop.run(measure_round(cluster, fault, seed))
                for seed in range(ROUNDS)
            ]
            unknown = statistics.median(each[0] for each in rounds)
            seconds = statistics.median(each[1] for each in rounds)
            max_seconds = max(each[1] for each in rounds)
            records = sum(each[2] for each in rounds)
            print(
                f"{name:18} {fault:6} unknown {unknown:7.2%} of "
                f"{records} records, recovered after {seconds:.2f} s "
                f"(worst {max_seconds:.2f} s)",
                flush=True,
            )


if __name__ == "__main__":
    for chosen in sys.argv[1:] or VARIANTS:
        measure_variant(chosen)
