"""Evacuation of a data centre on entry hosts that run as processes."""

import asyncio
import signal

import pytest

from examples import flow_cluster
from tests import test_flow_processes
from vanilladrum.core import flowhost
from vanilladrum.daemons import evacuation_sync
from vanilladrum.standins import flow_caller
from vanilladrum.standins import object_store

KIND = "evacuations"
# An evacuation has to be in force within this time; the goal without a fault.
LIMIT_SECONDS = 5.0
GOAL_SECONDS = 1.0
# The store counts as stable this long after an outage, in seconds.
STABLE_SECONDS = 5.0
EVACUATED = "gijon"
InjectedFault = object_store.InjectedFault


@pytest.fixture
async def cluster(tmp_path):
    """Yield a cluster whose settings limit the time of an evacuation."""
    running = flow_cluster.FlowCluster(
        tmp_path, further_settings="bounds.evacuate-ms=5000\n"
    )
    try:
        await running.start()
        yield running
    finally:
        await running.stop()


async def evacuate(cluster, name=EVACUATED):
    await cluster.store.put(KIND, name, {})


def servers_in(cluster, data_centre):
    return [
        each for each in cluster.servers if each.data_centre == data_centre
    ]


async def assert_used(cluster, expected, data_centre=EVACUATED, count=120):
    """Assert whether a data centre gets first packets, and that all is served.

    :param expected: whether it should get them.
    """
    now = asyncio.get_running_loop().time()
    served = await test_flow_processes.send_requests(
        cluster, count, 0.005, f"at-{now}"
    )
    used = any(
        each.last_first_packet > now
        for each in servers_in(cluster, data_centre)
    )
    assert used == expected
    assert served == count, cluster.caller.failures
    test_flow_processes.assert_flows_intact(cluster)


def logged(cluster, event):
    """Return the numbers of the hosts that logged an event."""
    return [host.number for host in cluster.hosts if host.logged_events(event)]


def watchers(cluster):
    """Return the hosts that watch the store."""
    sources = {
        host: [each["host"] for each in host.logged_events("following")]
        for host in cluster.hosts
    }
    return [
        host
        for host, followed in sources.items()
        if not followed or followed[-1] == "store"
    ]


def reasons_with_kind(host):
    """Return why a host avoided its source, if that is a call of the kind."""
    avoided = host.logged_events("source avoided")
    return [each["reason"] for each in avoided if KIND in each["reason"]]


async def test_evacuation_and_its_cancellation_are_in_force_in_a_second(
    cluster,
):
    name = next(iter(cluster.service_addresses))
    target = cluster.service_addresses[name]
    long_flows = [
        asyncio.create_task(
            cluster.caller.request(target, f"long-{number}", name, 2.0)
        )
        for number in range(20)
    ]
    await asyncio.sleep(0.3)
    await evacuate(cluster)
    await asyncio.sleep(GOAL_SECONDS)
    await assert_used(cluster, False)
    outcomes = await asyncio.gather(*long_flows)
    assert set(outcomes) == {flow_caller.FlowOutcome.SERVED}
    assert any(
        request.startswith("long")
        for server in servers_in(cluster, EVACUATED)
        for request in server.executed_ids
    )
    await cluster.store.delete(KIND, EVACUATED)
    await asyncio.sleep(GOAL_SECONDS)
    await assert_used(cluster, True)
    for event in ("evacuation seen", "evacuation in force"):
        assert logged(cluster, event) == [1, 2, 3]
    assert logged(cluster, "evacuation taken back") == [1, 2, 3]


# A follower waited for a watcher that had read the change and died.
async def test_watcher_killed_after_it_read_the_change(cluster):
    await asyncio.sleep(1.0)
    await evacuate(cluster)
    for host in watchers(cluster)[:1]:
        host.signal(signal.SIGKILL)
        host.process.wait()
    await asyncio.sleep(2.0)
    await assert_used(cluster, False)
    for host in cluster.hosts:
        if host.process.poll() is not None:
            host.start()
    await asyncio.sleep(1.0)
    await cluster.wait_ready()
    await assert_used(cluster, False)


# A frozen watcher accepted watches and answered none.
async def test_frozen_watcher_delays_no_other_host_beyond_the_limit(cluster):
    await asyncio.sleep(1.0)
    frozen = watchers(cluster)[0]
    frozen.signal(signal.SIGSTOP)
    await evacuate(cluster)
    await asyncio.sleep(LIMIT_SECONDS)
    await assert_used(cluster, False)
    frozen.signal(signal.SIGCONT)
    await asyncio.sleep(2.0)
    await assert_used(cluster, False)


