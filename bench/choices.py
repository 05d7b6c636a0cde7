"""Compares the choice of servers for flows with an ideal policy.

Flows queue at the server that was chosen for them. The production policy
uses one :class:`vanilladrum.core.flowhost.FlowHost` per entry host, which
learns of the other hosts' flows through digests. The ideal policy uses the
execution times of all work in every queue. Prints the time of short work from
its arrival to its end.
"""

import random
import statistics
import sys

import attrs

from bench import emulator
from bench import policies
from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import digest as digest_types
from vanilladrum.core import flowhost
from vanilladrum.core import neighbours
from vanilladrum.core import position as positions
from vanilladrum.core import serverstate

HOST_COUNT = 5
LOAD = 0.8
SERVICE = "orders"
SEEDS = (1, 2, 3)
# Number of servers, slots on each, and mean execution time of short work in
# seconds, for each of the users' two sites.
SITES = {
    "Cooperativa 12 x 2 slots, 13 ms": (12, 2, 0.013),
    "Filzwerk 12 x 2 slots, 47 ms": (12, 2, 0.047),
}
BULK_SHARE = 0.05
BULK_FACTOR = 4.0
STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 5.0


def arrivals(seed: int, slots: int, seconds: float) -> list[emulator.Work]:
    """Return the arrivals of one run at a steady load, with a long tail.

    :param slots: number of slots on all servers.
    :param seconds: mean execution time of ordinary short work.
    """
    rng = random.Random(seed)
    mean = seconds * (
        1
        + BULK_SHARE * (BULK_FACTOR - 1)
        + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
    )
    work = []
    now = 0.0
    while now < emulator.SECONDS:
        now += rng.expovariate(LOAD * slots / mean)
        length = rng.lognormvariate(0.0, 0.3) * seconds
        draw = rng.random()
        bulk = draw < BULK_SHARE
        if bulk:
            length *= BULK_FACTOR
        elif draw < BULK_SHARE + STRAGGLER_SHARE:
            length *= STRAGGLER_FACTOR
        host = rng.randrange(HOST_COUNT)
        work.append(emulator.Work(now, length, bulk, host, False))
    return work


@attrs.define(eq=False)
class IdealPolicy(policies.QueueAtServer):
    """Chooses with the execution times of all work at every server.

    These aren't available to a real policy.

    :param slot_free_times: times in seconds at which the slots of a server,
        given by its number, become free.
    """

    slot_free_times: dict[int, list[float]] = attrs.field(factory=dict)

    def choose(self, work: emulator.Work) -> emulator.Server:
        """Choose the server that can start the work first; reserve a slot."""
        chosen = min(self.run.servers, key=self.next_free_time)
        slots = self.slot_free_times.setdefault(
            chosen.number, [0.0] * chosen.slots
        )
        earliest = slots.index(min(slots))
        slots[earliest] = max(slots[earliest], self.run.now) + work.seconds
        return chosen

    def next_free_time(self, server: emulator.Server) -> float:
        """Return the time in seconds at which a server has a free slot."""
        slots = self.slot_free_times.get(server.number, [0.0])
        return max(min(slots), self.run.now)


@attrs.define(eq=False)
class FlowHostPolicy(policies.QueueAtServer):
    """Choice by production entry hosts that exchange digests.

    :param flows: entry host and table entry of each open flow, by the
        ``id`` of its work.
    """

    hosts: list[flowhost.FlowHost] = attrs.field(init=False)
    flows: dict[int, tuple] = attrs.field(factory=dict)
    opened_flows: int = 0

    def __attrs_post_init__(self) -> None:
        self.hosts = [self._make_host(number) for number in range(HOST_COUNT)]
        self.run.later(0.0, self.send_digests)

    def _make_host(self, number: int) -> flowhost.FlowHost:
        rng = random.Random(self.run.rng.random())
        address = addresses.Address("10.0.0.1", number + 1)
        known_hosts = neighbours.Neighbours(address, 1, rng)
        host = flowhost.FlowHost("bilbao", known_hosts, rng)
        for server in self.run.servers:
            host.directory.update(_make_backend(server))
        return host

    def send_digests(self) -> None:
        """Exchange digests between all hosts and schedule the next ones."""
        now = self.run.now
        for host in self.hosts:
            digest = host.make_digest(
                False, False, False, positions.StorePosition(1, 1)
            )
            for other in self.hosts:
                if other is not host:
                    other.neighbours.receive(
                        host.neighbours.own_address, digest, now
                    )
        self.run.later(digest_types.SMALL.period, self.send_digests)

    def choose(self, work: emulator.Work) -> emulator.Server:
        """Let the host that received the flow's first packet choose."""
        host = self.hosts[work.host]
        now = self.run.now
        server = host.choose(SERVICE, now)
        self.opened_flows += 1
        key = self.opened_flows.to_bytes(12, "big")
        flow = host.table.add(key, server, now, emulator.SECONDS)
        self.flows[id(work)] = (host, flow)
        return self.run.servers[server.address.port - 1]

    def ended(self, work: emulator.Work, server: emulator.Server) -> None:
        """Close the flow and report its duration."""
        host, flow = self.flows.pop(id(work))
        host.speed_estimator.record_response_time(
            flow.server, self.run.now - flow.sent, self.run.now
        )
        host.table.end(flow)
        # Names the base class, because attrs recreates this class when it
        # adds slots.
        policies.QueueAtServer.ended(self, work, server)


def _make_backend(server: emulator.Server) -> backends.Backend:
    name = f"i-{server.number}"
    return backends.Backend(
        name,
        name.encode().rjust(8),
        1,
        SERVICE,
        addresses.Address("10.0.1.1", server.number + 1),
        "bilbao",
        server.slots,
        serverstate.ServerState.ACTIVE,
    )


POLICIES = {
    "random": policies.Random,
    "shipped": FlowHostPolicy,
    "ideal": IdealPolicy,
}


def measure(policy: str, site: tuple, seed: int) -> list[float]:
    """Return p50, p99 and p99.9 of the time of short work, in ms.

    :param policy: name in ``POLICIES``.
    :param site: value of ``SITES``.
    """
    count, slots, seconds = site
    servers = [emulator.Server(number, slots) for number in range(count)]
    run = emulator.Run(servers, random.Random(seed))
    work = arrivals(seed, count * slots, seconds)
    run.play(work, POLICIES[policy](run))
    short = [w.ended - w.arrived for w in work if not w.bulk]
    shares = (0.5, 0.99, 0.999)
    return [policies.quantile(short, share) for share in shares]


def main() -> None:
    """Print a table for each site with the medians over the seeds."""
    for title, site in SITES.items():
        print(f"\n{title}, load {LOAD}, time of short work in ms")
        rows = {}
        for policy in POLICIES:
            runs = [measure(policy, site, seed) for seed in SEEDS]
            rows[policy] = [
                statistics.median(column) for column in zip(*runs, strict=True)
            ]
            print(f"{policy:12}" + "".join(f"{v:10.1f}" for v in rows[policy]))
        for policy, row in rows.items():
            print(f"  p99, {policy}: {row[1] / rows['ideal'][1]:.2f} x ideal")


if __name__ == "__main__":
    sys.exit(main())
