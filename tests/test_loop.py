"""The small event loop, its streams and the HTTP endpoint."""

import errno
import socket

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
    """Run a loop until something holds; fail when it does not in time."""
    end = loop.now() + seconds

    def look():
        if condition() or loop.now() > end:
            loop.stop()
        else:
            loop.after(0.005, look)

    look()
    loop.run()
    assert condition()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_fault_in_one_handler_ends_no_other():
    seen = []
    loop = loops.Loop(lambda error: seen.append(str(error)))
    loop.after(0.0, lambda: 1 / 0)
    loop.after(0.01, loop.stop)
    loop.run()
    assert seen == ["division by zero"]


def test_fault_ends_the_loop_when_nobody_is_told():
    loop = loops.Loop()
    loop.after(0.0, lambda: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        loop.run()


def test_datagrams_wait_until_they_are_read():
    loop = loops.Loop()
    bound = udp.bind(ANY)
    received = []
    endpoint = datagrams.Datagrams(
        loop, bound, lambda data, _: received.append(data)
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"early", bound.getsockname())
    endpoint.open()
    run_until(loop, lambda: received == [b"early"])
    endpoint.close()


def test_taken_port_is_refused_with_a_remedy():
    bound = udp.bind(ANY)
    taken = addresses.Address(*bound.getsockname())
    with pytest.raises(errors.SettingsError, match="end what holds it"):
        udp.bind(taken)
    bound.close()


def ask(loop, port, data):
    received = bytearray()
    ended = []
    stream = streams.Stream.connect(
        loop,
        addresses.Address("127.0.0.1", port),
        received.extend,
        ended.append,
    )
    stream.send(data)
    return stream, received, ended


@pytest.fixture
def endpoint():
    loop = loops.Loop()
    handlers = {"/yes": lambda request: request.answer(httpd.Answer(200))}
    found = httpd.HttpEndpoint(loop, handlers)
    found.port = free_port()
    found.listen(addresses.Address("127.0.0.1", found.port))
    yield found
    found.close()


def test_endpoint_answers_each_of_several_requests(endpoint):
    text = b"GET /yes?a=1 HTTP/1.1\r\n\r\nGET /no HTTP/1.1\r\n\r\n"
    _, received, _ = ask(endpoint.loop, endpoint.port, text)
    run_until(endpoint.loop, lambda: received.count(b"HTTP/1.1") == 2)
    assert received.startswith(b"HTTP/1.1 200")
    assert b"HTTP/1.1 404" in received


def test_endpoint_ends_what_is_no_http(endpoint):
    _, _, ended = ask(endpoint.loop, endpoint.port, b"\x00\x01\r\n\r\n")
    run_until(endpoint.loop, lambda: bool(ended))


def test_many_connections_push_out_the_oldest(endpoint, monkeypatch):
    monkeypatch.setattr(httpd, "MAX_CONNECTIONS", 2)
    ends = [ask(endpoint.loop, endpoint.port, b"")[2] for _ in range(3)]
    run_until(endpoint.loop, lambda: any(ends))
    assert sum(map(len, ends)) == 1


def test_refused_connection_is_told_once():
    loop = loops.Loop()
    _, _, ended = ask(loop, free_port(), b"hello")
    run_until(loop, lambda: bool(ended))
    assert ended == [errno.errorcode[errno.ECONNREFUSED]]


def test_peer_that_does_not_read_is_given_up(monkeypatch):
    monkeypatch.setattr(streams, "MAX_UNSENT_BYTES", 1000)
    loop = loops.Loop()
    kept = []
    listener = streams.Listener.bind(
        loop, addresses.Address("127.0.0.1", free_port()), kept.append
    )
    port = listener.sock.getsockname()[1]
    stream, _, ended = ask(loop, port, b"")
    run_until(loop, lambda: stream.connected)
    for _ in range(200):
        stream.send(bytes(100_000))
    assert ended == ["peer does not read"]
    listener.close()
