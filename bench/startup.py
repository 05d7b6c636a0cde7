"""Processor time and memory of an entry host until it can serve.

Starts the host of the users' platform several times with nothing else there,
as the deploy file does (without the site module), and the request mode's
imports beside it for comparison.
"""

import resource
import statistics
import subprocess
import sys

import attrs

ROUNDS = 9
AIM_SECONDS = 0.15
AIM_MEGABYTES = 25.0
_MEASURE = (
    "import resource, sys; {work}; "
    "use = resource.getrusage(resource.RUSAGE_SELF); "
    "print(use.ru_utime + use.ru_stime, use.ru_maxrss / 1024)"
)
CASES = {
    "interpreter alone": "pass",
    "entry host on the platform": "import vanilladrum.daemons.entry, "
    "vanilladrum.daemons.flow_host",
    "the same with attrs and uvloop": "import attrs, uvloop, "
    "vanilladrum.daemons.entry, vanilladrum.daemons.flow_host",
    "entry host of the request mode": "import vanilladrum.daemons.entry_host",
}


@attrs.frozen
class Start:
    """One measured start: seconds of processor time, megabytes."""

    seconds: float
    megabytes: float


def measure(work: str) -> Start:
    """Run some imports in a process of their own."""
    paths = [path for path in sys.path if path]
    insert = f"sys.path[:0] = {paths!r}; {work}"
    program = _MEASURE.format(work=insert)
    done = subprocess.run(
        [sys.executable, "-S", "-c", program],
        check=True,
        capture_output=True,
        text=True,
    )
    seconds, megabytes = done.stdout.split()
    return Start(float(seconds), float(megabytes))


def main() -> None:
    """Print the medians of all cases."""
    print(
        f"medians of {ROUNDS} starts; aim {AIM_SECONDS} s, {AIM_MEGABYTES} MB"
    )
    for name, work in CASES.items():
        starts = [measure(work) for _ in range(ROUNDS)]
        seconds = statistics.median(start.seconds for start in starts)
        megabytes = statistics.median(start.megabytes for start in starts)
        print(f"{name:34} {seconds:.3f} s {megabytes:5.1f} MB")
    children = resource.getrusage(resource.RUSAGE_CHILDREN)
    print(f"{children.ru_utime + children.ru_stime:.1f} s in all")


if __name__ == "__main__":
    main()
