"""Open-loop load with a check of every answer and every execution."""

import asyncio
import itertools
import json
import random
import sys

from aiocoap.numbers import codes
import aiohttp
import attrs
from hdrh import histogram
from rich import console
from rich import table

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.daemons import metrics
from vanilladrum.standins import caller as callers
from vanilladrum.standins import content

KINDS = ("check", "record", "drawing")
FAULTS = (
    "wrong_service",
    "wrong_answer",
    "doubled",
    "not_run_but_ran",
    "broken_connections",
)


@attrs.frozen
class Mix:
    """One class of requests.

    :param service: name that the service's answers begin with.
    :param kind: ``check``, ``record`` or ``drawing``.
    :param path: prefix of the paths.
    :param rate: requests a second.
    :param connections: long connections that share the rate.
    :param crest: factor of the rate in the crests of the swing.
    """

    name: str
    service: str
    address: addresses.Address
    kind: str
    path: str
    rate: float
    connections: int
    deadline: float = 10.0
    crest: float = 1.0


@attrs.frozen
class LoadSettings:
    """Settings of a load run.

    :param duration: seconds.
    :param swing: seconds of one swing; the last fifth of it is a crest.
    :param backends: control endpoints of the backend servers.
    """

    mix: tuple[Mix, ...]
    backends: tuple[addresses.Address, ...]
    duration: float = 10.0
    seed: int = 1
    swing: float = 5.0
    ack_timeout: float = 0.5


@attrs.define(eq=False)
class Tally:
    """What one class of requests met."""

    latency: histogram.HdrHistogram = attrs.field(
        factory=metrics.new_histogram
    )
    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    other: int = 0
    renewals: int = 0
    retransmissions: int = 0
    wrong_service: int = 0
    wrong_answer: int = 0


