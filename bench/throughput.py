"""Request rate of one entry host, compared with a plain UDP relay.

Both run in one process on one core, with the same sockets and the same four
datagrams per request. Prints the medians over the rounds, their ratio, and
the memory for held connections.
"""

import asyncio
import cProfile
import pstats
import random
import statistics
import sys
import time
import tracemalloc

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types
import uvloop

from vanilladrum import __main__ as command_line
from vanilladrum.core import actions
from vanilladrum.core import address as addresses
from vanilladrum.core import entryhost
from vanilladrum.core import fleet as fleets
from vanilladrum.core import membership as memberships
from vanilladrum.core import peer_messages
from vanilladrum.core import request as requests
from vanilladrum.daemons import entry_host as daemon
from vanilladrum.daemons import logs
from vanilladrum.daemons import settings as settings_module
from vanilladrum.daemons import sockets

HOST = "127.0.0.1"
ROUNDS = 5
REQUESTS = 8000
# Number of requests in flight.
WINDOW = 32
HELD_CONNECTIONS = 300_000
# Binds a socket to an ephemeral port.
ANY_ADDRESS = addresses.Address(HOST, 0)
SECRET = "5a" * 16


class Echo:
    """A backend server that answers immediately."""

    async def open(self) -> None:
        self.endpoint = await sockets.open_endpoint(ANY_ADDRESS, self.receive)

    def receive(self, data: bytes, source: addresses.Address) -> None:
        """Answer a request."""
        # Parses only the header: the answer repeats message ID and token.
        size = 4 + (data[0] & 0x0F)
        header = bytes([0x60 | data[0] & 0x0F, 69]) + data[2:size]
        self.endpoint.send(header + b"\xff" + b"answer", source)


class Relay:
    """A relay that forwards each datagram unchanged, in both directions."""

    async def open(self, server: addresses.Address) -> None:
        """Bind one socket for the caller and one for the server."""
        self.server = server
        self.caller = ANY_ADDRESS
        self.front = await sockets.open_endpoint(ANY_ADDRESS, self.from_caller)
        self.back = await sockets.open_endpoint(ANY_ADDRESS, self.from_server)

    def from_caller(self, data: bytes, source: addresses.Address) -> None:
        self.caller = source
        self.back.send(data, self.server)

    def from_server(self, data: bytes, source: addresses.Address) -> None:
        self.front.send(data, self.caller)


class Driver:
    """Load generator that keeps ``WINDOW`` requests in flight.

    It matches answers to requests by their message ID.
    """

    async def open(self) -> None:
        self.endpoint = await sockets.open_endpoint(ANY_ADDRESS, self.receive)

    def receive(self, data: bytes, source: addresses.Address) -> None:
        """Record the latency of an answer and send the next request."""
        sent_at = self.sent_at.pop(data[2:4], None)
        if sent_at is None:
            return
        self.latencies.append(time.perf_counter() - sent_at)
        if self.remaining:
            self.send()
        elif not self.sent_at:
            self.done.set()

    def send(self) -> None:
        """Send the next datagram to the current target."""
        data = self.remaining.pop()
        self.sent_at[data[2:4]] = time.perf_counter()
        self.endpoint.send(data, self.target)

    async def run(self, target: addresses.Address, datagrams: list) -> float:
        """Send all datagrams and return the number of answers per second."""
        self.target = target
        self.remaining = datagrams
        self.sent_at: dict[bytes, float] = {}
        self.latencies: list[float] = []
        self.done = asyncio.Event()
        started = time.perf_counter()
        count = len(datagrams)
        for _ in range(WINDOW):
            self.send()
        await asyncio.wait_for(self.done.wait(), 60)
        return count / (time.perf_counter() - started)


def encode_requests(token: bytes, first: int) -> list[bytes]:
    """Return ``REQUESTS`` encoded requests.

    :param token: connection token, or empty for new connections.
    :param first: message ID of the first request, modulo 65536.
    """
    datagrams = []
    for number in range(REQUESTS):
        message = aiocoap.Message(
            code=codes.GET,
            uri_path=["slots", str(number % 100)],
            _mtype=types.CON,
            _mid=(first + number) & 0xFFFF,
            _token=number.to_bytes(4, "big"),
        )
        if token:
            message.opt.echo = token
        datagrams.append(message.encode())
    return datagrams


def make_fleet(
    service: addresses.Address, server: addresses.Address
) -> fleets.Fleet:
    """Return a configuration with one service and one large server."""
    backend = fleets.Server("s-1", 1, "bench", server, slots=1024)
    return fleets.Fleet(
        1,
        ("bench",),
        ("bench",),
        (fleets.Service("bench", 1, service, (backend,)),),
        (fleets.SealingKey(0, SECRET),),
        0,
    )


