"""What the decisions of one entry host share: state and what goes out."""

import collections
from collections.abc import Callable
import random

import attrs

from vanilladrum.core import actions
from vanilladrum.core import address as addresses
from vanilladrum.core import dispatcher as dispatchers
from vanilladrum.core import fleet as fleets
from vanilladrum.core import issuer as issuers
from vanilladrum.core import job as jobs
from vanilladrum.core import membership as memberships
from vanilladrum.core import placement
from vanilladrum.core import request as requests
from vanilladrum.core import table as tables
from vanilladrum.core import timers as timing
from vanilladrum.core import token as tokens

WaitHook = Callable[[fleets.Service, jobs.Job], None]
AnswerHook = Callable[[fleets.Service, jobs.Job, float], None]


@attrs.define(eq=False)
class HostState:
    """What one entry host knows and is about to send.

    :param membership: this host's view of the others.
    :param clock: source of time.
    :param rng: source of random choices.
    """

    membership: memberships.Membership
    clock: issuers.Clock
    rng: random.Random
    fleet: fleets.Fleet | None = None
    counters: collections.Counter = attrs.field(factory=collections.Counter)
    table: tables.RequestTable = attrs.field(factory=tables.RequestTable)
    witness: tables.WitnessTable = attrs.field(factory=tables.WitnessTable)
    dispatch: dict[int, dispatchers.Dispatcher] = attrs.field(factory=dict)
    services: dict[addresses.Address, fleets.Service] = attrs.field(
        factory=dict
    )
    heirs: dict[bytes, bytes] = attrs.field(factory=dict)
    inherited: dict[bytes, dict[tables.Key, requests.Response]] = attrs.field(
        factory=dict
    )
    closing: bool = False
    joined: bool = False
    on_wait: WaitHook | None = None
    on_answer: AnswerHook | None = None
    on_failure: WaitHook | None = None
    timers: timing.Timers = attrs.field(factory=timing.Timers)
    out: list[actions.Action] = attrs.field(factory=list)
    issuer: issuers.Issuer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.issuer = issuers.Issuer(self.membership, self.clock, self.rng)

    @property
    def ready(self) -> bool:
        """Return whether this host may be given callers' packets."""
        return self.fleet is not None and self.joined

    @property
    def generation(self) -> int:
        """Return the generation in force, 0 for none."""
        return self.fleet.generation if self.fleet else 0

    def pair(self, service: fleets.Service) -> placement.Pair | None:
        """Return dispatcher and witness of a service in this view."""
        return self.issuer.pair(service)

    def reply(
        self, packet: actions.CallerPacket, response: requests.Response
    ) -> None:
        """Answer a packet on the way that it came."""
        self.counters[f"told_{response.outcome.value}"] += 1
        self.out.append(
            actions.SendToCaller(
                packet.path, packet.request.exchange, response
            )
        )

    def renew(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token | None,
    ) -> None:
        """Ask a caller to repeat a request under a fresh token."""
        self.reply(
            packet, self.issuer.renewal(packet.path.caller, service, token)
        )

    def send_peer(self, to: addresses.Address, message: object) -> None:
        """Send a message to another entry host."""
        self.out.append(actions.SendToPeer(to, message))

    def later(self, wait: float, action: Callable[[], None]) -> None:
        """Run an action after so many seconds."""
        self.timers.at(self.clock.monotonic() + wait, action)

    def drain(self) -> list[actions.Action]:
        """Return what is to be sent, and forget it."""
        out = self.out
        self.out = []
        return out
