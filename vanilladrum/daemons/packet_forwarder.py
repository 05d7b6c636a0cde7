"""Forwards callers' packets as the core decides."""

from collections.abc import Callable
import socket

from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import errors
from vanilladrum.core import flow as flows
from vanilladrum.core import flowhost
from vanilladrum.daemons import json_log
from vanilladrum.daemons import state_sync as state_syncs
from vanilladrum.platform import packet as packets
from vanilladrum.wire import datagrams
from vanilladrum.wire import loop as loops

# Limit of the reads of the socket before it is closed.
MAX_FINAL_READS = 100


class PacketForwarder:
    """Receives packets, asks the core for a decision and carries it out.

    :param packet_socket: socket in which packets wait until :meth:`open`.
    :param on_first_packet: called after the first packet of a flow, or a
        retransmission of it, was forwarded.
    :param last_packet_at: when the last valid packet arrived, in monotonic
        seconds.
    """

    def __init__(
        self,
        loop: loops.Loop,
        packet_socket: socket.socket,
        core: flowhost.FlowHost,
        state_sync: state_syncs.StateSync,
        log: json_log.EventLog,
        on_first_packet: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.core = core
        self.state_sync = state_sync
        self.log = log
        self.on_first_packet = on_first_packet
        self.last_packet_at = 0.0
        # Resets are sent to the caller's IP address at the port of this
        # socket, where routers accept packets for callers.
        self.callers_port = packet_socket.getsockname()[1]
        self.socket = datagrams.DatagramSocket(
            loop, packet_socket, self._received
        )

    def open(self) -> None:
        """Start to receive packets, first those waiting in the socket."""
        self.socket.open()

    def read(self) -> bool:
        """Handle the packets that have arrived.

        :returns: whether all of them were handled.
        """
        return self.socket.read()

    def perform(self, actions: list[flows.Action]) -> None:
        """Carry out what the core has decided at a tick."""
        for action in actions:
            if isinstance(action, flows.ResetFlow):
                self.core.counters[action.reason] += 1
                self._send_reset(
                    action.key,
                    packets.make_flow_reset(action.key, action.acknowledged),
                )
                continue
            if isinstance(action, flows.Hedge):
                self._log_hedge(action)
            self._forward(action.packet, action.server, self.loop.now())

    def close(self) -> None:
        """Handle the packets that have arrived and close the socket."""
        for _ in range(MAX_FINAL_READS):
            if self.read():
                break
        self.socket.close()

    def _received(self, datagram: bytes, _: tuple[str, int]) -> None:
        try:
            packet = packets.decode(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        now = self.loop.now()
        self.last_packet_at = now
        decision = self.core.receive(packet, now)
        if isinstance(decision, flows.Forward):
            self._forward(packet, decision.server, now)
        else:
            self._refuse(packet, decision)

    def _forward(
        self, packet: flows.Packet, server: backends.Backend, now: float
    ) -> None:
        datagram = packets.encode_for_server(
            packet, server.wire_id, server.tag
        )
        self.socket.send(datagram, server.address)
        self.core.counters["packets"] += 1
        if packet.opens:
            self.core.counters["first_packets"] += 1
            self.on_first_packet()
            self._log_flow(packet, server, now)
        else:
            self._log_request(packet, server)

    def _send_reset(self, key: bytes, datagram: bytes) -> None:
        caller = packets.caller_address(key)
        destination = addresses.Address(caller.host, self.callers_port)
        self.socket.send(datagram, destination)

    def _refuse(
        self, packet: flows.Packet, decision: flows.Reset | flows.Ignore
    ) -> None:
        self.core.counters[decision.reason] += 1
        if isinstance(decision, flows.Reset):
            self._send_reset(packet.key, packets.make_reset(packet))
        if not self.log.is_allowed("packet refused"):
            return
        self.log.event(
            "packet refused",
            flow=packets.format_flow(packet.key),
            decision=type(decision).__name__,
            reason=decision.reason,
            tag=packet.tag,
            generation=self.core.configuration.generation,
            revision=self.state_sync.servers_position.revision,
        )

    def _log_flow(
        self, packet: flows.Packet, server: backends.Backend, now: float
    ) -> None:
        if not self.log.is_allowed("flow"):
            return
        self.log.event(
            "flow",
            flow=packets.format_flow(packet.key),
            server=server.name,
            copies=packet.copies,
            load=self.core.load(server.tag),
            standing=self.core.failure_detector.health_status(
                server, now
            ).name,
            pace=round(
                self.core.speed_estimator.relative_speed(server, now), 2
            ),
            generation=self.core.configuration.generation,
            revision=self.state_sync.servers_position.revision,
        )

    def _log_hedge(self, hedge: flows.Hedge) -> None:
        self.log.event(
            "hedge",
            flow=packets.format_flow(hedge.packet.key),
            server=hedge.first_server.name,
            second_server=hedge.server.name,
            waited=round(hedge.waited, 4),
            limit=round(hedge.limit, 4),
        )

    def _log_request(
        self, packet: flows.Packet, server: backends.Backend
    ) -> None:
        """Log the id of the request that a flow carries, once per flow."""
        flow = self.core.table.find(packet.key)
        if flow is None or flow.request_logged or not packet.has_data:
            return
        flow.request_logged = True
        if not self.log.is_allowed("request"):
            return
        self.log.event(
            "request",
            request=packets.request_id(packet),
            flow=packets.format_flow(packet.key),
            server=server.name,
        )