async def start_host(
    service: addresses.Address, server: addresses.Address
) -> daemon.EntryHostService:
    """Start an entry host that listens on the service address directly."""
    settings = settings_module.EntryHostSettings(
        settings_module.Host("bench", 1, "bench"),
        settings_module.Listen(
            addresses.Address(HOST, service.port + 1), direct=True
        ),
        settings_module.Platform(f"http://{HOST}:9"),
        settings_module.Security(SECRET),
    )
    host = daemon.EntryHostService(settings=settings)
    await host.start()
    await host.configuration.adopt(make_fleet(service, server))
    return host


async def measure(profile: bool) -> None:
    """Alternate rounds through the relay and the entry host; print the rates.

    :param profile: whether to run and print one more round with a profiler.
    """
    echo, relay, driver = Echo(), Relay(), Driver()
    await echo.open()
    await relay.open(echo.endpoint.local_address)
    await driver.open()
    probe = await sockets.open_endpoint(ANY_ADDRESS, lambda *_: None)
    service = addresses.Address(HOST, probe.local_address.port)
    probe.close()
    await asyncio.sleep(0.01)
    await start_host(service, echo.endpoint.local_address)
    token = await get_token(driver, service)
    relay_rates, host_rates, connection_rates = [], [], []
    latencies: dict[str, list[float]] = {"relay": [], "entry host": []}
    for number in range(ROUNDS):
        first = number * REQUESTS
        datagrams = encode_requests(b"", first)
        relay_rates.append(
            await driver.run(relay.front.local_address, datagrams)
        )
        latencies["relay"] += driver.latencies
        host_rates.append(
            await driver.run(service, encode_requests(token, first))
        )
        latencies["entry host"] += driver.latencies
        connection_rates.append(
            await driver.run(service, encode_requests(b"", first))
        )
    print(f"relay      {statistics.median(relay_rates):9.0f} requests/s")
    print(f"entry host {statistics.median(host_rates):9.0f} requests/s")
    print(f"new conns  {statistics.median(connection_rates):9.0f} a second")
    ratios = [
        host / relayed
        for host, relayed in zip(host_rates, relay_rates, strict=True)
    ]
    print(f"ratio      {statistics.median(ratios):9.3f} (target 0.4)")
    for name, seconds in latencies.items():
        seconds.sort()
        p50, p99 = seconds[len(seconds) // 2], seconds[-len(seconds) // 100]
        print(
            f"latency {name}: p50 {p50 * 1e6:.0f} us, "
            f"p99 {p99 * 1e6:.0f} us with {WINDOW} requests in flight"
        )
    if profile:
        profiler = cProfile.Profile()
        profiler.enable()
        await driver.run(service, encode_requests(token, 50_000))
        profiler.disable()
        stats = pstats.Stats(profiler)
        stats.sort_stats("tottime").print_stats(25)


async def get_token(driver: Driver, service: addresses.Address) -> bytes:
    """Return a connection token for the driver's address."""
    received: asyncio.Future = asyncio.get_running_loop().create_future()

    def receive(data: bytes, source: addresses.Address) -> None:
        received.set_result(aiocoap.Message.decode(data).opt.echo)

    original_receive = driver.endpoint.receive
    driver.endpoint.receive = receive
    driver.endpoint.send(encode_requests(b"", 0)[0], service)
    token = await asyncio.wait_for(received, 5)
    driver.endpoint.receive = original_receive
    return token


class SystemClock:
    """Clock of the operating system."""

    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


def measure_held_connections() -> None:
    """Open many connections on a core and print its memory growth."""
    rng = random.Random(1)
    member = peer_messages.Member(1, b"bnch", ANY_ADDRESS, "bench")
    core = entryhost.EntryHost(
        memberships.Membership(member, rng), SystemClock(), rng
    )
    service = addresses.Address(HOST, 5683)
    core.configure(make_fleet(service, addresses.Address(HOST, 5684)))
    request = requests.Request(1, True, "/slots", b"\0\1t")
    token_hashes = set()
    tracemalloc.start()
    before = 0
    for number in range(HELD_CONNECTIONS + 1000):
        # The connections before this one are a warm-up and not measured.
        if number == 1000:
            token_hashes.clear()
            before = tracemalloc.get_traced_memory()[0]
        caller = addresses.Address(f"10.0.{number >> 16}.1", number & 0xFFFF)
        path = requests.ReplyPath(caller, service, None, 1, True)
        packet = actions.CallerPacket(b"", request, path)
        for action in core.handle(packet):
            token_hashes.add(hash(action.response.token))
    held = len(token_hashes)
    token_hashes.clear()
    addresses._pack.cache_clear()
    growth = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(
        f"{held} connections held, {growth} bytes more on the entry host, "
        f"{growth / HELD_CONNECTIONS:.3f} per connection"
    )


if __name__ == "__main__":
    logs.configure("error")
    command_line.tune_collector()
    uvloop.run(measure("--profile" in sys.argv))
    measure_held_connections()
