"""Stand-in for the callers of flows and the routers before entry hosts."""

import asyncio
import collections
import enum
import random
import zlib

import aiohttp
import attrs

from vanilladrum.core import address as addresses
from vanilladrum.daemons import sockets
from vanilladrum.platform import packet as packets
from vanilladrum.platform import ready
from vanilladrum.standins import flow_packets

COPY_SECONDS = (0.2, 0.4, 0.8)
REPEAT_SECONDS = (0.2, 0.4, 0.8, 1.6)
LOOK_SECONDS = 0.5
MISSES = 2
FIRST_PORT = 1024
PORTS = 60_000


class Outcome(enum.Enum):
    """How one flow ended for its caller."""

    SERVED = "served"
    WRONG = "wrong"
    REFUSED = "refused"
    RESET_WHILE_OPEN = "reset while open"
    UNANSWERED = "unanswered"
    BROKEN = "broken"


@attrs.define(eq=False)
class Router:
    """Hands packets to the entry hosts that are ready.

    :param hosts: flow endpoints and readiness endpoints of entry hosts.
    :param spray: whether each packet goes to any host, not to the flow's.
    :param loss: share of packets that are lost.
    """

    hosts: list[tuple[addresses.Address, addresses.Address]]
    spray: bool = False
    loss: float = 0.0
    misses: collections.Counter = attrs.field(factory=collections.Counter)

    def host(self, datagram: bytes) -> addresses.Address:
        """Return the entry host for a packet."""
        inside = [
            flows
            for flows, readiness in self.hosts
            if self.misses[readiness] < MISSES
        ]
        inside = inside or [flows for flows, _ in self.hosts]
        if self.spray:
            return random.choice(inside)
        # The flow's host as long as it is there.
        return max(
            inside,
            key=lambda host: zlib.crc32(datagram[8:20] + host.pack()),
        )

    async def look(self) -> None:
        """Ask each host whether it is ready, for ever."""
        timeout = aiohttp.ClientTimeout(total=LOOK_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(self._ask(session, at) for _, at in self.hosts)
                )
                await asyncio.sleep(LOOK_SECONDS)

    async def _ask(
        self, session: aiohttp.ClientSession, at: addresses.Address
    ) -> None:
        try:
            async with session.get(f"http://{at}{ready.PATH}") as response:
                good = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            good = False
        self.misses[at] = 0 if good else self.misses[at] + 1


@attrs.define(eq=False)
class FlowCaller:
    """One machine with callers; each request has a flow of its own.

    :param address: where it receives packets.
    """

    address: addresses.Address
    router: Router
    deadline: float = 3.0
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    failures: list[str] = attrs.field(factory=list)
    next_port: int = FIRST_PORT
    waiting: dict[tuple, asyncio.Queue] = attrs.field(factory=dict)
    endpoint: sockets.Endpoint = attrs.field(init=False)

    async def start(self) -> None:
        """Listen."""
        self.endpoint = await sockets.open_endpoint(
            self.address, self._received
        )

    async def ask(
        self, target: addresses.Address, request: str, service: str
    ) -> Outcome:
        """Open a flow, send one request, close the flow."""
        self.next_port = FIRST_PORT + (self.next_port + 1) % PORTS
        me = addresses.Address(self.address.host, self.next_port)
        queue: asyncio.Queue = asyncio.Queue()
        self.waiting[target, me] = queue
        try:
            async with asyncio.timeout(self.deadline):
                outcome = await self._flow(me, target, queue, request, service)
        except TimeoutError:
            outcome = Outcome.UNANSWERED
        del self.waiting[target, me]
        self.outcomes[outcome] += 1
        if outcome is not Outcome.SERVED:
            self.failures.append(f"{request} {me} {outcome.value}")
        return outcome

    async def _flow(
        self,
        me: addresses.Address,
        target: addresses.Address,
        queue: asyncio.Queue,
        request: str,
        service: str,
    ) -> Outcome:
        opened = await self._open(me, target, queue)
        if isinstance(opened, Outcome):
            return opened
        head = f"GET / HTTP/1.1\r\nX-Request-Id: {request}\r\n\r\n"
        segment = flow_packets.Segment(
            me,
            target,
            packets.ACK,
            opened.ack,
            opened.sequence + 1,
            opened.echo,
            head.encode(),
        )
        for pause in REPEAT_SECONDS:
            self._send(segment)
            found = await self._next(queue, pause)
            while found is not None and not found.data:
                if found.flags & packets.RESET:
                    return Outcome.RESET_WHILE_OPEN
                found = await self._next(queue, pause)
            if found is None:
                continue
            closing = packets.ACK | packets.FIN
            self._send(attrs.evolve(segment, flags=closing, data=b""))
            self._send(attrs.evolve(segment, flags=packets.ACK, data=b""))
            right = found.data.decode() == f"{request} {service}"
            return Outcome.SERVED if right else Outcome.WRONG
        return Outcome.BROKEN

    async def _open(
        self,
        me: addresses.Address,
        target: addresses.Address,
        queue: asyncio.Queue,
    ) -> flow_packets.Segment | Outcome:
        sequence = random.getrandbits(31)
        for copies, pause in enumerate(COPY_SECONDS):
            self._send(
                flow_packets.Segment(me, target, packets.SYN, sequence, copies)
            )
            found = await self._next(queue, pause)
            if found is None:
                continue
            if found.flags & packets.RESET:
                return Outcome.REFUSED
            return found
        return Outcome.UNANSWERED

    async def _next(
        self, queue: asyncio.Queue, seconds: float
    ) -> flow_packets.Segment | None:
        try:
            async with asyncio.timeout(seconds):
                return await queue.get()
        except TimeoutError:
            return None

    def _send(self, segment: flow_packets.Segment) -> None:
        if random.random() < self.router.loss:
            return
        datagram = segment.encode()
        self.endpoint.send(datagram, self.router.host(datagram))

    def _received(self, datagram: bytes, _: addresses.Address) -> None:
        segment = flow_packets.decode(datagram)
        queue = self.waiting.get((segment.source, segment.target))
        if queue is not None:
            queue.put_nowait(segment)
