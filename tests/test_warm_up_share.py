"""Services of which most servers are cold, or some."""

from tests import flow_factories
from tests import test_warm_up


def test_few_warm_servers_do_not_get_the_whole_load():
    """The first warm server after a restart of a service got all flows."""
    host = test_warm_up.make_host(
        *(test_warm_up.make_cold(number) for number in range(1, 9))
    )
    host.directory.update(flow_factories.make_server(9))
    decisions = test_warm_up.send(host, 40)
    assert len(set(test_warm_up.servers_of(decisions))) > 5


def test_cold_quarter_of_a_service_is_spared():
    """Cold servers got flows although three of four servers were warm."""
    host = test_warm_up.make_host(
        *(test_warm_up.make_cold(number) for number in range(1, 3))
    )
    for number in range(3, 9):
        host.directory.update(flow_factories.make_server(number))
    # Fewer than the warm servers hold with their queues.
    assert min(test_warm_up.servers_of(test_warm_up.send(host, 20))) > 2
