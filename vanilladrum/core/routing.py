"""Routing of callers' packets between entry hosts.

A packet is processed on this host, forwarded to another one, or answered on
behalf of an owner that is lost.
"""

from collections.abc import Callable

import attrs

from vanilladrum.core import actions
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import hoststate
from vanilladrum.core import incarnations
from vanilladrum.core import lost_owners
from vanilladrum.core import peer_messages
from vanilladrum.core import token as tokens

MAX_HOPS = 4
# Age up to which a token is too recent to answer for its unknown owner:
# gossip may not have announced the owner here yet.
UNKNOWN_OWNER_GRACE_SECONDS = 10
ProcessCallback = Callable[
    [actions.CallerPacket, fleets.Service, tokens.Token], None
]


@attrs.define(eq=False)
class Router:
    """Routes callers' packets to the entry host responsible for them.

    :param resolver: answers requests whose owner is lost.
    :param process: called with each packet that this host processes itself.
    """

    state: hoststate.HostState
    resolver: lost_owners.LostOwnerResolver
    process: ProcessCallback

    def route(self, packet: actions.CallerPacket) -> None:
        """Check the packet's token, then process or forward the packet.

        A packet without a valid token is answered with a new one. A packet
        for an unknown service or with an unknown key is ignored.
        """
        service = self.state.services.get(packet.reply_path.service)
        if service is None:
            self.state.counters["no_such_service"] += 1
            return
        token = self._open_token(packet, service)
        if token is None:
            return
        if packet.request.idempotent:
            self._route_idempotent(packet, service, token)
            return
        self._route_owned(packet, service, token)

    def _open_token(
        self, packet: actions.CallerPacket, service: fleets.Service
    ) -> tokens.Token | None:
        sealed = packet.request.token
        if not sealed:
            self.state.counters["new_connections"] += 1
            self.state.reply_with_new_token(packet, service, None)
            return None
        try:
            token = self.state.issuer.keyring.open(
                sealed, packet.reply_path.caller
            )
        except errors.TokenError as error:
            self.state.counters[f"token_{error.kind}"] += 1
            if error.kind == "forged":
                self.state.reply_with_new_token(packet, service, None)
            # With an unknown key, the packet is ignored: another entry host
            # may have the key and run a copy of the request, so that any
            # reply from here could be wrong.
            return None
        if token.service != service.number:
            self.state.counters["token_foreign"] += 1
            self.state.reply_with_new_token(packet, service, None)
            return None
        return token

    def _route_idempotent(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        pair = self.state.dispatcher_pair(service)
        own_entry = self.state.membership.own_entry
        if (
            pair is None
            or pair.dispatcher is own_entry
            or packet.hops >= MAX_HOPS
        ):
            self.process(packet, service, token)
            return
        self._forward(packet, pair.dispatcher, owner_lost=False)

    def _route_owned(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        if token.owner in self.state.membership.own_incarnations:
            self.process(packet, service, token)
            return
        if packet.hops >= MAX_HOPS:
            self.state.counters["hop_limit"] += 1
            return
        if packet.owner_lost and self.resolver.can_resolve(token):
            self.resolver.resolve(packet, service, token)
            return
        owner = self.state.membership.find(token.owner)
        if owner is None and token.owner not in self.state.successors:
            self._route_unknown_owner(packet, service, token)
            return
        if owner is not None and not self.state.membership.is_dead(
            token.owner
        ):
            self._forward(packet, owner, owner_lost=False)
            return
        self._route_lost_owner(packet, service, token)

    def _route_unknown_owner(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        """Route a packet whose owner is not in this host's membership view.

        A missing entry does not prove that the owner is lost. The packet
        goes to the witness, which has been in contact with the owner, or
        else to the dispatcher, which may have an entry for it.
        """
        age = self.state.clock.wall() - token.issued_at
        recently_issued = age <= UNKNOWN_OWNER_GRACE_SECONDS
        if token.witness in self.state.membership.own_incarnations:
            if recently_issued:
                self._ignore_unknown_owner()
                return
            self.resolver.resolve(packet, service, token)
            return
        witness = self.state.membership.find(token.witness)
        pair = self.state.dispatcher_pair(service)
        if witness is not None and witness.state != incarnations.State.DEAD:
            self._forward(packet, witness, owner_lost=False)
        elif pair and pair.dispatcher is not self.state.membership.own_entry:
            self._forward(packet, pair.dispatcher, owner_lost=False)
        elif recently_issued:
            self._ignore_unknown_owner()
        else:
            self.state.counters["owner_and_witness_lost"] += 1
            self.state.reply(
                packet,
                self.state.issuer.unknown_response(
                    packet.reply_path.caller, service, token
                ),
            )

    def _ignore_unknown_owner(self) -> None:
        # A recently issued token may name an incarnation that gossip has
        # not announced here yet. Fencing it would force the owner to start
        # another new incarnation, which could be fenced in turn. The caller
        # retransmits its packet.
        self.state.counters["stranger_ignored"] += 1

    def _route_lost_owner(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        """Answer for an owner that is dead or has stopped, or forward.

        The packet goes to the owner's successor if that is alive, else to
        the witness or the witness's successor. If none of them is alive,
        the response is that the request may or may not have run.
        """
        for candidate in (token.owner, token.witness):
            holder = self.resolver.successor_of(candidate)
            if holder in self.state.membership.own_incarnations:
                self.resolver.resolve(packet, service, token)
                return
            member = self.state.membership.find(holder)
            if holder == token.owner or member is None:
                continue
            if member.state == incarnations.State.DEAD:
                continue
            self._forward(packet, member, owner_lost=True)
            return
        self.state.counters["owner_and_witness_lost"] += 1
        self.state.reply(
            packet,
            self.state.issuer.unknown_response(
                packet.reply_path.caller, service, token
            ),
        )

    def _forward(
        self,
        packet: actions.CallerPacket,
        to: peer_messages.Member,
        owner_lost: bool,
    ) -> None:
        self.state.counters["forwarded"] += 1
        message = peer_messages.Forward(
            packet.raw,
            packet.reply_path.caller,
            packet.reply_path.service,
            packet.reply_path.via,
            packet.hops + 1,
            owner_lost,
        )
        self.state.send_peer(to.address, message)
