"""Issues connection tokens and says which ones are outdated."""

import random
from typing import Protocol

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import fleet as fleets
from vanilladrum.core import membership as memberships
from vanilladrum.core import placement
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens

RENEW_SECONDS = 60
CONNECTION_BYTES = 8


class Clock(Protocol):
    """Time as the daemon or a test gives it."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""

    def wall(self) -> float:
        """Return seconds since 1970."""


@attrs.define(eq=False)
class Issuer:
    """Seals tokens that name the dispatcher and witness of the moment.

    :param membership: this host's view of the others.
    """

    membership: memberships.Membership
    clock: Clock
    rng: random.Random
    keyring: tokens.Keyring = attrs.field(factory=tokens.Keyring.empty)
    _pairs: dict[int, placement.Pair | None] = attrs.field(factory=dict)
    _pairs_version: int = -1

    def pair(self, service: fleets.Service) -> placement.Pair | None:
        """Return dispatcher and witness of a service in this view."""
        if self._pairs_version != self.membership.version:
            self._pairs.clear()
            self._pairs_version = self.membership.version
        if service.number not in self._pairs:
            self._pairs[service.number] = placement.choose_pair(
                service.number, self.membership.trusted()
            )
        return self._pairs[service.number]

    def dispatches(self, service: fleets.Service) -> bool:
        """Return whether this host is the dispatcher of a service."""
        pair = self.pair(service)
        return pair is not None and pair.dispatcher is self.membership.me

    def fresh(
        self,
        caller: addresses.Address,
        service: fleets.Service,
        connection: bytes,
        home: int,
    ) -> bytes:
        """Return a sealed token for a connection."""
        pair = self.pair(service)
        if pair is None:
            owner, witness = self.membership.me.incarnation, tokens.NO_HOST
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
        """Return a newer token when the caller's is outdated, or b''."""
        pair = self.pair(service)
        current = (
            pair is not None
            and pair.dispatcher.incarnation == token.owner
            and pair.witness_incarnation == token.witness
            and home == token.home
            and self.clock.wall() - token.issued_at < RENEW_SECONDS
        )
        if current:
            return b""
        return self.fresh(caller, service, token.connection, home)

    def renewal(
        self,
        caller: addresses.Address,
        service: fleets.Service,
        token: tokens.Token | None,
    ) -> requests.Response:
        """Return the response that asks to repeat under a fresh token."""
        if token is None:
            connection = self.rng.randbytes(CONNECTION_BYTES)
            home = tokens.NO_SERVER
        else:
            connection = token.connection
            home = token.home
        sealed = self.fresh(caller, service, connection, home)
        return requests.Response(requests.Outcome.RENEW_TOKEN, token=sealed)

    def unknown(
        self,
        caller: addresses.Address,
        service: fleets.Service,
        token: tokens.Token,
    ) -> requests.Response:
        """Return the response that leaves open whether a request ran."""
        sealed = self.fresh(caller, service, token.connection, token.home)
        return requests.Response(requests.Outcome.UNKNOWN, token=sealed)
