"""Simulated backend server of flows."""

import asyncio
import random

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.daemons import sockets
from vanilladrum.platform import packet as packets
from vanilladrum.standins import flow_packets
from vanilladrum.standins import health_endpoint

# Wire id of the receiving server, at the start of each datagram.
# A server also accepts zeros.
IDENTITY_BYTES = 8


@attrs.define(eq=False)
class FlowServer:
    """Responds to one request per flow and records what it executed.

    :param name: server id, which ends in hexadecimal digits; the wire id
        is derived from it.
    :param callers_port: port at which callers receive packets.
    :param service_seconds: service time of a request.
    :param silent: whether it ignores all packets.
    :param health: endpoint of its health checks, None if they are refused.
    :param ended_silences: begin and end of each silence that has ended, in
        seconds of the event loop.
    :param silent_since: when the present silence began.
    :param silence_change: held while the server falls silent or ends its
        silence.
    :param full: whether it takes no new flow, as if it held all it can; it
        then sends nothing.
    :param draining: whether its store entry says that it is draining.
    :param entries_written: number of entries that it wrote to the store.
    :param executed_ids: ids of the executed requests.
    :param flows_opened_while_draining: number of flows opened while
        draining.
    :param last_opened: when the last flow was opened, by service address, in
        seconds of the event loop.
    :param last_first_packet: when a first packet or a copy of one arrived
        last, in seconds of the event loop.
    :param corrupted_packets: number of packets with a wrong checksum.
    :param flows: state of each flow by caller and service address.
    """

    name: str
    service: str
    data_centre: str
    address: addresses.Address
    callers_port: int
    service_seconds: float = 0.005
    silent: bool = False
    health: health_endpoint.HealthEndpoint | None = None
    ended_silences: list[tuple[float, float]] = attrs.field(factory=list)
    silent_since: float = 0.0
    silence_change: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    full: bool = False
    draining: bool = False
    entries_written: int = 0
    executed_ids: list[str] = attrs.field(factory=list)
    flows_opened_while_draining: int = 0
    last_opened: dict[addresses.Address, float] = attrs.field(factory=dict)
    last_first_packet: float = float("-inf")
    corrupted_packets: int = 0
    flows: dict[tuple, dict] = attrs.field(factory=dict)
    endpoint: sockets.Endpoint = attrs.field(init=False)

    async def start(self) -> None:
        """Open the socket.

        :raises SettingsError: when the address cannot be bound.
        """
        self.endpoint = await sockets.open_endpoint(
            self.address, self._receive
        )

    async def set_silent(self, silent: bool) -> None:
        """Let the server and its health endpoint respond or not.

        A call waits until an earlier one has ended.
        """
        async with self.silence_change:
            await self._change_silence(silent)

    async def _change_silence(self, silent: bool) -> None:
        if silent == self.silent:
            return
        self.silent = silent
        now = asyncio.get_running_loop().time()
        if silent:
            self.silent_since = now
        else:
            self.ended_silences.append((self.silent_since, now))
        if self.health is None:
            return
        if silent:
            self.health.stop_responding()
        else:
            await self.health.start()

    def silences(self) -> list[tuple[float, float]]:
        """Return begin and end of each silence, infinite for a present one.

        Those that were not begun by :meth:`set_silent` are left out.
        """
        if self.silent and self.silent_since:
            present = (self.silent_since, float("inf"))
            return [*self.ended_silences, present]
        return self.ended_silences

    @property
    def state(self) -> str:
        """Return the state that the server reports in its store entry."""
        return "draining" if self.draining else "ready"

    def store_entry(self) -> dict:
        """Return the server's next entry for the store."""
        self.entries_written += 1
        return {
            "service": self.service,
            "address": str(self.address),
            "zone": self.data_centre,
            "version": "v1",
            "max-concurrency": 4,
            "state": self.state,
            "warmup-left-ms": 0,
            "sequence": self.entries_written,
            "born": 1,
        }

    def _receive(self, datagram: bytes, _: addresses.Address) -> None:
        recipient = datagram[:IDENTITY_BYTES]
        identity = packets.wire_id(self.name)
        if self.silent or recipient not in (identity, bytes(IDENTITY_BYTES)):
            return
        try:
            segment = flow_packets.decode(datagram[IDENTITY_BYTES:])
        except ValueError:
            self.corrupted_packets += 1
            return
        key = (segment.source, segment.target)
        if segment.flags & packets.SYN:
            self._open(key, segment)
            return
        flow = self.flows.get(key)
        if flow is None:
            self._send(segment, packets.RESET, 0)
            return
        flow["echo"] = segment.echo
        if segment.data and not flow["began"]:
            flow["began"] = True
            asyncio.get_running_loop().call_later(
                self.service_seconds, self._execute, key, segment
            )
        elif segment.data and flow["response"]:
            self._send_response(segment, flow)
        if segment.flags & packets.FIN:
            self._send(segment, packets.ACK, flow["sequence"])

    def _open(self, key: tuple, segment: flow_packets.Segment) -> None:
        now = asyncio.get_running_loop().time()
        self.last_first_packet = now
        if key not in self.flows:
            if self.full:
                return
            self.last_opened[segment.target] = now
            self.flows_opened_while_draining += self.draining
            self.flows[key] = {
                "sequence": random.getrandbits(32),
                "began": False,
                "response": b"",
                "echo": segment.echo,
            }
        sequence = self.flows[key]["sequence"]
        self._send(segment, packets.SYN | packets.ACK, sequence)

    def _execute(self, key: tuple, segment: flow_packets.Segment) -> None:
        flow = self.flows[key]
        head = segment.data.decode()
        request_id = head.partition("X-Request-Id: ")[2].partition("\r\n")[0]
        self.executed_ids.append(request_id)
        flow["response"] = f"{request_id} {self.service}".encode()
        self._send_response(segment, flow)

    def _send_response(
        self, segment: flow_packets.Segment, flow: dict
    ) -> None:
        flags = packets.ACK
        self._send(segment, flags, flow["sequence"], flow["response"])

    def _send(
        self,
        segment: flow_packets.Segment,
        flags: int,
        sequence: int,
        data: bytes = b"",
    ) -> None:
        reply = flow_packets.Segment(
            segment.target,
            segment.source,
            flags,
            sequence,
            segment.sequence + 1,
            segment.echo,
            data,
        )
        to = addresses.Address(segment.source.host, self.callers_port)
        self.endpoint.send(reply.encode(), to)
