"""Tests of the non-blocking event log and of the metrics page."""

import json
import os
import time

from tests import flow_factories
from vanilladrum.daemons import flow_metrics
from vanilladrum.daemons import json_log


def make_log(limit=json_log.MAX_LINES_PER_SECOND, clock=time.monotonic):
    """Return an event log that writes to a pipe, and the pipe's read end.

    :param limit: lines of one event that are written per second.
    :param clock: returns the monotonic time in seconds.
    """
    read_end, write_end = os.pipe()
    writer = json_log.LineWriter(write_end)
    return json_log.EventLog(writer, {"host": "a"}, limit, clock), read_end


def read_lines(read_end):
    return [
        json.loads(line)
        for line in os.read(read_end, 1 << 20).split(b"\n")
        if line
    ]


def test_event_is_one_json_line_with_its_context():
    log, read_end = make_log()
    log.event("adopted", generation=7, address=flow_factories.BOOKINGS)
    log.flush()
    (line,) = read_lines(read_end)
    assert line["event"] == "adopted" and line["host"] == "a"
    assert line["generation"] == 7 and line["time"].endswith("Z")


def test_frequent_event_is_rate_limited_and_reported():
    log, read_end = make_log(limit=3)
    for _ in range(10):
        log.event("flow")
    log.event("other")
    # The next line belongs to a new second: the log reports the losses.
    log._current_second -= 1
    log.event("other")
    log.flush()
    events = [line["event"] for line in read_lines(read_end)]
    assert events.count("flow") == 3
    assert events.count("other") == 2
    assert "lines left out" in events


def test_unread_pipe_does_not_block_and_the_buffer_is_bounded(monkeypatch):
    monkeypatch.setattr(json_log, "MAX_BUFFERED_BYTES", 10_000)
    log, read_end = make_log(limit=100_000)
    for number in range(5000):
        log.event("flow", number=number)
        log.flush()
    assert log.writer.dropped
    assert len(log.writer._buffer) <= 10_000
    assert read_lines(read_end)


def test_dropped_lines_are_reported_once_in_the_next_second(monkeypatch):
    monkeypatch.setattr(json_log, "MAX_BUFFERED_BYTES", 300)
    now = 1.5
    log, read_end = make_log(limit=1000, clock=lambda: now)
    for number in range(20):
        log.event("flow", number=number)
    log.flush()
    read_lines(read_end)
    dropped = log.writer.dropped
    now = 2.5
    log.event("flow")
    log.flush()
    report, line = read_lines(read_end)
    assert report["event"] == "lines left out"
    assert report["no_room"] == dropped > 0
    assert line["event"] == "flow"
    assert log.writer.dropped == 0


def test_closed_pipe_only_loses_lines():
    log, read_end = make_log()
    os.close(read_end)
    log.event("flow")
    log.flush()
    log.event("flow")
    log.flush()


def test_metrics_page_has_counters_gauges_and_histograms():
    host = flow_factories.make_host([flow_factories.make_server(1)])
    tag = host.receive(flow_factories.make_packet(), 0.0).server.tag
    host.receive(flow_factories.make_packet(tag=tag), 0.004)
    host.receive(flow_factories.make_packet(tag=tag, closes=True), 0.03)
    host.counters["no_route"] += 2
    page = flow_metrics.render(host, {"ready": True})
    assert "vanilladrum_no_route_total 2\n" in page
    assert "vanilladrum_ready 1\n" in page
    assert 'vanilladrum_answer_seconds_bucket{le="0.005"} 1\n' in page
    bucket = 'vanilladrum_flow_seconds_bucket{service="bookings",le="0.05"} 1'
    assert bucket in page
    assert 'vanilladrum_flow_seconds_count{service="bookings"} 1' in page
