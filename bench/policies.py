"""Compares policies for sharing server slots between entry hosts.

All policies get the same seeded arrivals in a discrete-event simulation; the
dispatcher is the production one. Prints the time that short work waits for a
slot, at the demand peaks and overall, the time that bulk work takes, the
assignments to servers without a free slot, and the control traffic.
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
DIGEST_PERIOD_SECONDS = 0.1
DIGEST_BYTES = 70
LEASE_MESSAGE_BYTES = 40
LEASE_RETRY_SECONDS = 0.01
SEEDS = (1, 2, 3)
SITES = {"Cooperativa 7 x 2 slots": (7, 2), "Filzwerk 7 x 3 slots": (7, 3)}
POLICIES: dict[str, Callable] = {}


def register_policy(name: str) -> Callable:
    """Register a policy class or factory under its printed name."""

    def register(cls: type) -> type:
        POLICIES[name] = cls
        return cls

    return register


@attrs.define(eq=False)
class QueueAtServer:
    """Base of the policies that choose immediately and queue at the server."""

    run: emulator.Run

    def arrive(self, work: emulator.Work) -> None:
        """Start work on the chosen server, or queue it there."""
        server = self.choose(work)
        if server.running < server.slots:
            self.run.begin(work, server, self)
            return
        self.run.over_slots += 1
        server.queue.append(work)

    def ended(self, work: emulator.Work, server: emulator.Server) -> None:
        """Start the next work in the server's queue."""
        if server.queue:
            self.run.begin(server.queue.popleft(), server, self)


@register_policy("random")
@attrs.define(eq=False)
class Random(QueueAtServer):
    """Chooses any server with equal probability."""

    def choose(self, work: emulator.Work) -> emulator.Server:
        """Choose a random server."""
        return self.run.rng.choice(self.run.servers)


@register_policy("round robin")
@attrs.define(eq=False)
class RoundRobin(QueueAtServer):
    """Chooses the servers in turn, independently on each entry host."""

    next_servers: list[int] = attrs.field(
        factory=lambda: list(range(emulator.HOSTS))
    )

    def choose(self, work: emulator.Work) -> emulator.Server:
        """Choose the next server in the turn of the work's entry host."""
        self.next_servers[work.host] += 1
        return self.run.servers[
            self.next_servers[work.host] % len(self.run.servers)
        ]


@register_policy("power of two, digests")
@attrs.define(eq=False)
class PowerOfTwo(QueueAtServer):
    """Chooses the less loaded of two random servers.

    The load is the entry host's own count of open requests plus the counts
    in the last digests of the other hosts.
    """

    own_counts: dict = attrs.field(factory=collections.Counter)
    published_counts: dict = attrs.field(factory=collections.Counter)

    def __attrs_post_init__(self) -> None:
        self.run.later(DIGEST_PERIOD_SECONDS, self.send_digests)

    def send_digests(self) -> None:
        """Publish the counts of all hosts and schedule the next digests."""
        self.published_counts = collections.Counter(self.own_counts)
        self.run.control_bytes += (
            emulator.HOSTS * (emulator.HOSTS - 1) * DIGEST_BYTES
        )
        self.run.later(DIGEST_PERIOD_SECONDS, self.send_digests)

    def choose(self, work: emulator.Work) -> emulator.Server:
        """Choose the less loaded of two random servers."""
        candidates = self.run.rng.sample(self.run.servers, 2)
        chosen = min(
            candidates,
            key=lambda server: self.estimate_load(work.host, server),
        )
        self.own_counts[work.host, chosen.number] += 1
        return chosen

    def estimate_load(self, host: int, server: emulator.Server) -> int:
        """Return a host's estimate of the open requests on a server."""
        others = (each for each in range(emulator.HOSTS) if each != host)
        remote = sum(
            self.published_counts[each, server.number] for each in others
        )
        return self.own_counts[host, server.number] + remote

    def ended(self, work: emulator.Work, server: emulator.Server) -> None:
        """Decrease the count of the work's entry host."""
        self.own_counts[work.host, server.number] -= 1
        QueueAtServer.ended(self, work, server)


@register_policy("slot leases")
@attrs.define(eq=False)
class Leases:
    """Each slot is leased by one host, which passes it on when requested.

    :param idle_slots: servers of the idle slots that each host has leased,
        one item per slot.
    :param queues: heap of queued work of each host.
    :param requesting_hosts: hosts that have requested a slot or will retry.
    """

    run: emulator.Run
    idle_slots: list = attrs.field(
        factory=lambda: [[] for _ in range(emulator.HOSTS)]
    )
    queues: list = attrs.field(
        factory=lambda: [[] for _ in range(emulator.HOSTS)]
    )
    requesting_hosts: set = attrs.field(factory=set)
    sequence: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        slots = [s for s in self.run.servers for _ in range(s.slots)]
        for number, server in enumerate(slots):
            self.idle_slots[number % emulator.HOSTS].append(server)

    def arrive(self, work: emulator.Work) -> None:
        """Queue work at the host and request a slot if none is idle."""
        # Bulk work is ordered as if it had arrived 0.5 s later.
        rank = work.arrived + (0.5 if work.bulk else 0.0)
        heapq.heappush(
            self.queues[work.host], (rank, next(self.sequence), work)
        )
        self.start_queued(work.host)

    def start_queued(self, host: int) -> None:
        """Start queued work on idle leased slots; request one for the rest."""
        while self.idle_slots[host] and self.queues[host]:
            work = heapq.heappop(self.queues[host])[2]
            self.run.begin(work, self.idle_slots[host].pop(), self)
        if self.queues[host] and host not in self.requesting_hosts:
            self.requesting_hosts.add(host)
            self.request_slot(host)

    def request_slot(self, host: int) -> None:
        """Request an idle slot from a random other host."""
        peer = self.run.rng.choice(
            [h for h in range(emulator.HOSTS) if h != host]
        )
        self.run.control_bytes += LEASE_MESSAGE_BYTES
        self.run.later(HOP_SECONDS, lambda: self.offer_slot(peer, host))

    def offer_slot(self, peer: int, host: int) -> None:
        """Pass on an idle slot, unless there is none or work is queued.

        :param peer: host that received the request.
        :param host: host that sent the request.
        """
        self.run.control_bytes += LEASE_MESSAGE_BYTES
        server = None
        if self.idle_slots[peer] and not self.queues[peer]:
            server = self.idle_slots[peer].pop()
        self.run.later(HOP_SECONDS, lambda: self.receive_slot(host, server))

    def receive_slot(self, host: int, server: emulator.Server | None) -> None:
        """Use a received slot, or schedule another request.

        :param server: server of the slot, None if the peer declined.
        """
        if server is not None:
            self.idle_slots[host].append(server)
        self.requesting_hosts.discard(host)
        if server is not None or not self.queues[host]:
            self.start_queued(host)
            return
        self.requesting_hosts.add(host)
        self.run.later(LEASE_RETRY_SECONDS, lambda: self.retry(host))

    def retry(self, host: int) -> None:
        """Request a slot again if work is still queued."""
        if self.queues[host]:
            self.request_slot(host)
            return
        self.requesting_hosts.discard(host)

    def ended(self, work: emulator.Work, server: emulator.Server) -> None:
        """Return the slot to the host that has leased it."""
        self.idle_slots[work.host].append(server)
        self.start_queued(work.host)


