"""Failure detection between entry hosts at a constant cost per host.

Each period a host probes one other host, asks a few others to probe it when
it stays silent, then suspects it and finally declares that start of it dead.
A host that learns of a suspicion refutes it. Death of an incarnation is
final: a host that was declared dead takes a new incarnation.
"""

import random

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import peers
from vanilladrum.core import rounds
from vanilladrum.core import rumours
from vanilladrum.core import starts
from vanilladrum.core import suspicions

HELPERS = 2
# Probes made for other hosts that are still awaited.
MAX_RELAYED = 64
PAUSE_PERIODS = 3.0
MAX_DEAD = 4096
State = starts.State


@attrs.frozen
class Timing:
    """Periods of the failure detector, in seconds.

    :param period: between two probes of a host.
    :param probe_timeout: until helpers are asked.
    :param suspicion: until a suspect is declared dead by its accuser, in
        a group of up to 8 hosts; longer in larger ones.
    :param reconnect: between two probes of a dead host's address.
    """

    period: float = 0.2
    probe_timeout: float = 0.1
    suspicion: float = 0.8
    reconnect: float = 2.0


@attrs.frozen
class Datagram:
    """A message to send to a peer."""

    to: addresses.Address
    message: object


@attrs.define
class _Probe:
    target: bytes
    asked_helpers: bool
    started: float


