"""Soak test that injects random faults into a cluster of entry hosts.

Usage: python -m examples.flow_soak [SEED] [SECONDS] [MODE] [HOSTS]

Signals, store outages, packet loss and silent or draining servers follow each
other and overlap while callers send requests. With the mode ``restores`` the
store is also restored from copies, with ``odd`` it is silent for less than a
second, other programs write odd entries and routes move away from full
servers, with ``evacuations`` data centres are evacuated as well, with
``large`` a large configuration changes in series while links are slow, with
``foreign`` other programs write large entries and entries at the addresses of
servers. Prints the seed and the outcomes as JSON. If a guarantee was violated,
it keeps the logs of the hosts and the exit code is 1.
"""

import asyncio
import collections
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile

import attrs

from examples import evacuation_faults
from examples import flow_cluster
from examples import foreign_faults
from examples import large_faults
from examples import odd_faults
from examples import overdue_check
from examples import restore_faults
from vanilladrum.standins import flow_caller
from vanilladrum.standins import object_store

DEFAULT_SECONDS = 20.0
DEFAULT_HOSTS = 4
REQUESTS_PER_SECOND = 60
# Time for which requests continue after the end of the last fault.
RECOVERY_SECONDS = 6.0
# Every n-th flow is open for some seconds, at most this many, before its
# request; hosts stop and the store is restored meanwhile.
LONG_FLOW_INTERVAL = 4
MAX_PAUSE_SECONDS = 5
# Time in which a leaving server may get new flows, and for which the check
# that it gets no more lasts.
DRAIN_SECONDS = 3.0
DRAIN_CHECK_SECONDS = 1.0
MAX_FAULT_SECONDS = 3.0
# Time after the last fault in which the last configuration has to be in force
# on all hosts.
STABLE_SECONDS = 4.0
POLL_INTERVAL_SECONDS = 0.02
FlowOutcome = flow_caller.FlowOutcome
FAULTS = {}
# Faults that are added to FAULTS, by mode.
FURTHER_FAULTS = {
    "restores": restore_faults.RESTORE_FAULTS,
    "odd": odd_faults.ODD_FAULTS,
    "evacuations": restore_faults.RESTORE_FAULTS,
    "large": large_faults.LARGE_FAULTS,
    "foreign": foreign_faults.FOREIGN_FAULTS,
}


def fault(action):
    """Register a fault under the name of its function."""
    FAULTS[action.__name__] = action
    return action


