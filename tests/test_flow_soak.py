"""A short seeded soak; seeds that once failed are kept here."""

import pytest

from examples import flow_soak

# Seed and what it found.
SEEDS = {
    1: "the first one",
    106: "the soak waited for a process that another fault had started",
}
SECONDS = 8.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_random_faults(seed, tmp_path):
    report = await flow_soak.soak(seed, SECONDS, tmp_path)
    assert report["broken"] == [], report
    assert report["faults"] >= 5
