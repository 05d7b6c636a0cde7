"""Shared fixtures: a fake clock, hosts joined in memory, and a cluster."""

from collections.abc import AsyncIterator, Callable
import pathlib
import random

import attrs
import pytest

from examples import flow_cluster
from vanilladrum.core import actions
from vanilladrum.core import address as addresses
from vanilladrum.core import entryhost
from vanilladrum.core import fleet as fleets
from vanilladrum.core import membership as memberships
from vanilladrum.core import peer_messages
from vanilladrum.core import request as requests
from vanilladrum.wire import coap

CALLER = addresses.Address("127.0.0.1", 40000)
# Endpoints of the services "bookings" and "patterns" of make_fleet.
SERVICE = addresses.Address("127.0.0.1", 5683)
PATTERNS = addresses.Address("127.0.0.1", 5684)
# CoAP method codes.
GET = 1
POST = 2


@attrs.define
class FakeClock:
    """Clock that advances only when a test advances it."""

    now: float = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now + 1_000_000


def make_server(number: int, slots: int = 2, service: str = "b"):
    """Return a backend server whose name begins with the given prefix.

    :param service: one letter, the prefix; it also selects the port.
    """
    return fleets.Server(
        f"{service}-{number}",
        number,
        "bilbao",
        addresses.Address("127.0.0.1", 9000 + 100 * ord(service) + number),
        slots,
    )


def make_fleet(generation: int = 1, servers: int = 2, **extra) -> fleets.Fleet:
    """Return a configuration with the services bookings and patterns.

    :param servers: number of backend servers of bookings; patterns has one.
    :param extra: further fields of the service bookings.
    """
    bookings = fleets.Service(
        "bookings",
        1,
        SERVICE,
        tuple(make_server(n) for n in range(1, servers + 1)),
        routes=(fleets.Route("/drawings", fleets.Priority.BULK),),
        **extra,
    )
    patterns = fleets.Service(
        "patterns", 2, PATTERNS, (make_server(1, service="p"),)
    )
    return fleets.Fleet(
        generation,
        (f"op-{generation}",),
        ("bilbao",),
        (bookings, patterns),
        (fleets.SealingKey(0, "ab" * 16),),
        0,
    )


