"""Where a caller's packet goes: served here, passed on, or judged."""

from collections.abc import Callable

import attrs

from vanilladrum.core import actions
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import hoststate
from vanilladrum.core import judging
from vanilladrum.core import peers
from vanilladrum.core import starts
from vanilladrum.core import token as tokens

MAX_HOPS = 4
STRANGER_GRACE_SECONDS = 10
Serve = Callable[[actions.CallerPacket, fleets.Service, tokens.Token], None]


@attrs.define(eq=False)
class Router:
    """Takes callers' packets to the host that may treat them.

    :param serve: takes what this host treats itself.
    """

    state: hoststate.HostState
    judge: judging.Judge
    serve: Serve

    def route(self, packet: actions.CallerPacket) -> None:
        service = self.state.services.get(packet.path.service)
        if service is None:
            self.state.counters["no_such_service"] += 1
            return
        token = self._open(packet, service)
        if token is None:
            return
        if packet.request.idempotent:
            self._route_idempotent(packet, service, token)
            return
        self._route_owned(packet, service, token)

    def _open(
        self, packet: actions.CallerPacket, service: fleets.Service
    ) -> tokens.Token | None:
        sealed = packet.request.token
        if not sealed:
            self.state.counters["new_connections"] += 1
            self.state.renew(packet, service, None)
            return None
        try:
            token = self.state.issuer.keyring.open(sealed, packet.path.caller)
        except errors.TokenError as error:
            self.state.counters[f"token_{error.kind}"] += 1
            if error.kind == "forged":
                self.state.renew(packet, service, None)
            # A key that is unknown here may be in force elsewhere, where
            # a copy may run: nothing true can be told.
            return None
        if token.service != service.number:
            self.state.counters["token_foreign"] += 1
            self.state.renew(packet, service, None)
            return None
        return token

    def _route_idempotent(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        pair = self.state.pair(service)
        me = self.state.membership.me
        if pair is None or pair.dispatcher is me or packet.hops >= MAX_HOPS:
            self.serve(packet, service, token)
            return
        self._forward(packet, pair.dispatcher, judge=False)

    def _route_owned(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        if token.owner in self.state.membership.own_incarnations:
            self.serve(packet, service, token)
            return
        if packet.hops >= MAX_HOPS:
            self.state.counters["hop_limit"] += 1
            return
        if packet.judge and self.judge.judges(token):
            self.judge.judge(packet, service, token)
            return
        owner = self.state.membership.find(token.owner)
        if owner is None and token.owner not in self.state.heirs:
            self._route_stranger(packet, service, token)
            return
        if owner is not None and not self.state.membership.is_lost(
            token.owner
        ):
            self._forward(packet, owner, judge=False)
            return
        self._ask_judge(packet, service, token)

    def _route_stranger(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        """Pass on a packet whose owner this host has never heard of.

        Not to know an owner is no reason to give it up: its witness has
        met it, and the dispatcher may have.
        """
        age = self.state.clock.wall() - token.issued_at
        heard_late = age <= STRANGER_GRACE_SECONDS
        if token.witness in self.state.membership.own_incarnations:
            if heard_late:
                self._ignore_stranger()
                return
            self.judge.judge(packet, service, token)
            return
        witness = self.state.membership.find(token.witness)
        pair = self.state.pair(service)
        if witness is not None and witness.state != starts.State.DEAD:
            self._forward(packet, witness, judge=False)
        elif pair and pair.dispatcher is not self.state.membership.me:
            self._forward(packet, pair.dispatcher, judge=False)
        elif heard_late:
            self._ignore_stranger()
        else:
            self.state.counters["owner_and_witness_lost"] += 1
            self.state.reply(
                packet,
                self.state.issuer.unknown(packet.path.caller, service, token),
            )

    def _ignore_stranger(self) -> None:
        # A fresh token may name an incarnation whose news is on its way;
        # fencing it would make it take another one, and so on. The caller
        # repeats its packet.
        self.state.counters["stranger_ignored"] += 1

    def _ask_judge(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        for candidate in (token.owner, token.witness):
            holder = self.judge.heir_of(candidate)
            if holder in self.state.membership.own_incarnations:
                self.judge.judge(packet, service, token)
                return
            member = self.state.membership.find(holder)
            if holder == token.owner or member is None:
                continue
            if member.state == starts.State.DEAD:
                continue
            self._forward(packet, member, judge=True)
            return
        self.state.counters["owner_and_witness_lost"] += 1
        self.state.reply(
            packet,
            self.state.issuer.unknown(packet.path.caller, service, token),
        )

    def _forward(
        self, packet: actions.CallerPacket, to: peers.Member, judge: bool
    ) -> None:
        self.state.counters["forwarded"] += 1
        message = peers.Forward(
            packet.raw,
            packet.path.caller,
            packet.path.service,
            packet.path.via,
            packet.hops + 1,
            judge,
        )
        self.state.send_peer(to.address, message)
