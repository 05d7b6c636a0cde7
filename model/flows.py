"""Model of one flow before two entry hosts whose views differ.

Servers appear, leave, end and give their address and even their tag to
others; packets are kept, copied and reordered; any packet lands on any host;
hosts restart with nothing but what the store says now. Every decision is
taken by the shipped :class:`vanilladrum.core.flowhost.FlowHost`.
"""

from collections.abc import Iterator
import random

import attrs
import minicheck

from model import stepping
from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import flow as flows
from vanilladrum.core import flowhost
from vanilladrum.core import neighbours
from vanilladrum.core import routes
from vanilladrum.core import serverstate

HOSTS = 2
SYN_COPIES = 1
GENERATIONS = (1, 2)
# Configurations are offered to one host only: hosts adopt independently.
CONFIGURED_HOST = 0
TARGET = addresses.Address("198.18.0.1", 8080)
KEY = bytes(12)
ACTIVE = serverstate.ServerState.ACTIVE
LEAVING = serverstate.ServerState.LEAVING


def _server(
    name: str,
    service: str,
    port: int,
    tag: int,
    state: serverstate.ServerState = ACTIVE,
) -> backends.Backend:
    found = backends.Backend(
        name,
        name.encode().rjust(8),
        1,
        service,
        addresses.Address("10.0.0.1", port),
        "bilbao",
        2,
        state,
    )
    found.tag = tag
    return found


# What the store says, one after the other. The old server's address and tag
# go to a server of another service.
WORLDS = (
    (_server("a", "bookings", 1, 7),),
    (_server("a", "bookings", 1, 7), _server("b", "bookings", 2, 8)),
    (_server("a", "bookings", 1, 7, LEAVING), _server("b", "bookings", 2, 8)),
    (_server("b", "bookings", 2, 8),),
    (_server("b", "bookings", 2, 8), _server("c", "patterns", 1, 7)),
)


@attrs.frozen
class Packet:
    """A packet on its way to the entry hosts.

    :param tag: 0 for a first packet.
    """

    tag: int
    copies: int = 0


@attrs.frozen
class State:
    """The whole system.

    :param world: what the store says now, an index of ``WORLDS``.
    :param views: what each host has last heard, likewise.
    :param since: what each host heard first after its last start.
    :param begun: server of the flow in each host's table.
    :param half: servers that have answered the first packet.
    :param server: the one that the caller has chosen.
    """

    world: int = 0
    views: tuple[int, ...] = (0,) * HOSTS
    since: tuple[int, ...] = (0,) * HOSTS
    generations: tuple[int, ...] = (1,) * HOSTS
    highest: tuple[int, ...] = (1,) * HOSTS
    begun: tuple[str, ...] = ("",) * HOSTS
    sent: int = 0
    packets: frozenset = frozenset()
    half: frozenset = frozenset()
    server: str = ""
    wrong_service: bool = False
    reset_while_open: bool = False
    moved: bool = False
    late_begin: bool = False


@attrs.frozen
class Rules:
    """The shipped host, or a mutant of it in one respect."""

    name: str = "shipped"
    breaks: str = ""
    host: type = flowhost.FlowHost


