"""Clients of one zone, and the routers in front of the entry hosts."""

import asyncio
import dataclasses
import random
import zlib

from standins import record
from standins import wire

PROBE_SECONDS = 0.5
MISSES_UNTIL_OUT = 2
SYN_WAITS = (0.2, 0.4, 0.8)
DATA_WAITS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)
RETRIES = 2


@dataclasses.dataclass
class Host:
    """An entry host as the routers know it."""

    name: str
    zone: str
    packets: wire.Endpoint
    readiness: wire.Endpoint
    misses: int = MISSES_UNTIL_OUT


class Router:
    """Probes the entry hosts and chooses one for each packet (`steady`)."""

    def __init__(self, hosts: list[Host]) -> None:
        self.hosts = hosts

    async def probe(self) -> None:
        while True:
            await asyncio.gather(*(self._probe(each) for each in self.hosts))
            await asyncio.sleep(PROBE_SECONDS)

    async def _probe(self, host: Host) -> None:
        try:
            ready = await asyncio.wait_for(
                _get_status(host.readiness, "/vanilladrum/ready"),
                PROBE_SECONDS,
            )
        except (OSError, EOFError, ValueError, TimeoutError):
            ready = 0
        host.misses = 0 if ready == 200 else host.misses + 1

    def choose(self, zone: str, packet: wire.Packet) -> Host:
        """Return the host that a client's packet is forwarded to."""
        local = [each for each in self.hosts if each.zone == zone]
        in_rotation = [e for e in local if e.misses < MISSES_UNTIL_OUT]
        if not in_rotation:
            in_rotation = [
                e for e in self.hosts if e.misses < MISSES_UNTIL_OUT
            ]
        elif len(in_rotation) * 2 < len(local):
            in_rotation = local
        key = repr(packet.key).encode()
        return max(
            in_rotation or local,
            key=lambda each: zlib.crc32(each.name.encode() + key),
        )


async def _get_status(address: wire.Endpoint, path: str) -> int:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        line = await reader.readline()
        return int(line.split(b" ")[1])
    except IndexError as error:
        raise ValueError("no status line") from error
    finally:
        writer.close()


class Flow:
    """A flow at its client; see :meth:`Clients.open`."""

    def __init__(self, clients: "Clients", target: wire.Endpoint) -> None:
        self.clients = clients
        self.source = clients.new_source()
        self.target = target
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.echo = 0
        self.arrived: asyncio.Queue = asyncio.Queue()
        self.server: wire.Endpoint | None = None
        self.reset_by: str | None = None
        self.syn_sent = 0.0

    @property
    def key(self) -> tuple[wire.Endpoint, wire.Endpoint]:
        return self.source, self.target

    def send(self, flags: int, data: bytes = b"", ack: int | None = None):
        packet = wire.Packet(
            self.source,
            self.target,
            flags,
            self.seq,
            self.ack if ack is None else ack,
            self.echo,
            data,
        )
        self.clients.send(packet)

    async def open(self) -> bool:
        """Open the flow; return whether a server has accepted it."""
        self.syn_sent = self.clients.log.now()
        for copies, wait in enumerate(SYN_WAITS):
            self.send(wire.SYN, ack=copies)
            self.clients.log.event("syn sent", flow=self.key, copies=copies)
            packet, sender = await self._next(wait)
            if packet is None:
                continue
            if packet.flags & wire.RST:
                self.reset_by = _reset_sender(packet, sender)
                return False
            self.server = sender
            self.seq = wire.advance(self.seq, 1)
            self.ack = wire.advance(packet.seq, 1)
            self.echo = packet.echo
            self.send(wire.ACK)
            return True
        return False

    async def request(self, request_id: str) -> str | None:
        """Send a request; return the body of the answer, None without one."""
        data = (
            f"GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\n\r\n"
        ).encode()
        for wait in DATA_WAITS:
            self.send(wire.ACK, data)
            until = self.clients.log.now() + wait
            while (left := until - self.clients.log.now()) > 0:
                packet, sender = await self._next(left)
                if packet is None:
                    break
                if packet.flags & wire.RST:
                    self.reset_by = _reset_sender(packet, sender)
                    return None
                if sender != self.server or packet.flags & wire.SYN:
                    # Another server's answer to a copy of the SYN.
                    continue
                self.echo = packet.echo
                if not packet.data or packet.seq != self.ack:
                    continue
                length = len(packet.data) + bool(packet.flags & wire.FIN)
                self.ack = wire.advance(packet.seq, length)
                self.seq = wire.advance(self.seq, len(data))
                self.send(wire.ACK)
                return packet.data.partition(b"\r\n\r\n")[2].decode()
        return None

    async def close(self) -> None:
        self.send(wire.ACK | wire.FIN)
        await self._next(0.2)
        self.clients.flows.pop(self.key, None)

    async def _next(self, wait: float):
        try:
            return await asyncio.wait_for(self.arrived.get(), wait)
        except TimeoutError:
            return None, None


def _reset_sender(packet: wire.Packet, sender: wire.Endpoint) -> str:
    return "entry host" if packet.is_host_reset else f"{sender[0]}"


class Clients(asyncio.DatagramProtocol):
    """Clients behind one address."""

    def __init__(
        self,
        log: record.Record,
        router: Router,
        zone: str,
        address: wire.Endpoint,
    ) -> None:
        self.log = log
        self.router = router
        self.zone = zone
        self.address = address
        self.flows: dict[tuple, Flow] = {}
        self.last_port = random.randint(2000, 40000)
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def new_source(self) -> wire.Endpoint:
        self.last_port = 2000 + (self.last_port - 1999) % 60000
        return self.address[0], self.last_port

    async def open(self, target: wire.Endpoint) -> Flow | None:
        """Open a flow; return None if no server accepted it."""
        flow = Flow(self, target)
        self.flows[flow.key] = flow
        if await flow.open():
            return flow
        self.flows.pop(flow.key, None)
        return None

    async def fetch(self, target: wire.Endpoint, request_id: str) -> bool:
        """Make a `safe` request, each try on a flow of its own."""
        for attempt in range(1 + RETRIES):
            own_id = f"{request_id}-{attempt}"
            self.log.event("sent", request=own_id, to=target)
            flow = await self.open(target)
            if flow is None:
                self.log.event("not opened", request=own_id)
                continue
            body = await flow.request(own_id)
            await flow.close()
            if body is not None:
                self.log.event("answered", request=own_id, body=body)
                return True
            self.log.event(
                "no answer",
                request=own_id,
                reset_by=flow.reset_by,
                server=flow.server[0] if flow.server else None,
            )
        return False

    def send(self, packet: wire.Packet) -> None:
        host = self.router.choose(self.zone, packet)
        if self.transport is not None:
            self.transport.sendto(wire.encode(packet), host.packets)

    def datagram_received(self, data: bytes, sender: wire.Endpoint) -> None:
        packet = wire.decode(data)
        if packet is None:
            self.log.event("forged packet at client")
            return
        flow = self.flows.get((packet.target, packet.source))
        if flow is not None:
            flow.arrived.put_nowait((packet, sender))