@attrs.define(eq=False)
class HostNetwork:
    """Entry host cores whose messages are delivered immediately.

    :param cores: entry hosts by number.
    :param sent_to_callers: responses sent to callers, each with the number
        of the host that sent it.
    :param sent_to_servers: attempts sent to backend servers, likewise.
    :param cancelled: cancellations sent to backend servers, likewise.
    :param paused: numbers of the hosts that receive no messages and run no
        timers.
    :param should_drop: whether to drop a message, given the numbers of its
        source and its target and the message.
    :param message_id: last CoAP message ID that :meth:`make_datagram` used.
    """

    clock: FakeClock
    cores: dict[int, entryhost.EntryHost] = attrs.field(factory=dict)
    sent_to_callers: list = attrs.field(factory=list)
    sent_to_servers: list = attrs.field(factory=list)
    cancelled: list = attrs.field(factory=list)
    paused: set[int] = attrs.field(factory=set)
    should_drop: Callable[[int, int, object], bool] = lambda a, b, m: False
    message_id: int = 0

    def add(self, number: int, fleet: fleets.Fleet | None = None):
        """Return a new core that has joined the existing ones."""
        rng = random.Random(number)
        member = peer_messages.Member(
            number, rng.randbytes(4), self.peer_address(number), "bilbao"
        )
        core = entryhost.EntryHost(
            memberships.Membership(member, rng), self.clock, rng
        )
        core.configure(fleet or make_fleet())
        core.joined = True
        for other in self.cores.values():
            other.merge_view(core.view())
            core.merge_view(other.view())
        self.cores[number] = core
        return core

    def peer_address(self, number: int) -> addresses.Address:
        return addresses.Address("127.0.0.1", 7000 + number)

    def dispatcher_number(self, service: int = 0) -> int:
        """Return the number of the host that dispatches for a service.

        :param service: index of the service in the configuration.
        """
        core = next(iter(self.cores.values()))
        pair = core.dispatcher_pair(core.fleet.services[service])
        return pair.dispatcher.number

    def witness_number(self, service: int = 0) -> int:
        """Return the number of the host that is witness for a service.

        :param service: index of the service in the configuration.
        """
        core = next(iter(self.cores.values()))
        return core.dispatcher_pair(
            core.fleet.services[service]
        ).witness.number

    def perform(self, number: int, requested: list) -> None:
        """Carry out the actions that a host's core returned."""
        for action in requested:
            if isinstance(action, actions.SendToCaller):
                self.sent_to_callers.append((number, action))
            elif isinstance(action, actions.SendToServer):
                self.sent_to_servers.append((number, action))
            elif isinstance(action, actions.CancelAtServer):
                self.cancelled.append((number, action))
            else:
                self.deliver(number, action)

    def deliver(self, source: int, action: actions.SendToPeer) -> None:
        target = action.destination.port - 7000
        if target not in self.cores or target in self.paused:
            return
        if self.should_drop(source, target, action.message):
            return
        core = self.cores[target]
        if isinstance(action.message, peer_messages.Forward):
            event = self.packet_event(action.message)
        else:
            event = actions.PeerMessage(
                self.peer_address(source), action.message
            )
        self.perform(target, core.handle(event))

    def packet_event(
        self, message: peer_messages.Forward
    ) -> actions.CallerPacket:
        """Return the event for the caller's datagram in a message."""
        received = coap.read_request(message.raw)
        path = coap.reply_path(
            received, message.caller, message.service, message.via
        )
        return actions.CallerPacket(
            message.raw,
            received.request,
            path,
            message.hops,
            message.owner_lost,
        )

    def make_datagram(
        self,
        code: int = GET,
        path: str = "/slots",
        token: bytes = b"",
        payload: bytes = b"",
        **extra,
    ) -> bytes:
        """Return a request datagram with a new message ID."""
        self.message_id += 1
        options = [requests.Option(11, path.strip("/").encode())]
        if token:
            options.append(requests.Option(coap.ECHO, token))
        request = requests.Request(
            code,
            code != POST,
            path,
            b"",
            options=tuple(options),
            payload=payload,
            **extra,
        )
        return coap.encode_request(self.message_id, b"t", request, 5.0)

    def send(
        self,
        number: int,
        raw: bytes,
        caller: addresses.Address = CALLER,
        service: addresses.Address = SERVICE,
    ) -> None:
        """Deliver a caller's datagram to an entry host."""
        message = peer_messages.Forward(raw, caller, service, None, 0, False)
        event = self.packet_event(message)
        self.perform(number, self.cores[number].handle(event))

    def connect(self, number: int, **endpoints) -> bytes:
        """Send a request without a token; return the token of the response."""
        self.send(number, self.make_datagram(), **endpoints)
        token = self.last_response().token
        # Later reads of the last response must not return this one.
        self.sent_to_callers.clear()
        return token

    def last_response(self) -> requests.Response:
        """Return the last response that a caller received."""
        return self.sent_to_callers[-1][1].response

    def answer(
        self, index: int = -1, declined: bool = False, code: int = 69
    ) -> None:
        """Answer an attempt in the name of its backend server.

        :param index: position of the attempt in ``sent_to_servers``.
        :param declined: whether the server declined to run the request.
        :param code: CoAP response code; 69 is 2.05 Content.
        """
        number, attempt = self.sent_to_servers[index]
        reply = actions.ServerReply(
            attempt.attempt,
            requests.Response(
                requests.Outcome.ANSWER,
                code=code,
                payload=attempt.request.payload,
            ),
            declined,
        )
        self.perform(number, self.cores[number].handle(reply))

    def run(self, seconds: float, step: float = 0.01) -> None:
        """Advance the clock in steps and run the timers that are due.

        Both parameters are in seconds.
        """
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += step
            for number in list(self.cores):
                if number in self.paused:
                    continue
                core = self.cores[number]
                if core.next_due() <= self.clock.now:
                    self.perform(number, core.tick())


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def hosts(clock) -> HostNetwork:
    """Return three entry hosts that are members of one fleet."""
    connected = HostNetwork(clock)
    for number in (1, 2, 3):
        connected.add(number)
    return connected


@pytest.fixture
async def cluster(
    tmp_path: pathlib.Path,
) -> AsyncIterator[flow_cluster.FlowCluster]:
    """Yield a running cluster of entry hosts for flows, as processes."""
    running = flow_cluster.FlowCluster(tmp_path)
    try:
        await running.start()
        yield running
    finally:
        await running.stop()
