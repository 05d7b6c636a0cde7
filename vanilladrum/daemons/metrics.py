"""Metrics of an entry host, served over HTTP as JSON."""

import resource

from aiohttp import web
import attrs
from hdrh import histogram

from vanilladrum.core import address as addresses
from vanilladrum.core import entryhost
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import job as jobs

# Range and significant digits of the HDR histograms.
LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
# Width and largest number of the time buckets in which requests are counted.
BUCKET_SECONDS = 10
MAX_BUCKETS = 360
MICROSECONDS_PER_SECOND = 1_000_000


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of durations in microseconds."""
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@attrs.define(eq=False)
class Metrics:
    """Counters, histograms and service-level counts of an entry host.

    Classes of requests are labelled ``service/priority``.

    :param name: the host's name.
    :param waits: time that requests waited for a slot, in microseconds, by
        class.
    :param answers: time from a request's arrival to its answer, in
        microseconds, by class.
    :param burn: ``[good, bad]`` numbers of requests by class and time bucket,
        the input of the error-budget burn rate.
    """

    name: str
    core: entryhost.EntryHost
    waits: dict[str, histogram.HdrHistogram] = attrs.field(factory=dict)
    answers: dict[str, histogram.HdrHistogram] = attrs.field(factory=dict)
    burn: dict[str, dict[int, list[int]]] = attrs.field(factory=dict)
    _runner: web.AppRunner | None = None

    def record_wait(self, service: fleets.Service, job: jobs.Job) -> None:
        """Record the time that a request waited for a slot."""
        _record(self.waits, _label(service, job), job.waited)

    def record_answer(
        self, service: fleets.Service, job: jobs.Job, seconds: float
    ) -> None:
        """Record an answer, and count it against its class's objective.

        :param seconds: from the request's arrival to its answer.
        """
        _record(self.answers, _label(service, job), seconds)
        objective = service.objective(job.priority)
        if objective is not None:
            late = seconds > objective.latency
            self._count(service, job, late)

    def record_failure(self, service: fleets.Service, job: jobs.Job) -> None:
        """Count a failed request as bad if its class has an objective."""
        if service.objective(job.priority) is not None:
            self._count(service, job, True)

    def _count(
        self, service: fleets.Service, job: jobs.Job, bad: bool
    ) -> None:
        label = _label(service, job)
        buckets = self.burn.setdefault(label, {})
        bucket = int(self.core.clock.wall()) // BUCKET_SECONDS
        counts = buckets.setdefault(bucket, [0, 0])
        counts[bad] += 1
        while len(buckets) > MAX_BUCKETS:
            del buckets[next(iter(buckets))]

    def snapshot(self) -> dict:
        """Return all metrics as a JSON document."""
        membership = self.core.membership
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "host": self.name,
            "data_centre": membership.own_entry.data_centre,
            "incarnation": membership.own_entry.incarnation.hex(),
            "ready": self.core.ready,
            "generation": self.core.generation,
            "alive": sorted(each.number for each in membership.alive()),
            "cpu_seconds": usage.ru_utime + usage.ru_stime,
            "max_rss_bytes": usage.ru_maxrss * 1024,
            "dispatchers": self._dispatchers(),
            "counters": dict(self.core.counters),
            "objectives": self._objectives(),
            "burn": {
                label: [[bucket, *counts] for bucket, counts in each.items()]
                for label, each in self.burn.items()
            },
            "waits": _encode(self.waits),
            "answers": _encode(self.answers),
        }

    def _objectives(self) -> dict[str, list[float]]:
        """Return ``[latency, target]`` by class; the latency in seconds."""
        by_label = {}
        for service in self.core.fleet.services if self.core.fleet else ():
            for each in service.objectives:
                label = f"{service.name}/{each.priority.name.lower()}"
                by_label[label] = [each.latency, each.target]
        return by_label

    def _dispatchers(self) -> dict[str, list[int]]:
        """Return the host numbers of each service's dispatcher and witness."""
        by_name = {}
        for service in self.core.fleet.services if self.core.fleet else ():
            pair = self.core.dispatcher_pair(service)
            members = (pair.dispatcher, pair.witness) if pair else ()
            by_name[service.name] = [each.number for each in members if each]
        return by_name

    async def serve(self, address: addresses.Address) -> None:
        """Answer ``GET /metrics`` and ``GET /ready``.

        :raises SettingsError: when the endpoint cannot be bound.
        """
        app = web.Application()
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/ready", self._ready)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.host, address.port)
        try:
            await site.start()
        except OSError as error:
            raise errors.SettingsError(
                f"TCP {address} cannot be bound ({error.strerror}); stop "
                "the process that uses it or choose another port"
            ) from error

    async def close(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _metrics(self, _: web.Request) -> web.Response:
        return web.json_response(self.snapshot())

    async def _ready(self, _: web.Request) -> web.Response:
        status = 200 if self.core.ready else 503
        return web.json_response({"ready": self.core.ready}, status=status)


def _label(service: fleets.Service, job: jobs.Job) -> str:
    return f"{service.name}/{job.priority.name.lower()}"


def _record(
    histograms: dict[str, histogram.HdrHistogram],
    label: str,
    seconds: float,
) -> None:
    if label not in histograms:
        histograms[label] = new_histogram()
    microseconds = int(seconds * MICROSECONDS_PER_SECOND)
    histograms[label].record_value(max(LOWEST_US, microseconds))


def _encode(histograms: dict[str, histogram.HdrHistogram]) -> dict:
    return {
        label: each.encode().decode("ascii")
        for label, each in histograms.items()
    }