@attrs.define(eq=False)
class Soak:
    """One run of the soak test.

    :param fault_count: number of injected faults.
    :param request_count: number of sent requests.
    :param violations: descriptions of violated guarantees.
    :param faults: the faults that may be injected, by name.
    :param injected: names of the injected faults in order, each with the
        second in which it began.
    :param began: when the run began, in seconds of the event loop.
    :param recovering: whether the last fault has ended.
    :param stopping: whether no further request is sent.
    :param recovery: outcomes of the requests that began while ``recovering``.
    :param route_moves: whether a fault moves a route now.
    """

    cluster: flow_cluster.FlowCluster
    rng: random.Random
    faults: dict
    fault_count: int = 0
    request_count: int = 0
    violations: list[str] = attrs.field(factory=list)
    injected: list[tuple[float, str]] = attrs.field(factory=list)
    began: float = 0.0
    recovering: bool = False
    stopping: bool = False
    recovery: collections.Counter = attrs.field(factory=collections.Counter)
    route_moves: bool = False

    async def run(self, seconds: float) -> dict:
        """Inject faults, then check the guarantees and the recovery.

        :param seconds: time during which faults are injected.
        """
        loop = asyncio.get_running_loop()
        begin = self.began = loop.time()
        requests = asyncio.create_task(self._send_requests())
        tasks = set()
        while loop.time() < begin + seconds:
            name = self.rng.choice(sorted(self.faults))
            self.injected.append((round(loop.time() - begin, 2), name))
            self.fault_count += 1
            tasks.add(asyncio.create_task(self.faults[name](self)))
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        await asyncio.gather(*tasks)
        self.recovering = True
        await asyncio.sleep(STABLE_SECONDS)
        self._check_configuration()
        await self._check_drain()
        await asyncio.sleep(RECOVERY_SECONDS - STABLE_SECONDS)
        self.stopping = True
        await requests
        self._check()
        return self.report()

    async def _send_requests(self) -> None:
        tasks = set()
        while not self.stopping:
            self.request_count += 1
            request = self._send_request(self.request_count)
            tasks.add(asyncio.create_task(request))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        await asyncio.gather(*tasks)

    async def _send_request(self, number: int) -> None:
        names = list(self.cluster.service_addresses)
        service = names[number % len(names)]
        target = self.cluster.service_addresses[service]
        round_number, remainder = divmod(number, LONG_FLOW_INTERVAL)
        pause = 0 if remainder else round_number % (MAX_PAUSE_SECONDS + 1)
        counts = self.recovering
        outcome = await self.cluster.caller.request(
            target, f"r-{number}", service, pause
        )
        if counts:
            self.recovery[outcome] += 1

    def _check_configuration(self) -> None:
        """Check that the last configuration is in force on all hosts."""
        for host in self.cluster.hosts:
            generation = self.generation_of(host)
            if generation != self.cluster.generation:
                self.violations.append(
                    f"host {host.number} is at generation {generation} of "
                    f"{self.cluster.generation}"
                )

    async def _check_drain(self) -> None:
        """Check that a leaving server gets no new flow after the limit."""
        server = self.rng.choice(self.cluster.servers)
        server.draining = True
        store = self.cluster.store
        await store.put("servers", server.name, server.store_entry())
        await asyncio.sleep(DRAIN_SECONDS)
        server.flows_opened_while_draining = 0
        await asyncio.sleep(DRAIN_CHECK_SECONDS)
        if server.flows_opened_while_draining:
            self.violations.append(
                f"{server.flows_opened_while_draining} flows were opened at "
                f"{server.name} more than {DRAIN_SECONDS} s after it drained"
            )

    def generation_of(self, host: flow_cluster.EntryHost) -> int:
        """Return the generation that a host has logged last, 0 for none."""
        adopted = host.logged_events("configuration adopted")
        return adopted[-1]["offered"] if adopted else 0

    def _check(self) -> None:
        outcomes = self.cluster.caller.outcomes
        if outcomes[FlowOutcome.WRONG]:
            self.violations.append(f"{outcomes[FlowOutcome.WRONG]} wrong")
        self.violations += overdue_check.find_violations(
            self.cluster, self.injected, self.began
        )
        executed_ids = [
            each for one in self.cluster.servers for each in one.executed_ids
        ]
        if len(executed_ids) != len(set(executed_ids)):
            self.violations.append("a request was executed twice")
        if any(one.corrupted_packets for one in self.cluster.servers):
            self.violations.append("a server received a corrupted packet")
        served = self.recovery[FlowOutcome.SERVED]
        if served < 0.9 * sum(self.recovery.values()):
            self.violations.append(
                f"not recovered after the faults: {dict(self.recovery)}"
            )
        for host in self.cluster.hosts:
            if "internal error" in host.log_path.read_text():
                self.violations.append(f"internal error on host {host.number}")

    def report(self) -> dict:
        """Return counts, outcomes and violations."""
        outcomes = self.cluster.caller.outcomes
        return {
            "faults": self.fault_count,
            "asked": self.request_count,
            "outcomes": {each.value: n for each, n in outcomes.items()},
            "broken": self.violations,
            "injected": self.injected,
        }

    def random_duration(self) -> float:
        """Return a random duration of a fault in seconds."""
        return self.rng.uniform(0.2, MAX_FAULT_SECONDS)


async def restart_host(
    host: flow_cluster.EntryHost, signal_number: int, delay: float = 0.0
) -> None:
    """Stop a host with a signal and start it again.

    Does not start it if another fault has done so in the meantime.

    :param delay: seconds between the end of the process and its start.
    """
    process = host.process
    process.send_signal(signal_number)
    while process.poll() is None:
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    await asyncio.sleep(delay)
    if host.process is process:
        host.start()


@fault
async def kill(soak: Soak) -> None:
    """Kill a host and start it again."""
    host = soak.rng.choice(soak.cluster.hosts)
    await restart_host(host, signal.SIGKILL, soak.rng.uniform(0.0, 0.5))


