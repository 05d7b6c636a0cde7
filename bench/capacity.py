"""Memory and processor time per item, as input for docs/CAPACITY.md.

Measures the production core in one process, with one data centre's share of
the full fleet: 270 entry hosts, 254 services and 2,077 backend servers.
"""

import random
import time
import tracemalloc

import attrs
import cbor2

from vanilladrum.core import address as addresses
from vanilladrum.core import document
from vanilladrum.core import entryhost
from vanilladrum.core import fleet as fleets
from vanilladrum.core import membership as memberships
from vanilladrum.core import ownership
from vanilladrum.core import peer_messages
from vanilladrum.core import placement
from vanilladrum.core import request as requests
from vanilladrum.core import table as tables
from vanilladrum.wire import peer_codec

HOST_COUNT = 270
SERVICE_COUNT = 254
SERVER_COUNT = 2077
ENTRY_COUNT = 20_000
# Placeholder; nothing is sent to it.
ANY_ADDRESS = addresses.Address("127.0.0.1", 9)
RNG = random.Random(1)


class SystemClock:
    """Clock of the operating system."""

    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


def make_member(number: int) -> peer_messages.Member:
    """Return an entry host with a generated address and incarnation."""
    address = addresses.Address(f"10.0.{number >> 8}.{number & 255}", 7001)
    return peer_messages.Member(number, RNG.randbytes(4), address, "bilbao")


def make_fleet(generation: int) -> fleets.Fleet:
    """Return the configuration of a data centre with its servers."""
    services = []
    server_number = 0
    for number in range(1, SERVICE_COUNT + 1):
        servers = []
        for _ in range(
            SERVER_COUNT // SERVICE_COUNT
            + (number <= SERVER_COUNT % SERVICE_COUNT)
        ):
            server_number += 1
            server_address = addresses.Address(
                f"10.1.{server_number >> 8}.{server_number & 255}", 5683
            )
            servers.append(
                fleets.Server(
                    f"s-{server_number}",
                    len(servers) + 1,
                    "bilbao",
                    server_address,
                    2,
                )
            )
        address = addresses.Address(f"10.2.{number >> 8}.{number & 255}", 5683)
        services.append(
            fleets.Service(f"v-{number}", number, address, tuple(servers))
        )
    key = fleets.SealingKey(0, "ab" * 16)
    return fleets.Fleet(
        generation, ("op",), ("bilbao",), tuple(services), (key,), 0
    )


def measure_memory(build: object) -> tuple[float, object]:
    """Measure the memory that the result of a function occupies.

    :param build: function without arguments.
    :returns: memory growth in bytes, and the result.
    """
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size, result


def make_request_table() -> tables.RequestTable:
    """Return a request table with ``ENTRY_COUNT`` answered requests."""
    table = tables.RequestTable()
    for number in range(ENTRY_COUNT):
        key = (RNG.randbytes(8), number.to_bytes(6, "big"))
        path = requests.ReplyPath(
            addresses.Address("10.3.0.1", number % 60000),
            ANY_ADDRESS,
            None,
            1,
            True,
        )
        response = requests.Response(
            requests.Outcome.ANSWER, 68, payload=bytes(64)
        )
        table.entries[key] = tables.Entry(
            key,
            b"owner1",
            path,
            False,
            0.0,
            ownership.Stage.ANSWERED,
            response,
        )
    return table


def make_witness_table() -> tables.WitnessTable:
    """Return a witness table with ``ENTRY_COUNT`` records."""
    table = tables.WitnessTable()
    for number in range(ENTRY_COUNT):
        key = (RNG.randbytes(8), number.to_bytes(6, "big"))
        table.record(b"owner1", key, 0.0)
    return table


def make_membership() -> memberships.Membership:
    """Return one entry host's membership view of a data centre."""
    membership = memberships.Membership(make_member(0), RNG)
    membership.merge_view(
        tuple(make_member(number) for number in range(1, HOST_COUNT)), 0.0
    )
    return membership


def measure_seconds(action: object, times: int = 1) -> float:
    """Return the mean processor time of one call, in seconds.

    :param action: function without arguments.
    :param times: number of calls.
    """
    started = time.process_time()
    for _ in range(times):
        action()
    return (time.process_time() - started) / times


def main() -> None:
    """Measure and print the memory and processor time of each item."""
    size, _ = measure_memory(make_request_table)
    print(f"request table entry    {size / ENTRY_COUNT:8.0f} B")
    size, _ = measure_memory(make_witness_table)
    print(f"witness record         {size / ENTRY_COUNT:8.0f} B")
    size, membership = measure_memory(make_membership)
    print(f"member of a view       {size / HOST_COUNT:8.0f} B")
    membership.generations.clear()
    core = entryhost.EntryHost(membership, SystemClock(), RNG)
    size, _ = measure_memory(lambda: core.configure(make_fleet(1)))
    print(
        f"configuration          {size / 2**20:8.2f} MB in memory, for "
        f"{SERVER_COUNT} servers"
    )
    plain = document.unstructure(make_fleet(2))
    encoded = cbor2.dumps(plain)
    print(f"configuration          {len(encoded) / 2**20:8.2f} MB as CBOR")
    decode_seconds = measure_seconds(
        lambda: document.read_fleet(cbor2.loads(encoded), "bench")
    )
    newer = make_fleet(2)
    adopt_seconds = measure_seconds(lambda: core.configure(newer))
    print(f"decoding it            {decode_seconds * 1000:8.1f} ms")
    print(f"adopting it            {adopt_seconds * 1000:8.1f} ms")
    candidates = membership.dispatch_candidates()
    pair_seconds = measure_seconds(
        lambda: placement.choose_pair(7, candidates), 20
    )
    print(
        f"choosing one pair      {pair_seconds * 1000:8.2f} ms, "
        f"{pair_seconds * SERVICE_COUNT * 1000:.0f} ms for all services"
    )
    codec = peer_codec.Codec(b"k" * 16)
    message = peer_messages.Record(
        b"owner001", b"witness1", bytes(8), bytes(6)
    )
    reply = peer_messages.Recorded(b"owner001", bytes(8), bytes(6), False)
    sizes = len(codec.encode(message)), len(codec.encode(reply))
    codec_seconds = measure_seconds(
        lambda: codec.decode(codec.encode(message)), 2000
    )
    print(
        f"record and reply       {sum(sizes):8d} B, "
        f"{codec_seconds * 1e6:.0f} us to encode and decode one"
    )
    encoded_view = codec.encode(core.view())
    print(f"complete view          {len(encoded_view) / 1024:8.1f} KB")
    assert attrs.has(type(reply))


if __name__ == "__main__":
    main()
