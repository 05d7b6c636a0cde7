"""Choice of servers by production entry hosts of a large fleet."""

import random

import attrs

from bench import fleet_model
from bench import load_report
from bench import shared_balance
from bench import shared_load
from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import digest as digest_types
from vanilladrum.core import flowhost
from vanilladrum.core import neighbours
from vanilladrum.core import position as positions
from vanilladrum.core import serverstate

SERVICE = "buoys"


def make_backend(fleet: fleet_model.Fleet, number: int) -> backends.Backend:
    """Return a server as its entry describes it."""
    name = f"i-{number:08x}"
    return backends.Backend(
        name,
        name.encode()[-8:],
        1,
        SERVICE,
        addresses.Address("10.128.0.9", 8000 + number),
        str(fleet.server_centre(number)),
        fleet_model.SLOTS,
        serverstate.ServerState.ACTIVE,
    )


@attrs.define(eq=False)
class FlowHostChoice(fleet_model.FleetPolicy):
    """Choice by production entry hosts.

    In a fleet of this size their digests carry nothing that the choice uses,
    so that none are exchanged here.

    :param flows: table entry of each open flow, by the ``id`` of its work.
    """

    hosts: list[flowhost.FlowHost] = attrs.field(init=False)
    servers: list[backends.Backend] = attrs.field(init=False)
    numbers: dict[str, int] = attrs.field(init=False)
    by_address: dict[addresses.Address, int] = attrs.field(init=False)
    flows: dict[int, tuple] = attrs.field(factory=dict)
    opened: int = 0

    def __attrs_post_init__(self) -> None:
        self.servers = [
            make_backend(self.fleet, number)
            for number in range(len(self.run.servers))
        ]
        self.numbers = {
            server.name: number for number, server in enumerate(self.servers)
        }
        self.hosts = [
            self.make_host(number) for number in range(self.fleet.site.hosts)
        ]
        self.by_address = {
            host.neighbours.own_address: number
            for number, host in enumerate(self.hosts)
        }

    def make_host(self, number: int) -> flowhost.FlowHost:
        """Return an entry host that knows all servers."""
        rng = random.Random(self.run.rng.random())
        centre = str(self.fleet.host_centre(number))
        known = neighbours.Neighbours(
            addresses.Address(f"10.0.0.{number + 1}", 7720),
            digest_types.data_centre_id(centre),
            rng,
        )
        host = flowhost.FlowHost(centre, known, rng)
        for server in self.servers:
            host.directory.update(server)
        return host

    def choose(self, work: fleet_model.FleetWork) -> int:
        host = self.hosts[work.host]
        now = self.run.now
        server = host.choose(SERVICE, now)
        self.opened += 1
        key = self.opened.to_bytes(12, "big")
        self.flows[id(work)] = host.table.add(key, server, now, 1000.0)
        return self.numbers[server.name]

    def answer(self, work: fleet_model.FleetWork) -> None:
        host = self.hosts[work.host]
        flow = self.flows.pop(id(work))
        host.speed_estimator.record_response_time(
            flow.server, self.run.now - flow.sent, self.run.now
        )
        host.table.end(flow)


@attrs.define(eq=False)
class ReportChoice(FlowHostChoice):
    """Candidate (b): entry hosts that exchange load reports.

    Each host gets a report of another only once in a round through the hosts
    of the data centre.

    :param remote_wait: see :class:`shared_balance.SharedLoadBalancer`.
    :param delay: seconds that a report takes.
    """

    # The lowest of 8, 16 and 24 at which the buoys' flows cross as
    # rarely as without reports, to three decimals.
    remote_wait: float = 24.0
    delay: float = 0.0
    loads: list[shared_load.SharedLoad] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        FlowHostChoice.__attrs_post_init__(self)
        self.loads = [
            shared_balance.install(host, self.remote_wait)
            for host in self.hosts
        ]
        for number, host in enumerate(self.hosts):
            for other in self.hosts:
                if other is not host:
                    other.neighbours.receive(
                        host.neighbours.own_address,
                        self.make_digest(host),
                        self.run.now,
                    )
            wait = self.run.rng.uniform(0, load_report.PERIOD)
            self.run.later(wait, lambda number=number: self.report(number))

    def make_digest(self, host: flowhost.FlowHost) -> digest_types.Digest:
        """Return a digest, so that the other hosts know a host."""
        return host.make_digest(
            False, False, False, positions.StorePosition(1, 1)
        )

    def report(self, number: int) -> None:
        """Send the report of a host to the next receivers."""
        self.run.later(load_report.PERIOD, lambda: self.report(number))
        now = self.run.now
        host = self.hosts[number]
        # The hosts stay known without further digests.
        for each in host.neighbours.hosts.values():
            each.last_digest_at = now
        report = self.loads[number].make_report(now)
        sender = host.neighbours.own_address
        for receiver in self.loads[number].receivers(now):
            self.messages += 1
            self.message_bytes += report.size
            self.deliver(self.by_address[receiver], sender, report)

    def deliver(
        self,
        receiver: int,
        sender: addresses.Address,
        report: load_report.LoadReport,
    ) -> None:
        """Let a host receive a report after the delay."""

        def receive() -> None:
            self.loads[receiver].receive(sender, report, self.run.now)

        self.run.later(self.delay, receive)