@attrs.define(eq=False)
class Load:
    """One run.

    :param settings: checked settings.
    """

    settings: LoadSettings
    tallies: dict[str, Tally] = attrs.field(factory=dict)
    told: dict[str, callers.Told] = attrs.field(factory=dict)
    broken: set[callers.Connection] = attrs.field(factory=set)
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    troubles: list[tuple] = attrs.field(factory=list)
    started: float = 0.0
    _ids: itertools.count = attrs.field(factory=itertools.count)

    async def run(self) -> dict:
        """Drive the load and return the report."""
        for mix in self.settings.mix:
            if mix.kind not in KINDS:
                raise errors.SettingsError(
                    f"mix {mix.name!r}: kind {mix.kind!r} is not known; "
                    f"use one of {KINDS}"
                )
        self.started = asyncio.get_running_loop().time()
        await asyncio.gather(
            *[
                self._drive(number, mix)
                for number, mix in enumerate(self.settings.mix)
            ]
        )
        if self.tasks:
            await asyncio.wait(self.tasks)
        executions = await self._executions()
        return self._report(executions)

    async def _drive(self, number: int, mix: Mix) -> None:
        rng = random.Random(self.settings.seed * 1000 + number)
        self.tallies[mix.name] = Tally()
        connections = []
        for _ in range(mix.connections):
            connection = callers.Connection(
                mix.address, rng, self.settings.ack_timeout
            )
            await connection.open()
            connections.append(connection)
        loop = asyncio.get_running_loop()
        started = loop.time()
        due = started
        while due - started < self.settings.duration:
            due += rng.expovariate(self._rate(mix, due - started))
            wait = due - loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            connection = rng.choice(connections)
            path = f"{mix.path}/{rng.randrange(1000)}"
            task = asyncio.create_task(self._one(mix, connection, path, due))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _rate(self, mix: Mix, elapsed: float) -> float:
        phase = (elapsed % self.settings.swing) / self.settings.swing
        return mix.rate * (mix.crest if phase >= 0.8 else 1.0)

    async def _one(
        self,
        mix: Mix,
        connection: callers.Connection,
        path: str,
        due: float,
    ) -> None:
        tally = self.tallies[mix.name]
        tally.requests += 1
        name = f"{mix.name}-{next(self._ids)}"
        payload = b""
        if mix.kind == "drawing":
            ending, body = await connection.fetch(path, mix.deadline)
        elif mix.kind == "record":
            payload = f"{name}|{path}".encode()
            ending = await connection.request(
                codes.POST, path, payload, deadline=mix.deadline
            )
            self.told[name] = ending.told
        else:
            ending = await connection.request(
                codes.GET, path, deadline=mix.deadline
            )
        if mix.kind != "drawing":
            body = ending.message.payload if ending.message else b""
        self._count(mix, connection, ending)
        if ending.told != callers.Told.ANSWERED:
            return
        seconds = asyncio.get_running_loop().time() - due
        tally.latency.record_value(max(1, int(seconds * 1_000_000)))
        self._check(mix, path, payload, body)

    def _count(
        self,
        mix: Mix,
        connection: callers.Connection,
        ending: callers.Ending,
    ) -> None:
        tally = self.tallies[mix.name]
        tally.renewals += ending.renewals
        tally.retransmissions += ending.transmissions - ending.renewals - 1
        if ending.told != callers.Told.ANSWERED:
            at = asyncio.get_running_loop().time() - self.started
            trouble = (round(at, 2), mix.name, ending.told.value)
            self.troubles.append(trouble)
        if ending.told == callers.Told.ANSWERED:
            tally.answered += 1
        elif ending.told == callers.Told.NOT_RUN:
            tally.not_run += 1
        elif ending.told == callers.Told.UNKNOWN:
            tally.unknown += 1
        elif ending.told == callers.Told.SILENT:
            self.broken.add(connection)
        else:
            tally.other += 1

    def _check(self, mix: Mix, path: str, payload: bytes, body: bytes) -> None:
        tally = self.tallies[mix.name]
        if mix.kind == "drawing":
            tally.wrong_answer += body != content.drawing(path)
            return
        if not body.startswith(mix.service.encode() + b"|"):
            tally.wrong_service += 1
            return
        expected = content.answer(mix.service, path, payload)
        tally.wrong_answer += body != expected

    async def _executions(self) -> dict[str, tuple[int, str]]:
        found: dict[str, tuple[int, str]] = {}
        async with aiohttp.ClientSession() as session:
            for control in self.settings.backends:
                url = f"http://{control}/report"
                async with session.get(url) as response:
                    report = await response.json()
                for name, count in report["executions"].items():
                    before = found.get(name, (0, ""))[0]
                    found[name] = (before + count, report["service"])
        return found

    def _report(self, executions: dict[str, tuple[int, str]]) -> dict:
        services = {mix.name: mix.service for mix in self.settings.mix}
        doubled = wrong_service = not_run_but_ran = lost = 0
        for name, told in self.told.items():
            count, service = executions.get(name, (0, ""))
            doubled += count > 1
            ran_falsely = told == callers.Told.NOT_RUN and count > 0
            not_run_but_ran += ran_falsely
            lost += told == callers.Told.ANSWERED and count == 0
            expected = services[name.rpartition("-")[0]]
            wrong_service += count > 0 and service != expected
        tallies = self.tallies.values()
        summary = {
            "requests": sum(each.requests for each in tallies),
            "answered": sum(each.answered for each in tallies),
            "not_run": sum(each.not_run for each in tallies),
            "unknown": sum(each.unknown for each in tallies),
            "wrong_service": wrong_service
            + sum(each.wrong_service for each in tallies),
            "wrong_answer": lost
            + sum(each.wrong_answer + each.other for each in tallies),
            "doubled": doubled,
            "not_run_but_ran": not_run_but_ran,
            "broken_connections": len(self.broken),
        }
        classes = {name: _summary(t) for name, t in self.tallies.items()}
        return {
            "summary": summary,
            "classes": classes,
            "troubles": self.troubles,
        }


def _summary(tally: Tally) -> dict:
    latency = tally.latency
    return {
        "requests": tally.requests,
        "answered": tally.answered,
        "not_run": tally.not_run,
        "unknown": tally.unknown,
        "renewals": tally.renewals,
        "retransmissions": tally.retransmissions,
        "p50_ms": latency.get_value_at_percentile(50) / 1000,
        "p99_ms": latency.get_value_at_percentile(99) / 1000,
        "p999_ms": latency.get_value_at_percentile(99.9) / 1000,
    }


def print_table(report: dict) -> None:
    """Print the classes of a report for a person."""
    columns = list(next(iter(report["classes"].values())))
    shown = table.Table("class", title="vanilladrum load")
    for column in columns:
        shown.add_column(column.replace("_", " "), justify="right")
    for name, tally in report["classes"].items():
        shown.add_row(name, *[f"{tally[column]:g}" for column in columns])
    console.Console(width=118).print(shown)


def finish(report: dict, path: str | None) -> int:
    """Print a report and return the exit code of the run."""
    if path:
        with open(path, "w", encoding="utf-8") as file:
            json.dump(report, file, indent=1)
    print_table(report)
    summary = report["summary"]
    print(json.dumps(summary))
    sys.stdout.flush()
    return 1 if any(summary[fault] for fault in FAULTS) else 0
