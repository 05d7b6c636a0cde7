"""Checks all models and their mutants.

Prints the number of states and the time for each model, and the shortest
counterexample for each mutant. The exit code is 1 if a property fails or a
mutant isn't detected.
"""

import sys
import time

import minicheck

from model import flows
from model import generations
from model import ownership
from model import ownership_mutants
from model import watchers

MAX_STATES = 2_000_000
MAX_MUTANT_STATES = 400_000


def check_safety(protocol: minicheck.Protocol) -> bool:
    """Check all invariants of a model and print the result of each.

    :returns: whether all of them hold.
    """
    started = time.monotonic()
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    seconds = time.monotonic() - started
    holds = {
        name: outcome["holds"]
        for name, outcome in result["properties"].items()
    }
    passed = all(outcome is True for outcome in holds.values())
    print(
        f"{protocol.name}: {result['reachable_states']} states in "
        f"{seconds:.1f} s, exhaustive {result['exhaustive']}"
    )
    for name, outcome in holds.items():
        print(f"  {name}: {'holds' if outcome else outcome}")
    return passed


def check_liveness(protocol: minicheck.Protocol) -> bool:
    """Check that the goal can be reached from every state, print the result.

    :returns: whether it can.
    """
    result = minicheck.check_liveness(protocol)
    states = result.get("reachable_states")
    print(f"{protocol.name}: liveness {result['holds']}, {states} states")
    return result["holds"] is True


def catches(protocol: minicheck.Protocol, violated: str) -> bool:
    """Check that a mutant violates a property; print the counterexample.

    :param violated: name of an invariant, or ``liveness``.
    :returns: whether a counterexample was found.
    """
    if violated == "liveness":
        result = minicheck.check_liveness(protocol)
        trace = result.get("counterexample")
    else:
        safety = minicheck.check_safety(protocol, max_states=MAX_MUTANT_STATES)
        trace = safety["properties"][violated]["counterexample"]
    if not trace:
        print(f"{protocol.name}: NOT CAUGHT by {violated}")
        return False
    steps = " -> ".join(str(step["label"]) for step in trace[1:])
    print(f"{protocol.name}: caught by {violated}: {steps}")
    return True


def check_restored_store() -> list[bool]:
    """Check the model of the watchers with restores, and its mutants.

    :returns: whether each check passed.
    """
    rules = watchers.Rules()
    results = [
        check_safety(watchers.protocol(rules, 2, 1, 1)),
        check_liveness(watchers.protocol(rules, 1, 1, 0)),
    ]
    for rules in watchers.RESTORE_MUTANTS:
        later_changes = 0 if rules.breaks == "liveness" else 1
        mutant = watchers.protocol(rules, 1, 1, later_changes)
        results.append(catches(mutant, rules.breaks))
    return results


def main() -> int:
    """Check all models and mutants and return the exit code."""
    ownership_rules = ownership.Rules()
    results = [
        check_safety(ownership.protocol(2, ownership_rules)),
        check_liveness(ownership.protocol(1, ownership_rules)),
    ]
    for rules in ownership_mutants.ALL_MUTANTS:
        requests = 2 if rules.breaks == "answer_belongs" else 1
        mutant = ownership.protocol(requests, rules)
        results.append(catches(mutant, rules.breaks))
    protocol = generations.protocol(generations.Rules())
    results += [check_safety(protocol), check_liveness(protocol)]
    for rules in generations.MUTANTS:
        mutant = generations.protocol(rules)
        results.append(catches(mutant, rules.breaks))
    results.append(check_safety(flows.protocol(flows.Rules())))
    for rules in flows.MUTANTS:
        results.append(catches(flows.protocol(rules), rules.breaks))
    results.append(check_safety(watchers.protocol(watchers.Rules())))
    for rules in watchers.MUTANTS:
        results.append(catches(watchers.protocol(rules, 3), rules.breaks))
    results += check_restored_store()
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
