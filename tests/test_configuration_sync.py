"""How entry hosts follow and report configurations at the platform."""

import asyncio
import types

import attrs
import pytest

from vanilladrum.core import errors
from vanilladrum.daemons import configuration_sync
from vanilladrum.wire import platform as platforms


PLACE = ("configuration", "fleet")


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
        stored = await self.get(kind, name)
        if stored.version != version:
            raise errors.ConflictError("another version is stored")
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
    monkeypatch.setattr(
        configuration_sync.document, "unstructure", lambda fleet: vars(fleet)
    )
    core = types.SimpleNamespace(
        generation=0, ready=True, configured=[], fleet=None
    )

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
    for generation in (3, 4):
        sync.platform.objects[PLACE] = platforms.StoredObject(
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


def restore_configuration(sync, version, **content):
    """Restore an older configuration than the one in force, generation 9."""
    sync.core.fleet = types.SimpleNamespace(generation=9)
    sync.platform.objects[PLACE] = platforms.StoredObject(version, content)


# The next change started from the restored configuration, whose keys do not
# open the tokens of the connections that are open.
@pytest.mark.parametrize("content", [{"generation": 4}, {}])
async def test_configuration_that_a_restore_has_lost_is_written_back(
    sync, content
):
    restore_configuration(sync, 5 if content else 0, **content)
    await sync._watch_once(6)
    assert sync.platform.objects[PLACE].value == {"generation": 9}
    assert sync.platform.updates == 1
    await sync._watch_once(6)
    assert sync.platform.updates == 1


async def test_only_the_first_watcher_writes_a_configuration_back(sync):
    restore_configuration(sync, 5, generation=4)
    others = [
        types.SimpleNamespace(
            number=n, data_centre="bilbao", incarnation=b"%d" % n
        )
        for n in range(20, 40)
    ]
    own_entry = sync.core.membership.own_entry
    sync.core.membership.alive = lambda: [own_entry, *others]
    ranked = sync._ranked_local_hosts()
    for member in ranked:
        sync.core.membership.own_entry = member
        sync.platform.updates = 0
        restore_configuration(sync, 5, generation=4)
        await sync._watch_once(6)
        assert sync.platform.updates == (member is ranked[0])


# An operator's change that is stored in the meantime is not replaced.
async def test_configuration_is_written_back_only_over_the_older_one(sync):
    restore_configuration(sync, 5, generation=4)
    older = sync.platform.objects[PLACE]
    restore_configuration(sync, 6, generation=12)
    with pytest.raises(errors.ConflictError):
        await sync._write_back(older)
    assert sync.platform.objects[PLACE].value == {"generation": 12}