@attrs.frozen
class Flows:
    """Steps of the model under some rules."""

    rules: Rules

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Return every step that may follow."""
        if state.world + 1 < len(WORLDS):
            yield "the store", attrs.evolve(state, world=state.world + 1)
        yield from self._caller(state)
        for number in range(HOSTS):
            yield from self._learn(state, number)
            for packet in sorted(state.packets, key=str):
                for choice in range(2):
                    label = f"host {number} gets {packet.tag}"
                    yield label, self._deliver(state, number, packet, choice)

    def _caller(self, state: State) -> Iterator[tuple[str, State]]:
        if not state.server and state.sent <= SYN_COPIES:
            packet = Packet(0, state.sent)
            yield (
                "caller opens",
                attrs.evolve(
                    state,
                    sent=state.sent + 1,
                    packets=state.packets | {packet},
                ),
            )
        if state.server:
            return
        for name in sorted(state.half):
            tag = next(
                server.tag
                for world in WORLDS
                for server in world
                if server.name == name
            )
            later = state.packets | {Packet(tag)}
            yield (
                f"caller chooses {name}",
                attrs.evolve(state, server=name, packets=later),
            )

    def _learn(self, state: State, number: int) -> Iterator[tuple[str, State]]:
        if state.views[number] < state.world:
            after = _set(state, "views", number, state.views[number] + 1)
            yield f"host {number} hears", after
        restarted = _set(state, "views", number, state.world)
        restarted = _set(restarted, "since", number, state.world)
        restarted = _set(restarted, "begun", number, "")
        yield f"host {number} restarts", restarted
        if number != CONFIGURED_HOST:
            return
        for offered in GENERATIONS:
            host = self._host(state, number, 0)
            host.configure(_configuration(offered))
            now = host.configuration.generation
            after = _set(state, "generations", number, now)
            high = max(now, state.highest[number])
            yield (
                f"host {number} is offered {offered}",
                _set(after, "highest", number, high),
            )

    def _host(
        self, state: State, number: int, choice: int
    ) -> flowhost.FlowHost:
        """Return a host that knows what the state says."""
        rng = random.Random(0)
        view = neighbours.Neighbours(TARGET, 1, rng)
        host = self.rules.host("bilbao", view, rng)
        host.configure(_configuration(state.generations[number]))
        heard = WORLDS[state.since[number] : state.views[number] + 1]
        for world in heard:
            named = {server.name for server in world}
            for name in set(host.directory.servers) - named:
                host.directory.remove(name, 0.0)
            for server in world:
                host.directory.put(server)
        host.balancer.policy = lambda free, _: free[choice % len(free)]
        if state.begun[number]:
            for server in host.directory.by_tag.values():
                if server.name == state.begun[number]:
                    host.table.begin(KEY, server, 0.0, 10.0)
        return host

    def _deliver(
        self, state: State, number: int, packet: Packet, choice: int
    ) -> State:
        host = self._host(state, number, choice)
        opens = packet.tag == 0
        decision = host.receive(
            flows.Packet(
                KEY,
                TARGET.pack(),
                opens,
                packet.copies,
                False,
                packet.tag,
                b"",
            ),
            0.2,
        )
        if isinstance(decision, flows.Reset):
            alive = any(
                server.name == state.server for server in WORLDS[state.world]
            )
            broken = state.reset_while_open or (alive and not opens)
            return attrs.evolve(state, reset_while_open=broken)
        if isinstance(decision, flows.Ignore):
            return state
        return self._at_server(state, number, packet, decision.server)

    def _at_server(
        self,
        state: State,
        number: int,
        packet: Packet,
        server: backends.Backend,
    ) -> State:
        if packet.tag == 0:
            known = WORLDS[state.views[number]]
            active = any(
                each.name == server.name and each.state is ACTIVE
                for each in known
            )
            state = _set(state, "begun", number, server.name)
            state = attrs.evolve(
                state, late_begin=state.late_begin or not active
            )
        elif server.name != state.server:
            state = attrs.evolve(state, moved=True)
        # A server takes only packets that are meant for it.
        alive = [
            each
            for each in WORLDS[state.world]
            if each.address == server.address
            and each.identity == server.identity
        ]
        for each in alive:
            if each.service != "bookings":
                state = attrs.evolve(state, wrong_service=True)
            elif packet.tag == 0:
                half = state.half | {each.name}
                state = attrs.evolve(state, half=half)
        return state


def _configuration(generation: int) -> routes.FlowConfiguration:
    route = routes.Route("r", (routes.Share("bookings"),), 10.0)
    return routes.FlowConfiguration(generation, {TARGET.pack(): route}, 15.0)


def _set(state: State, field: str, number: int, value: object) -> State:
    values = list(getattr(state, field))
    values[number] = value
    return attrs.evolve(state, **{field: tuple(values)})


def own_service(fields: dict) -> bool:
    """No server of another service gets a packet of the flow."""
    return not fields["state"].wrong_service


def no_reset_while_open(fields: dict) -> bool:
    """No host resets a flow whose server lives."""
    return not fields["state"].reset_while_open


def stays_with_server(fields: dict) -> bool:
    """A later packet goes to the server that the caller has chosen."""
    return not fields["state"].moved


def begins_at_active(fields: dict) -> bool:
    """A flow begins only at a server that the host takes for active."""
    return not fields["state"].late_begin


def configuration_never_reverts(fields: dict) -> bool:
    """No host goes back to an older configuration."""
    return fields["state"].generations == fields["state"].highest


INVARIANTS = {
    each.__name__: each
    for each in (
        own_service,
        no_reset_while_open,
        stays_with_server,
        begins_at_active,
        configuration_never_reverts,
    )
}


def protocol(rules: Rules) -> minicheck.Protocol:
    """Return the model under some rules."""
    model = Flows(rules)
    return stepping.make_protocol(
        name=f"flows-{rules.name}",
        initial=State(),
        steps=model.steps,
        invariants=INVARIANTS,
        goal=lambda fields: True,
    )


class _AnyService(flowhost.FlowHost):
    """Does not compare the server's service with the route's."""

    def _continue(self, packet, route, now):
        server = self.directory.find(packet.tag)
        if server is None:
            return flows.Ignore("unknown_tag")
        return flows.Forward(server)


class _ResetsUnknown(flowhost.FlowHost):
    """Answers a tag that it does not know with a reset."""

    def _continue(self, packet, route, now):
        decision = super()._continue(packet, route, now)
        if isinstance(decision, flows.Ignore):
            return flows.Reset(decision.reason)
        return decision


class _ChoosesAgain(flowhost.FlowHost):
    """Chooses a server for every packet."""

    def _continue(self, packet, route, now):
        return self._begin(packet, route, now)


class _KeepsCopies(flowhost.FlowHost):
    """Sends copies of a first packet after it, whatever became of it."""

    def _same_server(self, flow, packet, route):
        return flow.server


class _AdoptsAnything(flowhost.FlowHost):
    """Takes any configuration for the latest one."""

    def configure(self, offered):
        self.configuration = routes.NO_CONFIGURATION
        return super().configure(offered)


MUTANTS: tuple[Rules, ...] = (
    Rules("any_service", "own_service", _AnyService),
    Rules("resets_unknown", "no_reset_while_open", _ResetsUnknown),
    Rules("chooses_again", "stays_with_server", _ChoosesAgain),
    Rules("keeps_copies", "begins_at_active", _KeepsCopies),
    Rules("adopts_anything", "configuration_never_reverts", _AdoptsAnything),
)
