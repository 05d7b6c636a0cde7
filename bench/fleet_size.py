"""Cost of one entry host's decisions by the size of the fleet.

Measures the processor time of the calls that could depend on the number of
backend servers or entry hosts, on one host without sockets. With ``--json``
each size is one JSON object on a line; otherwise a table is printed.
"""

import json
import random
import sys
import time

from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import digest as digest_types
from vanilladrum.core import flow as flows
from vanilladrum.core import flowhost
from vanilladrum.core import neighbours
from vanilladrum.core import routes
from vanilladrum.core import serverstate
from vanilladrum.wire import digests

# Numbers of backend servers and of entry hosts; the last one is the size of a
# data centre in letter 1, with the hosts of all data centres.
SIZES = (
    (14, 7),
    (75, 86),
    (147, 195),
    (600, 600),
    (2077, 270),
    (2077, 3500),
)
SERVICE = "orders"
SERVICE_ADDRESS = addresses.Address("198.18.0.1", 443)
DATA_CENTRES = 13
CALLS = 2000
SEED = 1
COLUMNS = (
    "first_packet_us",
    "tick_us",
    "receivers_us",
    "server_update_us",
    "digest_us",
)


def make_server(number: int, started: int = 1) -> backends.Backend:
    """Return a server in one of the data centres."""
    return backends.Backend(
        f"i-{number:08x}",
        number.to_bytes(8, "big"),
        started,
        SERVICE,
        addresses.Address(f"10.9.{number >> 8}.{number & 255}", 8080),
        f"centre-{number % DATA_CENTRES}",
        2,
        serverstate.ServerState.ACTIVE,
    )


def make_digest(number: int, sequence: int) -> digest_types.Digest:
    """Return a digest of an entry host of one of the data centres."""
    return digest_types.Digest(
        start=number,
        sequence=sequence,
        data_centre=number % DATA_CENTRES,
        generation=1,
        leaving=False,
        watching=False,
        store_unreachable=False,
        entries_may_return=False,
        revision=5,
        busy_flows={},
        hosts=(),
    )


def host_address(number: int) -> addresses.Address:
    """Return the address of an entry host."""
    return addresses.Address(f"10.1.{number >> 8}.{number & 255}", 7720)


def make_host(servers: int, hosts: int) -> flowhost.FlowHost:
    """Return a host that knows the servers and has heard the other hosts."""
    rng = random.Random(SEED)
    known = neighbours.Neighbours(host_address(0), 0, rng)
    host = flowhost.FlowHost("centre-0", known, rng)
    share = routes.Share(SERVICE)
    route = routes.Route("orders", (share,), 2.0)
    host.configure(
        routes.FlowConfiguration(1, {SERVICE_ADDRESS.pack(): route}, 15.0)
    )
    for number in range(1, servers + 1):
        host.directory.update(make_server(number))
    for number in range(1, hosts):
        known.receive(host_address(number), make_digest(number, 1), 0.0)
    host.tick(0.0)
    host.tick(neighbours.DISCOVERY_SECONDS)
    return host


def first_packet(port: int) -> flows.Packet:
    """Return a first packet from a caller's port."""
    key = port.to_bytes(12, "big")
    return flows.Packet(
        key=key,
        service=SERVICE_ADDRESS.pack(),
        opens=True,
        copies=0,
        closes=False,
        has_data=False,
        sequence=0,
        acknowledged=0,
        tag=0,
        raw=b"",
    )


def measure(servers: int, hosts: int) -> dict[str, float]:
    """Return the processor time of each call in microseconds.

    :param servers: number of backend servers.
    :param hosts: number of entry hosts.
    """
    host = make_host(servers, hosts)
    known = host.neighbours
    now = neighbours.DISCOVERY_SECONDS
    encoded = [
        digests.encode(make_digest(1 + n % (hosts - 1), 2 + n))
        for n in range(CALLS)
    ]

    def receive_digest(number: int) -> None:
        sender = host_address(1 + number % (hosts - 1))
        known.receive(sender, digests.decode(encoded[number]), now)

    calls = {
        "first_packet_us": lambda n: host.receive(first_packet(n), now),
        "tick_us": lambda n: host.tick(now),
        "receivers_us": lambda n: known.receivers(now),
        "server_update_us": lambda n: host.directory.update(
            make_server(1 + n % servers, 2 + n)
        ),
        "digest_us": receive_digest,
    }
    row: dict[str, float] = {"servers": servers, "hosts": hosts}
    for column in COLUMNS:
        begin = time.process_time()
        for number in range(CALLS):
            calls[column](number)
        row[column] = (time.process_time() - begin) / CALLS * 1e6
    return row


def main() -> None:
    """Print a row for each size."""
    as_json = "--json" in sys.argv
    if not as_json:
        print(
            "".join(f"{head:>18}" for head in ("servers", "hosts", *COLUMNS))
        )
    for servers, hosts in SIZES:
        row = measure(servers, hosts)
        if as_json:
            print(json.dumps({k: round(v, 1) for k, v in row.items()}))
            continue
        print("".join(f"{value:18.1f}" for value in row.values()), flush=True)


if __name__ == "__main__":
    main()
