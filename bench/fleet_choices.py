"""Compares the choice of servers in a large fleet with candidates.

The deployments, speeds, demand and loads are those of docs/UNEVEN-LOAD.md,
part 5. Prints a row for each deployment, load and policy. Optional arguments
are parts of the names of the policies to run.
"""

import random
import statistics
import sys
import time

import attrs

from bench import emulator
from bench import fleet_candidates
from bench import fleet_model
from bench import policies as quantiles
from vanilladrum.core import digest as digest_types

LOADS = (0.4, 0.8, 0.95)
# One seed and 16 s, a whole period of the demand after the unmeasured seconds,
# so that a run of all rows takes less than five minutes of a core.
SEEDS = (1,)
SITES = {
    "companionship, 68 hosts in 4": fleet_model.Site(
        68,
        4,
        0.0014,
        (
            fleet_model.RequestClass(656, 0.055, 0.426),
            fleet_model.RequestClass(188, 0.072, 0.428),
        ),
    ),
    "buoys, 80 hosts in 3": fleet_model.Site(
        80,
        3,
        0.0005,
        (
            fleet_model.RequestClass(578, 0.019, 0.606),
            fleet_model.RequestClass(165, 0.025, 0.600),
        ),
    ),
}
VARIANTS = {
    "rate of the page, work scaled": fleet_model.Variant(False, 16.0),
    "work of the page, rate scaled": fleet_model.Variant(True, 16.0),
}
HEADS = (
    "p50 ms",
    "p99 ms",
    "in time",
    "imbal.",
    "crossed",
    "msg/s",
    "B/s",
)
# Datagrams that a host of a large fleet sends anyway, per second, and their
# bytes with headers (docs/design/LARGE-FLEET.md).
BASE_MESSAGES = (
    digest_types.LARGE.fan_out + digest_types.LARGE.remote_fan_out
) / digest_types.LARGE.period
BASE_BYTES = 440.0


@attrs.frozen
class Row:
    """Results of one run.

    :param imbalance: highest load of a server, weighted by its speed, in
        relation to the mean.
    """

    p50: float
    p99: float
    in_time: float
    imbalance: float
    crossed: float
    messages: float
    message_bytes: float


def measure(
    policy: str,
    site: fleet_model.Site,
    load: float,
    variant: fleet_model.Variant,
    seed: int,
) -> Row:
    """Run one policy once."""
    fleet = fleet_model.make_fleet(site, seed)
    servers = [
        emulator.Server(number, fleet_model.SLOTS)
        for number in range(fleet_model.SERVER_COUNT)
    ]
    run = emulator.Run(servers, random.Random(seed))
    work = fleet_model.arrivals(fleet, load, variant, seed)
    choices = fleet_candidates.POLICIES | fleet_candidates.FURTHER_POLICIES
    choice = choices[policy](run, fleet)
    run.play(work, choice)
    counted = [
        each for each in work if each.arrived > fleet_model.UNMEASURED_SECONDS
    ]
    times = [each.answered - each.arrived for each in counted]
    loads = [0.0] * len(servers)
    for each in counted:
        loads[each.server] += each.demand / fleet.speeds[each.server]
    capacity = sum(fleet.speeds) / len(servers)
    mean = sum(each.demand for each in counted) / len(servers) / capacity
    host_seconds = site.hosts * run.now
    return Row(
        quantiles.quantile(times, 0.5),
        quantiles.quantile(times, 0.99),
        statistics.fmean(
            seconds <= each.target
            for seconds, each in zip(times, counted, strict=True)
        ),
        max(loads) / mean,
        statistics.fmean(each.crossed for each in counted),
        BASE_MESSAGES + choice.messages / host_seconds,
        BASE_BYTES + choice.message_bytes / host_seconds,
    )


def main() -> None:
    """Print a table for each variant."""
    further = list(fleet_candidates.FURTHER_POLICIES)
    for title, variant in VARIANTS.items():
        names = list(fleet_candidates.POLICIES) + further
        further = []
        if sys.argv[1:]:
            names = [n for n in names if any(p in n for p in sys.argv[1:])]
        print(f"\n{title}, {variant.seconds:.0f} s of virtual time")
        head = "".join(f" {each:>8} |" for each in HEADS)
        print(f"| deployment | load | policy |{head}")
        print("| --- " * (3 + len(HEADS)) + "|")
        for site_name, site in SITES.items():
            for load in LOADS:
                for name in names:
                    runs = [
                        attrs.astuple(measure(name, site, load, variant, seed))
                        for seed in SEEDS
                    ]
                    row = Row(*map(statistics.median, zip(*runs, strict=True)))
                    print(
                        f"| {site_name} | {load} | {name:14} |"
                        f" {row.p50:8.1f} | {row.p99:8.0f} |"
                        f" {row.in_time:8.4f} | {row.imbalance:8.2f} |"
                        f" {row.crossed:8.4f} | {row.messages:8.1f} |"
                        f" {row.message_bytes:8.0f} |",
                        flush=True,
                    )
    print(f"\n{time.process_time():.0f} s of processor time")


if __name__ == "__main__":
    sys.exit(main())