@pytest.mark.parametrize("fault", ["silent", "busy", "reset"])
async def test_request_during_an_outage_is_in_force_after_it(cluster, fault):
    cluster.store.injected_fault = InjectedFault(fault)
    await asyncio.sleep(1.0)
    await evacuate(cluster)
    await asyncio.sleep(0.5)
    if fault == "reset":
        cluster.store.discard_history()
    cluster.store.injected_fault = InjectedFault.NONE
    # A silence between two pings is noticed at the end of the long poll only.
    await asyncio.sleep(LIMIT_SECONDS)
    await assert_used(cluster, False)


# A watch whose answer was lost hid the request until its long poll ended.
async def test_lost_watch_hides_no_request_beyond_the_limit(cluster):
    await asyncio.sleep(1.0)
    await cluster.store.drop_watches()
    await evacuate(cluster)
    await asyncio.sleep(LIMIT_SECONDS)
    await assert_used(cluster, False)


async def test_discarded_history_hides_no_request(cluster):
    await asyncio.sleep(1.0)
    cluster.store.injected_fault = InjectedFault.RESET
    await cluster.store.drop_watches()
    await asyncio.sleep(0.6)
    await evacuate(cluster)
    cluster.store.discard_history()
    cluster.store.injected_fault = InjectedFault.NONE
    await asyncio.sleep(LIMIT_SECONDS)
    await assert_used(cluster, False)


async def restore(cluster, earlier):
    cluster.store.injected_fault = InjectedFault.RESET
    await cluster.store.restore(earlier)
    await asyncio.sleep(0.5)
    cluster.store.injected_fault = InjectedFault.NONE


# The restored store had no evacuation; it ended at once and for all.
async def test_restore_to_before_the_request(cluster):
    earlier = cluster.store.make_copy()
    await evacuate(cluster)
    await asyncio.sleep(GOAL_SECONDS)
    await restore(cluster, earlier)
    await asyncio.sleep(1.5)
    await assert_used(cluster, False)
    await evacuate(cluster)
    await asyncio.sleep(LIMIT_SECONDS)
    await assert_used(cluster, False)


async def test_restored_list_applies_after_the_hold(cluster):
    earlier = cluster.store.make_copy()
    await evacuate(cluster)
    await asyncio.sleep(GOAL_SECONDS)
    await restore(cluster, earlier)
    await asyncio.sleep(LIMIT_SECONDS)
    await assert_used(cluster, True)


# The restored store still had the evacuation; it was in force again at once.
async def test_restore_to_before_the_cancellation(cluster):
    await evacuate(cluster)
    await asyncio.sleep(GOAL_SECONDS)
    await assert_used(cluster, False)
    earlier = cluster.store.make_copy()
    await cluster.store.delete(KIND, EVACUATED)
    await asyncio.sleep(GOAL_SECONDS)
    await restore(cluster, earlier)
    await asyncio.sleep(1.5)
    await assert_used(cluster, True)
    await asyncio.sleep(LIMIT_SECONDS)
    await assert_used(cluster, False)


# Only the last of several changes in one answer counts.
async def test_request_cancellation_and_request_within_one_watch(cluster):
    cluster.store.injected_fault = InjectedFault.BUSY
    await asyncio.sleep(0.7)
    await evacuate(cluster)
    await cluster.store.delete(KIND, EVACUATED)
    await evacuate(cluster)
    cluster.store.injected_fault = InjectedFault.NONE
    await asyncio.sleep(2.0)
    await assert_used(cluster, False)


# The host refused all first packets although it reached its own servers.
async def test_isolated_while_evacuated(cluster):
    await evacuate(cluster, "bilbao")
    await asyncio.sleep(GOAL_SECONDS)
    others = [host for host in cluster.hosts if host.number != 2]
    for host in others:
        host.signal(signal.SIGSTOP)
    for server in servers_in(cluster, "gijon"):
        server.silent = True
    cluster.store.injected_fault = InjectedFault.SILENT
    # Until it is noticed, first packets to the silent servers are lost.
    await test_flow_processes.send_requests(cluster, 300, 0.01)
    await asyncio.sleep(1.0)
    await assert_used(cluster, True, "bilbao")
    assert logged(cluster, "evacuation suspended") == [2]
    cluster.store.injected_fault = InjectedFault.NONE
    for server in servers_in(cluster, "gijon"):
        server.silent = False
    for host in others:
        host.signal(signal.SIGCONT)
    await asyncio.sleep(STABLE_SECONDS)
    await assert_used(cluster, False, "bilbao")


