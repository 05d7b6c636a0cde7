"""Slopes behind docs/CAPACITY.md: state and processor time by role.

Measures the shipped core in one process, at a data centre's share of the
stated size: 270 entry hosts, 254 services, 2,077 backend servers.
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
from vanilladrum.core import peers
from vanilladrum.core import placement
from vanilladrum.core import request as requests
from vanilladrum.core import table as tables
from vanilladrum.wire import peers as wire_peers

HOSTS = 270
SERVICES = 254
SERVERS = 2077
ENTRIES = 20_000
ANY = addresses.Address("127.0.0.1", 9)
RNG = random.Random(1)


class FixedClock:
    """The machine's clock."""

    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


def member(number: int) -> peers.Member:
    """Return a made-up entry host."""
    at = addresses.Address(f"10.0.{number >> 8}.{number & 255}", 7001)
    return peers.Member(number, RNG.randbytes(4), at, "bilbao")


def fleet(generation: int) -> fleets.Fleet:
    """Return a data centre's configuration."""
    services = []
    name = 0
    for number in range(1, SERVICES + 1):
        servers = []
        for _ in range(SERVERS // SERVICES + (number <= SERVERS % SERVICES)):
            name += 1
            at = addresses.Address(f"10.1.{name >> 8}.{name & 255}", 5683)
            servers.append(
                fleets.Server(f"s-{name}", len(servers) + 1, "bilbao", at, 2)
            )
        address = addresses.Address(f"10.2.{number >> 8}.{number & 255}", 5683)
        services.append(
            fleets.Service(f"v-{number}", number, address, tuple(servers))
        )
    key = fleets.SealingKey(0, "ab" * 16)
    return fleets.Fleet(
        generation, ("op",), ("bilbao",), tuple(services), (key,), 0
    )


def growth(build: object) -> tuple[float, object]:
    """Return the bytes that a build keeps, and what it built."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return grown, kept


def request_entries() -> tables.RequestTable:
    """Return a table full of answered records."""
    table = tables.RequestTable()
    for number in range(ENTRIES):
        key = (RNG.randbytes(8), number.to_bytes(6, "big"))
        path = requests.ReplyPath(
            addresses.Address("10.3.0.1", number % 60000), ANY, None, 1, True
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


def records() -> tables.WitnessTable:
    """Return a witness's records."""
    table = tables.WitnessTable()
    for number in range(ENTRIES):
        key = (RNG.randbytes(8), number.to_bytes(6, "big"))
        table.record(b"owner1", key, 0.0)
    return table


def view() -> memberships.Membership:
    """Return a view of a data centre's entry hosts."""
    found = memberships.Membership(member(0), RNG)
    found.merge_all(tuple(member(n) for n in range(1, HOSTS)), 0.0)
    return found


def timed(action: object, times: int = 1) -> float:
    """Return the seconds of one run of an action."""
    started = time.process_time()
    for _ in range(times):
        action()
    return (time.process_time() - started) / times


def main() -> None:
    """Print all slopes."""
    size, _ = growth(request_entries)
    print(f"remembered record      {size / ENTRIES:8.0f} B")
    size, _ = growth(records)
    print(f"witness's record       {size / ENTRIES:8.0f} B")
    size, membership = growth(view)
    print(f"member of the view     {size / HOSTS:8.0f} B")
    membership.generations.clear()
    core = entryhost.EntryHost(membership, FixedClock(), RNG)
    size, _ = growth(lambda: core.configure(fleet(1)))
    print(
        f"configuration          {size / 2**20:8.2f} MB in memory, a data "
        f"centre's {SERVERS} servers"
    )
    plain = document.to_plain(fleet(2))
    encoded = cbor2.dumps(plain)
    print(f"configuration          {len(encoded) / 2**20:8.2f} MB as CBOR")
    read = timed(lambda: document.read_fleet(cbor2.loads(encoded), "bench"))
    fresh = fleet(2)
    adopted = timed(lambda: core.configure(fresh))
    print(f"reading it             {read * 1000:8.1f} ms")
    print(f"adopting it            {adopted * 1000:8.1f} ms")
    alive = membership.trusted()
    one = timed(lambda: placement.choose_pair(7, alive), 20)
    print(
        f"choosing one pair      {one * 1000:8.2f} ms, "
        f"{one * SERVICES * 1000:.0f} ms for all services"
    )
    codec = wire_peers.Codec(b"k" * 16)
    message = peers.Record(b"owner001", b"witness1", bytes(8), bytes(6))
    reply = peers.Recorded(b"owner001", bytes(8), bytes(6), False)
    pair = len(codec.encode(message)), len(codec.encode(reply))
    spent = timed(lambda: codec.decode(codec.encode(message)), 2000)
    print(
        f"record and reply       {sum(pair):8d} B, {spent * 1e6:.0f} us to "
        "write and read one"
    )
    whole = codec.encode(core.view())
    print(f"whole view             {len(whole) / 1024:8.1f} KB")
    assert attrs.has(type(reply))


if __name__ == "__main__":
    main()
