"""Stand-in for a backend server of flows."""

import asyncio
import random

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.daemons import sockets
from vanilladrum.platform import packet as packets
from vanilladrum.standins import flow_packets

IDENTITY_BYTES = 8


@attrs.define(eq=False)
class FlowServer:
    """Answers one request a flow and counts what it ran.

    :param name: its id, which ends in hexadecimal digits.
    :param callers_port: port at which callers receive packets.
    :param work: seconds that a request takes.
    :param silent: whether it has fallen dark.
    :param leaving: whether it has told so.
    :param ran: ids of the requests that it ran.
    """

    name: str
    service: str
    data_centre: str
    address: addresses.Address
    callers_port: int
    work: float = 0.005
    silent: bool = False
    leaving: bool = False
    ran: list[str] = attrs.field(factory=list)
    opened_while_leaving: int = 0
    changed_packets: int = 0
    flows: dict[tuple, dict] = attrs.field(factory=dict)
    endpoint: sockets.Endpoint = attrs.field(init=False)

    async def start(self) -> None:
        """Listen."""
        self.endpoint = await sockets.open_endpoint(
            self.address, self._received
        )

    def entry(self) -> dict:
        """Return what the server writes into the store."""
        return {
            "service": self.service,
            "address": str(self.address),
            "zone": self.data_centre,
            "version": "v1",
            "max-concurrency": 4,
            "state": "draining" if self.leaving else "ready",
            "warmup-left-ms": 0,
            "sequence": 1,
            "born": 1,
        }

    def _received(self, datagram: bytes, _: addresses.Address) -> None:
        meant = datagram[:IDENTITY_BYTES]
        own = packets.identity(self.name)
        if self.silent or meant not in (own, bytes(IDENTITY_BYTES)):
            return
        try:
            segment = flow_packets.decode(datagram[IDENTITY_BYTES:])
        except ValueError:
            self.changed_packets += 1
            return
        key = (segment.source, segment.target)
        if segment.flags & packets.SYN:
            self._open(key, segment)
            return
        flow = self.flows.get(key)
        if flow is None:
            self._answer(segment, packets.RESET, 0)
            return
        flow["echo"] = segment.echo
        if segment.data and not flow["began"]:
            flow["began"] = True
            asyncio.get_running_loop().call_later(
                self.work, self._run, key, segment
            )
        elif segment.data and flow["response"]:
            self._respond(segment, flow)
        if segment.flags & packets.FIN:
            self._answer(segment, packets.ACK, flow["sequence"])

    def _open(self, key: tuple, segment: flow_packets.Segment) -> None:
        if key not in self.flows:
            self.opened_while_leaving += self.leaving
            self.flows[key] = {
                "sequence": random.getrandbits(32),
                "began": False,
                "response": b"",
                "echo": segment.echo,
            }
        sequence = self.flows[key]["sequence"]
        self._answer(segment, packets.SYN | packets.ACK, sequence)

    def _run(self, key: tuple, segment: flow_packets.Segment) -> None:
        flow = self.flows[key]
        head = segment.data.decode()
        request = head.partition("X-Request-Id: ")[2].partition("\r\n")[0]
        self.ran.append(request)
        flow["response"] = f"{request} {self.service}".encode()
        self._respond(segment, flow)

    def _respond(self, segment: flow_packets.Segment, flow: dict) -> None:
        flags = packets.ACK
        self._answer(segment, flags, flow["sequence"], flow["response"])

    def _answer(
        self,
        segment: flow_packets.Segment,
        flags: int,
        sequence: int,
        data: bytes = b"",
    ) -> None:
        answer = flow_packets.Segment(
            segment.target,
            segment.source,
            flags,
            sequence,
            segment.sequence + 1,
            segment.echo,
            data,
        )
        to = addresses.Address(segment.source.host, self.callers_port)
        self.endpoint.send(answer.encode(), to)
