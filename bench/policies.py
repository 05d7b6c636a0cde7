"""Slots shared between entry hosts: ways compared on the same arrivals.

Event-driven and seeded; the dispatcher is the shipped one. Prints the wait
of short work for a slot at the crest and over all, the wait of bulk work,
assignments beyond a server's slots and control bytes a host a second.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
import statistics
import sys

import attrs

from bench import emulator
from vanilladrum.core import address as addresses
from vanilladrum.core import dispatcher as dispatchers
from vanilladrum.core import fleet as fleets
from vanilladrum.core import job as jobs
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens

HOP_SECONDS = 0.0005
DIGEST_SECONDS = 0.1
DIGEST_BYTES = 70
LEASE_BYTES = 40
LEASE_RETRY_SECONDS = 0.01
SEEDS = (1, 2, 3)
SETUPS = {"Cooperativa 7 x 2 slots": (7, 2), "Filzwerk 7 x 3 slots": (7, 3)}
WAYS: dict[str, Callable] = {}


def way(name: str) -> Callable:
    """Register a way to share slots."""

    def register(cls: type) -> type:
        WAYS[name] = cls
        return cls

    return register


@attrs.define(eq=False)
class QueueAtServer:
    """Base of the ways that choose at once and queue at the server."""

    run: emulator.Run

    def arrive(self, work: emulator.Work) -> None:
        """Send work to the chosen server at once."""
        server = self.choose(work)
        if server.running < server.slots:
            self.run.begin(work, server, self)
            return
        self.run.over_slots += 1
        server.queue.append(work)

    def ended(self, work: emulator.Work, server: emulator.Server) -> None:
        """Start what waits at the server."""
        if server.queue:
            self.run.begin(server.queue.popleft(), server, self)


@way("random")
@attrs.define(eq=False)
class Random(QueueAtServer):
    """Any server."""

    def choose(self, work: emulator.Work) -> emulator.Server:
        """Choose at random."""
        return self.run.rng.choice(self.run.servers)


@way("round robin")
@attrs.define(eq=False)
class RoundRobin(QueueAtServer):
    """Each host in its own turn."""

    turns: list[int] = attrs.field(factory=lambda: list(range(emulator.HOSTS)))

    def choose(self, work: emulator.Work) -> emulator.Server:
        """Choose the next server of this host."""
        self.turns[work.host] += 1
        return self.run.servers[self.turns[work.host] % len(self.run.servers)]


@way("power of two, digests")
@attrs.define(eq=False)
class PowerOfTwo(QueueAtServer):
    """Own counts plus peers' counts as of their last digest."""

    own: dict = attrs.field(factory=collections.Counter)
    told: dict = attrs.field(factory=collections.Counter)

    def __attrs_post_init__(self) -> None:
        self.run.later(DIGEST_SECONDS, self.digest)

    def digest(self) -> None:
        """Send every host's counts to every other host."""
        self.told = collections.Counter(self.own)
        self.run.control_bytes += (
            emulator.HOSTS * (emulator.HOSTS - 1) * DIGEST_BYTES
        )
        self.run.later(DIGEST_SECONDS, self.digest)

    def choose(self, work: emulator.Work) -> emulator.Server:
        """Choose the less loaded of two."""
        two = self.run.rng.sample(self.run.servers, 2)
        chosen = min(two, key=lambda server: self.load(work.host, server))
        self.own[work.host, chosen.number] += 1
        return chosen

    def load(self, host: int, server: emulator.Server) -> int:
        """Return what a host believes a server holds."""
        others = (each for each in range(emulator.HOSTS) if each != host)
        told = sum(self.told[each, server.number] for each in others)
        return self.own[host, server.number] + told

    def ended(self, work: emulator.Work, server: emulator.Server) -> None:
        """Count down."""
        self.own[work.host, server.number] -= 1
        QueueAtServer.ended(self, work, server)


@way("slot leases")
@attrs.define(eq=False)
class Leases:
    """Each slot is held by one host; peers give idle ones away."""

    run: emulator.Run
    idle: list = attrs.field(
        factory=lambda: [[] for _ in range(emulator.HOSTS)]
    )
    queues: list = attrs.field(
        factory=lambda: [[] for _ in range(emulator.HOSTS)]
    )
    asking: set = attrs.field(factory=set)
    order: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        slots = [s for s in self.run.servers for _ in range(s.slots)]
        for number, server in enumerate(slots):
            self.idle[number % emulator.HOSTS].append(server)

    def arrive(self, work: emulator.Work) -> None:
        """Queue at the host; ask a peer when no slot is idle."""
        rank = work.arrived + (0.5 if work.bulk else 0.0)
        heapq.heappush(self.queues[work.host], (rank, next(self.order), work))
        self.pump(work.host)

    def pump(self, host: int) -> None:
        """Start queued work on the slots that the host holds."""
        while self.idle[host] and self.queues[host]:
            work = heapq.heappop(self.queues[host])[2]
            self.run.begin(work, self.idle[host].pop(), self)
        if self.queues[host] and host not in self.asking:
            self.asking.add(host)
            self.ask(host)

    def ask(self, host: int) -> None:
        """Ask a random peer for an idle slot."""
        peer = self.run.rng.choice(
            [h for h in range(emulator.HOSTS) if h != host]
        )
        self.run.control_bytes += LEASE_BYTES
        self.run.later(HOP_SECONDS, lambda: self.give(peer, host))

    def give(self, peer: int, host: int) -> None:
        """Give a slot away unless it is needed here."""
        self.run.control_bytes += LEASE_BYTES
        given = None
        if self.idle[peer] and not self.queues[peer]:
            given = self.idle[peer].pop()
        self.run.later(HOP_SECONDS, lambda: self.taken(host, given))

    def taken(self, host: int, server: emulator.Server | None) -> None:
        """Use a slot that was given, or ask again later."""
        if server is not None:
            self.idle[host].append(server)
        self.asking.discard(host)
        if server is not None or not self.queues[host]:
            self.pump(host)
            return
        self.asking.add(host)
        self.run.later(LEASE_RETRY_SECONDS, lambda: self.again(host))

    def again(self, host: int) -> None:
        """Ask once more if work still waits."""
        if self.queues[host]:
            self.ask(host)
            return
        self.asking.discard(host)

    def ended(self, work: emulator.Work, server: emulator.Server) -> None:
        """The slot stays with the host that used it."""
        self.idle[work.host].append(server)
        self.pump(work.host)


