"""The core of an entry host, without any input or output.

It handles typed events and returns the typed actions that the daemon is to
perform.
"""

import attrs

from vanilladrum.core import actions
from vanilladrum.core import address as addresses
from vanilladrum.core import attempt_handling
from vanilladrum.core import attempts as attempts_module
from vanilladrum.core import dispatcher as dispatchers
from vanilladrum.core import fleet as fleets
from vanilladrum.core import generation as generations
from vanilladrum.core import hoststate
from vanilladrum.core import lost_owners
from vanilladrum.core import peer_messages
from vanilladrum.core import routing

MAX_SUCCESSORS = 4096


@attrs.define(eq=False)
class EntryHost(hoststate.HostState):
    """Handles the events and timers of one entry host.

    Each caller's packet goes to the router. The router passes requests for
    this host to the request processor, and the attempt handler dispatches
    them to backend servers.
    """

    attempt_handler: attempt_handling.AttemptHandler = attrs.field(init=False)
    router: routing.Router = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.attempt_handler = attempt_handling.AttemptHandler(self)
        self.router = routing.Router(
            self,
            lost_owners.LostOwnerResolver(self),
            self.attempt_handler.request_processor.process,
        )

    @property
    def attempts(self) -> dict[int, attempts_module.Attempt]:
        """Return the attempts that wait for a server's reply, by number."""
        return self.attempt_handler.attempts.running

    def configure(self, fleet: fleets.Fleet) -> bool:
        """Apply a configuration if it is newer than the current one.

        :returns: whether it was applied.
        :raises ConfigurationError: when it is inconsistent; the current
            configuration stays.
        """
        if not generations.is_newer(self.generation, fleet.generation):
            self.counters["configuration_not_newer"] += 1
            return False
        fleets.validate(fleet)
        self.issuer.keyring = fleet.keyring()
        self.fleet = fleet
        self.membership.generation = fleet.generation
        self.services = fleet.services_by_address()
        now = self.clock.monotonic()
        for service in fleet.services:
            dispatcher = self.dispatchers.get(service.number)
            if dispatcher is None:
                dispatcher = dispatchers.Dispatcher(service, self.rng)
                self.dispatchers[service.number] = dispatcher
            dispatcher.configure(service, now)
        self.counters["configurations_adopted"] += 1
        return True

    def handle(self, event: object) -> list[actions.Action]:
        """Process an event and return the resulting actions."""
        if isinstance(event, actions.CallerPacket):
            self.router.route(event)
        elif isinstance(event, actions.ServerReply):
            self.attempt_handler.on_server_reply(event)
        elif isinstance(event, actions.PeerMessage):
            self._handle_peer_message(event)
        return self.pop_actions()

    def tick(self) -> list[actions.Action]:
        """Run the timers that are due and return the resulting actions."""
        now = self.clock.monotonic()
        self.timers.run(now)
        if self.membership.next_due() <= now:
            for datagram in self.membership.tick(now):
                self.send_peer(datagram.destination, datagram.message)
        return self.pop_actions()

    def next_due(self) -> float:
        """Return when :meth:`tick` is due next, in monotonic seconds."""
        due = self.membership.next_due()
        own_due = self.timers.next_due()
        return due if own_due is None else min(due, own_due)

    def start_leaving(self) -> list[actions.Action]:
        """Begin a planned stop, in which open requests are finished.

        From now on, this host dispatches no new non-idempotent request,
        records none for other hosts and is the dispatcher of no service.
        """
        self.stopping = True
        self.membership.mark_leaving()
        return self.pop_actions()

    def is_drained(self) -> bool:
        """Return whether no request is in progress on this host."""
        return not self.attempts and not self.request_table.pending()

    def view(self) -> peer_messages.Members:
        """Return all members and successors, for a host that joins."""
        membership = self.membership
        return peer_messages.Members(
            (membership.own_entry, *membership.members.values()),
            tuple(self.successors.items()),
        )

    def merge_view(self, view: peer_messages.Members) -> None:
        """Merge another host's members and successors into this host's view.

        This host counts as joined from then on.
        """
        for incarnation, successor in view.successors:
            self.successors.setdefault(incarnation, successor)
        now = self.clock.monotonic()
        self.membership.merge_view(view.members, now)
        self.joined = True

    def _handle_peer_message(self, event: actions.PeerMessage) -> None:
        message = event.message
        now = self.clock.monotonic()
        if isinstance(message, peer_messages.Record):
            self._handle_record(event.source, message, now)
            return
        if isinstance(message, peer_messages.Recorded):
            self.attempt_handler.request_processor.on_record_reply(message)
            return
        if isinstance(message, peer_messages.StopCompleted):
            self._handle_stop_completed(message)
            return
        for datagram in self.membership.receive(event.source, message, now):
            self.send_peer(datagram.destination, datagram.message)

    def _handle_record(
        self,
        source: addresses.Address,
        message: peer_messages.Record,
        now: float,
    ) -> None:
        is_witness = message.witness in self.membership.own_incarnations
        if not is_witness or self.stopping or self.witness_table.is_full():
            self.counters["record_ignored"] += 1
            return
        key = (message.connection, message.exchange)
        recorded = self.witness_table.record(message.owner, key, now)
        self.send_peer(
            source, peer_messages.Recorded(message.owner, *key, not recorded)
        )

    def _handle_stop_completed(
        self, message: peer_messages.StopCompleted
    ) -> None:
        while len(self.successors) >= MAX_SUCCESSORS:
            del self.successors[next(iter(self.successors))]
        self.successors[message.owner] = message.successor
        self.membership.mark_dead(message.owner)