@attrs.define(eq=False)
class Shipped:
    """The production dispatcher on entry host 0.

    :param hop_seconds: delay of a request that another host forwards.
    """

    run: emulator.Run
    hop_seconds: float
    dispatcher: dispatchers.Dispatcher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        servers = tuple(
            fleets.Server(
                f"s-{each.number}",
                # Numbers start at 0 in the emulator, here at 1.
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
        """Forward work to the dispatcher; host 0 has no delay."""
        wait = self.hop_seconds if work.host else 0.0
        self.run.later(wait, lambda: self.queue(work))

    def queue(self, work: emulator.Work) -> None:
        """Queue work at the dispatcher."""
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
        self.start_queued()

    def start_queued(self) -> None:
        """Start all work to which the dispatcher grants a slot."""
        for grant in self.dispatcher.start_queued(self.run.now):
            server = self.run.servers[grant.server.number - 1]
            if server.running >= server.slots:
                self.run.over_slots += 1
            self.run.begin(grant.job.caller, server, self)

    def ended(self, work: emulator.Work, server: emulator.Server) -> None:
        """Release the slot and report the execution time."""
        self.dispatcher.release(server.number + 1)
        self.dispatcher.record_answer(
            work.job, server.number + 1, work.seconds
        )
        self.start_queued()


@register_policy("dispatcher (shipped)")
def make_shipped(run: emulator.Run) -> Shipped:
    """Build the production dispatcher, reached over the network."""
    return Shipped(run, HOP_SECONDS)


@register_policy("ideal single queue")
def make_ideal(run: emulator.Run) -> Shipped:
    """Build the ideal: a dispatcher that all hosts reach without delay."""
    return Shipped(run, 0.0)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile in milliseconds.

    :param values: durations in seconds.
    :param share: share of the values below the quantile, from 0 to 1.
    """
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index] * 1000


def measure(name: str, count: int, slots: int, seed: int) -> list[float]:
    """Run one policy once and return its row for the table.

    :param name: registered name of the policy.
    :param count: number of servers.
    :param slots: number of slots on each server.
    :returns: p50, p99 and p99.9 of the wait of short work at the peaks, p99
        of its wait overall, p50 and p99 of the time of bulk work, all in ms;
        assignments without a free slot per 1000 requests; and control bytes
        per second and entry host.
    """
    work = emulator.arrivals(seed, count * slots)
    servers = [emulator.Server(number, slots) for number in range(count)]
    run = emulator.Run(servers, random.Random(seed))
    run.play(work, POLICIES[name](run))
    short = [w.started - w.arrived for w in work if not w.bulk]
    peak = [w.started - w.arrived for w in work if not w.bulk and w.in_peak]
    bulk = [w.ended - w.arrived for w in work if w.bulk]
    return [
        quantile(peak, 0.5),
        quantile(peak, 0.99),
        quantile(peak, 0.999),
        quantile(short, 0.99),
        quantile(bulk, 0.5),
        quantile(bulk, 0.99),
        1000 * run.over_slots / len(work),
        run.control_bytes / emulator.HOSTS / emulator.SECONDS,
    ]


def main() -> None:
    """Print a table for each site with the medians over the seeds."""
    heads = (
        "peak p50",
        "p99",
        "p99.9",
        "all p99",
        "bulk p50",
        "bulk p99",
        "over/1000",
        "B/s host",
    )
    for title, (count, slots) in SITES.items():
        print(f"\n{title}, wait of short work in ms, median of {len(SEEDS)}")
        print(f"{'policy':24}" + "".join(f"{head:>10}" for head in heads))
        rows = {}
        for name in POLICIES:
            runs = [measure(name, count, slots, seed) for seed in SEEDS]
            rows[name] = [
                statistics.median(column) for column in zip(*runs, strict=True)
            ]
            figures = "".join(f"{value:10.1f}" for value in rows[name])
            print(f"{name:24}{figures}", flush=True)
        best = rows["ideal single queue"][1]
        for name, row in rows.items():
            print(f"  p99 at the peaks, {name}: {row[1] / best:.2f} x ideal")


if __name__ == "__main__":
    sys.exit(main())