@attrs.define(eq=False)
class Shipped:
    """The shipped dispatcher, some hops away."""

    run: emulator.Run
    hop: float
    dispatcher: dispatchers.Dispatcher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        servers = tuple(
            fleets.Server(
                f"s-{each.number}",
                each.number + 1,
                "bench",
                addresses.Address("127.0.0.1", 9000 + each.number),
                each.slots,
            )
            for each in self.run.servers
        )
        service = fleets.Service(
            "bench",
            1,
            addresses.Address("127.0.0.1", 9),
            servers,
            max_queue=10**6,
        )
        self.dispatcher = dispatchers.Dispatcher(service, self.run.rng)
        self.dispatcher.configure(service, 0.0)

    def arrive(self, work: emulator.Work) -> None:
        """Forward to the dispatcher, unless the host is the dispatcher."""
        wait = self.hop if work.host else 0.0
        self.run.later(wait, lambda: self.queue(work))

    def queue(self, work: emulator.Work) -> None:
        """Queue at the dispatcher."""
        priority = fleets.Priority.BULK if work.bulk else 0
        job = jobs.Job(
            (b"", b""),
            requests.Request(1, True, "/", b""),
            tokens.Token(0, 1, 0, b"", b"", b""),
            fleets.Priority(priority),
            self.run.now,
            self.run.now + 3600,
            caller=work,
        )
        work.job = job
        self.dispatcher.enqueue(job)
        self.pump()

    def pump(self) -> None:
        """Start what the dispatcher grants."""
        for start in self.dispatcher.pump(self.run.now):
            server = self.run.servers[start.server.number - 1]
            if server.running >= server.slots:
                self.run.over_slots += 1
            self.run.begin(start.job.caller, server, self)

    def ended(self, work: emulator.Work, server: emulator.Server) -> None:
        """Free the slot."""
        self.dispatcher.release(server.number + 1)
        self.dispatcher.answered(work.job, server.number + 1, work.seconds)
        self.pump()


@way("dispatcher (shipped)")
def shipped(run: emulator.Run) -> Shipped:
    """Build the shipped way."""
    return Shipped(run, HOP_SECONDS)


@way("ideal single queue")
def ideal(run: emulator.Run) -> Shipped:
    """Build the queue that knows everything at once."""
    return Shipped(run, 0.0)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile in milliseconds."""
    ordered = sorted(values)
    at = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[at] * 1000


def measure(name: str, count: int, slots: int, seed: int) -> list[float]:
    """emulator.Run one way once and return its row of figures."""
    work = emulator.arrivals(seed, count * slots)
    servers = [emulator.Server(number, slots) for number in range(count)]
    run = emulator.Run(servers, random.Random(seed))
    run.play(work, WAYS[name](run))
    short = [w.started - w.arrived for w in work if not w.bulk]
    crest = [w.started - w.arrived for w in work if not w.bulk and w.crest]
    bulk = [w.ended - w.arrived for w in work if w.bulk]
    return [
        quantile(crest, 0.5),
        quantile(crest, 0.99),
        quantile(crest, 0.999),
        quantile(short, 0.99),
        quantile(bulk, 0.5),
        quantile(bulk, 0.99),
        1000 * run.over_slots / len(work),
        run.control_bytes / emulator.HOSTS / emulator.SECONDS,
    ]


def main() -> None:
    """Print a table for each user's size: medians over the seeds."""
    heads = (
        "crest p50",
        "p99",
        "p99.9",
        "all p99",
        "bulk p50",
        "bulk p99",
        "over/1000",
        "B/s host",
    )
    for title, (count, slots) in SETUPS.items():
        print(f"\n{title}, wait of short work in ms, median of {len(SEEDS)}")
        print(f"{'way':24}" + "".join(f"{head:>10}" for head in heads))
        rows = {}
        for name in WAYS:
            runs = [measure(name, count, slots, seed) for seed in SEEDS]
            rows[name] = [
                statistics.median(column) for column in zip(*runs, strict=True)
            ]
            figures = "".join(f"{value:10.1f}" for value in rows[name])
            print(f"{name:24}{figures}", flush=True)
        best = rows["ideal single queue"][1]
        for name, row in rows.items():
            print(f"  p99 at the crest, {name}: {row[1] / best:.2f} x ideal")


if __name__ == "__main__":
    sys.exit(main())