@attrs.define
class Membership:
    """The view that one host has of the others.

    :param me: own entry; replaced when the host takes a new incarnation.
    :param rng: source of random choices.
    """

    me: peers.Member
    rng: random.Random
    timing: Timing = attrs.field(factory=Timing)
    generation: int = 0
    members: dict[bytes, peers.Member] = attrs.field(factory=dict)
    seeds: tuple[addresses.Address, ...] = ()
    own_incarnations: set[bytes] = attrs.field(factory=set)
    generations: dict[bytes, int] = attrs.field(factory=dict)
    version: int = 0
    false_deaths: int = 0
    _rumours: rumours.Rumours = attrs.field(factory=rumours.Rumours)
    _probe: _Probe | None = None
    _suspects: suspicions.Suspicions = attrs.field(init=False)
    _relayed: dict[int, tuple[addresses.Address, int]] = attrs.field(
        factory=dict
    )
    _rounds: rounds.Rounds = attrs.field(init=False)
    _sequence: int = 0
    _next_probe: float = 0.0
    _last_tick: float = 0.0
    _announcing: bool = False
    _next_reconnect: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.own_incarnations.add(self.me.incarnation)
        self._rounds = rounds.Rounds(self.rng)
        self._suspects = suspicions.Suspicions(self.timing.suspicion)

    def alive(self) -> list[peers.Member]:
        """Return the hosts that may take work, this one included."""
        return self._among(State.ALIVE, State.SUSPECT)

    def trusted(self) -> list[peers.Member]:
        """Return the hosts that may dispatch: alive and not suspected.

        A suspicion costs a host its part before its death is certain: two
        dispatchers for a moment do less harm than one that is silent.
        """
        return self._among(State.ALIVE)

    def _among(self, *states: State) -> list[peers.Member]:
        found = [
            member
            for member in self.members.values()
            if member.state in states
        ]
        if self.me.state == State.ALIVE:
            found.append(self.me)
        return found

    def find(self, incarnation: bytes) -> peers.Member | None:
        """Return the entry of an incarnation, dead ones included."""
        if incarnation in self.own_incarnations:
            return self.me
        return self.members.get(incarnation)

    def is_lost(self, incarnation: bytes) -> bool:
        """Return whether an incarnation is known to be dead."""
        member = self.find(incarnation)
        return member is not None and member.state == State.DEAD

    def merge_all(self, members: tuple[peers.Member, ...], now: float) -> None:
        """Take in the whole view of another host."""
        for member in members:
            self._merge(member, now)

    def leave(self) -> None:
        """Announce a planned stop."""
        self._set_me(attrs.evolve(self.me, state=State.LEAVING))

    def take_new_incarnation(self, after: bytes | None = None) -> None:
        """Go on under a new incarnation; others bury the old one.

        :param after: start that the new one has to follow, ours if None.
        """
        start = starts.following_start(after or self.me.start)
        self._set_me(attrs.evolve(self.me, start=start, refutation=0))
        self._announcing = True

    def bury(self, incarnation: bytes) -> None:
        """Count an incarnation as dead that is known to have ended."""
        if incarnation not in self.own_incarnations:
            self._change(incarnation, State.DEAD)

    def next_timer(self) -> float:
        """Return when :meth:`tick` is due next."""
        if self._announcing:
            return self._last_tick
        due = [self._next_probe, *self._suspects.due.values()]
        if self._probe and not self._probe.asked_helpers:
            due.append(self._probe.started + self.timing.probe_timeout)
        return min(due)

    def tick(self, now: float) -> list[Datagram]:
        """Run what is due: probes, helpers, suspicions, reconnects."""
        sent: list[Datagram] = []
        self._forgive_own_pause(now)
        if self._announcing:
            self._announcing = False
            sent.extend(self._announce())
        for incarnation in self._suspects.take_due(now):
            self._change(incarnation, State.DEAD)
        probe = self._probe
        timeout = self.timing.probe_timeout
        if probe and not probe.asked_helpers:
            if now >= probe.started + timeout:
                probe.asked_helpers = True
                sent.extend(self._ask_helpers(probe))
        if now >= self._next_probe:
            self._fail_probe(now)
            sent.extend(self._warn_suspects())
            self._next_probe = now + self.timing.period
            sent.extend(self._start_probe(now))
        if now >= self._next_reconnect:
            self._next_reconnect = now + self.timing.reconnect
            sent.extend(self._reconnect())
        return sent

    def _announce(self) -> list[Datagram]:
        """Tell all others of a new incarnation before tokens name it."""
        self._sequence += 1
        ping = self._ping(self._sequence)
        return [
            Datagram(member.address, ping)
            for member in self.members.values()
            if member.state != State.DEAD
        ]

    def _forgive_own_pause(self, now: float) -> None:
        """Blame nobody for the time in which this host itself stood still."""
        gap = now - self._last_tick
        paused = self._last_tick and gap > PAUSE_PERIODS * self.timing.period
        self._last_tick = now
        if not paused:
            return
        self._probe = None
        self._suspects.postpone(gap)

    def receive(
        self, source: addresses.Address, message: object, now: float
    ) -> list[Datagram]:
        """Treat a ping, an acknowledgement or a probe request."""
        if isinstance(message, (peers.Ping, peers.Ack)):
            sender = message.sender.incarnation
            self.generations[sender] = message.generation
        if isinstance(message, peers.Ping):
            self._hear(message.sender, message.gossip, now)
            return [Datagram(source, self._ack(message))]
        if isinstance(message, peers.Ack):
            self._hear(message.sender, message.gossip, now)
            return self._acknowledged(message)
        if isinstance(message, peers.PingRequest):
            self._hear(message.sender, (), now)
            return [self._relay(source, message)]
        return []

    def _ack(self, ping: peers.Ping) -> peers.Ack:
        gossip = self._rumours.take()
        known = self.members.get(ping.sender.incarnation)
        if known and known.state in (State.DEAD, State.SUSPECT):
            gossip = (known, *starts.following(known, self.members), *gossip)
        return peers.Ack(ping.sequence, self.me, self.generation, gossip)

    def _acknowledged(self, ack: peers.Ack) -> list[Datagram]:
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed:
            asker, sequence = relayed
            answer = peers.Ack(
                sequence, ack.sender, ack.generation, ack.gossip
            )
            return [Datagram(asker, answer)]
        if self._probe and self._probe.target == ack.sender.incarnation:
            self._probe = None
        return []

    def _relay(
        self, source: addresses.Address, asked: peers.PingRequest
    ) -> Datagram:
        self._sequence += 1
        while len(self._relayed) >= MAX_RELAYED:
            del self._relayed[next(iter(self._relayed))]
        self._relayed[self._sequence] = (source, asked.sequence)
        return Datagram(asked.target.address, self._ping(self._sequence))

    def _ping(self, sequence: int) -> peers.Ping:
        return peers.Ping(
            sequence, self.me, self.generation, self._rumours.take()
        )

    def _start_probe(self, now: float) -> list[Datagram]:
        target = self._rounds.next(self.members)
        if target is None:
            return []
        self._sequence += 1
        self._probe = _Probe(target.incarnation, False, now)
        return [Datagram(target.address, self._ping(self._sequence))]

    def _ask_helpers(self, probe: _Probe) -> list[Datagram]:
        target = self.members.get(probe.target)
        if target is None:
            return []
        others = [
            member
            for member in self.members.values()
            if member.state in (State.ALIVE, State.LEAVING)
            and member.incarnation != probe.target
        ]
        helpers = self.rng.sample(others, min(HELPERS, len(others)))
        asked = peers.PingRequest(self._sequence, self.me, target)
        return [Datagram(helper.address, asked) for helper in helpers]

    def _fail_probe(self, now: float) -> None:
        probe = self._probe
        self._probe = None
        if probe is None:
            return
        member = self.members.get(probe.target)
        if member is None or member.state >= State.SUSPECT:
            return
        self._change(probe.target, State.SUSPECT)
        self._suspects.accuse(probe.target, now, len(self.members))

    def _warn_suspects(self) -> list[Datagram]:
        """Tell those that this host suspected itself, so they can refute."""
        sent = []
        for incarnation in self._suspects.accused():
            suspect = self.members[incarnation]
            self._sequence += 1
            gossip = (suspect, *self._rumours.take())
            ping = peers.Ping(self._sequence, self.me, self.generation, gossip)
            sent.append(Datagram(suspect.address, ping))
        return sent

    def _reconnect(self) -> list[Datagram]:
        known = {member.address for member in self.alive()}
        lost = {
            member.address
            for member in self.members.values()
            if member.state == State.DEAD
        }
        lost.update(self.seeds)
        candidates = sorted(lost - known - {self.me.address})
        if not candidates:
            return []
        self._sequence += 1
        to = self.rng.choice(candidates)
        return [Datagram(to, self._ping(self._sequence))]

    def _hear(
        self,
        sender: peers.Member,
        gossip: tuple[peers.Member, ...],
        now: float,
    ) -> None:
        self._merge(sender, now)
        for member in gossip:
            self._merge(member, now)

    def _merge(self, heard: peers.Member, now: float) -> None:
        if heard.number == self.me.number:
            self._hear_of_me(heard)
            return
        known = self.members.get(heard.incarnation)
        if known is not None and not starts.supersedes(heard, known):
            return
        self._store(heard)
        if known is None:
            self._bury_older(heard)
        if heard.state == State.SUSPECT:
            self._suspects.hear(heard.incarnation, now, len(self.members))
            return
        self._suspects.clear(heard.incarnation)

    def _bury_older(self, heard: peers.Member) -> None:
        """Keep the newest start of a host only, whichever is heard last."""
        for member in list(self.members.values()):
            if member.number != heard.number or member.start == heard.start:
                continue
            if starts.newer(heard.start, member.start):
                self.bury(member.incarnation)
            else:
                self.bury(heard.incarnation)

    def _hear_of_me(self, heard: peers.Member) -> None:
        if heard.start != self.me.start:
            if starts.newer(heard.start, self.me.start):
                # The clock of this host's last start was ahead.
                self.take_new_incarnation(after=heard.start)
            return
        if heard.state == State.DEAD:
            self.false_deaths += 1
            self.take_new_incarnation()
            return
        if heard.state != State.SUSPECT:
            return
        if heard.refutation < self.me.refutation:
            return
        self._set_me(attrs.evolve(self.me, refutation=heard.refutation + 1))

    def _set_me(self, me: peers.Member) -> None:
        self.me = me
        self.own_incarnations.add(me.incarnation)
        self.version += 1
        self._rumours.add(me, len(self.members) + 1)

    def _change(self, incarnation: bytes, state: State) -> None:
        member = self.members.get(incarnation)
        if member is None:
            return
        self._suspects.clear(incarnation)
        self._store(attrs.evolve(member, state=int(state)))

    def _store(self, member: peers.Member) -> None:
        self.members.pop(member.incarnation, None)
        self.members[member.incarnation] = member
        self.version += 1
        self._rumours.add(member, len(self.members) + 1)
        self._forget_dead()

    def _forget_dead(self) -> None:
        if len(self.members) <= MAX_DEAD:
            return
        for incarnation, member in self.members.items():
            if member.state == State.DEAD:
                del self.members[incarnation]
                self.generations.pop(incarnation, None)
                return
