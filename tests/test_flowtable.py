"""Counting of open flows."""

from tests import flows
from vanilladrum.core import flow as flow_types


def test_packets_after_the_end_do_not_open_a_flow_again():
    host = flows.make_host([flows.make_server(1)])
    tag = host.receive(flows.make_packet(), 0.0).server.tag
    host.receive(flows.make_packet(tag=tag), 0.01)
    assert host.open_flows(tag) == 1
    host.receive(flows.make_packet(tag=tag, closes=True), 0.05)
    # The caller still acknowledges what the server sends last.
    decision = host.receive(flows.make_packet(tag=tag), 0.06)
    assert isinstance(decision, flow_types.Forward)
    assert host.open_flows(tag) == 0


def test_flow_whose_caller_has_given_up_is_not_counted():
    host = flows.make_host([flows.make_server(1)])
    tag = host.receive(flows.make_packet(), 0.0).server.tag
    host.tick(flows.TIMEOUT - 0.01)
    assert host.open_flows(tag) == 1
    host.tick(flows.TIMEOUT + 0.01)
    assert host.open_flows(tag) == 0


def test_port_used_again_counts_once():
    host = flows.make_host([flows.make_server(1)])
    tag = host.receive(flows.make_packet(), 0.0).server.tag
    host.receive(flows.make_packet(tag=tag, closes=True), 0.1)
    host.receive(flows.make_packet(), 0.2)
    assert host.open_flows(tag) == 1
    # The end of the first flow's lifetime does not end the second one.
    host.tick(flows.TIMEOUT + 0.01)
    assert host.open_flows(tag) == 1


def test_table_is_bounded():
    host = flows.make_host([flows.make_server(1)])
    host.table.max_flows = 3
    for port in range(5):
        tag = host.receive(flows.make_packet(port + 1), 0.0).server.tag
    assert len(host.table.flows) == 3
    assert host.open_flows(tag) == 3
