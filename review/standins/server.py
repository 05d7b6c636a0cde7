"""A backend server of flows."""

import asyncio
import dataclasses
import json
import random
import time

from standins import record
from standins import store as stores
from standins import wire

IDENTITY_BYTES = 8
RETRANSMIT_SECONDS = 0.2
LONGEST_RETRANSMIT_SECONDS = 1.6
MAX_RETRANSMISSIONS = 8


@dataclasses.dataclass
class Flow:
    """A flow at its server.

    :param expected: sequence number of the client's next byte.
    :param seq: sequence number of the server's next byte.
    :param unacknowledged: packets to send again until the client has them.
    """

    syn: wire.Packet
    syn_at: float
    through: wire.Endpoint
    echo: int
    seq: int
    expected: int
    open: bool = False
    closing: bool = False
    unacknowledged: list[wire.Packet] = dataclasses.field(default_factory=list)


class Server(asyncio.DatagramProtocol):
    """One lifetime of a server.

    :param name: its id; the hexadecimal digits are its number on the wire.
    :param clients_port: port at which clients receive packets.
    """

    def __init__(
        self,
        log: record.Record,
        store: stores.Store,
        name: str,
        service: str,
        zone: str,
        address: wire.Endpoint,
        clients_port: int,
        work_seconds: float = 0.01,
        slots: int = 2,
        max_connections: int = 2000,
    ) -> None:
        self.log = log
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.clients_port = clients_port
        self.work_seconds = work_seconds
        self.slots = slots
        self.max_connections = max_connections
        self.number = int(name.rpartition("-")[2], 16).to_bytes(8, "big")
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.writes = True
        self.flows: dict[tuple, Flow] = {}
        self.ended: set[tuple] = set()
        self.free = asyncio.Semaphore(slots)
        self.transport: asyncio.DatagramTransport | None = None
        self.health: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )
        self.health = await asyncio.start_server(
            self._answer_health, *self.address
        )
        self.log.event("server started", server=self.name)
        await self.write_entry()
        self._run(self._ping())

    def stop(self) -> None:
        """End at once, without an entry to the store."""
        if self.transport is None:
            return
        self.log.event("server ended", server=self.name)
        self.transport.close()
        self.transport = None
        if self.health is not None:
            self.health.close()
        for task in self.tasks:
            task.cancel()

    async def leave(self, drain_seconds: float, longer: float) -> float:
        """Report that the server leaves, and exit later.

        :param longer: seconds beyond the drain time.
        :returns: when the store accepted the report.
        """
        self.state = "draining"
        acked = await self.write_entry()
        self.log.event("leave acked", server=self.name)
        self._run(self._exit(drain_seconds + longer))
        return acked

    async def _exit(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self.writes = False
        await self.store.delete("servers", self.name)
        self.tasks.discard(asyncio.current_task())
        self.stop()

    def entry(self) -> dict:
        """Return what the server says of itself in the store."""
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "max-concurrency": self.slots,
            "state": self.state,
            "warmup-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def write_entry(self) -> float:
        self.sequence += 1
        return await self.store.put(
            "servers", self.name, json.dumps(self.entry())
        )

    async def _ping(self) -> None:
        while True:
            await asyncio.sleep(self.store.ping_seconds)
            if self.writes:
                await self.write_entry()

    def _run(self, work) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            async with self.free:
                await asyncio.sleep(0.001)
            status = "200 OK" if self.state == "ready" else "503 Draining"
            writer.write(
                f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    # Packets

    def datagram_received(self, data: bytes, source: wire.Endpoint) -> None:
        identity = data[:IDENTITY_BYTES]
        if identity not in (self.number, bytes(IDENTITY_BYTES)):
            return
        packet = wire.decode(data[IDENTITY_BYTES:])
        if packet is None or packet.is_host_reset:
            self.log.event("forged packet", server=self.name)
            return
        if packet.flags & wire.SYN:
            self._open(packet, source)
            return
        flow = self.flows.get(packet.key)
        if flow is None:
            self._refuse(packet)
        elif packet.flags & wire.RST:
            del self.flows[packet.key]
        elif flow.open or packet.ack == flow.seq:
            self._receive(flow, packet)
        else:
            # It acknowledges the SYN+ACK of another server.
            self._refuse(packet)

    def _open(self, packet: wire.Packet, source: wire.Endpoint) -> None:
        if packet.key in self.flows:
            return
        if len(self.flows) >= self.max_connections:
            # A full server sends nothing.
            return
        seq = random.getrandbits(32)
        flow = Flow(
            packet,
            self.log.now(),
            source,
            packet.echo,
            wire.advance(seq, 1),
            wire.advance(packet.seq, 1),
        )
        self.flows[packet.key] = flow
        answer = self._make(flow, wire.SYN | wire.ACK, seq=seq)
        flow.unacknowledged.append(answer)
        self._run(self._send_until_acknowledged(flow, answer))

    def _refuse(self, packet: wire.Packet) -> None:
        """Answer a packet of a flow that this server does not hold."""
        if packet.flags & wire.RST:
            return
        flags = wire.RST
        if packet.key in self.ended and not packet.data:
            if not packet.flags & wire.FIN:
                return
            flags = wire.ACK
        else:
            self.log.event("server reset", server=self.name, flow=packet.key)
        self._send(
            wire.Packet(
                packet.target,
                packet.source,
                flags,
                packet.ack,
                wire.advance(packet.seq, len(packet.data) + 1),
                packet.echo,
            )
        )

    def _receive(self, flow: Flow, packet: wire.Packet) -> None:
        flow.echo = packet.echo
        if not flow.open:
            flow.open = True
            self.log.event(
                "flow opened",
                server=self.name,
                flow=packet.key,
                syn_at=self.log.since_start(flow.syn_at),
                copies=flow.syn.ack,
                through=flow.through[0],
            )
        flow.unacknowledged = [
            each
            for each in flow.unacknowledged
            if not _is_past(each, packet.ack)
        ]
        if packet.data and packet.seq == flow.expected:
            flow.expected = wire.advance(packet.seq, len(packet.data))
            self._run(self._work(flow, packet))
        if packet.data:
            self._send(self._make(flow, wire.ACK))
        if packet.flags & wire.FIN:
            self._send(self._make(flow, wire.ACK | wire.FIN))
            flow.unacknowledged.clear()
            self.flows.pop(packet.key, None)
            self.ended.add(packet.key)

    async def _work(self, flow: Flow, packet: wire.Packet) -> None:
        head = packet.data.decode("latin-1")
        request = head.partition("X-Request-Id: ")[2].partition("\r\n")[0]
        self.log.event("run", request=request, server=self.name)
        async with self.free:
            await asyncio.sleep(self.work_seconds)
        body = f"{request} {self.service}"
        answer = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            f"X-Response-Signature: {self.name}\r\n\r\n{body}"
        ).encode()
        flags = wire.ACK
        if self.state == "draining":
            flags |= wire.FIN
        reply = self._make(flow, flags, answer)
        flow.seq = wire.advance(flow.seq, len(answer))
        flow.unacknowledged.append(reply)
        await self._send_until_acknowledged(flow, reply)

    async def _send_until_acknowledged(
        self, flow: Flow, packet: wire.Packet
    ) -> None:
        wait = RETRANSMIT_SECONDS
        for _ in range(1 + MAX_RETRANSMISSIONS):
            packet.echo = flow.echo
            self._send(packet)
            await asyncio.sleep(wait)
            if packet not in flow.unacknowledged:
                return
            if self.flows.get(flow.syn.key) is not flow:
                return
            wait = min(wait * 2, LONGEST_RETRANSMIT_SECONDS)
        self.flows.pop(flow.syn.key, None)

    def _make(
        self,
        flow: Flow,
        flags: int,
        data: bytes = b"",
        seq: int | None = None,
    ) -> wire.Packet:
        return wire.Packet(
            flow.syn.target,
            flow.syn.source,
            flags,
            flow.seq if seq is None else seq,
            flow.expected,
            flow.echo,
            data,
        )

    def _send(self, packet: wire.Packet) -> None:
        if self.transport is not None:
            to = (packet.target[0], self.clients_port)
            self.transport.sendto(wire.encode(packet), to)


def _is_past(packet: wire.Packet, ack: int) -> bool:
    """Return whether an acknowledgement covers a packet."""
    length = max(1, len(packet.data) + bool(packet.flags & wire.FIN))
    return 0 <= (ack - wire.advance(packet.seq, length)) % 2**32 < 2**31
