"""Short soak runs with fixed seeds, some of which exposed a fault."""

import pytest

from examples import flow_soak

# Seeds, and why each one is here.
SEEDS = {
    1: "the first seed",
    106: "the soak waited for a process that another injected fault started",
}
SECONDS = 8.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_guarantees_hold_under_random_faults(seed, tmp_path):
    report = await flow_soak.soak(seed, SECONDS, tmp_path)
    assert report["broken"] == [], report
    assert report["faults"] >= 5
