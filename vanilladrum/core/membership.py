"""SWIM-style failure detection between entry hosts.

In each period a host probes one other host. If no acknowledgement arrives,
it asks a few other hosts to probe the target (indirect probes), then marks
the target as suspected, and finally as dead. A host that receives a suspicion
of itself refutes it. An incarnation that was declared dead stays dead: the
host continues under a new incarnation. The cost per host does not depend on
the number of hosts.
"""

import random

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import gossip as gossip_module
from vanilladrum.core import incarnations
from vanilladrum.core import peer_messages
from vanilladrum.core import probe_order
from vanilladrum.core import suspicions

# Hosts that are asked to probe a target that did not answer.
INDIRECT_PROBES = 2
# Limit of probes on behalf of other hosts whose acknowledgement is
# outstanding; above it the oldest one is dropped.
MAX_RELAYED_PROBES = 64
# Probe periods without a tick after which this process counts as paused.
PAUSE_PERIODS = 3.0
# Number of entries, dead or not, above which dead ones are evicted.
EVICTION_THRESHOLD = 4096
State = incarnations.State


@attrs.frozen
class Timing:
    """Intervals of the failure detector, in seconds.

    :param period: interval between the probes that a host sends.
    :param probe_timeout: time without an acknowledgement after which
        indirect probes are requested; the target is suspected at the end of
        the period.
    :param suspicion: time after which the host that raised a suspicion
        declares the suspect dead, in a group of up to 8 hosts; longer in
        larger groups.
    :param reconnect: interval between pings to the address of a dead host or
        an unreached seed, one address at a time.
    """

    period: float = 0.2
    probe_timeout: float = 0.1
    suspicion: float = 0.8
    reconnect: float = 2.0


@attrs.frozen
class Datagram:
    """A message to send to another entry host.

    :param destination: its endpoint for entry hosts.
    :param message: an instance of a class of
        :mod:`vanilladrum.core.peer_messages`.
    """

    destination: addresses.Address
    message: object


@attrs.define
class _Probe:
    target: bytes
    indirect_requested: bool
    started: float


