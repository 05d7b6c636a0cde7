"""Requests a second through one entry host, against a bare relay.

Both run in one process on one core, with the same sockets and the same
four datagrams per request. Prints medians of the rounds and their ratio.
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
from vanilladrum.core import peers
from vanilladrum.core import request as requests
from vanilladrum.daemons import entry_host as daemon
from vanilladrum.daemons import logs
from vanilladrum.daemons import settings as settings_module
from vanilladrum.daemons import sockets

HOST = "127.0.0.1"
ROUNDS = 5
REQUESTS = 8000
WINDOW = 32
HELD = 300_000
ANY = addresses.Address(HOST, 0)
SECRET = "5a" * 16


class Echo:
    """A backend server that answers at once."""

    async def open(self) -> None:
        self.endpoint = await sockets.open_endpoint(ANY, self.receive)

    def receive(self, data: bytes, source: addresses.Address) -> None:
        # The datagram's head is enough: token and message ID go back.
        size = 4 + (data[0] & 0x0F)
        head = bytes([0x60 | data[0] & 0x0F, 69]) + data[2:size]
        self.endpoint.send(head + b"\xff" + b"answer", source)


class Relay:
    """The bare relay: a datagram in, a datagram out, both ways."""

    async def open(self, server: addresses.Address) -> None:
        self.server = server
        self.caller = ANY
        self.front = await sockets.open_endpoint(ANY, self.from_caller)
        self.back = await sockets.open_endpoint(ANY, self.from_server)

    def from_caller(self, data: bytes, source: addresses.Address) -> None:
        self.caller = source
        self.back.send(data, self.server)

    def from_server(self, data: bytes, source: addresses.Address) -> None:
        self.front.send(data, self.caller)


class Driver:
    """Keeps a window of prepared requests in flight."""

    async def open(self) -> None:
        self.endpoint = await sockets.open_endpoint(ANY, self.receive)

    def receive(self, data: bytes, source: addresses.Address) -> None:
        sent = self.sent_at.pop(data[2:4], None)
        if sent is None:
            return
        self.latencies.append(time.perf_counter() - sent)
        if self.left:
            self.send()
        elif not self.sent_at:
            self.done.set()

    def send(self) -> None:
        data = self.left.pop()
        self.sent_at[data[2:4]] = time.perf_counter()
        self.endpoint.send(data, self.to)

    async def run(self, to: addresses.Address, datagrams: list) -> float:
        self.to = to
        self.left = datagrams
        self.sent_at: dict[bytes, float] = {}
        self.latencies: list[float] = []
        self.done = asyncio.Event()
        started = time.perf_counter()
        count = len(datagrams)
        for _ in range(WINDOW):
            self.send()
        await asyncio.wait_for(self.done.wait(), 60)
        return count / (time.perf_counter() - started)


def prepared(token: bytes, first: int) -> list[bytes]:
    """Return encoded requests with a connection token."""
    found = []
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
        found.append(message.encode())
    return found


def fleet_of(
    service: addresses.Address, server: addresses.Address
) -> fleets.Fleet:
    """Return a configuration with one large server."""
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
    """Start an entry host that binds the service address itself."""
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
    await host.configuration.adopt(fleet_of(service, server))
    return host


async def measure(profile: bool) -> None:
    """Alternate rounds through relay and entry host."""
    echo, relay, driver = Echo(), Relay(), Driver()
    await echo.open()
    await relay.open(echo.endpoint.local)
    await driver.open()
    probe = await sockets.open_endpoint(ANY, lambda *_: None)
    service = addresses.Address(HOST, probe.local.port)
    probe.close()
    await asyncio.sleep(0.01)
    await start_host(service, echo.endpoint.local)
    token = await first_token(driver, service)
    relayed, served, new = [], [], []
    latencies: dict[str, list[float]] = {"relay": [], "entry host": []}
    for number in range(ROUNDS):
        first = number * REQUESTS
        plain = prepared(b"", first)
        relayed.append(await driver.run(relay.front.local, plain))
        latencies["relay"] += driver.latencies
        served.append(await driver.run(service, prepared(token, first)))
        latencies["entry host"] += driver.latencies
        new.append(await driver.run(service, prepared(b"", first)))
    print(f"relay      {statistics.median(relayed):9.0f} requests/s")
    print(f"entry host {statistics.median(served):9.0f} requests/s")
    print(f"new conns  {statistics.median(new):9.0f} a second")
    ratios = [one / two for one, two in zip(served, relayed, strict=True)]
    print(f"ratio      {statistics.median(ratios):9.3f} (aim 0.4)")
    for name, seconds in latencies.items():
        seconds.sort()
        half, high = seconds[len(seconds) // 2], seconds[-len(seconds) // 100]
        print(
            f"latency {name}: p50 {half * 1e6:.0f} us, "
            f"p99 {high * 1e6:.0f} us at a window of {WINDOW}"
        )
    if profile:
        profiler = cProfile.Profile()
        profiler.enable()
        await driver.run(service, prepared(token, 50_000))
        profiler.disable()
        stats = pstats.Stats(profiler)
        stats.sort_stats("tottime").print_stats(25)


async def first_token(driver: Driver, service: addresses.Address) -> bytes:
    """Return a connection token for the driver's own address."""
    found: asyncio.Future = asyncio.get_running_loop().create_future()

    def receive(data: bytes, source: addresses.Address) -> None:
        found.set_result(aiocoap.Message.decode(data).opt.echo)

    ordinary = driver.endpoint.receive
    driver.endpoint.receive = receive
    driver.endpoint.send(prepared(b"", 0)[0], service)
    token = await asyncio.wait_for(found, 5)
    driver.endpoint.receive = ordinary
    return token


class FixedClock:
    """A clock that stands."""

    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


def measure_held() -> None:
    """Open many connections on a bare core; print its growth in bytes."""
    rng = random.Random(1)
    me = peers.Member(1, b"bnch", ANY, "bench")
    core = entryhost.EntryHost(
        memberships.Membership(me, rng), FixedClock(), rng
    )
    service = addresses.Address(HOST, 5683)
    core.configure(fleet_of(service, addresses.Address(HOST, 5684)))
    request = requests.Request(1, True, "/slots", b"\0\1t")
    opened = set()
    tracemalloc.start()
    before = 0
    for number in range(HELD + 1000):
        if number == 1000:
            opened.clear()
            before = tracemalloc.get_traced_memory()[0]
        caller = addresses.Address(f"10.0.{number >> 16}.1", number & 0xFFFF)
        path = requests.ReplyPath(caller, service, None, 1, True)
        packet = actions.CallerPacket(b"", request, path)
        for action in core.handle(packet):
            opened.add(hash(action.response.token))
    held = len(opened)
    opened.clear()
    addresses._pack.cache_clear()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(
        f"{held} connections held, {grown} bytes more on the entry host, "
        f"{grown / HELD:.3f} a connection"
    )


if __name__ == "__main__":
    logs.configure("error")
    command_line.tune_collector()
    uvloop.run(measure("--profile" in sys.argv))
    measure_held()
