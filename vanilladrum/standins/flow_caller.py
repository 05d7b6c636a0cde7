"""Simulated callers of flows, and the routers in front of entry hosts."""

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

# Time to wait for a reply after each transmission.
SYN_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8)
REQUEST_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8, 1.6)
# Timeout of a readiness probe, and pause between two rounds of probes.
PROBE_SECONDS = 0.5
# Failed probes in a row after which a host gets no more packets.
FAILED_PROBES_UNTIL_NOT_READY = 2
FIRST_PORT = 1024
PORT_COUNT = 60_000


class FlowOutcome(enum.Enum):
    """Outcome of a flow as its caller sees it.

    ``WRONG``: another response than the expected one. ``REFUSED``: reset in
    response to the SYN. ``BROKEN``: opened, but no response to the request.
    ``UNANSWERED``: not opened, or the deadline passed.
    """

    SERVED = "served"
    WRONG = "wrong"
    REFUSED = "refused"
    RESET_WHILE_OPEN = "reset while open"
    UNANSWERED = "unanswered"
    BROKEN = "broken"


@attrs.define(eq=False)
class Exchange:
    """A request on an open flow; times are seconds of the event loop.

    :param tag: tag of the server that accepted the flow.
    :param sent: when the request was first sent.
    :param ended: when it was answered, reset or given up.
    :param served: whether the server has answered.
    :param was_reset: whether the caller received a reset.
    """

    request_id: str
    tag: int
    sent: float
    ended: float = 0.0
    served: bool = False
    was_reset: bool = False