@attrs.define
class Membership:
    """One host's view of all entry hosts.

    :param own_entry: entry of this host, replaced when it takes a new
        incarnation.
    :param rng: random number generator for the probe order, the hosts that
        send indirect probes and the addresses of reconnects.
    :param generation: generation of the configuration in force here.
    :param members: entries of other hosts by incarnation, dead ones included.
    :param seeds: addresses that are pinged while no alive or suspected host
        has them.
    :param own_incarnations: all incarnations of this process, past ones too.
    :param generations: configuration generation in the last message of each
        incarnation.
    :param version: incremented with each change of an entry.
    :param false_positives: how often this host was declared dead while alive.
    """

    own_entry: peer_messages.Member
    rng: random.Random
    timing: Timing = attrs.field(factory=Timing)
    generation: int = 0
    members: dict[bytes, peer_messages.Member] = attrs.field(factory=dict)
    seeds: tuple[addresses.Address, ...] = ()
    own_incarnations: set[bytes] = attrs.field(factory=set)
    generations: dict[bytes, int] = attrs.field(factory=dict)
    version: int = 0
    false_positives: int = 0
    _gossip_queue: gossip_module.GossipQueue = attrs.field(
        factory=gossip_module.GossipQueue
    )
    _probe: _Probe | None = None
    _suspicions: suspicions.Suspicions = attrs.field(init=False)
    _relayed_probes: dict[int, tuple[addresses.Address, int]] = attrs.field(
        factory=dict
    )
    _probe_order: probe_order.ProbeOrder = attrs.field(init=False)
    _sequence: int = 0
    _next_probe: float = 0.0
    _last_tick: float = 0.0
    _announcement_due: bool = False
    _next_reconnect: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.own_incarnations.add(self.own_entry.incarnation)
        self._probe_order = probe_order.ProbeOrder(self.rng)
        self._suspicions = suspicions.Suspicions(self.timing.suspicion)

    def alive(self) -> list[peer_messages.Member]:
        """Return the hosts that are alive or suspected, this one included.

        Hosts that are leaving take no new work and are left out, this host
        too once its own stop has begun.
        """
        return self._with_states(State.ALIVE, State.SUSPECT)

    def dispatch_candidates(self) -> list[peer_messages.Member]:
        """Return the hosts in state ``ALIVE``; only they may dispatch.

        A suspected host stops being a dispatcher before it is declared dead,
        because two dispatchers for a short time do less harm than one that
        does not respond.
        """
        return self._with_states(State.ALIVE)

    def _with_states(self, *states: State) -> list[peer_messages.Member]:
        found = [
            member
            for member in self.members.values()
            if member.state in states
        ]
        if self.own_entry.state == State.ALIVE:
            found.append(self.own_entry)
        return found

    def find(self, incarnation: bytes) -> peer_messages.Member | None:
        """Return the entry of an incarnation, also if it is dead, or None.

        For any incarnation of this process it is the current own entry.
        """
        if incarnation in self.own_incarnations:
            return self.own_entry
        return self.members.get(incarnation)

    def is_dead(self, incarnation: bytes) -> bool:
        """Return whether an incarnation is known to be dead."""
        member = self.find(incarnation)
        return member is not None and member.state == State.DEAD

    def merge_view(
        self, members: tuple[peer_messages.Member, ...], now: float
    ) -> None:
        """Merge the entries of another host's complete view into this one.

        :param now: monotonic seconds.
        """
        for member in members:
            self._merge(member, now)

    def mark_leaving(self) -> None:
        """Set this host's state to ``LEAVING`` and queue it as gossip."""
        self._set_own_entry(attrs.evolve(self.own_entry, state=State.LEAVING))

    def start_new_incarnation(self, after: bytes | None = None) -> None:
        """Give this host the next start number and thus a new incarnation.

        Peers mark the old incarnation dead when they receive the new one.

        :param after: start number that the new one follows; the current one
            of this host if None.
        """
        start = incarnations.next_start(after or self.own_entry.start)
        self._set_own_entry(
            attrs.evolve(self.own_entry, start=start, refutation=0)
        )
        self._announcement_due = True

    def mark_dead(self, incarnation: bytes) -> None:
        """Set the state of an incarnation that has ended to ``DEAD``.

        Unknown incarnations and those of this process are ignored.
        """
        if incarnation not in self.own_incarnations:
            self._set_state(incarnation, State.DEAD)

    def next_due(self) -> float:
        """Return when :meth:`tick` is due next, in monotonic seconds.

        A due reconnect waits for the tick of the next probe.
        """
        if self._announcement_due:
            return self._last_tick
        due = [self._next_probe, *self._suspicions.deadlines.values()]
        if self._probe and not self._probe.indirect_requested:
            due.append(self._probe.started + self.timing.probe_timeout)
        return min(due)

    def tick(self, now: float) -> list[Datagram]:
        """Run the probes, suspicion timeouts and reconnects that are due.

        :param now: monotonic seconds.
        :returns: messages to send.
        """
        sent: list[Datagram] = []
        self._compensate_for_pause(now)
        if self._announcement_due:
            self._announcement_due = False
            sent.extend(self._announce_incarnation())
        for incarnation in self._suspicions.pop_expired(now):
            self._set_state(incarnation, State.DEAD)
        probe = self._probe
        timeout = self.timing.probe_timeout
        if probe and not probe.indirect_requested:
            if now >= probe.started + timeout:
                probe.indirect_requested = True
                sent.extend(self._request_indirect_probes(probe))
        if now >= self._next_probe:
            self._expire_probe(now)
            sent.extend(self._ping_suspects())
            self._next_probe = now + self.timing.period
            sent.extend(self._start_probe(now))
        if now >= self._next_reconnect:
            self._next_reconnect = now + self.timing.reconnect
            sent.extend(self._probe_dead_address())
        return sent

    def _announce_incarnation(self) -> list[Datagram]:
        """Announce the new incarnation in pings to all hosts not dead.

        They must receive it before connection tokens that name it.
        """
        self._sequence += 1
        ping = self._make_ping(self._sequence)
        return [
            Datagram(member.address, ping)
            for member in self.members.values()
            if member.state != State.DEAD
        ]

    def _compensate_for_pause(self, now: float) -> None:
        """Exclude a pause of this process from all timeouts.

        Drops the pending probe and extends all suspicions by the pause: other
        hosts may have answered while this process could not receive.
        """
        elapsed = now - self._last_tick
        paused = (
            self._last_tick and elapsed > PAUSE_PERIODS * self.timing.period
        )
        self._last_tick = now
        if not paused:
            return
        self._probe = None
        self._suspicions.extend_all(elapsed)

    def receive(
        self, source: addresses.Address, message: object, now: float
    ) -> list[Datagram]:
        """Handle a ping, an acknowledgement or an indirect probe request.

        :param source: address that sent the message.
        :param now: monotonic seconds.
        :returns: messages to send; empty for any other message type.
        """
        if isinstance(message, (peer_messages.Ping, peer_messages.Ack)):
            sender = message.sender.incarnation
            self.generations[sender] = message.generation
        if isinstance(message, peer_messages.Ping):
            self._merge_gossip(message.sender, message.gossip, now)
            return [Datagram(source, self._make_ack(message))]
        if isinstance(message, peer_messages.Ack):
            self._merge_gossip(message.sender, message.gossip, now)
            return self._handle_ack(message)
        if isinstance(message, peer_messages.PingRequest):
            self._merge_gossip(message.sender, (), now)
            return [self._relay_probe(source, message)]
        return []

    def _make_ack(self, ping: peer_messages.Ping) -> peer_messages.Ack:
        gossip = self._gossip_queue.next_updates()
        known = self.members.get(ping.sender.incarnation)
        if known and known.state in (State.DEAD, State.SUSPECT):
            gossip = (
                known,
                *incarnations.latest_newer_start(known, self.members),
                *gossip,
            )
        return peer_messages.Ack(
            ping.sequence, self.own_entry, self.generation, gossip
        )

    def _handle_ack(self, ack: peer_messages.Ack) -> list[Datagram]:
        relayed = self._relayed_probes.pop(ack.sequence, None)
        if relayed:
            requester, sequence = relayed
            answer = peer_messages.Ack(
                sequence, ack.sender, ack.generation, ack.gossip
            )
            return [Datagram(requester, answer)]
        if self._probe and self._probe.target == ack.sender.incarnation:
            self._probe = None
        return []

    def _relay_probe(
        self, source: addresses.Address, request: peer_messages.PingRequest
    ) -> Datagram:
        self._sequence += 1
        while len(self._relayed_probes) >= MAX_RELAYED_PROBES:
            del self._relayed_probes[next(iter(self._relayed_probes))]
        self._relayed_probes[self._sequence] = (source, request.sequence)
        return Datagram(
            request.target.address, self._make_ping(self._sequence)
        )

    def _make_ping(self, sequence: int) -> peer_messages.Ping:
        return peer_messages.Ping(
            sequence,
            self.own_entry,
            self.generation,
            self._gossip_queue.next_updates(),
        )

    def _start_probe(self, now: float) -> list[Datagram]:
        target = self._probe_order.next_target(self.members)
        if target is None:
            return []
        self._sequence += 1
        self._probe = _Probe(target.incarnation, False, now)
        return [Datagram(target.address, self._make_ping(self._sequence))]

    def _request_indirect_probes(self, probe: _Probe) -> list[Datagram]:
        target = self.members.get(probe.target)
        if target is None:
            return []
        others = [
            member
            for member in self.members.values()
            if member.state in (State.ALIVE, State.LEAVING)
            and member.incarnation != probe.target
        ]
        relays = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        request = peer_messages.PingRequest(
            self._sequence, self.own_entry, target
        )
        return [Datagram(relay.address, request) for relay in relays]

    def _expire_probe(self, now: float) -> None:
        probe = self._probe
        self._probe = None
        if probe is None:
            return
        member = self.members.get(probe.target)
        if member is None or member.state >= State.SUSPECT:
            return
        self._set_state(probe.target, State.SUSPECT)
        self._suspicions.suspect(probe.target, now, len(self.members))

    def _ping_suspects(self) -> list[Datagram]:
        """Ping the hosts that this host itself suspects.

        The ping carries the suspicion, so that the suspect can refute it.
        """
        sent = []
        for incarnation in self._suspicions.locally_suspected():
            suspect = self.members[incarnation]
            self._sequence += 1
            gossip = (suspect, *self._gossip_queue.next_updates())
            ping = peer_messages.Ping(
                self._sequence, self.own_entry, self.generation, gossip
            )
            sent.append(Datagram(suspect.address, ping))
        return sent

    def _probe_dead_address(self) -> list[Datagram]:
        reachable = {member.address for member in self.alive()}
        unreachable = {
            member.address
            for member in self.members.values()
            if member.state == State.DEAD
        }
        unreachable.update(self.seeds)
        candidates = sorted(unreachable - reachable - {self.own_entry.address})
        if not candidates:
            return []
        self._sequence += 1
        destination = self.rng.choice(candidates)
        return [Datagram(destination, self._make_ping(self._sequence))]

    def _merge_gossip(
        self,
        sender: peer_messages.Member,
        gossip: tuple[peer_messages.Member, ...],
        now: float,
    ) -> None:
        self._merge(sender, now)
        for member in gossip:
            self._merge(member, now)

    def _merge(self, update: peer_messages.Member, now: float) -> None:
        if update.number == self.own_entry.number:
            self._merge_own_entry(update)
            return
        known = self.members.get(update.incarnation)
        if known is not None and not incarnations.supersedes(update, known):
            return
        self._store(update)
        if known is None:
            self._mark_older_starts_dead(update)
        if update.state == State.SUSPECT:
            self._suspicions.record_remote(
                update.incarnation, now, len(self.members)
            )
            return
        self._suspicions.clear(update.incarnation)

    def _mark_older_starts_dead(self, update: peer_messages.Member) -> None:
        """Mark all starts of the updated host but the newest as dead.

        Updates on different starts may arrive in any order, so the updated
        start itself may be an older one.
        """
        for member in list(self.members.values()):
            if member.number != update.number or member.start == update.start:
                continue
            if incarnations.is_newer_start(update.start, member.start):
                self.mark_dead(member.incarnation)
            else:
                self.mark_dead(update.incarnation)

    def _merge_own_entry(self, update: peer_messages.Member) -> None:
        if update.start != self.own_entry.start:
            if incarnations.is_newer_start(update.start, self.own_entry.start):
                # This host's clock was ahead at an earlier start, so its
                # present start number is older than one that peers know.
                self.start_new_incarnation(after=update.start)
            return
        if update.state == State.DEAD:
            self.false_positives += 1
            self.start_new_incarnation()
            return
        if update.state != State.SUSPECT:
            return
        if update.refutation < self.own_entry.refutation:
            return
        self._set_own_entry(
            attrs.evolve(self.own_entry, refutation=update.refutation + 1)
        )

    def _set_own_entry(self, own_entry: peer_messages.Member) -> None:
        self.own_entry = own_entry
        self.own_incarnations.add(own_entry.incarnation)
        self.version += 1
        self._gossip_queue.add(own_entry, len(self.members) + 1)

    def _set_state(self, incarnation: bytes, state: State) -> None:
        member = self.members.get(incarnation)
        if member is None:
            return
        self._suspicions.clear(incarnation)
        self._store(attrs.evolve(member, state=int(state)))

    def _store(self, member: peer_messages.Member) -> None:
        self.members.pop(member.incarnation, None)
        self.members[member.incarnation] = member
        self.version += 1
        self._gossip_queue.add(member, len(self.members) + 1)
        self._evict_dead()

    def _evict_dead(self) -> None:
        if len(self.members) <= EVICTION_THRESHOLD:
            return
        for incarnation, member in self.members.items():
            if member.state == State.DEAD:
                del self.members[incarnation]
                self.generations.pop(incarnation, None)
                return
