"""The protocol model: the shipped rules hold, each mutant is caught."""

import minicheck
import pytest

from model import __main__ as checker
from model import flows
from model import generations
from model import ownership
from model import ownership_mutants
from model import watchers


def test_shipped_rules_hold_for_one_request():
    result = minicheck.check_safety(ownership.protocol(1, ownership.Rules()))
    held = {
        name: found["holds"] for name, found in result["properties"].items()
    }
    assert result["exhaustive"]
    assert held == dict.fromkeys(ownership.INVARIANTS, True)


def test_everyone_is_told_something():
    result = minicheck.check_liveness(ownership.protocol(1, ownership.Rules()))
    assert result["holds"] is True


@pytest.mark.parametrize(
    "rules",
    [
        rules
        for rules in ownership_mutants.ALL
        if rules.breaks != "answer_belongs"
    ],
    ids=lambda rules: rules.name,
)
def test_mutant_is_caught(rules):
    assert checker.catches(ownership.protocol(1, rules), rules.breaks)


def test_generations_hold_and_settle():
    protocol = generations.protocol(generations.Rules())
    result = minicheck.check_safety(protocol)
    held = {
        name: found["holds"] for name, found in result["properties"].items()
    }
    assert result["exhaustive"]
    assert held == dict.fromkeys(generations.INVARIANTS, True)
    assert minicheck.check_liveness(protocol)["holds"] is True


@pytest.mark.parametrize(
    "rules", generations.MUTANTS, ids=lambda rules: rules.name
)
def test_generations_mutant_is_caught(rules):
    assert checker.catches(generations.protocol(rules), rules.breaks)


FEW_STATES = 4_000


@pytest.mark.parametrize(
    "rules",
    [
        rules
        for rules in flows.MUTANTS
        if rules.name in ("resets_unknown", "adopts_anything")
    ],
    ids=lambda rules: rules.name,
)
def test_flows_hold_and_mutants_are_caught_within_a_few_states(rules):
    """The whole space is searched by `make model`."""
    for tried in (flows.Rules(), rules):
        result = minicheck.check_safety(
            flows.protocol(tried), max_states=FEW_STATES
        )
        broken = result["properties"][rules.breaks]["counterexample"]
        assert bool(broken) == (tried is rules)


@pytest.mark.parametrize(
    "rules",
    [
        rules
        for rules in watchers.MUTANTS
        if rules.name in ("answers_across_gaps", "names_its_own_revision")
    ],
    ids=lambda rules: rules.name,
)
def test_watchers_hold_and_mutants_are_caught_with_one_change(rules):
    """More changes are searched by `make model`."""
    for tried in (watchers.Rules(), rules):
        result = minicheck.check_safety(watchers.protocol(tried, 1))
        found = result["properties"][rules.breaks]
        assert found["holds"] is (tried is not rules)
