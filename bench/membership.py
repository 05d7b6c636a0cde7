"""Cost and latency of failure detection for several fleet sizes.

Simulates the cores in one process with virtual time; the processor time is
that of the cores and the codec alone. With ``--processes``, it also measures
idle entry host processes.
"""

import pathlib
import resource
import statistics
import sys
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))
sys.path.insert(0, str(ROOT / "examples"))
import cluster as clusters  # noqa: E402
import run_cooperativa as example  # noqa: E402
import test_membership as groups  # noqa: E402

FLEET_SIZES = (7, 20, 60, 200)
PROCESS_SIZES = (3, 6, 9)
CONVERGENCE_SECONDS = 60.0
MEASURE_SECONDS = 20.0
ROUNDS = 3
IDLE_SECONDS = 10.0


def measure_cost(size: int, loss: float) -> tuple[float, float, int]:
    """Measure the cost of a fleet without failures.

    :param size: number of entry hosts.
    :param loss: share of lost datagrams.
    :returns: bytes and processor seconds per host and second, and how often
        a host was declared dead by mistake.
    """
    group = groups.Cluster(size, loss=loss)
    group.run(CONVERGENCE_SECONDS)
    group.sent_bytes = 0
    before = time.process_time()
    group.run(MEASURE_SECONDS)
    cpu_seconds = time.process_time() - before
    false_positives = sum(node.false_positives for node in group.nodes)
    host_seconds = size * MEASURE_SECONDS
    return (
        group.sent_bytes / host_seconds,
        cpu_seconds / host_seconds,
        false_positives,
    )


def measure_detection(size: int) -> tuple[float, float]:
    """Return the seconds until the first and the last host detect a death."""
    first_seconds, last_seconds = [], []
    for target in range(ROUNDS):
        group = groups.Cluster(size)
        group.run(CONVERGENCE_SECONDS / 4)
        group.paused.add(target)
        frozen_at = group.now
        while not group.all_observe(target, groups.State.DEAD):
            group.run(groups.STEP_SECONDS)
            detected = any(
                group.observed_state(number, target) == groups.State.DEAD
                for number in range(size)
                if number != target
            )
            if detected and len(first_seconds) <= target:
                first_seconds.append(group.now - frozen_at)
        last_seconds.append(group.now - frozen_at)
    return statistics.median(first_seconds), statistics.median(last_seconds)


def measure_processes(size: int) -> None:
    """Print the resource use of idle entry host processes."""
    with clusters.Cluster() as cluster:
        example.start_processes(cluster, size)
        before = read_metrics(cluster)
        time.sleep(IDLE_SECONDS)
        after = read_metrics(cluster)
        cpu_seconds = [b[0] - a[0] for a, b in zip(before, after, strict=True)]
        sent_bytes = [b[1] - a[1] for a, b in zip(before, after, strict=True)]
        calls = cluster.get(5, "/report")["calls"]
        print(
            f"{size:5} processes: "
            f"{statistics.median(sent_bytes) / IDLE_SECONDS:.0f} B/s, "
            f"{statistics.median(cpu_seconds) / IDLE_SECONDS:.2%} of a core, "
            f"{max(each[2] for each in after) / 2**20:.0f} MB, "
            f"platform calls {calls}",
            flush=True,
        )


def read_metrics(cluster: clusters.Cluster) -> list[tuple[float, int, int]]:
    """Return processor seconds, control bytes and peak memory of each host."""
    samples = []
    for offset in cluster.hosts.values():
        metrics = cluster.get(offset + 2, "/metrics")
        sent = metrics["counters"].get("peer_bytes_out", 0)
        samples.append(
            (metrics["cpu_seconds"], sent, metrics["max_rss_bytes"])
        )
    return samples


def main() -> None:
    """Print a row for each fleet size."""
    print(
        " size   B/s host  CPU share  false deaths at 10 % loss in 20 s"
        "  detected first / by all (s)"
    )
    for size in FLEET_SIZES:
        sent, cpu_share, _ = measure_cost(size, 0.0)
        _, _, false_positives = measure_cost(size, 0.1)
        first, last = measure_detection(size)
        print(
            f"{size:5}{sent:11.0f}{cpu_share:11.3%}{false_positives:8}"
            f"{first:36.2f} / {last:.2f}",
            flush=True,
        )
    print(
        f"memory of this process: "
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024} MB"
    )
    if "--processes" in sys.argv:
        for size in PROCESS_SIZES:
            measure_processes(size)


if __name__ == "__main__":
    main()
