"""Goodput of the shipped dispatcher at 1 to 10 times capacity.

Seeded and event-driven. Half the work is urgent and half bulk, by slots
asked for. Answers count as good when they come before their deadline. One
more run lets a single caller send most of the work.
"""

import random
import statistics

import attrs
import policies

from vanilladrum.core import fleet as fleets
from vanilladrum.core import job as jobs
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens

SERVERS = 7
SLOTS = 2
SECONDS = 30.0
DEADLINES = (1.0, 5.0)
CALLERS = 50
SEEDS = (1, 2, 3)
LOADS = (0.8, 1.0, 2.0, 5.0, 10.0)
BULK_FACTOR = 4
NOISY = 0


@attrs.define(eq=False)
class Tally:
    """What one class got."""

    offered: int = 0
    good: int = 0
    refused: int = 0
    busy_seconds: float = 0.0


@attrs.define(eq=False)
class Limited(policies.Shipped):
    """The shipped dispatcher with its admission and deadlines."""

    tallies: dict = attrs.field(factory=dict)
    longest: int = 0

    def queue(self, work: policies.Work) -> None:
        """Admit or refuse, as the entry host does."""
        now = self.run.now
        priority = fleets.Priority(int(work.bulk))
        deadline = DEADLINES[priority]
        tally = self.tallies.setdefault(work_class(work), Tally())
        tally.offered += 1
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
        job.key = work
        if not self.dispatcher.admits(job, now):
            tally.refused += 1
            self.run.finished += 1
            return
        self.dispatcher.enqueue(job)
        self.longest = max(self.longest, self.dispatcher.queued)
        self.run.later(deadline, lambda: self.overdue(job, tally))
        self.pump()

    def overdue(self, job: jobs.Job, tally: Tally) -> None:
        """Drop what is still queued at its deadline."""
        if job.queued:
            self.dispatcher.withdraw(job)
            tally.refused += 1
            self.run.finished += 1

    def pump(self) -> None:
        """Start what the dispatcher grants."""
        for start in self.dispatcher.pump(self.run.now):
            server = self.run.servers[start.server.number - 1]
            self.run.begin(start.job.key, server, self)

    def ended(self, work: policies.Work, server: policies.Server) -> None:
        """Count an answer that is in time."""
        tally = self.tallies[work_class(work)]
        if in_time(work):
            tally.good += 1
            tally.busy_seconds += work.seconds
        policies.Shipped.ended(self, work, server)


def in_time(work: policies.Work) -> bool:
    """Return whether an answer came before its deadline."""
    deadline = DEADLINES[int(work.bulk)]
    return bool(work.ended) and work.ended - work.arrived <= deadline


def work_class(work: policies.Work) -> str:
    """Return the name of a work's class."""
    return "bulk" if work.bulk else "urgent"


def arrivals(seed: int, load: float, noisy: float) -> list[policies.Work]:
    """Return work that asks for ``load`` times the slots.

    :param noisy: share of it that the noisy caller sends.
    """
    rng = random.Random(seed)
    mean = policies.SERVICE_SECONDS
    rate = load * SERVERS * SLOTS / mean / 2
    found = []
    for bulk in (False, True):
        now = 0.0
        seconds = mean * (BULK_FACTOR if bulk else 1)
        while now < SECONDS:
            now += rng.expovariate(rate * mean / seconds)
            caller = rng.randrange(1, CALLERS)
            if rng.random() < noisy:
                caller = NOISY
            length = seconds * rng.uniform(0.8, 1.2)
            found.append(policies.Work(now, length, bulk, caller, False))
    return found


def measure(seed: int, load: float, noisy: float = 0.0) -> list[float]:
    """Run once; return goodput and the share of each class in time."""
    work = arrivals(seed, load, noisy)
    servers = [policies.Server(number, SLOTS) for number in range(SERVERS)]
    run = policies.Run(servers, random.Random(seed))
    limited = Limited(run, 0.0)
    run.play(work, limited)
    busy = sum(each.busy_seconds for each in limited.tallies.values())
    quiet = [w for w in work if w.host != NOISY and not w.bulk]
    served = [each for each in quiet if in_time(each)]
    urgent, bulk = limited.tallies["urgent"], limited.tallies["bulk"]
    return [
        busy / (SERVERS * SLOTS * SECONDS),
        urgent.good / urgent.offered,
        bulk.good / bulk.offered,
        len(served) / len(quiet),
        limited.longest,
    ]


def main() -> None:
    """Print a row for each load, medians over the seeds."""
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
