"""Responses to requests whose owner is lost or has stopped."""

import attrs

from vanilladrum.core import actions
from vanilladrum.core import fleet as fleets
from vanilladrum.core import hoststate
from vanilladrum.core import ownership
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens


@attrs.define(eq=False)
class LostOwnerResolver:
    """Answers requests of a lost owner without ever running them.

    It uses the outcomes that a stopped host handed over to this one, or
    the records of the witness table.
    """

    state: hoststate.HostState

    def can_resolve(self, token: tokens.Token) -> bool:
        """Return whether this host can answer for the token's owner.

        That is the case if it is the token's owner or witness, or the
        successor of one of them.
        """
        own_incarnations = self.state.membership.own_incarnations
        holders = (
            self.successor_of(token.owner),
            self.successor_of(token.witness),
        )
        return any(holder in own_incarnations for holder in holders)

    def resolve(
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
        outcomes = self.state.handed_over_outcomes.get(token.owner)
        if outcomes is not None:
            response = outcomes.get(key)
            if response is None:
                self.state.reply_with_new_token(packet, service, token)
            elif response.outcome == requests.Outcome.UNKNOWN:
                self.state.reply(
                    packet,
                    self.state.issuer.unknown_response(
                        packet.reply_path.caller, service, token
                    ),
                )
            else:
                self.state.reply(packet, response)
            return
        now = self.state.clock.monotonic()
        status = self.state.witness_table.fence_and_check(
            token.owner, key, now
        )
        self.state.counters[f"judged_{status.value}"] += 1
        if status == ownership.ExecutionStatus.NEVER_RUN:
            self.state.reply_with_new_token(packet, service, token)
            return
        self.state.reply(
            packet,
            self.state.issuer.unknown_response(
                packet.reply_path.caller, service, token
            ),
        )

    def successor_of(self, incarnation: bytes) -> bytes:
        """Return the last successor of an incarnation, or itself if none.

        Stops at an incarnation that it has visited, so a cycle among the
        successors does not loop for ever.
        """
        visited = set()
        while (
            incarnation in self.state.successors and incarnation not in visited
        ):
            visited.add(incarnation)
            incarnation = self.state.successors[incarnation]
        return incarnation
