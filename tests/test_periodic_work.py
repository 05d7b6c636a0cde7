"""Parts of the periodic work that fail leave the others running."""

import types

from tests import flow_factories
from vanilladrum.core import periodic
from vanilladrum.daemons import flow_host


# Each tick failed before servers were removed, digests sent and the planned
# stop obeyed.
def test_failing_part_of_a_tick_does_not_stop_the_others(monkeypatch):
    failures = []
    host = flow_factories.make_host()
    host.on_error = failures.append
    monkeypatch.setattr(
        host, "_update_silent_data_centres", lambda _: int("x")
    )
    name = flow_factories.make_server(1).name
    host.handle_removed_entry(name, 0.0)
    host.tick(1.0)
    assert name not in host.directory.servers
    assert len(failures) == 1


def test_units_run_in_order_and_each_failure_is_passed_on():
    done = []
    periodic.run_each(
        (lambda: done.append(1), lambda: int("x"), lambda: done.append(2)),
        lambda error: done.append(type(error)),
    )
    assert done == [1, ValueError, 2]


# A host whose ticks failed was still in rotation when it was killed.
def test_planned_stop_is_obeyed_though_other_parts_fail():
    """Only the parts of the daemon that the tick calls are replaced."""
    stopped = []
    failures = []

    def fail(*_):
        raise ValueError("odd")

    daemon = types.SimpleNamespace(
        state_sync=types.SimpleNamespace(tick=fail),
        digest_exchange=types.SimpleNamespace(tick=fail),
        _tick_core=fail,
        _start_health_checks=fail,
        _reload_if_due=fail,
        _stop_if_requested=stopped.append,
        _on_exception=failures.append,
    )
    flow_host.FlowHostDaemon._run_due_work(daemon, 7.0)
    assert stopped == [7.0]
    assert len(failures) == 5
