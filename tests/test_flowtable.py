"""Counts of open flows, and the size limit of the flow table."""

from tests import flow_factories
from vanilladrum.core import flow as flow_types


def test_packets_after_the_close_do_not_reopen_a_flow():
    host = flow_factories.make_host([flow_factories.make_server(1)])
    tag = host.receive(flow_factories.make_packet(), 0.0).server.tag
    host.receive(flow_factories.make_packet(tag=tag), 0.01)
    assert host.load(tag) == 1
    host.receive(flow_factories.make_packet(tag=tag, closes=True), 0.05)
    # The caller still acknowledges the server's last packets.
    decision = host.receive(flow_factories.make_packet(tag=tag), 0.06)
    assert isinstance(decision, flow_types.Forward)
    assert host.load(tag) == 0


def test_flow_is_not_counted_after_its_timeout():
    host = flow_factories.make_host([flow_factories.make_server(1)])
    tag = host.receive(flow_factories.make_packet(), 0.0).server.tag
    host.tick(flow_factories.TIMEOUT - 0.01)
    assert host.load(tag) == 1
    host.tick(flow_factories.TIMEOUT + 0.01)
    assert host.load(tag) == 0


def test_reused_port_counts_once():
    host = flow_factories.make_host([flow_factories.make_server(1)])
    tag = host.receive(flow_factories.make_packet(), 0.0).server.tag
    host.receive(flow_factories.make_packet(tag=tag, closes=True), 0.1)
    host.receive(flow_factories.make_packet(), 0.2)
    assert host.load(tag) == 1
    # The timeout of the first flow must not end the second one.
    host.tick(flow_factories.TIMEOUT + 0.01)
    assert host.load(tag) == 1


def test_table_size_is_limited():
    host = flow_factories.make_host([flow_factories.make_server(1)])
    host.table.max_flows = 3
    for port in range(5):
        tag = host.receive(
            flow_factories.make_packet(port + 1), 0.0
        ).server.tag
    assert len(host.table.flows) == 3
    assert host.load(tag) == 3
