"""Model of one flow through two entry hosts with different views of the store.

Servers are added, drained and removed, and their address and even their tag
are reused. Packets may be delayed, retransmitted and reordered, and any
packet may reach any host. A restarted host starts from the current
content of the store alone. Every decision is made by the production class
:class:`vanilladrum.core.flowhost.FlowHost`.
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

HOST_COUNT = 2
MAX_FIRST_PACKET_COPIES = 1
OFFERED_GENERATIONS = (1, 2)
# Only this host is offered configurations, because hosts adopt them
# independently of each other.
CONFIGURED_HOST = 0
SERVICE_ADDRESS = addresses.Address("198.18.0.1", 8080)
FLOW_KEY = bytes(12)
ACTIVE = serverstate.ServerState.ACTIVE
LEAVING = serverstate.ServerState.LEAVING


def _make_server(
    name: str,
    service: str,
    port: int,
    tag: int,
    state: serverstate.ServerState = ACTIVE,
) -> backends.Backend:
    server = backends.Backend(
        name,
        name.encode().rjust(8),
        1,
        service,
        addresses.Address("10.0.0.1", port),
        "bilbao",
        2,
        state,
    )
    server.tag = tag
    return server


# Successive contents of the store. In the last one, the address and tag of
# the first server are reused by a server of another service.
STORE_CONTENTS = (
    (_make_server("a", "bookings", 1, 7),),
    (_make_server("a", "bookings", 1, 7), _make_server("b", "bookings", 2, 8)),
    (
        _make_server("a", "bookings", 1, 7, LEAVING),
        _make_server("b", "bookings", 2, 8),
    ),
    (_make_server("b", "bookings", 2, 8),),
    (_make_server("b", "bookings", 2, 8), _make_server("c", "patterns", 1, 7)),
)


@attrs.frozen
class Packet:
    """A packet in transit to the entry hosts.

    :param tag: tag of the flow's server, 0 for a first packet.
    :param copies: number of first packets that the caller sent before this
        one; 0 for a later packet.
    """

    tag: int
    copies: int = 0


@attrs.frozen
class State:
    """State of the whole system.

    :param store_index: current content of the store, an index of
        ``STORE_CONTENTS``.
    :param view_indexes: content that each host has last received.
    :param first_view_indexes: content that each host received first after
        its last start.
    :param generations: generation in force on each host.
    :param highest_generations: highest generation that each host has had in
        force.
    :param table_servers: server of the flow in each host's table, empty if
        the table has no entry.
    :param sent: number of first packets that the caller has sent.
    :param packets: packets in transit; any host may receive each of them any
        number of times.
    :param answering_servers: servers that have answered a first packet.
    :param server: server whose answer the caller has accepted, or empty.
    :param reached_other_service: whether a server of another service
        received a packet of the flow.
    :param reset_while_open: whether a host reset the flow while its server
        existed.
    :param changed_server: whether a host forwarded a later packet to a
        server other than the flow's.
    :param began_at_inactive: whether a host forwarded a first packet to a
        server that wasn't active in the host's view.
    """

    store_index: int = 0
    view_indexes: tuple[int, ...] = (0,) * HOST_COUNT
    first_view_indexes: tuple[int, ...] = (0,) * HOST_COUNT
    generations: tuple[int, ...] = (1,) * HOST_COUNT
    highest_generations: tuple[int, ...] = (1,) * HOST_COUNT
    table_servers: tuple[str, ...] = ("",) * HOST_COUNT
    sent: int = 0
    packets: frozenset = frozenset()
    answering_servers: frozenset = frozenset()
    server: str = ""
    reached_other_service: bool = False
    reset_while_open: bool = False
    changed_server: bool = False
    began_at_inactive: bool = False


@attrs.frozen
class Rules:
    """Class of the entry hosts: the production class or a mutant of it.

    :param breaks: invariant that the mutant violates.
    """

    name: str = "shipped"
    breaks: str = ""
    host: type = flowhost.FlowHost


@attrs.frozen
class FlowModel:
    """State transitions of the model for a set of rules."""

    rules: Rules

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the label and next state of every enabled transition."""
        if state.store_index + 1 < len(STORE_CONTENTS):
            yield (
                "store changes",
                attrs.evolve(state, store_index=state.store_index + 1),
            )
        yield from self._caller_steps(state)
        for number in range(HOST_COUNT):
            yield from self._host_steps(state, number)
            for packet in sorted(state.packets, key=str):
                for choice in range(2):
                    label = (
                        f"host {number} receives packet with tag {packet.tag}"
                    )
                    yield label, self._deliver(state, number, packet, choice)

    def _caller_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if not state.server and state.sent <= MAX_FIRST_PACKET_COPIES:
            packet = Packet(0, state.sent)
            yield (
                "caller sends first packet",
                attrs.evolve(
                    state,
                    sent=state.sent + 1,
                    packets=state.packets | {packet},
                ),
            )
        if state.server:
            return
        for name in sorted(state.answering_servers):
            tag = next(
                server.tag
                for servers in STORE_CONTENTS
                for server in servers
                if server.name == name
            )
            packets = state.packets | {Packet(tag)}
            yield (
                f"caller accepts answer of {name}",
                attrs.evolve(state, server=name, packets=packets),
            )

    def _host_steps(
        self, state: State, number: int
    ) -> Iterator[tuple[str, State]]:
        if state.view_indexes[number] < state.store_index:
            updated = _replace_value(
                state, "view_indexes", number, state.view_indexes[number] + 1
            )
            yield f"host {number} receives store change", updated
        restarted = _replace_value(
            state, "view_indexes", number, state.store_index
        )
        restarted = _replace_value(
            restarted, "first_view_indexes", number, state.store_index
        )
        restarted = _replace_value(restarted, "table_servers", number, "")
        yield f"host {number} restarts", restarted
        if number != CONFIGURED_HOST:
            return
        for offered in OFFERED_GENERATIONS:
            host = self._make_host(state, number, 0)
            host.configure(_make_configuration(offered))
            in_force = host.configuration.generation
            updated = _replace_value(state, "generations", number, in_force)
            highest = max(in_force, state.highest_generations[number])
            yield (
                f"host {number} is offered generation {offered}",
                _replace_value(
                    updated, "highest_generations", number, highest
                ),
            )

    def _make_host(
        self, state: State, number: int, choice: int
    ) -> flowhost.FlowHost:
        """Build the production object of a host from the model state.

        Replays all store contents since the host's last start, because its
        directory also holds the servers that have departed since.

        :param choice: index of the free server that the policy chooses.
        """
        rng = random.Random(0)
        known_hosts = neighbours.Neighbours(SERVICE_ADDRESS, 1, rng)
        host = self.rules.host("bilbao", known_hosts, rng)
        host.configure(_make_configuration(state.generations[number]))
        received = STORE_CONTENTS[
            state.first_view_indexes[number] : state.view_indexes[number] + 1
        ]
        for servers in received:
            names = {server.name for server in servers}
            for name in set(host.directory.servers) - names:
                host.directory.remove(name, 0.0)
            for server in servers:
                host.directory.update(server)
        host.balancer.policy = lambda free, _: free[choice % len(free)]
        if state.table_servers[number]:
            departed = [each for each, _ in host.directory.departed.values()]
            for server in [*host.directory.servers.values(), *departed]:
                if server.name == state.table_servers[number]:
                    host.table.add(FLOW_KEY, server, 0.0, 10.0)
        return host

    def _deliver(
        self, state: State, number: int, packet: Packet, choice: int
    ) -> State:
        host = self._make_host(state, number, choice)
        is_first = packet.tag == 0
        decision = host.receive(
            flows.Packet(
                key=FLOW_KEY,
                service=SERVICE_ADDRESS.pack(),
                opens=is_first,
                copies=packet.copies,
                closes=False,
                has_data=not is_first,
                sequence=0,
                acknowledged=0,
                tag=packet.tag,
                raw=b"",
            ),
            0.2,
        )
        if isinstance(decision, flows.Reset):
            exists = any(
                server.name == state.server
                for server in STORE_CONTENTS[state.store_index]
            )
            reset = state.reset_while_open or (exists and not is_first)
            return attrs.evolve(state, reset_while_open=reset)
        if isinstance(decision, flows.Ignore):
            return state
        return self._receive_at_server(state, number, packet, decision.server)

    def _receive_at_server(
        self,
        state: State,
        number: int,
        packet: Packet,
        server: backends.Backend,
    ) -> State:
        if packet.tag == 0:
            view = STORE_CONTENTS[state.view_indexes[number]]
            active = any(
                each.name == server.name and each.state is ACTIVE
                for each in view
            )
            state = _replace_value(state, "table_servers", number, server.name)
            state = attrs.evolve(
                state,
                began_at_inactive=state.began_at_inactive or not active,
            )
        elif server.name != state.server:
            state = attrs.evolve(state, changed_server=True)
        # A server accepts a packet only if the wire id in it is its own.
        receivers = [
            each
            for each in STORE_CONTENTS[state.store_index]
            if each.address == server.address
            and each.wire_id == server.wire_id
        ]
        for each in receivers:
            if each.service != "bookings":
                state = attrs.evolve(state, reached_other_service=True)
            elif packet.tag == 0:
                answering = state.answering_servers | {each.name}
                state = attrs.evolve(state, answering_servers=answering)
        return state


