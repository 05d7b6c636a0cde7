"""Goodput of the production dispatcher at up to 10 times its capacity.

A seeded discrete-event simulation. Urgent and bulk work each request half of
the slot time. An answer counts towards goodput if it arrives before its
deadline. In one more run, a single noisy caller sends most of the work.
"""

import random
import statistics

import attrs

from bench import emulator
from bench import policies
from vanilladrum.core import fleet as fleets
from vanilladrum.core import job as jobs
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens

SERVER_COUNT = 7
SLOTS = 2
SECONDS = 30.0
# Seconds from arrival to deadline for urgent and bulk work.
DEADLINES = (1.0, 5.0)
CALLER_COUNT = 50
SEEDS = (1, 2, 3)
# Multiples of the capacity.
LOADS = (0.8, 1.0, 2.0, 5.0, 10.0)
BULK_FACTOR = 4
NOISY_CALLER = 0


@attrs.define(eq=False)
class ClassCounts:
    """Results of one priority class.

    :param good: number of answers before the deadline.
    :param refused: requests that weren't admitted or expired in the queue.
    :param busy_seconds: slot time spent on good answers.
    """

    offered: int = 0
    good: int = 0
    refused: int = 0
    busy_seconds: float = 0.0


@attrs.define(eq=False)
class AdmittingDispatcher(policies.Shipped):
    """The production dispatcher with admission control and deadlines.

    :param max_queued: longest queue during the run.
    """

    counts: dict = attrs.field(factory=dict)
    max_queued: int = 0

    def queue(self, work: emulator.Work) -> None:
        """Admit or refuse work, as the entry host does."""
        now = self.run.now
        priority = fleets.Priority(int(work.bulk))
        deadline = DEADLINES[priority]
        counts = self.counts.setdefault(class_name(work), ClassCounts())
        counts.offered += 1
        job = jobs.Job(
            (b"", b""),
            requests.Request(1, True, "/", b""),
            tokens.Token(0, 1, 0, b"", b"", b""),
            priority,
            now,
            now + deadline,
            caller=work.host,
        )
        work.job = job
        # The key holds the work, because ``caller`` is the caller's number.
        job.key = work
        if not self.dispatcher.admits(job, now):
            counts.refused += 1
            self.run.finished += 1
            return
        self.dispatcher.enqueue(job)
        self.max_queued = max(self.max_queued, self.dispatcher.queued_count)
        self.run.later(deadline, lambda: self.expire(job, counts))
        self.start_queued()

    def expire(self, job: jobs.Job, counts: ClassCounts) -> None:
        """Drop a request that is still queued at its deadline."""
        if job.queued:
            self.dispatcher.remove(job)
            counts.refused += 1
            self.run.finished += 1

    def start_queued(self) -> None:
        """Start all work to which the dispatcher grants a slot."""
        for grant in self.dispatcher.start_queued(self.run.now):
            server = self.run.servers[grant.server.number - 1]
            self.run.begin(grant.job.key, server, self)

    def ended(self, work: emulator.Work, server: emulator.Server) -> None:
        """Count an answer if it arrived before its deadline."""
        counts = self.counts[class_name(work)]
        if is_in_time(work):
            counts.good += 1
            counts.busy_seconds += work.seconds
        policies.Shipped.ended(self, work, server)


def is_in_time(work: emulator.Work) -> bool:
    """Return whether an answer arrived before its deadline."""
    deadline = DEADLINES[int(work.bulk)]
    return bool(work.ended) and work.ended - work.arrived <= deadline


def class_name(work: emulator.Work) -> str:
    """Return the name of the priority class of some work."""
    return "bulk" if work.bulk else "urgent"


def arrivals(seed: int, load: float, noisy: float) -> list[emulator.Work]:
    """Return the arrivals of one run; ``host`` is the number of the caller.

    :param load: requested slot time as a multiple of the capacity.
    :param noisy: share of the requests that the noisy caller sends.
    """
    rng = random.Random(seed)
    mean = emulator.SERVICE_SECONDS
    rate = load * SERVER_COUNT * SLOTS / mean / 2
    work = []
    for bulk in (False, True):
        now = 0.0
        seconds = mean * (BULK_FACTOR if bulk else 1)
        while now < SECONDS:
            now += rng.expovariate(rate * mean / seconds)
            caller = rng.randrange(1, CALLER_COUNT)
            if rng.random() < noisy:
                caller = NOISY_CALLER
            length = seconds * rng.uniform(0.8, 1.2)
            work.append(emulator.Work(now, length, bulk, caller, False))
    return work


def measure(seed: int, load: float, noisy: float = 0.0) -> list[float]:
    """Run once and return a row for the table.

    :returns: goodput as a share of the capacity, shares of urgent and bulk
        work answered in time, share of the urgent work of other callers than
        the noisy one answered in time, and longest queue.
    """
    work = arrivals(seed, load, noisy)
    servers = [
        emulator.Server(number, SLOTS) for number in range(SERVER_COUNT)
    ]
    run = emulator.Run(servers, random.Random(seed))
    dispatcher = AdmittingDispatcher(run, 0.0)
    run.play(work, dispatcher)
    busy = sum(each.busy_seconds for each in dispatcher.counts.values())
    quiet = [w for w in work if w.host != NOISY_CALLER and not w.bulk]
    served = [each for each in quiet if is_in_time(each)]
    urgent, bulk = dispatcher.counts["urgent"], dispatcher.counts["bulk"]
    return [
        busy / (SERVER_COUNT * SLOTS * SECONDS),
        urgent.good / urgent.offered,
        bulk.good / bulk.offered,
        len(served) / len(quiet),
        dispatcher.max_queued,
    ]


def main() -> None:
    """Print a row for each load with the medians over the seeds."""
    heads = ("goodput", "urgent ok", "bulk ok", "quiet ok", "queue max")
    print(f"{'load':16}" + "".join(f"{head:>11}" for head in heads))
    runs = [(f"{load} x capacity", load, 0.0) for load in LOADS]
    runs.append(("2 x, 80 % noisy", 2.0, 0.8))
    for title, load, noisy in runs:
        rows = [measure(seed, load, noisy) for seed in SEEDS]
        medians = [statistics.median(c) for c in zip(*rows, strict=True)]
        figures = "".join(f"{value:11.3f}" for value in medians)
        print(f"{title:16}{figures}", flush=True)


if __name__ == "__main__":
    main()
