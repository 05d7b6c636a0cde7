"""How entry hosts follow and report configurations at the platform."""

import asyncio
import types

import attrs
import pytest

from vanilladrum.daemons import configuration_sync
from vanilladrum.wire import platform as platforms


@attrs.define
class FakePlatform:
    """A platform that answers at once and counts its updates."""

    objects: dict = attrs.field(factory=dict)
    updates: int = 0

    async def watch(self, kind, name, after):
        return self.objects[kind, name]

    async def get(self, kind, name):
        return self.objects.get((kind, name), platforms.StoredObject(0, {}))

    async def put(self, kind, name, value, version):
        self.updates += 1
        self.objects[kind, name] = platforms.StoredObject(version + 1, value)


@pytest.fixture
def sync(monkeypatch):
    """Return a host's configuration sync; a fleet is its generation here."""
    monkeypatch.setattr(
        configuration_sync.document,
        "read_fleet",
        lambda value, source: types.SimpleNamespace(**value),
    )
    core = types.SimpleNamespace(generation=0, ready=True, configured=[])

    def configure(fleet):
        core.configured.append(fleet.generation)
        return False

    core.configure = configure
    member = types.SimpleNamespace(
        number=1, data_centre="bilbao", incarnation=b"7"
    )
    core.membership = types.SimpleNamespace(
        own_entry=member, alive=lambda: [member], generations={}
    )
    return configuration_sync.ConfigurationSync(
        core, FakePlatform(), transport=None, binds_services=False
    )


# A restored platform gave the version of a lost configuration to another one,
# which no watching host adopted.
async def test_configuration_at_a_version_given_out_again_is_adopted(sync):
    place = ("configuration", "fleet")
    for generation in (3, 4):
        sync.platform.objects[place] = platforms.StoredObject(
            5, {"generation": generation}
        )
        assert await sync._watch_once(5) == 5
    assert sync.core.configured == [3, 4]


# The status stayed lost until the next change of the configuration.
async def test_status_that_a_restore_has_lost_is_written_again(
    sync, monkeypatch
):
    monkeypatch.setattr(configuration_sync, "STATUS_INTERVAL_SECONDS", 0.001)
    monkeypatch.setattr(configuration_sync, "STATUS_CHECK_SECONDS", 0.02)
    reporting = asyncio.create_task(sync.report_status())
    await asyncio.sleep(0.2)
    assert sync.platform.updates == 1
    sync.platform.objects.clear()
    await asyncio.sleep(0.2)
    reporting.cancel()
    assert sync.platform.updates == 2
    status = sync.platform.objects["status", "bilbao"].value
    assert status == {"generation": 0, "hosts": {"1": 0}}