def _make_configuration(generation: int) -> routes.FlowConfiguration:
    route = routes.Route("r", (routes.Share("bookings"),), 10.0)
    return routes.FlowConfiguration(
        generation, {SERVICE_ADDRESS.pack(): route}, 15.0
    )


def _replace_value(
    state: State, field: str, number: int, value: object
) -> State:
    values = list(getattr(state, field))
    values[number] = value
    return attrs.evolve(state, **{field: tuple(values)})


def own_service(fields: dict) -> bool:
    """No server of another service receives a packet of the flow."""
    return not fields["state"].reached_other_service


def no_reset_while_open(fields: dict) -> bool:
    """No host resets a flow whose server still exists."""
    return not fields["state"].reset_while_open


def stays_with_server(fields: dict) -> bool:
    """Later packets go to the server whose answer the caller accepted."""
    return not fields["state"].changed_server


def begins_at_active(fields: dict) -> bool:
    """A flow begins only at a server that is active in the host's view."""
    return not fields["state"].began_at_inactive


def configuration_never_reverts(fields: dict) -> bool:
    """No host reverts to an older configuration."""
    return fields["state"].generations == fields["state"].highest_generations


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
    """Return the model for a set of rules as a minicheck protocol."""
    model = FlowModel(rules)
    return stepping.make_protocol(
        name=f"flows-{rules.name}",
        initial=State(),
        steps=model.steps,
        invariants=INVARIANTS,
        goal=lambda fields: True,
    )


class _AnyService(flowhost.FlowHost):
    """Doesn't check that the route allows the server's service."""

    def _forward_later_packet(self, packet, route, now):
        server = self.directory.find(packet.tag)
        if server is None:
            return flows.Ignore("unknown_tag")
        return flows.Forward(server)


class _ResetsUnknown(flowhost.FlowHost):
    """Resets flows whose packets it would have to ignore."""

    def _forward_later_packet(self, packet, route, now):
        decision = super()._forward_later_packet(packet, route, now)
        if isinstance(decision, flows.Ignore):
            return flows.Reset(decision.reason)
        return decision


class _ChoosesAgain(flowhost.FlowHost):
    """Chooses a server for every later packet, as for a first one."""

    def _forward_later_packet(self, packet, route, now):
        return self.opener.open_new_flow(packet, route, now)


class _KeepsCopies(flowhost.FlowHost):
    """Sends copies of a first packet to the same server, active or not."""

    def __init__(self, *args):
        super().__init__(*args)
        self.opener.server_for_copy = lambda flow, packet, route: flow.server


class _AdoptsAnything(flowhost.FlowHost):
    """Adopts any configuration, even an older one."""

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
