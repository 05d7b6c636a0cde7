"""What to tell of requests whose owner has ended."""

import attrs

from vanilladrum.core import actions
from vanilladrum.core import fleet as fleets
from vanilladrum.core import hoststate
from vanilladrum.core import ownership
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens


@attrs.define(eq=False)
class Judge:
    """Answers for lost owners, from what this host recorded or inherited."""

    state: hoststate.HostState

    def judges(self, token: tokens.Token) -> bool:
        mine = self.state.membership.own_incarnations
        holders = (self.heir_of(token.owner), self.heir_of(token.witness))
        return any(holder in mine for holder in holders)

    def judge(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        key = (token.connection, packet.request.exchange)
        closed = self.state.inherited.get(token.owner)
        if closed is not None:
            told = closed.get(key)
            if told is None:
                self.state.renew(packet, service, token)
            elif told.outcome == requests.Outcome.UNKNOWN:
                self.state.reply(
                    packet,
                    self.state.issuer.unknown(
                        packet.path.caller, service, token
                    ),
                )
            else:
                self.state.reply(packet, told)
            return
        now = self.state.clock.monotonic()
        judgement = self.state.witness.judge(token.owner, key, now)
        self.state.counters[f"judged_{judgement.value}"] += 1
        if judgement == ownership.Judgement.NEVER_RUN:
            self.state.renew(packet, service, token)
            return
        self.state.reply(
            packet,
            self.state.issuer.unknown(packet.path.caller, service, token),
        )

    def heir_of(self, incarnation: bytes) -> bytes:
        seen = set()
        while incarnation in self.state.heirs and incarnation not in seen:
            seen.add(incarnation)
            incarnation = self.state.heirs[incarnation]
        return incarnation