@fault
async def kill_all(soak: Soak) -> None:
    """Kill all hosts at once and start them again."""
    await asyncio.gather(
        *(restart_host(host, signal.SIGKILL) for host in soak.cluster.hosts)
    )


@fault
async def stop(soak: Soak) -> None:
    """Stop a host with SIGTERM and start it again."""
    await restart_host(soak.rng.choice(soak.cluster.hosts), signal.SIGTERM)


@fault
async def freeze(soak: Soak) -> None:
    """Suspend a host for some time."""
    process = soak.rng.choice(soak.cluster.hosts).process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.random_duration())
    process.send_signal(signal.SIGCONT)


@fault
async def hup(soak: Soak) -> None:
    """Make a host reload its settings."""
    soak.rng.choice(soak.cluster.hosts).signal(signal.SIGHUP)


@fault
async def store_trouble(soak: Soak) -> None:
    """Inject a random store fault, or none, for half of the hosts or all.

    In half of the cases the store also discards its history.
    """
    store = soak.cluster.store
    store.injected_fault = soak.rng.choice(list(object_store.InjectedFault))
    some = soak.rng.sample(soak.cluster.hosts, soak.cluster.host_count // 2)
    addresses = frozenset(host.store.host for host in some)
    store.rejected_hosts = soak.rng.choice([frozenset(), addresses])
    await asyncio.sleep(soak.random_duration())
    if soak.rng.random() < 0.5:
        store.discard_history()
    store.injected_fault = object_store.InjectedFault.NONE


@fault
async def loss(soak: Soak) -> None:
    """Drop packets and send each to a random host for some time."""
    soak.cluster.router.loss = 0.03
    soak.cluster.router.random_host = True
    await asyncio.sleep(soak.random_duration())
    soak.cluster.router.loss = 0.0
    soak.cluster.router.random_host = False


@fault
async def dark_server(soak: Soak) -> None:
    """Make a server ignore all packets for some time."""
    server = soak.rng.choice(soak.cluster.servers)
    await server.set_silent(True)
    await asyncio.sleep(soak.random_duration())
    await server.set_silent(False)


@fault
async def leaving_server(soak: Soak) -> None:
    """Drain a server and return it to service later."""
    server = soak.rng.choice(soak.cluster.servers)
    server.draining = True
    store = soak.cluster.store
    await store.put("servers", server.name, server.store_entry())
    await asyncio.sleep(DRAIN_SECONDS)
    server.draining = False
    await store.put("servers", server.name, server.store_entry())


@fault
async def configure(soak: Soak) -> None:
    """Write a new version of the configuration with the same routes."""
    await soak.cluster.write_configuration()


async def soak(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    mode: str = "",
    host_count: int = DEFAULT_HOSTS,
) -> dict:
    """Run the soak test with a seed and return the report.

    :param mode: key of FURTHER_FAULTS, or empty.
    :param host_count: number of entry hosts; above 12 they exchange digests
        and follow each other as in a large fleet.
    """
    faults = {**FAULTS, **FURTHER_FAULTS.get(mode, {})}
    cluster = flow_cluster.FlowCluster(folder, host_count, target_ms=600)
    if mode == "evacuations":
        cluster.further_settings = evacuation_faults.SETTINGS
        faults = evacuation_faults.Evacuations().add_to(faults)
    try:
        await cluster.start()
        if mode == "large":
            large_faults.enlarge(cluster)
        run = Soak(cluster, random.Random(seed), faults)
        return {"seed": seed, **await run.run(seconds)}
    finally:
        await cluster.stop()


def main() -> int:
    """Run the soak test; return 1 if a guarantee was violated, else 0."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else random.getrandbits(31)
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_SECONDS
    modes = [each for each in sys.argv[3:] if each in FURTHER_FAULTS]
    counts = [int(each) for each in sys.argv[3:] if each.isdecimal()]
    host_count = counts[0] if counts else DEFAULT_HOSTS
    folder = pathlib.Path(tempfile.mkdtemp(prefix="flow-soak-"))
    report = asyncio.run(
        soak(seed, seconds, folder, "".join(modes[:1]), host_count)
    )
    print(json.dumps(report))
    if report["broken"]:
        print(f"the logs of the hosts are in {folder}", file=sys.stderr)
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
