"""Load and speed of servers as the hosts of a data centre measure them.

Candidate (b) of :mod:`bench.fleet_choices`, not used in production.

Each host reports its busy flows and the sums of its response times to a few
hosts of its data centre in turn. The messages of a host do not depend on the
number of hosts or servers; see docs/design/SERVER-CHOICE.md.
"""

import collections
import math
import random

from bench import load_report
from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import neighbours as neighbour_tables
from vanilladrum.core import speed_estimator as speed_estimators

# Time after which a measurement counts half, in seconds.
HALF_LIFE = 4.0
# Weighted answers from which a speed is known.
MIN_ANSWERS = 2.0
# Further rounds in which an unchanged server is reported, so that one lost
# datagram does not leave an outdated number behind.
REPEATED_ROUNDS = 2
# A host without a report for this long is forgotten, in rounds through the
# hosts of the data centre and in seconds at least. Two reports to the same
# host are nearly two rounds apart at most.
VALIDITY_ROUNDS = 4.0
MIN_VALIDITY = 2.0
# Limits of the servers kept for one reporting host and altogether.
MAX_SERVERS_PER_HOST = 64
MAX_SERVERS = 4096


class ResponseAverage:
    """Sums of response times that decay with time.

    :param answers: weighted number of answers.
    :param seconds: weighted sum of their response times.
    """

    __slots__ = ("answers", "seconds", "updated")

    def __init__(self, now: float) -> None:
        self.answers = 0.0
        self.seconds = 0.0
        self.updated = now

    def add(self, answers: float, seconds: float, now: float) -> None:
        """Add some answers with the sum of their response times."""
        self.decay(now)
        self.answers += answers
        self.seconds += seconds

    def decay(self, now: float) -> None:
        """Reduce the weight of the answers so far."""
        factor = 0.5 ** (max(0.0, now - self.updated) / HALF_LIFE)
        self.answers *= factor
        self.seconds *= factor
        self.updated = now


class ReportingHost:
    """Last reports of another host.

    :param servers: load by server tag, the one reported last at the end.
    """

    def __init__(self, start: int) -> None:
        self.start = start
        self.sequence = 0
        self.reported_at = float("-inf")
        self.servers: collections.OrderedDict = collections.OrderedDict()


