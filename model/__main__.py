"""Checks the models and their mutants, and prints states and time."""

import sys
import time

import minicheck

from model import flows
from model import generations
from model import ownership
from model import ownership_mutants
from model import watchers

MAX_STATES = 2_000_000
MUTANT_STATES = 400_000


def check(protocol: minicheck.Protocol) -> bool:
    """Check every invariant of a model; print what was found."""
    started = time.monotonic()
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    seconds = time.monotonic() - started
    held = {
        name: found["holds"] for name, found in result["properties"].items()
    }
    good = all(found is True for found in held.values())
    print(
        f"{protocol.name}: {result['reachable_states']} states in "
        f"{seconds:.1f} s, exhaustive {result['exhaustive']}"
    )
    for name, found in held.items():
        print(f"  {name}: {'holds' if found else found}")
    return good


def check_liveness(protocol: minicheck.Protocol) -> bool:
    """Check that a request is always told something in the end."""
    result = minicheck.check_liveness(protocol)
    states = result.get("reachable_states")
    print(f"{protocol.name}: liveness {result['holds']}, {states} states")
    return result["holds"] is True


def catches(protocol: minicheck.Protocol, broken: str) -> bool:
    """Check that a mutant breaks an invariant; print the shortest trace."""
    if broken == "liveness":
        result = minicheck.check_liveness(protocol)
        trace = result.get("counterexample")
    else:
        found = minicheck.check_safety(protocol, max_states=MUTANT_STATES)
        trace = found["properties"][broken]["counterexample"]
    if not trace:
        print(f"{protocol.name}: NOT CAUGHT by {broken}")
        return False
    steps = " -> ".join(str(step["label"]) for step in trace[1:])
    print(f"{protocol.name}: caught by {broken}: {steps}")
    return True


def main() -> int:
    """Check everything; return the exit code."""
    shipped = ownership.Rules()
    results = [
        check(ownership.protocol(2, shipped)),
        check_liveness(ownership.protocol(1, shipped)),
    ]
    for rules in ownership_mutants.ALL:
        requests = 2 if rules.breaks == "answer_belongs" else 1
        mutant = ownership.protocol(requests, rules)
        results.append(catches(mutant, rules.breaks))
    changes = generations.protocol(generations.Rules())
    results += [check(changes), check_liveness(changes)]
    for rules in generations.MUTANTS:
        mutant = generations.protocol(rules)
        results.append(catches(mutant, rules.breaks))
    results.append(check(flows.protocol(flows.Rules())))
    for rules in flows.MUTANTS:
        results.append(catches(flows.protocol(rules), rules.breaks))
    results.append(check(watchers.protocol(watchers.Rules())))
    for rules in watchers.MUTANTS:
        results.append(catches(watchers.protocol(rules, 3), rules.breaks))
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
