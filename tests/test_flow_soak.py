"""Short soak runs with fixed seeds, some of which exposed a fault."""

import pytest

from examples import flow_soak

# Seeds, and why each one is here.
SEEDS = {
    1: "the first seed",
    106: "the soak waited for a process that another injected fault started",
}
# The same of runs in which the store is restored from copies.
RESTORE_SEEDS = {
    1: "the first seed",
    502: "all hosts missed the change at a revision that was given out again",
}
SECONDS = 8.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_guarantees_hold_under_random_faults(seed, tmp_path):
    report = await flow_soak.soak(seed, SECONDS, tmp_path)
    assert report["broken"] == [], report
    assert report["faults"] >= 5


# No soak restored the store, so no host met an earlier revision.
@pytest.mark.parametrize("seed", RESTORE_SEEDS)
async def test_guarantees_hold_while_the_store_is_restored(seed, tmp_path):
    report = await flow_soak.soak(seed, SECONDS, tmp_path, restores=True)
    assert report["broken"] == [], report
    assert report["faults"] >= 5