class SharedLoad:
    """Load and speed of servers, from this host and its data centre.

    :param busy_counts: this host's flows that wait for an answer, by tag.
    :param neighbours: the other entry hosts.
    :param other_busy: busy flows of the other hosts, by tag.
    :param averages: response times by tag, the one changed last at the end.
    """

    def __init__(
        self,
        busy_counts: collections.Counter,
        neighbours: neighbour_tables.Neighbours,
        rng: random.Random,
    ) -> None:
        self.busy_counts = busy_counts
        self.neighbours = neighbours
        self.rng = rng
        self.other_busy: collections.Counter = collections.Counter()
        self.averages: collections.OrderedDict[int, ResponseAverage] = (
            collections.OrderedDict()
        )
        self.sequence = 0
        self.last_report_at = float("-inf")
        # Answers and milliseconds at this host since its start, by tag.
        self._totals: collections.OrderedDict[int, list[int]] = (
            collections.OrderedDict()
        )
        self._hosts: collections.OrderedDict = collections.OrderedDict()
        # Servers to report with the number of reports that each is still
        # part of, the one that waits longest first.
        self._due: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._reported_busy: dict[int, int] = {}
        self._send_order: list[addresses.Address] = []

    # Measurements

    def record_response(self, tag: int, seconds: float, now: float) -> None:
        """Record a response time that this host has measured."""
        total = self._totals.setdefault(tag, [0, 0])
        self._totals.move_to_end(tag)
        total[0] = (total[0] + 1) % load_report.MODULUS
        milliseconds = round(seconds * 1000)
        total[1] = (total[1] + milliseconds) % load_report.MODULUS
        while len(self._totals) > MAX_SERVERS:
            self._totals.popitem(last=False)
        self._add(tag, 1, seconds, now)
        self._mark_changed(tag)

    def busy(self, tag: int) -> int:
        """Return the flows of all hosts that wait for a server's answer."""
        return self.busy_counts[tag] + self.other_busy[tag]

    def mean_response(self, tag: int, now: float, default: float) -> float:
        """Return the mean response time of a server, in seconds.

        :param default: value for a server without measurements; it also
            counts as a third of a measurement.
        """
        average = self.averages.get(tag)
        if average is None:
            return default
        average.decay(now)
        return (average.seconds + 0.3 * default) / (average.answers + 0.3)

    def speed(self, server: backends.Backend, now: float) -> float | None:
        """Return the answers per second of a busy slot, None if unknown.

        The sum of response times per second is the mean number of busy flows
        (Little's law). Those beyond the slots wait, so that the queue of a
        server does not make it look slow.
        """
        average = self.averages.get(server.tag)
        if average is None:
            return None
        average.decay(now)
        if average.answers < MIN_ANSWERS or average.seconds <= 0:
            return None
        mean_busy = average.seconds * math.log(2) / HALF_LIFE
        working = min(1.0, server.slots / mean_busy)
        return average.answers / (average.seconds * working)

    def remove(self, tag: int) -> None:
        """Remove the measurements of a server that no longer exists."""
        self.averages.pop(tag, None)
        self._totals.pop(tag, None)
        self._due.pop(tag, None)

    def _add(self, tag: int, answers: int, seconds: float, now: float) -> None:
        average = self.averages.get(tag)
        if average is None:
            average = self.averages[tag] = ResponseAverage(now)
        average.add(answers, seconds, now)
        self.averages.move_to_end(tag)
        while len(self.averages) > MAX_SERVERS:
            self.averages.popitem(last=False)

    # Reports of this host

    def next_due(self) -> float:
        """Return when the next report is due, in monotonic seconds."""
        if not self.neighbours.is_large_fleet:
            return float("inf")
        return self.last_report_at + load_report.PERIOD

    def make_report(self, now: float) -> load_report.LoadReport:
        """Return the next report of the servers that have changed.

        Those that have waited longest come first.
        """
        self.last_report_at = now
        self.sequence += 1
        self._expire(now)
        current = dict(self.busy_counts)
        for tag in current.keys() | self._reported_busy.keys():
            if current.get(tag) != self._reported_busy.get(tag):
                self._mark_changed(tag)
        self._reported_busy = current
        servers = {}
        for tag in list(self._due)[: load_report.MAX_ENTRIES]:
            answers, milliseconds = self._totals.get(tag, (0, 0))
            servers[tag] = load_report.ServerLoad(
                current.get(tag, 0), answers, milliseconds
            )
            left = self._due.pop(tag) - 1
            if left:
                self._due[tag] = left
        return load_report.LoadReport(
            self.neighbours.start,
            self.sequence,
            self.neighbours.data_centre,
            servers,
        )

    def receivers(self, now: float) -> list[addresses.Address]:
        """Return the hosts that receive the next report.

        Each host of the data centre gets one per round; each round has a new
        random order.
        """
        chosen: list[addresses.Address] = []
        if not self._send_order:
            self._send_order = self.neighbours.valid_local_hosts(now)
            self.rng.shuffle(self._send_order)
        while self._send_order and len(chosen) < load_report.FAN_OUT:
            host = self._send_order.pop()
            if host in self.neighbours.local:
                chosen.append(host)
        return chosen

    def _mark_changed(self, tag: int) -> None:
        reports = self._round_reports() * (1 + REPEATED_ROUNDS)
        self._due[tag] = reports
        while len(self._due) > MAX_SERVERS:
            self._due.popitem(last=False)

    def _round_reports(self) -> int:
        """Return the number of reports of a round through all hosts."""
        hosts = len(self.neighbours.local)
        return max(1, math.ceil(hosts / load_report.FAN_OUT))

    # Reports of other hosts

    def receive(
        self,
        sender: addresses.Address,
        report: load_report.LoadReport,
        now: float,
    ) -> bool:
        """Process a report of another host.

        :returns: whether it was used. Reports of other data centres, of
            unknown hosts and older ones than the last are not.
        """
        if report.data_centre != self.neighbours.data_centre:
            return False
        if sender not in self.neighbours.local:
            return False
        host = self._hosts.get(sender)
        if host is not None and host.start != report.start:
            self._forget(sender)
            host = None
        if host is None:
            host = self._hosts[sender] = ReportingHost(report.start)
        if report.sequence <= host.sequence:
            return False
        host.sequence = report.sequence
        host.reported_at = now
        self._hosts.move_to_end(sender)
        for tag, load in report.servers.items():
            self._apply(host, tag, load, now)
        while len(host.servers) > MAX_SERVERS_PER_HOST:
            tag, old = host.servers.popitem(last=False)
            self._change_busy(tag, -old.busy)
        return True

    def _apply(
        self,
        host: ReportingHost,
        tag: int,
        load: load_report.ServerLoad,
        now: float,
    ) -> None:
        known = host.servers.get(tag)
        host.servers[tag] = load
        host.servers.move_to_end(tag)
        if known is None:
            # Its totals cover an unknown time and are only a start.
            self._change_busy(tag, load.busy)
            return
        self._change_busy(tag, load.busy - known.busy)
        answers = (load.answers - known.answers) % load_report.MODULUS
        milliseconds = load.response_ms - known.response_ms
        milliseconds %= load_report.MODULUS
        # A total that went backwards was dropped by the sender.
        if 0 < answers < load_report.MODULUS // 2:
            self._add(tag, answers, milliseconds / 1000, now)

    def _change_busy(self, tag: int, change: int) -> None:
        self.other_busy[tag] += change
        if self.other_busy[tag] <= 0:
            del self.other_busy[tag]

    def _expire(self, now: float) -> None:
        """Forget the hosts whose reports have stopped."""
        rounds = VALIDITY_ROUNDS * self._round_reports()
        limit = max(MIN_VALIDITY, rounds * load_report.PERIOD)
        while self._hosts:
            sender, host = next(iter(self._hosts.items()))
            if now - host.reported_at <= limit:
                return
            self._forget(sender)

    def _forget(self, sender: addresses.Address) -> None:
        for tag, load in self._hosts.pop(sender).servers.items():
            self._change_busy(tag, -load.busy)


class ReportedSpeedEstimator(speed_estimators.SpeedEstimator):
    """Also passes the response times to the shared load."""

    def __init__(self, shared_load: SharedLoad) -> None:
        super().__init__()
        self.shared_load = shared_load

    def record_response_time(
        self, server: backends.Backend, seconds: float, now: float
    ) -> None:
        """Record the response time of a request."""
        super().record_response_time(server, seconds, now)
        self.shared_load.record_response(server.tag, seconds, now)

    def remove(self, server: backends.Backend) -> None:
        """Remove the state of a server that no longer exists."""
        super().remove(server)
        self.shared_load.remove(server.tag)
