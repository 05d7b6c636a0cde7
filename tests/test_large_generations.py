"""Digests with generations that do not fit into their header."""

import pytest

from tests import flow_factories
from vanilladrum.platform import store as stores
from vanilladrum.wire import digests


# The encoding of each digest failed, and with it the rest of the tick.
@pytest.mark.parametrize("generation", [5, 2**32 - 1, 2**32, 2**63 - 1])
def test_digest_carries_any_generation(generation):
    host = flow_factories.make_host()
    host.configure(flow_factories.make_configuration(generation))
    position = stores.Listing((), 1, 1).position
    digest = host.make_digest(False, False, False, position)
    assert digests.decode(digests.encode(digest)).generation == generation


# A host of an earlier release ignores what it does not know.
def test_large_generation_is_the_largest_known_one_to_earlier_releases():
    host = flow_factories.make_host()
    host.configure(flow_factories.make_configuration(2**40))
    position = stores.Listing((), 1, 1).position
    encoded = bytearray(
        digests.encode(host.make_digest(False, False, False, position))
    )
    encoded[1] &= ~digests.GENERATION_FLAG
    assert digests.decode(bytes(encoded)).generation == 2**32 - 1