# A host that started during an evacuation used the evacuated servers at first.
@pytest.mark.parametrize("store_answers", [True, False])
async def test_host_that_starts_during_an_evacuation(cluster, store_answers):
    await evacuate(cluster)
    await asyncio.sleep(GOAL_SECONDS)
    if not store_answers:
        cluster.store.injected_fault = InjectedFault.SILENT
    now = asyncio.get_running_loop().time()
    sending = asyncio.create_task(
        test_flow_processes.send_requests(cluster, 300, 0.01)
    )
    for host in cluster.hosts:
        host.signal(signal.SIGKILL)
        host.process.wait()
        host.start()
        await asyncio.sleep(0.8)
    assert await sending == 300, cluster.caller.failures
    assert not any(
        each.last_first_packet > now for each in servers_in(cluster, EVACUATED)
    )


# All hosts of the fleet lost power; none had the evacuations.
async def test_start_is_not_delayed_by_evacuations_that_nobody_has(cluster):
    cluster.store.injected_fault = InjectedFault.SILENT
    cluster.store.rejected_kinds = frozenset({KIND})
    for host in cluster.hosts:
        host.signal(signal.SIGKILL)
        host.process.wait()
    for host in cluster.hosts:
        host.start()
    await cluster.wait_ready()
    await asyncio.sleep(1.0)
    await assert_used(cluster, True)
    (waited,) = {
        each["waited"]
        for host in cluster.hosts
        for each in host.logged_events("evacuations unknown")
    }
    assert waited == evacuation_sync.MAX_START_DELAY


async def test_service_with_evacuated_servers_only_is_refused(cluster):
    await evacuate(cluster, "bilbao")
    await evacuate(cluster, "gijon")
    await asyncio.sleep(GOAL_SECONDS)
    began = asyncio.get_running_loop().time()
    assert not await test_flow_processes.send_requests(cluster, 30)
    assert asyncio.get_running_loop().time() - began < 0.5
    # Hosts write their log lines at the next tick.
    await asyncio.sleep(2 * flowhost.IDLE_TICK_INTERVAL_SECONDS)
    refused = [
        each["reason"]
        for host in cluster.hosts
        for each in host.logged_events("packet refused")
    ]
    assert set(refused) == {"evacuated"}
    assert cluster.caller.outcomes == {flow_caller.FlowOutcome.REFUSED: 30}


async def test_unknown_name_has_no_effect_and_is_logged_once(cluster):
    await evacuate(cluster, "nowhere")
    await asyncio.sleep(GOAL_SECONDS)
    await evacuate(cluster, "nowhere")
    await asyncio.sleep(GOAL_SECONDS)
    await assert_used(cluster, True)
    for host in cluster.hosts:
        assert len(host.logged_events("evacuation ignored")) == 1


# A followed host of an earlier release answers 404; so does one without the
# setting. It was avoided, and nobody listed the kind.
async def test_kind_is_listed_at_the_store_if_the_source_lacks_it(cluster):
    await asyncio.sleep(4.0)
    earlier = watchers(cluster)
    for host in earlier:
        text = host.settings.read_text()
        host.settings.write_text(text.replace(cluster.further_settings, ""))
        await host.stop()
        host.start()
        await asyncio.sleep(1.0)
    await asyncio.sleep(4.0)
    (follower,) = set(cluster.hosts) - set(earlier)
    assert set(watchers(cluster)) == set(earlier)
    lists = cluster.store.calls["list"]
    await evacuate(cluster)
    await asyncio.sleep(5.0)
    assert len(follower.logged_events("evacuation in force")) == 1
    assert not reasons_with_kind(follower)
    assert 3 <= cluster.store.calls["list"] - lists <= 6
    await cluster.store.delete(KIND, EVACUATED)
    await asyncio.sleep(GOAL_SECONDS + 0.5)
    assert len(follower.logged_events("evacuation taken back")) == 1
    # While the store is away, the source may have got the list.
    cluster.store.injected_fault = InjectedFault.BUSY
    await asyncio.sleep(3.0)
    assert not reasons_with_kind(follower)


async def test_kind_is_watched_by_two_hosts_only(cluster):
    await asyncio.sleep(4.0)
    assert cluster.store.waiting[KIND] == 2
