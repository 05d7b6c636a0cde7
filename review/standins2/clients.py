"""Clients of flows, and the platform's routers in front of the machines."""

import asyncio
import hashlib
import random

import packets

# Copies of a SYN, and the end of the attempt, in seconds after the first one.
SYN_TIMES = (0.0, 0.2, 0.6)
SYN_END = 1.4
PROBE_SECONDS = 0.5
FAILED_PROBES = 2
# A reset of the system counts on an open flow if its seq is this close.
RESET_WINDOW = 76_800


class Router:
    """Forwards clients' packets to machines in rotation (hash: steady).

    :param machines: endpoint for datagrams and for readiness, by name.
    :param log: the record of the run.
    """

    def __init__(self, log, machines, client_port):
        self.log = log
        self.machines = machines
        self.failed = dict.fromkeys(machines, FAILED_PROBES)
        self.client_port = client_port
        self.tasks = []

    def start(self):
        """Start to probe the machines."""
        self.tasks = [
            asyncio.create_task(self._probe(name)) for name in self.machines
        ]

    def stop(self):
        """Stop probing."""
        for each in self.tasks:
            each.cancel()

    @property
    def in_rotation(self):
        """Return the names of the machines in rotation."""
        return [n for n, failed in self.failed.items() if failed < 2]

    def select(self, key):
        """Return the name of the machine that gets a flow's packet."""
        chosen = self.in_rotation
        if 2 * len(chosen) < len(self.machines):
            chosen = list(self.machines)
        return max(
            chosen,
            key=lambda name: hashlib.blake2b(
                repr((key, name)).encode(), digest_size=8
            ).digest(),
        )

    async def _probe(self, name):
        _, readiness = self.machines[name]
        while True:
            good = False
            try:
                async with asyncio.timeout(PROBE_SECONDS):
                    good = await self._ask(*readiness)
            except (OSError, EOFError, TimeoutError):
                pass
            before = self.failed[name]
            self.failed[name] = 0 if good else before + 1
            if (before < FAILED_PROBES) != (self.failed[name] < FAILED_PROBES):
                state = "in" if good else "out"
                self.log.add("rotation", machine=name, state=state)
            await asyncio.sleep(PROBE_SECONDS)

    async def _ask(self, host, port):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(b"GET /vanilladrum/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            return b" 200 " in line
        finally:
            writer.close()


class Clients:
    """Clients behind one address; each attempt is a flow of its own.

    :param deadline: time limit of a request, in seconds.
    :param retries: further tries of a request that may be repeated.
    """

    def __init__(self, log, router, host, deadline=2.5, retries=2):
        self.log = log
        self.router = router
        self.host = host
        self.deadline = deadline
        self.retries = retries
        self.flows = {}
        self.next_port = 20_000
        # Time of sending and outcome of each request, by its name.
        self.requests = {}
        # Name, time of the first SYN and machine of an attempt, by port.
        self.attempts = {}
        # Time of the first SYN of an attempt, by its name.
        self.sent_at = {}
        self._transport = None

    async def start(self):
        """Open the socket of all clients."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._received),
            local_addr=(self.host, self.router.client_port),
        )

    def stop(self):
        """Close the socket."""
        self._transport.close()

    async def load(self, name, target, service, rate, seconds):
        """Send requests at a rate and wait for their outcomes."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks = []
        for index in range(int(rate * seconds)):
            delay = began + index / rate - loop.time()
            await asyncio.sleep(max(0.0, delay))
            tasks.append(
                asyncio.create_task(
                    self.request(f"{name}-{index}", target, service)
                )
            )
        await asyncio.gather(*tasks)

    async def request(self, name, target, service):
        """Send an idempotent request; it is retried after any failure."""
        sent = self.log.add("client asks", request=name)
        outcome = "deadline"
        attempt = 0
        try:
            async with asyncio.timeout(self.deadline):
                for attempt in range(1 + self.retries):
                    outcome = await self._try(
                        f"{name}.{attempt}", target, service
                    )
                    if outcome == "200":
                        break
        except TimeoutError:
            outcome = "deadline"
        self.log.add("client has", request=name, outcome=outcome)
        self.requests[name] = (sent, outcome)
        return outcome

    async def _try(self, name, target, service):
        self.next_port = 20_000 + (self.next_port - 19_999) % 40_000
        flow = _ClientFlow(self, name, target, service, self.next_port)
        self.flows[flow.key] = flow
        try:
            return await flow.run()
        finally:
            del self.flows[flow.key]

    def send(self, packet):
        """Send a packet through the routers; return the machine's name."""
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        machine = self.router.select(key)
        datagrams, _ = self.router.machines[machine]
        self._transport.sendto(packet.encode(), datagrams)
        return machine

    def _received(self, datagram, addr):
        packet = packets.decode(datagram)
        flow = self.flows.get(
            (packet.dst, packet.dport, packet.src, packet.sport)
        )
        if flow is not None:
            flow.queue.put_nowait((packet, addr))


class _ClientFlow:
    def __init__(self, clients, name, target, service, port):
        self.clients = clients
        self.log = clients.log
        self.name = name
        self.service = service
        self.src = packets.number(clients.host)
        self.port = port
        self.dst = packets.number(target[0])
        self.dport = target[1]
        self.key = (self.src, port, self.dst, self.dport)
        self.queue = asyncio.Queue()
        self.seq = random.getrandbits(32)
        self.echo = 0
        self.expects = 0

    def send(self, flags, seq, ack, data=b""):
        packet = packets.Packet(
            self.src, self.port, self.dst, self.dport, flags, seq, ack,
            self.echo, data,
        )  # fmt: skip
        return self.clients.send(packet)

    async def run(self):
        """Open the flow, send the request and return the outcome."""
        accepted = await self._open()
        if isinstance(accepted, str):
            return accepted
        self.expects = (accepted.seq + 1) & 0xFFFFFFFF
        request = (
            f"GET / HTTP/1.1\r\nX-Request-Id: {self.name}\r\n\r\n".encode()
        )
        begin = (self.seq + 1) & 0xFFFFFFFF
        after = (begin + len(request)) & 0xFFFFFFFF
        interval = 0.2
        body = b""
        while True:
            self.send(packets.ACK, begin, self.expects, request)
            until = asyncio.get_running_loop().time() + interval
            interval = min(2 * interval, 1.6)
            while True:
                packet = await self._next(until)
                if packet is None:
                    break
                if packet.flags & packets.RST:
                    return "reset"
                if packet.data and packet.seq == self.expects:
                    body += packet.data
                    self.expects += len(packet.data)
                    self.expects &= 0xFFFFFFFF
                    self.send(packets.ACK, after, self.expects)
                    if self._is_complete(body):
                        self.send(
                            packets.FIN | packets.ACK, after, self.expects
                        )
                        return self._judge(body)
                elif packet.data:
                    self.send(packets.ACK, after, self.expects)

    async def _open(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        for copies, end in enumerate((*SYN_TIMES[1:], SYN_END)):
            machine = self.send(packets.SYN, self.seq, copies)
            when = self.log.add(
                "client sends SYN", attempt=self.name, port=self.port,
                copies=copies, machine=machine,
            )  # fmt: skip
            self.clients.attempts.setdefault(
                self.port, (self.name, when, machine)
            )
            self.clients.sent_at.setdefault(self.name, when)
            while True:
                packet = await self._next(began + end)
                if packet is None:
                    break
                if packet.flags & packets.RST:
                    self.log.add("client is refused", attempt=self.name)
                    return "refused"
                if (
                    packet.flags == packets.SYN | packets.ACK
                    and packet.ack == (self.seq + 1) & 0xFFFFFFFF
                ):
                    return packet
        self.log.add("flow never opened", attempt=self.name)
        return "not opened"

    async def _next(self, until):
        """Return the next packet of this flow, None at the given time."""
        while True:
            left = until - asyncio.get_running_loop().time()
            if left <= 0:
                return None
            try:
                async with asyncio.timeout(left):
                    packet, _ = await self.queue.get()
            except TimeoutError:
                return None
            if packet.is_own_reset:
                distance = (packet.seq - self.expects) & 0xFFFFFFFF
                near = min(distance, 2**32 - distance) <= RESET_WINDOW
                if self.expects and not near:
                    continue
                self.log.add("reset by the system", attempt=self.name)
                return packet
            if not packet.is_genuine:
                self.log.add("forged packet", attempt=self.name)
                continue
            if packet.flags & packets.RST:
                self.log.add("reset by a server", attempt=self.name)
            self.echo = packet.echo
            return packet

    @staticmethod
    def _is_complete(body):
        head, end, rest = body.partition(b"\r\n\r\n")
        if not end:
            return False
        length = int(
            head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]
        )
        return len(rest) >= length

    def _judge(self, body):
        head, _, rest = body.partition(b"\r\n\r\n")
        # A change of the configuration may have moved the route.
        right = rest.startswith(f"{self.name} ".encode())
        signed = f"X-Response-Signature: {self.name}\r\n".encode() in head
        return "200" if right and signed else "foreign answer"


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, callback):
        self.callback = callback

    def datagram_received(self, data, addr):
        self.callback(data, addr)
