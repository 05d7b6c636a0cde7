"""Issue and renewal of connection tokens."""

import random
from typing import Protocol

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import fleet as fleets
from vanilladrum.core import membership as memberships
from vanilladrum.core import placement
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens

TOKEN_REFRESH_SECONDS = 60
CONNECTION_BYTES = 8


class Clock(Protocol):
    """Source of time, provided by the daemon or a test."""

    def monotonic(self) -> float:
        """Return seconds of a clock that never goes back."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


@attrs.define(eq=False)
class TokenIssuer:
    """Issues tokens that name the current dispatcher and witness.

    :param membership: this host's view of the other entry hosts.
    :param clock: source of time.
    :param rng: source of random connection ids.
    :param keyring: keys that seal and open tokens.
    """

    membership: memberships.Membership
    clock: Clock
    rng: random.Random
    keyring: tokens.Keyring = attrs.field(factory=tokens.Keyring.empty)
    _pairs: dict[int, placement.DispatcherPair | None] = attrs.field(
        factory=dict
    )
    _membership_version: int = -1

    def dispatcher_pair(
        self, service: fleets.Service
    ) -> placement.DispatcherPair | None:
        """Return dispatcher and witness of a service, as this host sees them.

        The result is cached until the membership changes.

        :returns: None when no host may dispatch.
        """
        if self._membership_version != self.membership.version:
            self._pairs.clear()
            self._membership_version = self.membership.version
        if service.number not in self._pairs:
            self._pairs[service.number] = placement.choose_pair(
                service.number, self.membership.dispatch_candidates()
            )
        return self._pairs[service.number]

    def is_dispatcher(self, service: fleets.Service) -> bool:
        """Return whether this host is the dispatcher of a service."""
        pair = self.dispatcher_pair(service)
        return (
            pair is not None and pair.dispatcher is self.membership.own_entry
        )

    def issue(
        self,
        caller: addresses.Address,
        service: fleets.Service,
        connection: bytes,
        home: int,
    ) -> bytes:
        """Return a new sealed token for a connection.

        When no host may dispatch, the token names this host as the owner
        and no witness.
        """
        pair = self.dispatcher_pair(service)
        if pair is None:
            owner, witness = (
                self.membership.own_entry.incarnation,
                tokens.NO_INCARNATION,
            )
        else:
            owner = pair.dispatcher.incarnation
            witness = pair.witness_incarnation
        token = tokens.Token(
            int(self.clock.wall()),
            service.number,
            home,
            connection,
            owner,
            witness,
        )
        return self.keyring.seal(token, caller)

    def refresh(
        self,
        caller: addresses.Address,
        service: fleets.Service,
        token: tokens.Token,
        home: int,
    ) -> bytes:
        """Return a new sealed token, or b'' while the caller's is current.

        A token is current if it names the present dispatcher, witness and
        home server and was issued recently.
        """
        pair = self.dispatcher_pair(service)
        current = (
            pair is not None
            and pair.dispatcher.incarnation == token.owner
            and pair.witness_incarnation == token.witness
            and home == token.home
            and self.clock.wall() - token.issued_at < TOKEN_REFRESH_SECONDS
        )
        if current:
            return b""
        return self.issue(caller, service, token.connection, home)

    def renewal_response(
        self,
        caller: addresses.Address,
        service: fleets.Service,
        token: tokens.Token | None,
    ) -> requests.Response:
        """Return a response that asks to repeat the request with a new token.

        :param token: the caller's token, or None for a new connection.
        """
        if token is None:
            connection = self.rng.randbytes(CONNECTION_BYTES)
            home = tokens.NO_SERVER
        else:
            connection = token.connection
            home = token.home
        sealed = self.issue(caller, service, connection, home)
        return requests.Response(requests.Outcome.RENEW_TOKEN, token=sealed)

    def unknown_response(
        self,
        caller: addresses.Address,
        service: fleets.Service,
        token: tokens.Token,
    ) -> requests.Response:
        """Return a response that says the request may or may not have run.

        It carries a new token, so that the next request of the connection
        goes to the present dispatcher.
        """
        sealed = self.issue(caller, service, token.connection, token.home)
        return requests.Response(requests.Outcome.UNKNOWN, token=sealed)
