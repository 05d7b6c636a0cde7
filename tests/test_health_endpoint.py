"""Health endpoint of a simulated server that stops responding."""

import asyncio
import socket

import pytest

from tests import test_loop
from vanilladrum.core import address as addresses
from vanilladrum.standins import flow_server
from vanilladrum.standins import health_endpoint

CONNECT_SECONDS = 0.3


class ContestedSocket(socket.socket):
    """A listening socket that another client connects to at once."""

    def listen(self, backlog):
        """Listen, and accept the connection of a client."""
        super().listen(backlog)
        ContestedSocket.client = socket.create_connection(self.getsockname())


@pytest.fixture
async def endpoint():
    """Yield a health endpoint that responds."""
    address = addresses.Address("127.0.0.1", test_loop.free_port())
    running = health_endpoint.HealthEndpoint(address, "i-1")
    await running.start()
    yield running
    running.close()


@pytest.fixture
def connect_limit():
    """Limit how long a blocking connect may take."""
    socket.setdefaulttimeout(CONNECT_SECONDS)
    yield
    socket.setdefaulttimeout(None)


def connect(endpoint):
    """Connect to an endpoint and close the connection."""
    address = (endpoint.address.host, endpoint.address.port)
    socket.create_connection(address).close()


async def test_connections_to_a_stopped_endpoint_time_out(
    endpoint, connect_limit
):
    connect(endpoint)
    endpoint.stop_responding()
    for _ in range(2):
        with pytest.raises(TimeoutError):
            connect(endpoint)
    await endpoint.start()
    connect(endpoint)


# A health check that arrived first blocked the simulated cluster until the
# kernel gave up the connection.
async def test_endpoint_stops_although_a_client_connects_first(
    endpoint, connect_limit, monkeypatch
):
    with monkeypatch.context() as patched:
        patched.setattr(socket, "socket", ContestedSocket)
        endpoint.stop_responding()
    with pytest.raises(TimeoutError):
        connect(endpoint)
    ContestedSocket.client.close()
    with pytest.raises(TimeoutError):
        connect(endpoint)


# Faults that overlap on one server left its health endpoint without a socket.
async def test_silences_that_follow_each_other_at_once(
    endpoint, connect_limit
):
    server = flow_server.FlowServer(
        "i-00000001", "bookings", "dc-1", endpoint.address, 0
    )
    server.health = endpoint
    await server.set_silent(True)
    await asyncio.gather(server.set_silent(False), server.set_silent(True))
    with pytest.raises(TimeoutError):
        connect(endpoint)
    await server.set_silent(False)
    connect(endpoint)
