"""The decisions of an entry host: typed events in, typed actions out."""

import attrs

from vanilladrum.core import actions
from vanilladrum.core import address as addresses
from vanilladrum.core import attempts as sendings
from vanilladrum.core import dispatcher as dispatchers
from vanilladrum.core import dispatching as dispatchings
from vanilladrum.core import fleet as fleets
from vanilladrum.core import generation as generations
from vanilladrum.core import hoststate
from vanilladrum.core import judging
from vanilladrum.core import peers
from vanilladrum.core import routing

HEIR_LIMIT = 4096


@attrs.define(eq=False)
class EntryHost(hoststate.HostState):
    """State and decisions of one entry host.

    Packets of callers go through the router to the requests that this host
    serves, and from there to attempts at backend servers.
    """

    dispatching: dispatchings.Dispatching = attrs.field(init=False)
    router: routing.Router = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.dispatching = dispatchings.Dispatching(self)
        self.router = routing.Router(
            self, judging.Judge(self), self.dispatching.serving.serve
        )

    @property
    def attempts(self) -> dict[int, sendings.Attempt]:
        """Return the attempts that wait for a server's reply."""
        return self.dispatching.sent.running

    def configure(self, fleet: fleets.Fleet) -> bool:
        """Adopt a configuration if it is newer and valid.

        :returns: whether it was adopted.
        :raises ConfigurationError: when it contradicts itself; what was in
            force stays in force.
        """
        if not generations.adopts(self.generation, fleet.generation):
            self.counters["configuration_not_newer"] += 1
            return False
        fleets.validate(fleet)
        self.issuer.keyring = fleet.keyring()
        self.fleet = fleet
        self.membership.generation = fleet.generation
        self.services = fleet.by_address()
        now = self.clock.monotonic()
        for service in fleet.services:
            known = self.dispatch.get(service.number)
            if known is None:
                known = dispatchers.Dispatcher(service, self.rng)
                self.dispatch[service.number] = known
            known.configure(service, now)
        self.counters["configurations_adopted"] += 1
        return True

    def handle(self, event: object) -> list[actions.Action]:
        """Treat one event and return what is to be sent."""
        if isinstance(event, actions.CallerPacket):
            self.router.route(event)
        elif isinstance(event, actions.ServerReply):
            self.dispatching.server_reply(event)
        elif isinstance(event, actions.PeerMessage):
            self._peer_message(event)
        return self.drain()

    def tick(self) -> list[actions.Action]:
        """Run the timers that are due."""
        now = self.clock.monotonic()
        self.timers.run(now)
        if self.membership.next_timer() <= now:
            for datagram in self.membership.tick(now):
                self.send_peer(datagram.to, datagram.message)
        return self.drain()

    def next_timer(self) -> float:
        """Return when :meth:`tick` is due next."""
        due = self.membership.next_timer()
        own = self.timers.next_due()
        return due if own is None else min(due, own)

    def start_leaving(self) -> list[actions.Action]:
        """Begin a planned stop: finish what runs, take nothing new."""
        self.closing = True
        self.membership.leave()
        return self.drain()

    def finished(self) -> bool:
        """Return whether a stop would cut nothing off."""
        return not self.attempts and not self.table.pending()

    def view(self) -> peers.Members:
        """Return the whole view, for a host that joins."""
        membership = self.membership
        return peers.Members(
            (membership.me, *membership.members.values()),
            tuple(self.heirs.items()),
        )

    def merge_view(self, view: peers.Members) -> None:
        """Take in the whole view of another host."""
        for ended, heir in view.heirs:
            self.heirs.setdefault(ended, heir)
        now = self.clock.monotonic()
        self.membership.merge_all(view.members, now)
        self.joined = True

    # Messages of other entry hosts

    def _peer_message(self, event: actions.PeerMessage) -> None:
        message = event.message
        now = self.clock.monotonic()
        if isinstance(message, peers.Record):
            self._record_for(event.source, message, now)
            return
        if isinstance(message, peers.Recorded):
            self.dispatching.serving.recorded(message)
            return
        if isinstance(message, peers.Closed):
            self._closed(message)
            return
        for datagram in self.membership.receive(event.source, message, now):
            self.send_peer(datagram.to, datagram.message)

    def _record_for(
        self,
        source: addresses.Address,
        message: peers.Record,
        now: float,
    ) -> None:
        mine = message.witness in self.membership.own_incarnations
        if not mine or self.closing or self.witness.full():
            self.counters["record_ignored"] += 1
            return
        key = (message.connection, message.exchange)
        recorded = self.witness.record(message.owner, key, now)
        self.send_peer(
            source, peers.Recorded(message.owner, *key, not recorded)
        )

    def _closed(self, message: peers.Closed) -> None:
        while len(self.heirs) >= HEIR_LIMIT:
            del self.heirs[next(iter(self.heirs))]
        self.heirs[message.owner] = message.holder
        self.membership.bury(message.owner)
