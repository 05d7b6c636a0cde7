"""Tests of the event loop, its streams and the HTTP endpoint."""

import errno
import socket
import time

import pytest

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.wire import datagrams
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops
from vanilladrum.wire import stream as streams
from vanilladrum.wire import udp

ANY = addresses.Address("127.0.0.1", 0)


def run_until(loop, condition, seconds=3.0):
    """Run a loop until a condition holds.

    :param seconds: time limit.
    :raises AssertionError: if the condition does not hold in time.
    """
    end = loop.now() + seconds

    def poll():
        if condition() or loop.now() > end:
            loop.stop()
        else:
            loop.after(0.005, poll)

    poll()
    loop.run()
    assert condition()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_error_in_one_callback_does_not_stop_the_loop():
    messages = []
    loop = loops.Loop(lambda error: messages.append(str(error)))
    loop.after(0.0, lambda: 1 / 0)
    loop.after(0.01, loop.stop)
    loop.run()
    assert messages == ["division by zero"]


def test_error_ends_a_loop_without_an_error_handler():
    loop = loops.Loop()
    loop.after(0.0, lambda: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        loop.run()


# A host that took long to read a large configuration ran the timeouts of
# answers that had arrived meanwhile before it read them.
def test_answer_that_arrived_is_handled_before_its_timeout():
    loop = loops.Loop()
    order = []
    busy, trigger = socket.socketpair()
    waiting, answering = socket.socketpair()

    def handle_for_long(_):
        busy.recv(1)
        answering.send(b"a")
        time.sleep(0.1)

    def handle_answer(_):
        waiting.recv(1)
        order.append("answer")

    loop.watch(busy.fileno(), loops.READ, handle_for_long)
    loop.watch(waiting.fileno(), loops.READ, handle_answer)
    loop.after(0.05, lambda: order.append("timeout"))
    trigger.send(b"a")
    run_until(loop, lambda: len(order) == 2)
    assert order == ["answer", "timeout"]
    for each in (busy, trigger, waiting, answering):
        each.close()


def test_datagrams_are_buffered_until_the_endpoint_opens():
    loop = loops.Loop()
    sock = udp.bind(ANY)
    received = []
    endpoint = datagrams.DatagramSocket(
        loop, sock, lambda data, _: received.append(data)
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"early", sock.getsockname())
    endpoint.open()
    run_until(loop, lambda: received == [b"early"])
    endpoint.close()


def test_port_in_use_is_reported_with_a_remedy():
    sock = udp.bind(ANY)
    port_in_use = addresses.Address(*sock.getsockname())
    with pytest.raises(
        errors.SettingsError, match="stop the process that uses it"
    ):
        udp.bind(port_in_use)
    sock.close()


def connect_and_send(loop, port, data):
    """Connect to a local port and send data.

    :returns: the stream, the bytes received and the reasons given when it
        closes; the last two are filled while the loop runs.
    """
    received = bytearray()
    close_reasons = []
    stream = streams.Stream.connect(
        loop,
        addresses.Address("127.0.0.1", port),
        received.extend,
        close_reasons.append,
    )
    stream.send(data)
    return stream, received, close_reasons


@pytest.fixture
def endpoint():
    loop = loops.Loop()
    handlers = {"/yes": lambda request: request.respond(httpd.Response(200))}
    http_endpoint = httpd.HttpEndpoint(loop, handlers)
    http_endpoint.port = free_port()
    http_endpoint.listen(addresses.Address("127.0.0.1", http_endpoint.port))
    yield http_endpoint
    http_endpoint.close()


def test_endpoint_answers_pipelined_requests(endpoint):
    requests = b"GET /yes?a=1 HTTP/1.1\r\n\r\nGET /no HTTP/1.1\r\n\r\n"
    _, received, _ = connect_and_send(endpoint.loop, endpoint.port, requests)
    run_until(endpoint.loop, lambda: received.count(b"HTTP/1.1") == 2)
    assert received.startswith(b"HTTP/1.1 200")
    assert b"HTTP/1.1 404" in received


def test_endpoint_closes_a_connection_without_valid_http(endpoint):
    _, _, close_reasons = connect_and_send(
        endpoint.loop, endpoint.port, b"\x00\x01\r\n\r\n"
    )
    run_until(endpoint.loop, lambda: bool(close_reasons))


def test_connection_limit_closes_the_oldest_connection(endpoint, monkeypatch):
    """One connection is closed when a third exceeds the limit of two."""
    monkeypatch.setattr(httpd, "MAX_CONNECTIONS", 2)
    all_close_reasons = [
        connect_and_send(endpoint.loop, endpoint.port, b"")[2]
        for _ in range(3)
    ]
    run_until(endpoint.loop, lambda: any(all_close_reasons))
    assert sum(map(len, all_close_reasons)) == 1


def test_refused_connection_is_reported_once():
    loop = loops.Loop()
    _, _, close_reasons = connect_and_send(loop, free_port(), b"hello")
    run_until(loop, lambda: bool(close_reasons))
    assert close_reasons == [errno.errorcode[errno.ECONNREFUSED]]


def test_connection_to_a_peer_that_does_not_read_is_closed(monkeypatch):
    monkeypatch.setattr(streams, "MAX_UNSENT_BYTES", 1000)
    loop = loops.Loop()
    accepted = []
    listener = streams.Listener.bind(
        loop, addresses.Address("127.0.0.1", free_port()), accepted.append
    )
    port = listener.sock.getsockname()[1]
    stream, _, close_reasons = connect_and_send(loop, port, b"")
    run_until(loop, lambda: stream.connected)
    for _ in range(200):
        stream.send(bytes(100_000))
    assert close_reasons == ["peer does not read"]
    listener.close()
