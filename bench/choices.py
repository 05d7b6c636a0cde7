"""Servers chosen for flows by several entry hosts, beside an ideal chooser.

Flows queue at the server that was chosen for them. The shipped way is a
:class:`vanilladrum.core.flowhost.FlowHost` a host, which learns of the
others' flows through digests; the ideal one knows the work left in every
queue. Prints the time of short work from arrival to end.
"""

import random
import statistics
import sys

import attrs

from bench import emulator
from bench import policies
from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import flowhost
from vanilladrum.core import neighbours
from vanilladrum.core import serverstate

HOSTS = 5
LOAD = 0.8
SERVICE = "orders"
SEEDS = (1, 2, 3)
# Servers, slots and milliseconds of short work of the users' two sites.
SETUPS = {
    "Cooperativa 12 x 2 slots, 13 ms": (12, 2, 0.013),
    "Filzwerk 12 x 2 slots, 47 ms": (12, 2, 0.047),
}
BULK_SHARE = 0.05
BULK_FACTOR = 4.0
STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 5.0


def arrivals(seed: int, slots: int, seconds: float) -> list[emulator.Work]:
    """Return the work of one run at a steady load, with a tail.

    :param slots: of all servers together.
    :param seconds: mean of ordinary short work.
    """
    rng = random.Random(seed)
    mean = seconds * (
        1
        + BULK_SHARE * (BULK_FACTOR - 1)
        + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
    )
    found = []
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
        host = rng.randrange(HOSTS)
        found.append(emulator.Work(now, length, bulk, host, False))
    return found


@attrs.define(eq=False)
class Ideal(policies.QueueAtServer):
    """Knows all work at every server, begun or not."""

    ends: dict[int, list[float]] = attrs.field(factory=dict)

    def choose(self, work: emulator.Work) -> emulator.Server:
        """Choose the server that can begin it first."""
        chosen = min(self.run.servers, key=self.free_at)
        slots = self.ends.setdefault(chosen.number, [0.0] * chosen.slots)
        earliest = slots.index(min(slots))
        slots[earliest] = max(slots[earliest], self.run.now) + work.seconds
        return chosen

    def free_at(self, server: emulator.Server) -> float:
        """Return when a server has a free slot."""
        slots = self.ends.get(server.number, [0.0])
        return max(min(slots), self.run.now)


@attrs.define(eq=False)
class Shipped(policies.QueueAtServer):
    """The choice of the entry hosts, with digests between them."""

    hosts: list[flowhost.FlowHost] = attrs.field(init=False)
    flows: dict[int, tuple] = attrs.field(factory=dict)
    opened: int = 0

    def __attrs_post_init__(self) -> None:
        self.hosts = [self._host(number) for number in range(HOSTS)]
        self.run.later(0.0, self.digest)

    def _host(self, number: int) -> flowhost.FlowHost:
        rng = random.Random(self.run.rng.random())
        me = addresses.Address("10.0.0.1", number + 1)
        view = neighbours.Neighbours(me, 1, rng)
        host = flowhost.FlowHost("bilbao", view, rng)
        for server in self.run.servers:
            host.directory.put(_backend(server))
        return host

    def digest(self) -> None:
        """Send every host's open flows to every other host."""
        now = self.run.now
        for host in self.hosts:
            told = host.make_digest(False, False, False, 1)
            for other in self.hosts:
                if other is not host:
                    other.neighbours.hear(host.neighbours.me, told, now)
        self.run.later(neighbours.SMALL.period, self.digest)

    def choose(self, work: emulator.Work) -> emulator.Server:
        """Ask the host that the flow's first packet came to."""
        host = self.hosts[work.host]
        now = self.run.now
        active = host.directory.active(SERVICE)
        server = host.balancer.choose(active, now)
        self.opened += 1
        key = self.opened.to_bytes(12, "big")
        flow = host.table.begin(key, server, now, emulator.SECONDS)
        self.flows[id(work)] = (host, flow)
        return self.run.servers[server.address.port - 1]

    def ended(self, work: emulator.Work, server: emulator.Server) -> None:
        """The caller closes its flow."""
        host, flow = self.flows.pop(id(work))
        host.pace.ended(flow.server, self.run.now - flow.sent, self.run.now)
        host.table.end(flow)
        # Not in the bases: this class is made anew with its slots.
        policies.QueueAtServer.ended(self, work, server)


def _backend(server: emulator.Server) -> backends.Backend:
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


WAYS = {"random": policies.Random, "shipped": Shipped, "ideal": Ideal}


def measure(way: str, setup: tuple, seed: int) -> list[float]:
    """Return quantiles of the time of short work, in ms."""
    count, slots, seconds = setup
    servers = [emulator.Server(number, slots) for number in range(count)]
    run = emulator.Run(servers, random.Random(seed))
    work = arrivals(seed, count * slots, seconds)
    run.play(work, WAYS[way](run))
    short = [w.ended - w.arrived for w in work if not w.bulk]
    shares = (0.5, 0.99, 0.999)
    return [policies.quantile(short, share) for share in shares]


def main() -> None:
    """Print a table a site: medians over the seeds."""
    for title, setup in SETUPS.items():
        print(f"\n{title}, load {LOAD}, time of short work in ms")
        rows = {}
        for way in WAYS:
            runs = [measure(way, setup, seed) for seed in SEEDS]
            rows[way] = [
                statistics.median(column) for column in zip(*runs, strict=True)
            ]
            print(f"{way:12}" + "".join(f"{v:10.1f}" for v in rows[way]))
        for way, row in rows.items():
            print(f"  p99, {way}: {row[1] / rows['ideal'][1]:.2f} x ideal")


if __name__ == "__main__":
    sys.exit(main())
