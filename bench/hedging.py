"""Effect of hedged first packets, and their cost for a packet.

The first table shows how long openings take at one entry host of a fleet of
80, with the servers and callers of the tests in virtual time: a few servers
are full at any moment and ignore first packets, although they answer health
checks. The second table shows the processor time of packets on hosts without
and with hedging, as the median of several rounds.
"""

import random
import statistics
import time

from tests import flow_factories
from tests import hedging_world
from vanilladrum.core import flowhost
from vanilladrum.core.hedging import settings as hedge_settings

SERVERS = 60
DATA_CENTRES = ("bilbao", "gijon", "oviedo")
# Openings per second at one host, and their number.
RATE = 10.0
OPENINGS = 6000
# Share of the time in which a server is full, in intervals of one second.
FULL_SHARE = 0.023
SHARES = (0.0, 0.02, 0.05, 0.1, 0.2)
SEEDS = (1, 2, 3)
# Packets per round, and rounds, of the measurement of the cost.
PACKETS = 5000
ROUNDS = 15


def make_host(share: float, seed: int = 1) -> flowhost.FlowHost:
    """Return a host that hedges a share of its first packets."""
    servers = [
        flow_factories.make_server(
            number + 1,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        )
        for number in range(SERVERS)
    ]
    settings = hedge_settings.HedgeSettings(share) if share else None
    return hedging_world.make_host(servers, settings, seed)


def simulate(share: float, seed: int) -> dict[str, float]:
    """Return how long openings took and what they cost.

    :param share: share of hedges, 0 for a host without hedging.
    """

    def delay(server, now):
        is_full = random.Random(f"{seed} {server.name} {int(now)}").random()
        return None if is_full < FULL_SHARE else 0.0

    host = make_host(share, seed)
    world = hedging_world.World(host, delay)
    world.open(0.0, count=OPENINGS, interval=1.0 / RATE)
    world.run(OPENINGS / RATE + 2.0)
    durations = world.durations()
    return {
        "p50_ms": durations[len(durations) // 2] * 1e3,
        "p99_ms": durations[int(len(durations) * 0.99)] * 1e3,
        "p999_ms": durations[int(len(durations) * 0.999)] * 1e3,
        "above_0.1_s": sum(each > 0.1 for each in durations) / OPENINGS,
        "hedges": host.counters["hedges"] / OPENINGS,
        "hedges_won": host.counters["hedges_won"] / OPENINGS,
        "denied_budget": host.counters["hedges_denied_budget"] / OPENINGS,
        "denied_scarce": host.counters["hedges_denied_scarce"] / OPENINGS,
        "misrouted": float(world.misrouted),
    }


def measure_cost(share: float) -> tuple[float, float]:
    """Return the microseconds of a first packet and of a later one."""
    host = make_host(share)
    first = [flow_factories.make_packet(1024 + n) for n in range(PACKETS)]
    started = time.process_time()
    tags = [host.receive(packet, 1.0).server.tag for packet in first]
    opened = time.process_time()
    later = [
        flow_factories.make_packet(1024 + n, tag=tag)
        for n, tag in enumerate(tags)
    ]
    made = time.process_time()
    # The first later packet of each flow, then three more.
    for _ in range(4):
        for packet in later:
            host.receive(packet, 1.01)
    ended = time.process_time()
    return (
        (opened - started) / PACKETS * 1e6,
        (ended - made) / (4 * PACKETS) * 1e6,
    )


def main() -> None:
    """Print both tables."""
    results = {
        share: [simulate(share, seed) for seed in SEEDS] for share in SHARES
    }
    names = list(results[0.0][0])
    print("share", *names, sep="\t")
    for share, runs in results.items():
        means = [statistics.mean(run[name] for run in runs) for name in names]
        print(share, *(f"{mean:.4g}" for mean in means), sep="\t")
    costs: dict[float, list] = {0.0: [], 0.05: []}
    for _ in range(ROUNDS):
        for share, rounds in costs.items():
            rounds.append(measure_cost(share))
    print("share", "first_packet_us", "later_packet_us", sep="\t")
    for share, rounds in costs.items():
        medians = [
            statistics.median(each) for each in zip(*rounds, strict=True)
        ]
        print(share, *(f"{median:.2f}" for median in medians), sep="\t")


if __name__ == "__main__":
    main()
