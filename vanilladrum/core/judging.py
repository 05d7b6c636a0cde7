"""Responses to requests whose owner is lost or has stopped."""

import attrs

from vanilladrum.core import actions
from vanilladrum.core import fleet as fleets
from vanilladrum.core import hoststate
from vanilladrum.core import ownership
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens


@attrs.define(eq=False)
class Judge:
    """Answers requests of a lost owner without ever running them.

    It uses the outcomes that a stopped host handed over to this one, or
    the records that this host keeps as a witness.
    """

    state: hoststate.HostState

    def judges(self, token: tokens.Token) -> bool:
        """Return whether this host can answer for the token's owner.

        That is the case if it is the token's owner or witness, or the
        successor of one of them.
        """
        own_incarnations = self.state.membership.own_incarnations
        holders = (self.heir_of(token.owner), self.heir_of(token.witness))
        return any(holder in own_incarnations for holder in holders)

    def judge(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        """Answer a request of a lost owner.

        If the owner handed its request table over to this host, the
        outcome in the table decides, and a request without one never ran.
        Otherwise this host fences the owner as its witness and looks for a
        record of the request. A request that never ran is to be repeated
        under a new token.
        """
        key = (token.connection, packet.request.exchange)
        outcomes = self.state.inherited.get(token.owner)
        if outcomes is not None:
            response = outcomes.get(key)
            if response is None:
                self.state.renew(packet, service, token)
            elif response.outcome == requests.Outcome.UNKNOWN:
                self.state.reply(
                    packet,
                    self.state.issuer.unknown(
                        packet.path.caller, service, token
                    ),
                )
            else:
                self.state.reply(packet, response)
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
        """Return the last successor of an incarnation, or itself if none.

        Stops at an incarnation that it has visited, so a cycle among the
        successors does not loop for ever.
        """
        seen = set()
        while incarnation in self.state.heirs and incarnation not in seen:
            seen.add(incarnation)
            incarnation = self.state.heirs[incarnation]
        return incarnation
