"""Open-loop load generator for flows that checks every response."""

import asyncio
import collections
import json
import sys
import time

import attrs
from hdrh import histogram
from rich import console
from rich import table

from vanilladrum.core import address as addresses
from vanilladrum.standins import flow_caller

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
# Wait before the load, until the first readiness probes have ended.
SETTLE_SECONDS = 0.5
FAILURE_OUTCOMES = (
    flow_caller.FlowOutcome.WRONG,
    flow_caller.FlowOutcome.RESET_WHILE_OPEN,
)


@attrs.frozen
class Host:
    """Endpoints of an entry host.

    :param packets: endpoint that receives packets of flows.
    :param readiness: endpoint that answers readiness probes.
    """

    packets: addresses.Address
    readiness: addresses.Address


@attrs.frozen
class Target:
    """A service and the load on it.

    :param service: service name; every response must consist of the
        request id and this name.
    :param address: virtual address that callers open flows to.
    :param rate: flows per second.
    """

    service: str
    address: addresses.Address
    rate: float


@attrs.frozen
class FlowLoadSettings:
    """Settings of a load run.

    :param caller: endpoint at which the callers receive packets.
    :param duration: length of the run in seconds.
    :param host: the entry hosts.
    :param target: the services under load.
    :param deadline: seconds until a request is given up.
    :param loss: share of the callers' packets that are dropped.
    :param spray: whether each packet goes to a random host; otherwise all
        packets of a flow go to the same host.
    """

    caller: addresses.Address
    duration: float
    host: tuple[Host, ...]
    target: tuple[Target, ...]
    deadline: float = 3.0
    loss: float = 0.0
    spray: bool = False


@attrs.define(eq=False)
class Statistics:
    """Outcomes of the flows to one service and latencies in microseconds."""

    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    latency: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
    )

    def as_dict(self) -> dict:
        """Return counts by outcome and latency percentiles in milliseconds."""
        counts = {
            outcome.value: self.outcomes[outcome]
            for outcome in flow_caller.FlowOutcome
        }
        percentiles = {"p50_ms": 50, "p99_ms": 99, "p999_ms": 99.9}
        latencies = {
            name: self.latency.get_value_at_percentile(percentile) / 1000
            for name, percentile in percentiles.items()
        }
        return counts | latencies


@attrs.define(eq=False)
class FlowLoad:
    """Opens flows at fixed rates, without waiting for earlier ones.

    :param settings: validated settings.
    :param statistics: results by service name.
    """

    settings: FlowLoadSettings
    statistics: dict[str, Statistics] = attrs.field(factory=dict)

    async def run(self) -> dict:
        """Generate the load and return the results by service name.

        :raises SettingsError: when the callers' address cannot be bound.
        """
        settings = self.settings
        router = flow_caller.Router(
            [(each.packets, each.readiness) for each in settings.host],
            random_host=settings.spray,
            loss=settings.loss,
        )
        caller = flow_caller.FlowCaller(
            settings.caller, router, settings.deadline
        )
        await caller.start()
        probing = asyncio.create_task(router.probe_hosts())
        await asyncio.sleep(SETTLE_SECONDS)
        await asyncio.gather(
            *(self._generate(caller, each) for each in settings.target)
        )
        probing.cancel()
        caller.endpoint.close()
        return {
            name: stats.as_dict() for name, stats in self.statistics.items()
        }

    async def _generate(
        self, caller: flow_caller.FlowCaller, target: Target
    ) -> None:
        stats = self.statistics.setdefault(target.service, Statistics())
        started = time.monotonic()
        tasks = []
        for number in range(int(self.settings.duration * target.rate)):
            due = started + number / target.rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            timed_request = self._request(
                caller, target, f"{target.service}-{number}"
            )
            tasks.append(asyncio.create_task(timed_request))
        for outcome, seconds in await asyncio.gather(*tasks):
            stats.outcomes[outcome] += 1
            if outcome is flow_caller.FlowOutcome.SERVED:
                stats.latency.record_value(round(seconds * 1e6))

    async def _request(
        self, caller: flow_caller.FlowCaller, target: Target, request_id: str
    ) -> tuple[flow_caller.FlowOutcome, float]:
        started = time.monotonic()
        outcome = await caller.request(
            target.address, request_id, target.service
        )
        return outcome, time.monotonic() - started


def finish(report: dict) -> int:
    """Print a report; return 1 if any flow had a failure outcome, else 0."""
    columns = list(next(iter(report.values())))
    output = table.Table("service", title="vanilladrum flow_load")
    for column in columns:
        output.add_column(column.replace("_", " "), justify="right")
    for name, figures in report.items():
        output.add_row(name, *[f"{figures[column]:g}" for column in columns])
    console.Console(width=118).print(output)
    print(json.dumps(report))
    sys.stdout.flush()
    failures = [
        figures[outcome.value]
        for figures in report.values()
        for outcome in FAILURE_OUTCOMES
    ]
    return 1 if any(failures) else 0
