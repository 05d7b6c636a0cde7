"""Tests of the models: production rules hold, each mutant is detected."""

import minicheck
import pytest

from model import __main__ as checker
from model import flows
from model import generations
from model import ownership
from model import ownership_mutants
from model import watchers


def test_production_rules_hold_for_one_request():
    result = minicheck.check_safety(ownership.protocol(1, ownership.Rules()))
    results = {
        name: checked["holds"]
        for name, checked in result["properties"].items()
    }
    assert result["exhaustive"]
    assert results == dict.fromkeys(ownership.INVARIANTS, True)


def test_every_caller_gets_a_response():
    result = minicheck.check_liveness(ownership.protocol(1, ownership.Rules()))
    assert result["holds"] is True


# A violation of answer_belongs takes two requests; `make model` checks it.
@pytest.mark.parametrize(
    "rules",
    [
        rules
        for rules in ownership_mutants.ALL_MUTANTS
        if rules.breaks != "answer_belongs"
    ],
    ids=lambda rules: rules.name,
)
def test_mutant_is_detected(rules):
    assert checker.catches(ownership.protocol(1, rules), rules.breaks)


def test_generations_hold_and_converge():
    protocol = generations.protocol(generations.Rules())
    result = minicheck.check_safety(protocol)
    results = {
        name: checked["holds"]
        for name, checked in result["properties"].items()
    }
    assert result["exhaustive"]
    assert results == dict.fromkeys(generations.INVARIANTS, True)
    assert minicheck.check_liveness(protocol)["holds"] is True


@pytest.mark.parametrize(
    "rules", generations.MUTANTS, ids=lambda rules: rules.name
)
def test_generations_mutant_is_detected(rules):
    assert checker.catches(generations.protocol(rules), rules.breaks)


MAX_STATES = 4_000


@pytest.mark.parametrize(
    "rules",
    [
        rules
        for rules in flows.MUTANTS
        if rules.name in ("resets_unknown", "adopts_anything")
    ],
    ids=lambda rules: rules.name,
)
def test_flows_hold_and_mutants_are_detected_within_few_states(rules):
    """`make model` checks all mutants in the whole state space."""
    for checked_rules in (flows.Rules(), rules):
        result = minicheck.check_safety(
            flows.protocol(checked_rules), max_states=MAX_STATES
        )
        counterexample = result["properties"][rules.breaks]["counterexample"]
        assert bool(counterexample) == (checked_rules is rules)


@pytest.mark.parametrize(
    "rules",
    [
        rules
        for rules in watchers.MUTANTS
        if rules.name in ("answers_across_gaps", "names_its_own_revision")
    ],
    ids=lambda rules: rules.name,
)
def test_watchers_hold_and_mutants_are_detected_with_one_change(rules):
    """`make model` checks all mutants with more than one change."""
    for checked_rules in (watchers.Rules(), rules):
        result = minicheck.check_safety(watchers.protocol(checked_rules, 1))
        checked = result["properties"][rules.breaks]
        assert checked["holds"] is (checked_rules is not rules)


# The model had no restored store, and none of its properties failed for hosts
# that compare the revisions of different eras.
def test_watchers_of_a_restored_store_need_no_further_change():
    for rules in (watchers.Rules(), watchers.RESTORE_MUTANTS[0]):
        result = minicheck.check_liveness(watchers.protocol(rules, 1, 1, 0))
        assert result["holds"] is (rules.name == "shipped")
