"""Sockets of an entry host: datagrams in, the core's actions out."""

import asyncio
from collections.abc import Callable

import attrs

from vanilladrum.core import actions
from vanilladrum.core import address as addresses
from vanilladrum.core import entryhost
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import peers
from vanilladrum.core import request as requests
from vanilladrum.daemons import settings as settings_module
from vanilladrum.daemons import sockets
from vanilladrum.wire import coap
from vanilladrum.wire import peers as wire_peers
from vanilladrum.wire import tunnel

SERVER_TOKEN_BYTES = 4
ANY_PORT = 0
# Message ids are kept for twice the running attempts and so many more,
# before those of ended attempts are looked for.
SPARE_MESSAGE_IDS = 1024
GenerationHook = Callable[[addresses.Address, int], None]


@attrs.define(eq=False)
class Traffic:
    """Carries datagrams between the sockets and the core.

    :param on_generation: told the generation that another host names.
    """

    core: entryhost.EntryHost
    codec: wire_peers.Codec
    on_generation: GenerationHook
    mids: dict[int, int] = attrs.field(factory=dict)
    next_mid: dict[addresses.Address, int] = attrs.field(factory=dict)
    direct: dict[addresses.Address, sockets.Endpoint] = attrs.field(
        factory=dict
    )
    tunnel: sockets.Endpoint | None = None
    wakeup: asyncio.TimerHandle | None = None
    wakes_at: float = 0.0
    peer: sockets.Endpoint = attrs.field(init=False)
    servers: sockets.Endpoint = attrs.field(init=False)

    async def open(self, listen: settings_module.Listen) -> None:
        """Open the sockets.

        :raises SettingsError: when an address cannot be bound.
        """
        self.peer = await sockets.open_endpoint(
            listen.peer, self._peer_received
        )
        any_address = addresses.Address(listen.peer.host, ANY_PORT)
        self.servers = await sockets.open_endpoint(
            any_address, self._server_received
        )
        if listen.tunnel is not None:
            self.tunnel = await sockets.open_endpoint(
                listen.tunnel, self._tunnel_received
            )

    def close(self) -> None:
        """Close the sockets and stop the timer."""
        if self.wakeup is not None:
            self.wakeup.cancel()
        for endpoint in (self.peer, self.servers, self.tunnel):
            if endpoint is not None:
                endpoint.close()
        for endpoint in self.direct.values():
            endpoint.close()

    def announce(self, member: peers.Member) -> None:
        """Tell a host who we are and which generation we hold."""
        membership = self.core.membership
        ping = peers.Ping(0, membership.me, membership.generation, ())
        self.peer.send(self.codec.encode(ping), member.address)

    def _tunnel_received(
        self, datagram: bytes, source: addresses.Address
    ) -> None:
        try:
            caller, service, raw = tunnel.unwrap(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        self._caller_received(raw, caller, service, source)

    def _caller_received(
        self,
        raw: bytes,
        caller: addresses.Address,
        service: addresses.Address,
        via: addresses.Address | None,
        hops: int = 0,
        judge: bool = False,
    ) -> None:
        try:
            received = coap.read_request(raw)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        path = coap.reply_path(received, caller, service, via)
        if received.request is None:
            self.core.counters[f"refused_{received.kind}"] += 1
            if received.reply is not None:
                self._send_on_path(path, received.reply)
            return
        packet = actions.CallerPacket(raw, received.request, path, hops, judge)
        self.perform(self.core.handle(packet))

    def _server_received(
        self, datagram: bytes, source: addresses.Address
    ) -> None:
        try:
            read = coap.read_response(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        if read is None:
            return
        if read.confirmable:
            ack = coap.encode_acknowledgement(read.message_id)
            self.servers.send(ack, source)
        number = int.from_bytes(read.token, "big")
        attempt = self.core.attempts.get(number)
        if attempt is None or attempt.server.address != source:
            self.core.counters["late_answers"] += 1
            return
        self.mids.pop(number, None)
        reply = actions.ServerReply(number, read.response, read.declined)
        self.perform(self.core.handle(reply))

    def _peer_received(
        self, datagram: bytes, source: addresses.Address
    ) -> None:
        self.core.counters["peer_bytes_in"] += len(datagram)
        try:
            message = self.codec.decode(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        if isinstance(message, peers.Forward):
            self._caller_received(
                message.raw,
                message.caller,
                message.service,
                message.via,
                message.hops,
                message.judge,
            )
            return
        self.perform(self.core.handle(actions.PeerMessage(source, message)))
        generation = getattr(message, "generation", 0)
        if generation > self.core.generation:
            self.on_generation(source, generation)

    def perform(self, wanted: list[actions.Action]) -> None:
        """Send what the core wants sent and set its timer."""
        for action in wanted:
            if isinstance(action, actions.SendToCaller):
                self._send_on_path(
                    action.path,
                    coap.encode_response(
                        action.path, action.exchange, action.response
                    ),
                )
            elif isinstance(action, actions.SendToServer):
                self._send_to_server(action)
            elif isinstance(action, actions.SendToPeer):
                self._send_to_peer(action)
            else:
                self._cancel_at_server(action)
        self._schedule()

    def _send_on_path(self, path: requests.ReplyPath, datagram: bytes) -> None:
        if path.via is None:
            endpoint = self.direct.get(path.service)
            if endpoint is not None:
                endpoint.send(datagram, path.caller)
            return
        if self.tunnel is None:
            return
        wrapped = tunnel.wrap(path.service, path.caller, datagram)
        self.tunnel.send(wrapped, path.via)

    def _send_to_server(self, action: actions.SendToServer) -> None:
        mid = self.mids.get(action.attempt)
        if mid is None:
            mid = self.next_mid.get(action.server, 0)
            self.next_mid[action.server] = (mid + 1) & 0xFFFF
            self.mids[action.attempt] = mid
        token = action.attempt.to_bytes(SERVER_TOKEN_BYTES, "big")
        datagram = coap.encode_request(
            mid, token, action.request, action.deadline
        )
        self.servers.send(datagram, action.server)

    def _cancel_at_server(self, action: actions.CancelAtServer) -> None:
        mid = self.mids.pop(action.attempt, None)
        if mid is not None:
            self.servers.send(coap.encode_cancel(mid), action.server)

    def _send_to_peer(self, action: actions.SendToPeer) -> None:
        datagram = self.codec.encode(action.message)
        kind = "peer_bytes_out"
        if isinstance(action.message, peers.Forward):
            kind = "forward_bytes_out"
        self.core.counters[kind] += len(datagram)
        self.peer.send(datagram, action.to)

    def _schedule(self) -> None:
        due = self.core.next_timer()
        if self.wakeup is not None:
            if self.wakes_at <= due:
                return
            self.wakeup.cancel()
        self.wakes_at = due
        loop = asyncio.get_running_loop()
        wait = max(0.0, due - self.core.clock.monotonic())
        self.wakeup = loop.call_later(wait, self._tick)

    def _tick(self) -> None:
        self.wakeup = None
        self._forget_mids()
        self.perform(self.core.tick())

    def _forget_mids(self) -> None:
        if len(self.mids) <= 2 * len(self.core.attempts) + 1024:
            return
        self.mids = {
            number: mid
            for number, mid in self.mids.items()
            if number in self.core.attempts
        }

    async def bind_services(self, fleet: fleets.Fleet) -> None:
        """Listen on the addresses of the services, and on no others."""
        wanted = {service.address for service in fleet.services}
        for address in set(self.direct) - wanted:
            self.direct.pop(address).close()
        for address in wanted - set(self.direct):
            endpoint = await sockets.open_endpoint(
                address, self._direct_receiver(address)
            )
            self.direct[address] = endpoint

    def _direct_receiver(self, service: addresses.Address) -> sockets.Receiver:
        def receive(datagram: bytes, caller: addresses.Address) -> None:
            self._caller_received(datagram, caller, service, None)

        return receive
