"""Checks that the benches, which CI does not run, can be imported."""

import importlib
import pathlib

import pytest

BENCHES = pathlib.Path(__file__).parent.parent / "bench"
NAMES = sorted(path.stem for path in BENCHES.glob("*.py"))


@pytest.mark.parametrize("name", NAMES)
def test_bench_can_be_imported(name):
    assert importlib.import_module(f"bench.{name}")
