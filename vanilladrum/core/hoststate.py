"""State that all parts of one entry host's request processing share."""

import collections
from collections.abc import Callable
import random

import attrs

from vanilladrum.core import actions
from vanilladrum.core import address as addresses
from vanilladrum.core import dispatcher as dispatcher_module
from vanilladrum.core import fleet as fleets
from vanilladrum.core import issuer as issuers
from vanilladrum.core import job as jobs
from vanilladrum.core import membership as memberships
from vanilladrum.core import placement
from vanilladrum.core import request as requests
from vanilladrum.core import table as tables
from vanilladrum.core import timers as timers_module
from vanilladrum.core import token as tokens

JobHook = Callable[[fleets.Service, jobs.Job], None]
AnswerHook = Callable[[fleets.Service, jobs.Job, float], None]


@attrs.define(eq=False)
class HostState:
    """State of one entry host and the actions it has yet to perform.

    :param membership: this host's view of the other entry hosts.
    :param clock: source of time.
    :param rng: source of random choices.
    :param fleet: current configuration, or None before the first one.
    :param request_table: requests that this host owns.
    :param witness_table: requests that other owners recorded on this host.
    :param dispatchers: dispatcher of each service, by service number.
    :param services: configured services by address.
    :param successors: successor of each stopped incarnation.
    :param handed_over_outcomes: outcomes handed over by stopped hosts, by
        owner and request.
    :param stopping: whether a planned stop has begun.
    :param joined: whether another host's membership view was merged.
    :param on_start: called with each job that starts on a server, again for
        a retry but not for a hedged copy.
    :param on_answered: called with each answered job and the seconds since
        its arrival.
    :param on_failure: called with each job that ends as not run or unknown.
    :param pending_actions: actions to perform.
    """

    membership: memberships.Membership
    clock: issuers.Clock
    rng: random.Random
    fleet: fleets.Fleet | None = None
    counters: collections.Counter = attrs.field(factory=collections.Counter)
    request_table: tables.RequestTable = attrs.field(
        factory=tables.RequestTable
    )
    witness_table: tables.WitnessTable = attrs.field(
        factory=tables.WitnessTable
    )
    dispatchers: dict[int, dispatcher_module.Dispatcher] = attrs.field(
        factory=dict
    )
    services: dict[addresses.Address, fleets.Service] = attrs.field(
        factory=dict
    )
    successors: dict[bytes, bytes] = attrs.field(factory=dict)
    handed_over_outcomes: dict[bytes, dict[tables.Key, requests.Response]] = (
        attrs.field(factory=dict)
    )
    stopping: bool = False
    joined: bool = False
    on_start: JobHook | None = None
    on_answered: AnswerHook | None = None
    on_failure: JobHook | None = None
    timers: timers_module.Timers = attrs.field(factory=timers_module.Timers)
    pending_actions: list[actions.Action] = attrs.field(factory=list)
    issuer: issuers.TokenIssuer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.issuer = issuers.TokenIssuer(
            self.membership, self.clock, self.rng
        )

    @property
    def ready(self) -> bool:
        """Return whether this host has a configuration and has joined."""
        return self.fleet is not None and self.joined

    @property
    def generation(self) -> int:
        """Return the generation of the current configuration, 0 if none."""
        return self.fleet.generation if self.fleet else 0

    def dispatcher_pair(
        self, service: fleets.Service
    ) -> placement.DispatcherPair | None:
        """Return a service's dispatcher and witness as this host sees them."""
        return self.issuer.dispatcher_pair(service)

    def reply(
        self, packet: actions.CallerPacket, response: requests.Response
    ) -> None:
        """Count a response and add the action that sends it."""
        self.counters[f"told_{response.outcome.value}"] += 1
        self.pending_actions.append(
            actions.SendToCaller(
                packet.reply_path, packet.request.exchange, response
            )
        )

    def reply_with_new_token(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token | None,
    ) -> None:
        """Ask the caller to repeat a request with a new token."""
        self.reply(
            packet,
            self.issuer.renewal_response(
                packet.reply_path.caller, service, token
            ),
        )

    def send_peer(
        self, destination: addresses.Address, message: object
    ) -> None:
        """Send a message to another entry host."""
        self.pending_actions.append(actions.SendToPeer(destination, message))

    def call_later(self, wait: float, action: Callable[[], None]) -> None:
        """Schedule an action to run after ``wait`` seconds."""
        self.timers.at(self.clock.monotonic() + wait, action)

    def pop_actions(self) -> list[actions.Action]:
        """Return the actions to perform and clear their list."""
        popped = self.pending_actions
        self.pending_actions = []
        return popped
