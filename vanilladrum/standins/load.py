"""Open-loop load generator that checks every response and execution."""

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
FAILURE_COUNTERS = (
    "wrong_service",
    "wrong_answer",
    "doubled",
    "not_run_but_ran",
    "broken_connections",
)


@attrs.frozen
class RequestClass:
    """Settings of one class of requests.

    :param service: service name that responses must begin with, except
        those with a drawing.
    :param kind: ``check`` sends GET, ``record`` sends POST with a request
        id, ``drawing`` fetches a body block by block.
    :param path: prefix of the request paths.
    :param rate: requests per second.
    :param connections: number of long-lived connections; each request uses
        a random one.
    :param deadline: seconds until the caller needs the reply; sent with
        each request, but not enforced here.
    :param crest: factor of the rate during peaks.
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

    :param mix: the classes of requests.
    :param backends: control endpoints of the backend servers.
    :param duration: length of the run in seconds.
    :param seed: seed of the arrival times and paths.
    :param swing: period of the load in seconds; the last fifth of each
        period is a peak.
    :param ack_timeout: seconds until the first retransmission.
    """

    mix: tuple[RequestClass, ...]
    backends: tuple[addresses.Address, ...]
    duration: float = 10.0
    seed: int = 1
    swing: float = 5.0
    ack_timeout: float = 0.5


