"""Processor time and memory of an entry host until it can serve.

Imports the modules of an entry host several times, each in a new interpreter
without the site module, as the deploy file starts it. The imports of request
mode are measured for comparison.
"""

import resource
import statistics
import subprocess
import sys

import attrs

ROUNDS = 9
# Targets for an entry host; printed, not enforced.
TARGET_SECONDS = 0.15
TARGET_MEGABYTES = 25.0
_PROGRAM = (
    "import resource, sys; {statements}; "
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
class StartCost:
    """Processor time in seconds and peak memory in megabytes of one start."""

    seconds: float
    megabytes: float


def measure(statements: str) -> StartCost:
    """Run statements in a new interpreter and return its cost."""
    paths = [path for path in sys.path if path]
    prepared = f"sys.path[:0] = {paths!r}; {statements}"
    program = _PROGRAM.format(statements=prepared)
    completed = subprocess.run(
        [sys.executable, "-S", "-c", program],
        check=True,
        capture_output=True,
        text=True,
    )
    seconds, megabytes = completed.stdout.split()
    return StartCost(float(seconds), float(megabytes))


def main() -> None:
    """Print the medians for each case and the processor time of all starts."""
    print(
        f"medians of {ROUNDS} starts; target {TARGET_SECONDS} s, "
        f"{TARGET_MEGABYTES} MB"
    )
    for name, statements in CASES.items():
        starts = [measure(statements) for _ in range(ROUNDS)]
        seconds = statistics.median(start.seconds for start in starts)
        megabytes = statistics.median(start.megabytes for start in starts)
        print(f"{name:34} {seconds:.3f} s {megabytes:5.1f} MB")
    children = resource.getrusage(resource.RUSAGE_CHILDREN)
    print(f"{children.ru_utime + children.ru_stime:.1f} s in total")


if __name__ == "__main__":
    main()
