"""Randomized faults on entry hosts of flows, from outside the processes.

Usage: python -m examples.flow_soak [SEED] [SECONDS]

Signals, store outages, losses, dark and leaving servers come in series and
overlap while callers keep asking. Exit code 1 and the seed when a promise
was broken; what the callers and servers saw is printed either way.
"""

import asyncio
import json
import pathlib
import random
import signal
import sys
import tempfile

import attrs

from examples import flow_cluster
from vanilladrum.standins import flow_caller
from vanilladrum.standins import object_store

DEFAULT_SECONDS = 20.0
HOSTS = 4
REQUESTS_A_SECOND = 60
QUIET_SECONDS = 6.0
LEAVING_SECONDS = 3.0
LONGEST_FAULT = 3.0
POLL_SECONDS = 0.02
Outcome = flow_caller.Outcome
FAULTS = {}


def fault(action):
    """Register a fault under its name."""
    FAULTS[action.__name__] = action
    return action


@attrs.define(eq=False)
class Soak:
    """One run.

    :param broken: promises that did not hold.
    """

    cluster: flow_cluster.FlowCluster
    rng: random.Random
    faults: int = 0
    asked: int = 0
    broken: list[str] = attrs.field(factory=list)
    began: list[str] = attrs.field(factory=list)

    async def run(self, seconds: float) -> dict:
        """Bring faults about, then look whether all serve again."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        asking = asyncio.create_task(self._ask_until(end + QUIET_SECONDS))
        running = set()
        while loop.time() < end:
            name = self.rng.choice(sorted(FAULTS))
            self.began.append(name)
            self.faults += 1
            running.add(asyncio.create_task(FAULTS[name](self)))
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        await asyncio.gather(*running)
        before = self.cluster.caller.outcomes.copy()
        await asking
        self._check(before)
        return self.report()

    async def _ask_until(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        running = set()
        names = list(self.cluster.targets)
        while loop.time() < end:
            self.asked += 1
            service = names[self.asked % len(names)]
            target = self.cluster.targets[service]
            running.add(
                asyncio.create_task(
                    self.cluster.caller.ask(target, f"r-{self.asked}", service)
                )
            )
            await asyncio.sleep(1 / REQUESTS_A_SECOND)
        await asyncio.gather(*running)

    def _check(self, before) -> None:
        outcomes = self.cluster.caller.outcomes
        for outcome in (Outcome.WRONG, Outcome.RESET_WHILE_OPEN):
            if outcomes[outcome]:
                self.broken.append(f"{outcomes[outcome]} {outcome.value}")
        ran = [each for one in self.cluster.servers for each in one.ran]
        if len(ran) != len(set(ran)):
            self.broken.append("a request ran twice")
        if any(one.changed_packets for one in self.cluster.servers):
            self.broken.append("a packet was changed")
        late = outcomes - before
        if late[Outcome.SERVED] < 0.9 * sum(late.values()):
            self.broken.append(f"not served after the faults: {dict(late)}")
        for host in self.cluster.hosts:
            if "internal error" in host.output.read_text():
                self.broken.append(f"internal error on {host.number}")

    def report(self) -> dict:
        """Return what was seen."""
        outcomes = self.cluster.caller.outcomes
        return {
            "faults": self.faults,
            "asked": self.asked,
            "outcomes": {each.value: n for each, n in outcomes.items()},
            "broken": self.broken,
        }

    def length(self) -> float:
        """Return how long a fault lasts."""
        return self.rng.uniform(0.2, LONGEST_FAULT)


async def end(
    host: flow_cluster.EntryHost, number: int, pause: float = 0.0
) -> None:
    """End a host's process and start it again, unless another fault did."""
    process = host.process
    process.send_signal(number)
    while process.poll() is None:
        await asyncio.sleep(POLL_SECONDS)
    await asyncio.sleep(pause)
    if host.process is process:
        host.start()


@fault
async def kill(soak: Soak) -> None:
    """A host is killed and starts again."""
    host = soak.rng.choice(soak.cluster.hosts)
    await end(host, signal.SIGKILL, soak.rng.uniform(0.0, 0.5))


@fault
async def kill_all(soak: Soak) -> None:
    """All hosts are killed at once."""
    await asyncio.gather(
        *(end(host, signal.SIGKILL) for host in soak.cluster.hosts)
    )


@fault
async def stop(soak: Soak) -> None:
    """A host stops as planned and starts again."""
    await end(soak.rng.choice(soak.cluster.hosts), signal.SIGTERM)


@fault
async def freeze(soak: Soak) -> None:
    """A host stands still for a while."""
    process = soak.rng.choice(soak.cluster.hosts).process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.length())
    process.send_signal(signal.SIGCONT)


@fault
async def hup(soak: Soak) -> None:
    """A host is told to read its settings."""
    soak.rng.choice(soak.cluster.hosts).signal(signal.SIGHUP)


@fault
async def store_trouble(soak: Soak) -> None:
    """The store fails for some hosts or all, and forgets its history."""
    store = soak.cluster.store
    store.trouble = soak.rng.choice(list(object_store.Trouble))
    some = soak.rng.sample(soak.cluster.hosts, HOSTS // 2)
    addresses = frozenset(host.flows.host for host in some)
    store.turned_away = soak.rng.choice([frozenset(), addresses])
    await asyncio.sleep(soak.length())
    if soak.rng.random() < 0.5:
        store.forget_history()
    store.trouble = object_store.Trouble.NONE


@fault
async def loss(soak: Soak) -> None:
    """Packets are lost, and land on any host."""
    soak.cluster.router.loss = 0.03
    soak.cluster.router.spray = True
    await asyncio.sleep(soak.length())
    soak.cluster.router.loss = 0.0
    soak.cluster.router.spray = False


@fault
async def dark_server(soak: Soak) -> None:
    """A server falls silent for a while."""
    server = soak.rng.choice(soak.cluster.servers)
    server.silent = True
    await asyncio.sleep(soak.length())
    server.silent = False


@fault
async def leaving_server(soak: Soak) -> None:
    """A server leaves, and comes back later."""
    server = soak.rng.choice(soak.cluster.servers)
    server.leaving = True
    store = soak.cluster.store
    await store.put("servers", server.name, server.entry())
    await asyncio.sleep(LEAVING_SECONDS)
    server.leaving = False
    await store.put("servers", server.name, server.entry())


@fault
async def configure(soak: Soak) -> None:
    """The configuration changes."""
    await soak.cluster.configure()


async def soak(seed: int, seconds: float, folder: pathlib.Path) -> dict:
    """Run one seed."""
    cluster = flow_cluster.FlowCluster(folder, HOSTS)
    try:
        await cluster.start()
        run = Soak(cluster, random.Random(seed))
        return {"seed": seed, **await run.run(seconds)}
    finally:
        await cluster.stop()


def main() -> int:
    """Run a seed; return 1 when a promise was broken."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else random.getrandbits(31)
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_SECONDS
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(soak(seed, seconds, pathlib.Path(folder)))
    print(json.dumps(report))
    return 1 if report["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