@attrs.define(eq=False)
class Statistics:
    """Results of one class of requests; latencies in microseconds."""

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
    """One load run.

    Sends requests at random times, independent of the replies. Latency
    counts from the time at which a request was due.

    :param settings: validated settings.
    :param results: outcomes of the records by request id.
    :param silent_connections: connections with a request that had no reply.
    :param failures: seconds since the start, class and outcome of each
        request that was not answered.
    :param started: start of the run on the event loop's clock.
    """

    settings: LoadSettings
    statistics: dict[str, Statistics] = attrs.field(factory=dict)
    results: dict[str, callers.RequestOutcome] = attrs.field(factory=dict)
    silent_connections: set[callers.Connection] = attrs.field(factory=set)
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    failures: list[tuple] = attrs.field(factory=list)
    started: float = 0.0
    _ids: itertools.count = attrs.field(factory=itertools.count)

    async def run(self) -> dict:
        """Generate the load, compare it with the executions and report.

        :returns: summary, results by class and requests not answered.
        :raises SettingsError: when a class has an unknown kind.
        """
        for request_class in self.settings.mix:
            if request_class.kind not in KINDS:
                raise errors.SettingsError(
                    f"mix {request_class.name!r}: "
                    f"unknown kind {request_class.kind!r}; "
                    f"use one of {KINDS}"
                )
        self.started = asyncio.get_running_loop().time()
        await asyncio.gather(
            *[
                self._generate(number, request_class)
                for number, request_class in enumerate(self.settings.mix)
            ]
        )
        if self.tasks:
            await asyncio.wait(self.tasks)
        executions = await self._collect_executions()
        return self._report(executions)

    async def _generate(
        self, number: int, request_class: RequestClass
    ) -> None:
        rng = random.Random(self.settings.seed * 1000 + number)
        self.statistics[request_class.name] = Statistics()
        connections = []
        for _ in range(request_class.connections):
            connection = callers.Connection(
                request_class.address, rng, self.settings.ack_timeout
            )
            await connection.open()
            connections.append(connection)
        loop = asyncio.get_running_loop()
        started = loop.time()
        due = started
        while due - started < self.settings.duration:
            due += rng.expovariate(self._rate(request_class, due - started))
            wait = due - loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            connection = rng.choice(connections)
            path = f"{request_class.path}/{rng.randrange(1000)}"
            task = asyncio.create_task(
                self._send_request(request_class, connection, path, due)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _rate(self, request_class: RequestClass, elapsed: float) -> float:
        phase = (elapsed % self.settings.swing) / self.settings.swing
        return request_class.rate * (
            request_class.crest if phase >= 0.8 else 1.0
        )

    async def _send_request(
        self,
        request_class: RequestClass,
        connection: callers.Connection,
        path: str,
        due: float,
    ) -> None:
        stats = self.statistics[request_class.name]
        stats.requests += 1
        request_id = f"{request_class.name}-{next(self._ids)}"
        payload = b""
        if request_class.kind == "drawing":
            result, body = await connection.fetch(path, request_class.deadline)
        elif request_class.kind == "record":
            payload = f"{request_id}|{path}".encode()
            result = await connection.request(
                codes.POST, path, payload, deadline=request_class.deadline
            )
            self.results[request_id] = result.outcome
        else:
            result = await connection.request(
                codes.GET, path, deadline=request_class.deadline
            )
        if request_class.kind != "drawing":
            body = result.message.payload if result.message else b""
        self._record_outcome(request_class, connection, result)
        if result.outcome != callers.RequestOutcome.ANSWERED:
            return
        seconds = asyncio.get_running_loop().time() - due
        stats.latency.record_value(max(1, int(seconds * 1_000_000)))
        self._check_body(request_class, path, payload, body)

    def _record_outcome(
        self,
        request_class: RequestClass,
        connection: callers.Connection,
        result: callers.RequestResult,
    ) -> None:
        stats = self.statistics[request_class.name]
        stats.renewals += result.renewals
        stats.retransmissions += result.transmissions - result.renewals - 1
        if result.outcome != callers.RequestOutcome.ANSWERED:
            elapsed = asyncio.get_running_loop().time() - self.started
            failure = (
                round(elapsed, 2),
                request_class.name,
                result.outcome.value,
            )
            self.failures.append(failure)
        if result.outcome == callers.RequestOutcome.ANSWERED:
            stats.answered += 1
        elif result.outcome == callers.RequestOutcome.NOT_RUN:
            stats.not_run += 1
        elif result.outcome == callers.RequestOutcome.UNKNOWN:
            stats.unknown += 1
        elif result.outcome == callers.RequestOutcome.SILENT:
            self.silent_connections.add(connection)
        else:
            stats.other += 1

    def _check_body(
        self,
        request_class: RequestClass,
        path: str,
        payload: bytes,
        body: bytes,
    ) -> None:
        stats = self.statistics[request_class.name]
        if request_class.kind == "drawing":
            stats.wrong_answer += body != content.drawing_body(path)
            return
        if not body.startswith(request_class.service.encode() + b"|"):
            stats.wrong_service += 1
            return
        expected = content.response_body(request_class.service, path, payload)
        stats.wrong_answer += body != expected

    async def _collect_executions(self) -> dict[str, tuple[int, str]]:
        executions: dict[str, tuple[int, str]] = {}
        async with aiohttp.ClientSession() as session:
            for control in self.settings.backends:
                url = f"http://{control}/report"
                async with session.get(url) as response:
                    report = await response.json()
                for request_id, count in report["executions"].items():
                    before = executions.get(request_id, (0, ""))[0]
                    executions[request_id] = (
                        before + count,
                        report["service"],
                    )
        return executions

    def _report(self, executions: dict[str, tuple[int, str]]) -> dict:
        services = {
            request_class.name: request_class.service
            for request_class in self.settings.mix
        }
        doubled = wrong_service = not_run_but_ran = answered_not_run = 0
        for request_id, outcome in self.results.items():
            count, service = executions.get(request_id, (0, ""))
            doubled += count > 1
            executed_but_refused = (
                outcome == callers.RequestOutcome.NOT_RUN and count > 0
            )
            not_run_but_ran += executed_but_refused
            answered_not_run += (
                outcome == callers.RequestOutcome.ANSWERED and count == 0
            )
            expected = services[request_id.rpartition("-")[0]]
            wrong_service += count > 0 and service != expected
        statistics = self.statistics.values()
        summary = {
            "requests": sum(each.requests for each in statistics),
            "answered": sum(each.answered for each in statistics),
            "not_run": sum(each.not_run for each in statistics),
            "unknown": sum(each.unknown for each in statistics),
            "wrong_service": wrong_service
            + sum(each.wrong_service for each in statistics),
            # Includes records that were answered but not executed, and
            # error responses other than 5.03 and 5.04.
            "wrong_answer": answered_not_run
            + sum(each.wrong_answer + each.other for each in statistics),
            "doubled": doubled,
            "not_run_but_ran": not_run_but_ran,
            "broken_connections": len(self.silent_connections),
        }
        classes = {
            name: _class_summary(stats)
            for name, stats in self.statistics.items()
        }
        return {
            "summary": summary,
            "classes": classes,
            "troubles": self.failures,
        }


def _class_summary(stats: Statistics) -> dict:
    latency = stats.latency
    return {
        "requests": stats.requests,
        "answered": stats.answered,
        "not_run": stats.not_run,
        "unknown": stats.unknown,
        "renewals": stats.renewals,
        "retransmissions": stats.retransmissions,
        "p50_ms": latency.get_value_at_percentile(50) / 1000,
        "p99_ms": latency.get_value_at_percentile(99) / 1000,
        "p999_ms": latency.get_value_at_percentile(99.9) / 1000,
    }


def print_table(report: dict) -> None:
    """Print the results of each class as a table."""
    columns = list(next(iter(report["classes"].values())))
    output = table.Table("class", title="vanilladrum load")
    for column in columns:
        output.add_column(column.replace("_", " "), justify="right")
    for name, stats in report["classes"].items():
        output.add_row(name, *[f"{stats[column]:g}" for column in columns])
    console.Console(width=118).print(output)


def finish(report: dict, path: str | None) -> int:
    """Print a report; return 1 if a failure counter is not zero, else 0.

    :param path: file for the whole report as JSON; none if empty.
    """
    if path:
        with open(path, "w", encoding="utf-8") as file:
            json.dump(report, file, indent=1)
    print_table(report)
    summary = report["summary"]
    print(json.dumps(summary))
    sys.stdout.flush()
    return 1 if any(summary[counter] for counter in FAILURE_COUNTERS) else 0