@attrs.define(eq=False)
class Router:
    """Sends packets to the entry hosts that are ready.

    :param hosts: flow endpoint and readiness endpoint of each entry host.
    :param random_host: whether each packet goes to a random host; otherwise
        all packets of a flow go to the same host.
    :param loss: share of packets that are dropped.
    :param failed_probes: number of readiness probes that failed in a row,
        by endpoint.
    """

    hosts: list[tuple[addresses.Address, addresses.Address]]
    random_host: bool = False
    loss: float = 0.0
    failed_probes: collections.Counter = attrs.field(
        factory=collections.Counter
    )

    def select_host(self, datagram: bytes) -> addresses.Address:
        """Return the flow endpoint that a packet goes to.

        Falls back to all hosts when none is ready.
        """
        ready_hosts = [
            flows
            for flows, readiness in self.hosts
            if self.failed_probes[readiness] < FAILED_PROBES_UNTIL_NOT_READY
        ]
        ready_hosts = ready_hosts or [flows for flows, _ in self.hosts]
        if self.random_host:
            return random.choice(ready_hosts)
        # Rendezvous hashing by the flow's addresses and ports: a flow keeps
        # its host while that host is ready.
        return max(
            ready_hosts,
            key=lambda host: zlib.crc32(datagram[8:20] + host.pack()),
        )

    async def probe_hosts(self) -> None:
        """Probe the readiness of every host until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PROBE_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(
                        self._probe(session, readiness)
                        for _, readiness in self.hosts
                    )
                )
                await asyncio.sleep(PROBE_SECONDS)

    async def _probe(
        self, session: aiohttp.ClientSession, readiness: addresses.Address
    ) -> None:
        try:
            async with session.get(
                f"http://{readiness}{ready.PATH}"
            ) as response:
                is_ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            is_ready = False
        self.failed_probes[readiness] = (
            0 if is_ready else self.failed_probes[readiness] + 1
        )


@attrs.define(eq=False)
class FlowCaller:
    """Simulated callers behind one address; each request opens a new flow.

    :param address: endpoint that receives the packets of all callers; a
        flow's own port appears only in its packets.
    :param deadline: seconds until a request is given up.
    :param failures: request id, caller and outcome of each failed request.
    :param exchanges: requests on flows that were opened.
    """

    address: addresses.Address
    router: Router
    deadline: float = 3.0
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    failures: list[str] = attrs.field(factory=list)
    exchanges: list[Exchange] = attrs.field(factory=list)
    next_port: int = FIRST_PORT
    queues: dict[tuple, asyncio.Queue] = attrs.field(factory=dict)
    endpoint: sockets.Endpoint = attrs.field(init=False)

    async def start(self) -> None:
        """Open the socket.

        :raises SettingsError: when the address cannot be bound.
        """
        self.endpoint = await sockets.open_endpoint(
            self.address, self._receive
        )

    async def request(
        self,
        target: addresses.Address,
        request_id: str,
        service: str,
        pause: float = 0.0,
    ) -> FlowOutcome:
        """Open a flow, send one request and close the flow.

        :param request_id: id of the request.
        :param service: service name; the response must consist of the id
            and this name.
        :param pause: seconds for which the flow is open before the request;
            they are added to the deadline.
        """
        self.next_port = FIRST_PORT + (self.next_port + 1) % PORT_COUNT
        source = addresses.Address(self.address.host, self.next_port)
        queue: asyncio.Queue = asyncio.Queue()
        self.queues[target, source] = queue
        try:
            async with asyncio.timeout(self.deadline + pause):
                outcome = await self._exchange(
                    source, target, queue, request_id, service, pause
                )
        except TimeoutError:
            outcome = FlowOutcome.UNANSWERED
        del self.queues[target, source]
        self.outcomes[outcome] += 1
        if outcome is not FlowOutcome.SERVED:
            self.failures.append(f"{request_id} {source} {outcome.value}")
        return outcome

    async def open_flow(
        self, target: addresses.Address
    ) -> flow_packets.Segment | FlowOutcome:
        """Open a flow and send nothing on it; it counts in no outcome.

        :returns: the server's answer, or why there was none.
        """
        self.next_port = FIRST_PORT + (self.next_port + 1) % PORT_COUNT
        source = addresses.Address(self.address.host, self.next_port)
        queue: asyncio.Queue = asyncio.Queue()
        self.queues[target, source] = queue
        try:
            return await self._open(source, target, queue)
        finally:
            del self.queues[target, source]

    async def _exchange(
        self,
        source: addresses.Address,
        target: addresses.Address,
        queue: asyncio.Queue,
        request_id: str,
        service: str,
        pause: float,
    ) -> FlowOutcome:
        accepted = await self._open(source, target, queue)
        if isinstance(accepted, FlowOutcome):
            return accepted
        await asyncio.sleep(pause)
        head = f"GET / HTTP/1.1\r\nX-Request-Id: {request_id}\r\n\r\n"
        segment = flow_packets.Segment(
            source,
            target,
            packets.ACK,
            accepted.ack,
            accepted.sequence + 1,
            accepted.echo,
            head.encode(),
        )
        clock = asyncio.get_running_loop()
        exchange = Exchange(request_id, accepted.echo, clock.time())
        self.exchanges.append(exchange)
        try:
            reply = await self._await_answer(segment, queue)
        finally:
            exchange.ended = clock.time()
        exchange.served = reply is not None and bool(reply.data)
        exchange.was_reset = reply is not None and not reply.data
        if exchange.was_reset:
            return FlowOutcome.RESET_WHILE_OPEN
        if reply is not None:
            closing = packets.ACK | packets.FIN
            self._send(attrs.evolve(segment, flags=closing, data=b""))
            self._send(attrs.evolve(segment, flags=packets.ACK, data=b""))
            matches = reply.data.decode() == f"{request_id} {service}"
            return FlowOutcome.SERVED if matches else FlowOutcome.WRONG
        return FlowOutcome.BROKEN

    async def _await_answer(
        self, segment: flow_packets.Segment, queue: asyncio.Queue
    ) -> flow_packets.Segment | None:
        """Send a request until it is answered.

        :returns: the answer, a reset, or None if there is neither.
        """
        for timeout in REQUEST_TIMEOUTS_SECONDS:
            self._send(segment)
            reply = await self._next(queue, timeout)
            while reply is not None and not reply.data:
                if reply.flags & packets.RESET:
                    return reply
                reply = await self._next(queue, timeout)
            if reply is not None:
                return reply
        return None

    async def _open(
        self,
        source: addresses.Address,
        target: addresses.Address,
        queue: asyncio.Queue,
    ) -> flow_packets.Segment | FlowOutcome:
        sequence = random.getrandbits(31)
        for copies, timeout in enumerate(SYN_TIMEOUTS_SECONDS):
            self._send(
                flow_packets.Segment(
                    source, target, packets.SYN, sequence, copies
                )
            )
            reply = await self._next(queue, timeout)
            if reply is None:
                continue
            if reply.flags & packets.RESET:
                return FlowOutcome.REFUSED
            return reply
        return FlowOutcome.UNANSWERED

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
        self.endpoint.send(datagram, self.router.select_host(datagram))

    def _receive(self, datagram: bytes, _: addresses.Address) -> None:
        segment = flow_packets.decode(datagram)
        queue = self.queues.get((segment.source, segment.target))
        if queue is not None:
            queue.put_nowait(segment)
