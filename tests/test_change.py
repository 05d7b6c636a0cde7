"""How operators' changes are applied while the platform is restored."""

import attrs
import pytest

from vanilladrum.core import errors
from vanilladrum.operator import change
from vanilladrum.operator import in_force
from vanilladrum.wire import platform as platforms

PLACE = (change.CONFIGURATION_KIND, change.CONFIGURATION_NAME)
ACCEPTED = change.AcceptedChange(generation=5, operation="own")


@attrs.define
class FakePlatform:
    """A platform whose updates have no confirmation and are not stored.

    :param updates: contents of the updates.
    """

    objects: dict = attrs.field(factory=dict)
    updates: list = attrs.field(factory=list)

    async def get(self, kind, name):
        return self.objects.get((kind, name), platforms.StoredObject(0, {}))

    async def put(self, kind, name, value, version):
        self.updates.append(value)
        raise errors.PlatformError("no answer")

    def store(self, generation, *operations, version=3):
        content = {"generation": generation, "operations": list(operations)}
        self.objects[PLACE] = platforms.StoredObject(version, content)

    def report(self, generation):
        status = platforms.StoredObject(1, {"generation": generation})
        self.objects[change.STATUS_KIND, "bilbao"] = status


@pytest.fixture
def platform(monkeypatch):
    monkeypatch.setattr(in_force, "POLL_INTERVAL_SECONDS", 0.001)
    monkeypatch.setattr(change, "READ_BACK_INTERVAL_SECONDS", 0.001)
    return FakePlatform()


async def wait(platform):
    await in_force.wait_in_force(
        platform, ["bilbao"], ACCEPTED, 0.05, lambda *_: None
    )


@pytest.mark.parametrize(
    "generation,operations", [(5, ("own",)), (6, ("own", "later"))]
)
async def test_change_is_in_force_with_or_before_a_later_one(
    platform, generation, operations
):
    platform.store(generation, *operations)
    platform.report(generation)
    await wait(platform)


# A delayed update was accepted after a restore; the hosts had a newer
# configuration without it, whose generation was taken for a confirmation.
async def test_change_that_hosts_never_adopt_is_not_confirmed(platform):
    platform.store(5, "own")
    platform.report(7)
    with pytest.raises(in_force.NotInForceError, match="not yet reported"):
        await wait(platform)
    platform.store(7, "other")
    with pytest.raises(in_force.NotInForceError, match="print the plan again"):
        await wait(platform)


# The version was the one that the update was based on, but another change
# had been given it after a restore.
async def test_update_is_not_repeated_over_a_version_given_out_again(
    platform, monkeypatch
):
    platform.store(4, "other")
    stored = change.StoredConfiguration(3, {"generation": 2})
    monkeypatch.setattr(change, "difference", lambda *_: "")
    content = {"generation": 5, "operations": ["own"]}
    with pytest.raises(change.StaleBaseError):
        await change._store(platform, content, stored)
    assert len(platform.updates) == 1
