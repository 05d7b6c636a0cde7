"""Sockets and timer of the request mode, between the network and the core."""

import asyncio
from collections.abc import Callable

import attrs

from vanilladrum.core import actions
from vanilladrum.core import address as addresses
from vanilladrum.core import entryhost
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import peer_messages
from vanilladrum.core import request as requests
from vanilladrum.daemons import settings as settings_module
from vanilladrum.daemons import sockets
from vanilladrum.wire import coap
from vanilladrum.wire import peer_codec
from vanilladrum.wire import tunnel

# Length of the CoAP tokens towards servers; a token is the attempt number.
SERVER_TOKEN_BYTES = 4
# The operating system chooses the port.
ANY_PORT = 0
# Message ids of ended attempts are removed when the number of stored ids
# exceeds twice the number of running attempts by more than this.
SPARE_MESSAGE_IDS = 1024
GenerationCallback = Callable[[addresses.Address, int], None]


@attrs.define(eq=False)
class Transport:
    """Passes received datagrams to the core and carries out its actions.

    :param on_generation: called with the address and the generation of a peer
        that has a newer configuration.
    :param message_ids: CoAP message id by attempt number, so that the copies
        of an attempt have the same id.
    :param next_message_id: next CoAP message id by server.
    :param service_endpoints: sockets bound to service addresses.
    :param tunnel_endpoint: socket for datagrams behind PROXY protocol headers.
    :param server_endpoint: socket for backend servers.
    :param timer: calls :meth:`_tick` when the core is due next.
    :param timer_due: when the timer fires, in monotonic seconds.
    """

    core: entryhost.EntryHost
    codec: peer_codec.Codec
    on_generation: GenerationCallback
    message_ids: dict[int, int] = attrs.field(factory=dict)
    next_message_id: dict[addresses.Address, int] = attrs.field(factory=dict)
    service_endpoints: dict[addresses.Address, sockets.Endpoint] = attrs.field(
        factory=dict
    )
    tunnel_endpoint: sockets.Endpoint | None = None
    timer: asyncio.TimerHandle | None = None
    timer_due: float = 0.0
    peer_endpoint: sockets.Endpoint = attrs.field(init=False)
    server_endpoint: sockets.Endpoint = attrs.field(init=False)

    async def open(self, listen: settings_module.Listen) -> None:
        """Open the sockets.

        :raises SettingsError: when an address cannot be bound.
        """
        self.peer_endpoint = await sockets.open_endpoint(
            listen.peer, self._peer_received
        )
        any_address = addresses.Address(listen.peer.host, ANY_PORT)
        self.server_endpoint = await sockets.open_endpoint(
            any_address, self._server_received
        )
        if listen.tunnel is not None:
            self.tunnel_endpoint = await sockets.open_endpoint(
                listen.tunnel, self._tunnel_received
            )

    def close(self) -> None:
        """Close the sockets and stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
        for endpoint in (
            self.peer_endpoint,
            self.server_endpoint,
            self.tunnel_endpoint,
        ):
            if endpoint is not None:
                endpoint.close()
        for endpoint in self.service_endpoints.values():
            endpoint.close()

    def announce(self, member: peer_messages.Member) -> None:
        """Send this host's member entry and configuration generation."""
        membership = self.core.membership
        ping = peer_messages.Ping(
            0, membership.own_entry, membership.generation, ()
        )
        self.peer_endpoint.send(self.codec.encode(ping), member.address)

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
        owner_lost: bool = False,
    ) -> None:
        """Pass a caller's datagram to the core, or answer a refused one.

        :param via: tunnel endpoint through which the reply returns, None for
            a direct reply.
        :param hops: number of entry hosts that have forwarded it so far.
        :param owner_lost: whether this host has to answer as the witness of a
            lost owner.
        """
        try:
            received = coap.read_request(raw)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        path = coap.reply_path(received, caller, service, via)
        if received.request is None:
            self.core.counters[f"refused_{received.kind}"] += 1
            if received.reply is not None:
                self._send_to_caller(path, received.reply)
            return
        packet = actions.CallerPacket(
            raw, received.request, path, hops, owner_lost
        )
        self.execute(self.core.handle(packet))

    def _server_received(
        self, datagram: bytes, source: addresses.Address
    ) -> None:
        try:
            received = coap.read_response(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        if received is None:
            return
        if received.confirmable:
            ack = coap.encode_acknowledgement(received.message_id)
            self.server_endpoint.send(ack, source)
        attempt_number = int.from_bytes(received.token, "big")
        attempt = self.core.attempts.get(attempt_number)
        if attempt is None or attempt.server.address != source:
            self.core.counters["late_answers"] += 1
            return
        self.message_ids.pop(attempt_number, None)
        reply = actions.ServerReply(
            attempt_number, received.response, received.declined
        )
        self.execute(self.core.handle(reply))

    def _peer_received(
        self, datagram: bytes, source: addresses.Address
    ) -> None:
        self.core.counters["peer_bytes_in"] += len(datagram)
        try:
            message = self.codec.decode(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        if isinstance(message, peer_messages.Forward):
            self._caller_received(
                message.raw,
                message.caller,
                message.service,
                message.via,
                message.hops,
                message.owner_lost,
            )
            return
        self.execute(self.core.handle(actions.PeerMessage(source, message)))
        generation = getattr(message, "generation", 0)
        if generation > self.core.generation:
            self.on_generation(source, generation)

    def execute(self, requested: list[actions.Action]) -> None:
        """Carry out the core's actions and schedule its next tick."""
        for action in requested:
            if isinstance(action, actions.SendToCaller):
                self._send_to_caller(
                    action.reply_path,
                    coap.encode_response(
                        action.reply_path, action.exchange, action.response
                    ),
                )
            elif isinstance(action, actions.SendToServer):
                self._send_to_server(action)
            elif isinstance(action, actions.SendToPeer):
                self._send_to_peer(action)
            else:
                self._send_cancel(action)
        self._schedule_tick()

    def _send_to_caller(
        self, path: requests.ReplyPath, datagram: bytes
    ) -> None:
        if path.via is None:
            endpoint = self.service_endpoints.get(path.service)
            if endpoint is not None:
                endpoint.send(datagram, path.caller)
            return
        if self.tunnel_endpoint is None:
            return
        wrapped = tunnel.wrap(path.service, path.caller, datagram)
        self.tunnel_endpoint.send(wrapped, path.via)

    def _send_to_server(self, action: actions.SendToServer) -> None:
        message_id = self.message_ids.get(action.attempt)
        if message_id is None:
            message_id = self.next_message_id.get(action.server, 0)
            self.next_message_id[action.server] = (message_id + 1) & 0xFFFF
            self.message_ids[action.attempt] = message_id
        token = action.attempt.to_bytes(SERVER_TOKEN_BYTES, "big")
        datagram = coap.encode_request(
            message_id, token, action.request, action.deadline
        )
        self.server_endpoint.send(datagram, action.server)

    def _send_cancel(self, action: actions.CancelAtServer) -> None:
        message_id = self.message_ids.pop(action.attempt, None)
        if message_id is not None:
            self.server_endpoint.send(
                coap.encode_reset(message_id), action.server
            )

    def _send_to_peer(self, action: actions.SendToPeer) -> None:
        datagram = self.codec.encode(action.message)
        counter = "peer_bytes_out"
        if isinstance(action.message, peer_messages.Forward):
            counter = "forward_bytes_out"
        self.core.counters[counter] += len(datagram)
        self.peer_endpoint.send(datagram, action.destination)

    def _schedule_tick(self) -> None:
        due = self.core.next_due()
        if self.timer is not None:
            if self.timer_due <= due:
                return
            self.timer.cancel()
        self.timer_due = due
        loop = asyncio.get_running_loop()
        wait = max(0.0, due - self.core.clock.monotonic())
        self.timer = loop.call_later(wait, self._tick)

    def _tick(self) -> None:
        self.timer = None
        self._prune_message_ids()
        self.execute(self.core.tick())

    def _prune_message_ids(self) -> None:
        if len(self.message_ids) <= 2 * len(self.core.attempts) + 1024:
            return
        self.message_ids = {
            attempt_number: message_id
            for attempt_number, message_id in self.message_ids.items()
            if attempt_number in self.core.attempts
        }

    async def bind_services(self, fleet: fleets.Fleet) -> None:
        """Bind the addresses of all services; close those of removed ones.

        :raises SettingsError: when an address cannot be bound.
        """
        service_addresses = {service.address for service in fleet.services}
        for address in set(self.service_endpoints) - service_addresses:
            self.service_endpoints.pop(address).close()
        for address in service_addresses - set(self.service_endpoints):
            endpoint = await sockets.open_endpoint(
                address, self._make_service_receiver(address)
            )
            self.service_endpoints[address] = endpoint

    def _make_service_receiver(
        self, service: addresses.Address
    ) -> sockets.Receiver:
        def receive(datagram: bytes, caller: addresses.Address) -> None:
            self._caller_received(datagram, caller, service, None)

        return receive
