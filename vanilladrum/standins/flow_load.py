"""Open-loop load of flows, with a check of every answer."""

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

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
# Seconds until the first look at the hosts' readiness is over.
SETTLE_SECONDS = 0.5
FAULTS = (flow_caller.Outcome.WRONG, flow_caller.Outcome.RESET_WHILE_OPEN)


@attrs.frozen
class Host:
    """An entry host.

    :param packets: where it takes packets.
    :param readiness: where it says whether it is ready.
    """

    packets: addresses.Address
    readiness: addresses.Address


@attrs.frozen
class Target:
    """One service and its load.

    :param service: name that ends the service's answers.
    :param address: virtual address that callers open flows to.
    :param rate: flows a second.
    """

    service: str
    address: addresses.Address
    rate: float


@attrs.frozen
class FlowLoadSettings:
    """Settings of a run.

    :param caller: where the callers receive packets.
    :param duration: seconds.
    :param deadline: seconds until a request is given up.
    :param loss: share of the callers' packets that are lost.
    :param spray: whether each packet goes to any host, not to the flow's.
    """

    caller: addresses.Address
    duration: float
    host: tuple[Host, ...]
    target: tuple[Target, ...]
    deadline: float = 3.0
    loss: float = 0.0
    spray: bool = False


@attrs.define(eq=False)
class Tally:
    """What came of the flows to one service."""

    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    latency: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    )

    def plain(self) -> dict:
        """Return counts by outcome and quantiles in milliseconds."""
        counts = {
            outcome.value: self.outcomes[outcome]
            for outcome in flow_caller.Outcome
        }
        shares = {"p50_ms": 50, "p99_ms": 99, "p999_ms": 99.9}
        quantiles = {
            name: self.latency.get_value_at_percentile(share) / 1000
            for name, share in shares.items()
        }
        return counts | quantiles


@attrs.define(eq=False)
class FlowLoad:
    """Opens flows at fixed rates, whatever becomes of earlier ones."""

    settings: FlowLoadSettings
    tallies: dict[str, Tally] = attrs.field(factory=dict)

    async def run(self) -> dict:
        """Drive the load; return the report by service.

        :raises SettingsError: when the callers' address cannot be bound.
        """
        settings = self.settings
        router = flow_caller.Router(
            [(each.packets, each.readiness) for each in settings.host],
            spray=settings.spray,
            loss=settings.loss,
        )
        caller = flow_caller.FlowCaller(
            settings.caller, router, settings.deadline
        )
        await caller.start()
        looking = asyncio.create_task(router.look())
        await asyncio.sleep(SETTLE_SECONDS)
        await asyncio.gather(
            *(self._drive(caller, each) for each in settings.target)
        )
        looking.cancel()
        caller.endpoint.close()
        return {name: tally.plain() for name, tally in self.tallies.items()}

    async def _drive(
        self, caller: flow_caller.FlowCaller, target: Target
    ) -> None:
        tally = self.tallies.setdefault(target.service, Tally())
        started = time.monotonic()
        running = []
        for number in range(int(self.settings.duration * target.rate)):
            due = started + number / target.rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            asked = self._ask(caller, target, f"{target.service}-{number}")
            running.append(asyncio.create_task(asked))
        for outcome, seconds in await asyncio.gather(*running):
            tally.outcomes[outcome] += 1
            if outcome is flow_caller.Outcome.SERVED:
                tally.latency.record_value(round(seconds * 1e6))

    async def _ask(
        self, caller: flow_caller.FlowCaller, target: Target, request: str
    ) -> tuple[flow_caller.Outcome, float]:
        started = time.monotonic()
        outcome = await caller.ask(target.address, request, target.service)
        return outcome, time.monotonic() - started


def finish(report: dict) -> int:
    """Print a report; return 1 when a promise was broken, else 0."""
    columns = list(next(iter(report.values())))
    shown = table.Table("service", title="vanilladrum flow_load")
    for column in columns:
        shown.add_column(column.replace("_", " "), justify="right")
    for name, figures in report.items():
        shown.add_row(name, *[f"{figures[column]:g}" for column in columns])
    console.Console(width=118).print(shown)
    print(json.dumps(report))
    sys.stdout.flush()
    broken = [
        figures[fault.value] for figures in report.values() for fault in FAULTS
    ]
    return 1 if any(broken) else 0
