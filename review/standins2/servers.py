"""A server of flows, as PROTOCOL.md describes it."""

import asyncio
import random
import time

import packets

# Retransmissions: first interval, longest interval, and their number.
FIRST_INTERVAL = 0.2
LONGEST_INTERVAL = 1.6
RETRANSMISSIONS = 8


class _Flow:
    def __init__(self, client_seq):
        self.client_seq = client_seq
        self.own_seq = random.getrandbits(32)
        self.state = "half"
        self.expects = (client_seq + 1) & 0xFFFFFFFF
        self.next_seq = (self.own_seq + 1) & 0xFFFFFFFF
        self.received = b""
        self.unacked = 0
        self.echo = 0
        self.pending = []
        self.acked = self.next_seq
        self.closes = False


class Server:
    """One lifetime of a server.

    :param name: its id.
    :param client_port: port to which packets for clients are sent.
    :param work_seconds: time that a request takes.
    :param log: the record of the run.
    """

    def __init__(
        self, log, name, service, zone, host, port, client_port,
        work_seconds=0.02, slots=2, queue=8,
    ):  # fmt: skip
        self.log = log
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.client_port = client_port
        self.work_seconds = work_seconds
        self.slots = slots
        self.queue = queue
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.cold_until = 0.0
        self.sequence = 0
        # Time, name of the client's request and of the flow of each opening
        # packet that this server took.
        self.taken = []
        self.ran = []
        self.flows = {}
        self.busy = 0
        self.waiting = []
        self._wire_id = int(name.rpartition("-")[2], 16).to_bytes(8, "big")
        self._transport = None
        self._health = None
        self._tasks = set()

    def entry(self):
        """Return the server's next entry for the store."""
        self.sequence += 1
        left = max(0.0, self.cold_until - time.monotonic())
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "max-concurrency": self.slots,
            "state": self.state,
            "warmup-left-ms": int(left * 1000),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def start(self):
        """Listen for datagrams and health probes."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._received),
            local_addr=(self.host, self.port),
        )
        self._health = await asyncio.start_server(
            self._answer_probe, self.host, self.port
        )

    def stop(self):
        """End the server; it discards its flows."""
        if self._transport is not None:
            self._transport.close()
            self._health.close()
        for each in list(self._tasks):
            each.cancel()
        self.flows.clear()

    async def _answer_probe(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            good = self.state == "ready"
            writer.write(
                b"HTTP/1.1 %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n"
                b"Connection: close\r\n\r\n"
                % (b"200 OK" if good else b"503 No", self.name.encode())
            )
            await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    def _received(self, datagram, _):
        if datagram[:8] not in (self._wire_id, bytes(8)):
            return
        packet = packets.decode(datagram[8:])
        if not packet.is_genuine:
            self.log.add("forged packet", server=self.name)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & packets.SYN:
            self._open(key, packet)
            return
        flow = self.flows.get(key)
        if flow is None:
            self._send(packet, packets.RST, packet.ack, 0, echo=packet.echo)
            return
        if flow.state == "half":
            if packet.ack != flow.next_seq:
                self._send(
                    packet, packets.RST, packet.ack, 0, echo=packet.echo
                )
                return
            flow.state = "open"
            self.log.add("flow open", server=self.name, port=packet.sport)
        flow.echo = packet.echo
        self._receive_on(key, flow, packet)

    def _open(self, key, packet):
        flow = self.flows.get(key)
        if flow is None or flow.client_seq != packet.seq:
            if self.busy >= self.slots and len(self.waiting) >= self.queue:
                return
            flow = _Flow(packet.seq)
            self.flows[key] = flow
            when = self.log.add(
                "server takes SYN", server=self.name, port=packet.sport
            )
            self.taken.append((when, packet.sport))
        if flow.state != "half":
            return
        flow.echo = packet.echo
        self._send(
            packet, packets.SYN | packets.ACK, flow.own_seq, flow.expects,
            echo=flow.echo,
        )  # fmt: skip

    def _receive_on(self, key, flow, packet):
        if packet.flags & packets.RST:
            flow.state = "ended"
            return
        if flow.state == "ended":
            if packet.flags & packets.FIN:
                self._ack(packet, flow)
            elif packet.data:
                self._send(packet, packets.RST, packet.ack, 0, echo=flow.echo)
            return
        flow.acked = packet.ack
        if packet.data:
            if packet.seq == flow.expects:
                flow.expects = (flow.expects + len(packet.data)) & 0xFFFFFFFF
                flow.received += packet.data
                flow.unacked += 1
                if flow.unacked >= 2:
                    flow.unacked = 0
                    self._ack(packet, flow)
                self._read_request(key, flow, packet)
            else:
                self._ack(packet, flow)
        if packet.flags & packets.FIN:
            flow.state = "ended"
            flow.expects = (flow.expects + 1) & 0xFFFFFFFF
            self._send(
                packet, packets.FIN | packets.ACK, flow.next_seq,
                flow.expects, echo=flow.echo,
            )  # fmt: skip

    def _read_request(self, key, flow, packet):
        head, end, _ = flow.received.partition(b"\r\n\r\n")
        if not end:
            return
        flow.received = b""
        name = head.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0]
        work = (key, flow, packet, name.decode())
        if self.busy < self.slots:
            self._begin(work)
        else:
            self.waiting.append(work)

    def _begin(self, work):
        self.busy += 1
        _, _, packet, name = work
        when = self.log.add("server runs", server=self.name, request=name)
        self.ran.append((when, name))
        self._spawn(self._work(work))

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _work(self, work):
        _, flow, packet, name = work
        await asyncio.sleep(self.work_seconds)
        self.busy -= 1
        if self.waiting:
            self._begin(self.waiting.pop(0))
        body = f"{name} {self.service}".encode()
        answer = (
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: %s\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (name.encode(), len(body), body)
        )
        begin = flow.next_seq
        flow.next_seq = (begin + len(answer)) & 0xFFFFFFFF
        interval = FIRST_INTERVAL
        for _ in range(RETRANSMISSIONS):
            if flow.state == "ended" or flow.acked == flow.next_seq:
                return
            self._send(
                packet, packets.ACK, begin, flow.expects, flow.echo, answer
            )
            await asyncio.sleep(interval)
            interval = min(2 * interval, LONGEST_INTERVAL)

    def _ack(self, packet, flow):
        self._send(packet, packets.ACK, flow.next_seq, flow.expects, flow.echo)

    def _send(self, packet, flags, seq, ack, echo=0, data=b""):
        reply = packets.Packet(
            packet.dst, packet.dport, packet.src, packet.sport, flags, seq,
            ack, echo, data,
        )  # fmt: skip
        self._transport.sendto(
            reply.encode(), (packets.text(packet.src), self.client_port)
        )


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, callback):
        self.callback = callback

    def datagram_received(self, data, addr):
        self.callback(data, addr)
