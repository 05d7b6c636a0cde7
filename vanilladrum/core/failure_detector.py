"""Passive failure detection of backend servers and data centres.

A server answers callers directly, so an entry host notices an answer only
when the caller's next packet arrives. A first packet that is not followed by
another one in time is an unanswered attempt. If several servers of a data
centre leave attempts unanswered at the same time, the whole data centre is
treated as unreachable.
"""

import enum

from vanilladrum.core import backend as backends
from vanilladrum.core import health as healths
from vanilladrum.core.overdue import unreached_servers

# Bounds of the time allowed for a caller's next packet, in seconds. The lower
# bound is several times the network latency within a zone. The upper bound is
# below the 0.2 s after which callers retransmit a first packet.
MIN_ANSWER_TIMEOUT = 0.03
MAX_ANSWER_TIMEOUT = 0.15
# Weights of a new measurement in the smoothed mean and deviation of the round
# trip, and the multiple of the deviation in the timeout, as in RFC 6298.
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_FACTOR = 4.0
# Limits for ejecting a server of flows; times are in seconds.
EJECTION_LIMITS = healths.Thresholds(
    max_consecutive_failures=2, first_ejection=1.0, longest_ejection=8.0
)
# Number of servers with unanswered attempts from which a data centre is
# treated as unreachable. The second value applies when no digests arrive from
# its entry hosts either.
MIN_SILENT_SERVERS = 2
MIN_SILENT_SERVERS_NO_DIGESTS = 1
# Health checks in a row that did not reach a suspect server, and seconds since
# the suspicion began, after which the server is presumed dead.
MIN_UNREACHED_CHECKS = 2
MIN_SUSPECTED_SECONDS = 0.5
# Intervals between health checks of a suspect server, in seconds. The first
# check is immediate, which resolves a lost packet quickly; an outage of
# several seconds costs one check a second.
CHECK_INTERVALS = (0.0, 0.25, 0.5, 1.0)


class HealthStatus(enum.IntEnum):
    """Health status of a server; lower values are preferred.

    DOUBTED is a server that is suspected of a failure, or any server of an
    unreachable data centre. EJECTED is a server that has failed repeatedly.
    """

    GOOD = 0
    DOUBTED = 1
    EJECTED = 2


class ServerRecord:
    """Failure detection state of one run of a server.

    :param started: start time of the run, wall-clock milliseconds.
    :param health: consecutive failures and ejections.
    :param last_answer: when an answer was last noticed, monotonic seconds.
    :param suspected: whether the server is suspect: it left an attempt
        unanswered, and neither an answer nor a successful check followed.
    :param suspected_at: when the suspicion began, monotonic seconds.
    :param unreached_checks: health checks in a row since then to which not
        even the server's host has responded.
    :param check_index: index of the current interval in CHECK_INTERVALS.
    :param next_check: when the next check is due, monotonic seconds.
    """

    def __init__(self, started: int) -> None:
        self.started = started
        self.health = healths.Health(EJECTION_LIMITS)
        self.last_answer = float("-inf")
        self.suspected = False
        self.suspected_at = float("-inf")
        self.unreached_checks = 0
        self.check_index = 0
        self.next_check = float("-inf")


class RoundTrip:
    """Smoothed time between a first packet and the caller's next packet.

    :param mean: smoothed mean, in seconds; 0 before the first measurement.
    :param deviation: smoothed mean deviation, in seconds.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0

    def add(self, seconds: float) -> None:
        """Update mean and deviation with a measurement."""
        if not self.mean:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        error = abs(seconds - self.mean)
        self.deviation += DEVIATION_WEIGHT * (error - self.deviation)
        self.mean += MEAN_WEIGHT * (seconds - self.mean)

    def timeout(self) -> float:
        """Return the time within which an answer is expected, in seconds."""
        if not self.mean:
            return MAX_ANSWER_TIMEOUT
        timeout = self.mean + DEVIATION_FACTOR * self.deviation
        return min(max(timeout, MIN_ANSWER_TIMEOUT), MAX_ANSWER_TIMEOUT)


class FailureDetector:
    """Failure detector for all servers, based on what this host observes.

    :param records: state by server tag.
    :param suspects: suspect servers by tag.
    :param last_answer: when any server was last reached, monotonic seconds.
    :param silent_servers: by data centre, the tags of servers with
        unanswered attempts since a server of that data centre was last
        reached.
    :param silent_data_centres: data centres whose entry hosts send no
        digests now.
    :param unreached: servers that are checked because of overdue requests.
    """

    def __init__(self) -> None:
        self.records: dict[int, ServerRecord] = {}
        self.suspects: dict[int, backends.Backend] = {}
        self.last_answer = float("-inf")
        self.round_trip = RoundTrip()
        self.silent_servers: dict[str, set[int]] = {}
        self.silent_data_centres: set[str] = set()
        self.unreached = unreached_servers.UnreachedServers(
            CHECK_INTERVALS, MIN_UNREACHED_CHECKS, MIN_SUSPECTED_SECONDS
        )

    def server_record(self, server: backends.Backend) -> ServerRecord:
        """Return the record of a server's current run, a new one if none."""
        record = self.records.get(server.tag)
        if record is None or record.started != server.started:
            record = ServerRecord(server.started)
            self.records[server.tag] = record
            self.suspects.pop(server.tag, None)
        return record

    def record_answer(
        self,
        server: backends.Backend,
        now: float,
        sent: float = float("-inf"),
    ) -> None:
        """Record an answer, which clears suspicion and ejection.

        It also shows that the server's data centre is reachable.

        :param now: monotonic seconds.
        :param sent: when this host first sent the packet that was answered,
            monotonic seconds.
        """
        self.unreached.record_answer(server, sent)
        record = self.server_record(server)
        record.last_answer = now
        self.last_answer = now
        self._clear_suspicion(server, record)
        record.health.record_success()
        self._clear_silent_servers(server)

    def record_timeout(
        self, server: backends.Backend, sent: float, now: float
    ) -> bool:
        """Record a first packet that was not answered in time.

        The server becomes suspect, unless it has answered any flow since the
        packet was sent: then only this packet was lost.

        :param sent: when the packet was sent, monotonic seconds.
        :returns: whether the server is ejected because of this attempt.
        """
        record = self.server_record(server)
        if record.last_answer >= sent:
            return False
        if not record.suspected:
            record.suspected = True
            record.suspected_at = now
            record.unreached_checks = 0
            self.suspects[server.tag] = server
            record.check_index = 0
            record.next_check = now
        tags = self.silent_servers.setdefault(server.data_centre, set())
        tags.add(server.tag)
        if not record.health.record_failure(now):
            return False
        record.health.eject(now)
        return True

    def record_check(
        self,
        server: backends.Backend,
        healthy: bool,
        now: float,
        reached: bool = True,
    ) -> None:
        """Record the result of a health check.

        One of a server that is not suspect, but has overdue requests, is no
        evidence about unanswered first packets.

        A successful check clears the suspicion and shows that the data
        centre is reachable. It does not end an ejection, because flows may
        stay unanswered although the server reports itself healthy. It does
        end it if the data centre was considered unreachable until now.

        :param reached: whether the server's host has responded, be it with a
            refusal. Overloaded servers and those without a working health
            endpoint are reached.
        """
        self.unreached.record_check(server, reached, now)
        record = self.server_record(server)
        if server.tag not in self.suspects:
            return
        record.unreached_checks = 0 if reached else record.unreached_checks + 1
        if not healthy:
            return
        self._clear_suspicion(server, record)
        if self.is_unreachable(server.data_centre):
            record.health.ejected_until = now
        self._clear_silent_servers(server)

    def discard_check(self, server: backends.Backend) -> None:
        """Forget a running health check that says nothing about its server."""
        self.unreached.discard_check(server)

    def record_replaced(self, server: backends.Backend, now: float) -> None:
        """Record that another server has answered a server's health check.

        :param now: monotonic seconds.
        """
        self.unreached.record_replaced(server, now)

    def due_checks(self, now: float) -> list[backends.Backend]:
        """Return the suspect servers whose health check is due.

        Schedules the next check of each of them.
        """
        due = []
        for server in self.suspects.values():
            record = self.records[server.tag]
            if record.next_check > now:
                continue
            last = len(CHECK_INTERVALS) - 1
            record.check_index = min(record.check_index + 1, last)
            record.next_check = now + CHECK_INTERVALS[record.check_index]
            due.append(server)
        return due

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether a data centre is treated as unreachable."""
        silent = len(self.silent_servers.get(data_centre, ()))
        if data_centre in self.silent_data_centres:
            return silent >= MIN_SILENT_SERVERS_NO_DIGESTS
        return silent >= MIN_SILENT_SERVERS

    def is_presumed_dead(self, server: backends.Backend, now: float) -> bool:
        """Return whether a server is taken to have failed or to be cut off.

        It has left a first packet or a request unanswered and answered no
        caller since, health checks did not reach it, and other servers have
        answered in the meantime, so that this host itself is not cut off.

        :param now: monotonic seconds.
        """
        if self.unreached.is_dead(server, now):
            return True
        record = self.records.get(server.tag)
        if record is None or record.started != server.started:
            return False
        return (
            record.suspected
            and now - record.suspected_at >= MIN_SUSPECTED_SECONDS
            and record.unreached_checks >= MIN_UNREACHED_CHECKS
            and self.last_answer > record.suspected_at
        )

    def health_status(
        self, server: backends.Backend, now: float
    ) -> HealthStatus:
        """Return the current health status of a server.

        An unreachable data centre makes all its servers DOUBTED, except those
        that are EJECTED. An overdue request alone does not make a server
        DOUBTED, because it may be slow.
        """
        record = self.records.get(server.tag)
        if record is not None and record.started == server.started:
            if not record.health.is_available(now):
                return HealthStatus.EJECTED
            if record.suspected:
                return HealthStatus.DOUBTED
        if self.unreached.is_unreached(server) or self.is_unreachable(
            server.data_centre
        ):
            return HealthStatus.DOUBTED
        return HealthStatus.GOOD

    def remove(self, server: backends.Backend) -> None:
        """Remove the state of a server that no longer exists."""
        self.records.pop(server.tag, None)
        self.suspects.pop(server.tag, None)
        self.unreached.remove(server)
        self.silent_servers.get(server.data_centre, set()).discard(server.tag)

    def _clear_suspicion(
        self, server: backends.Backend, record: ServerRecord
    ) -> None:
        record.suspected = False
        self.suspects.pop(server.tag, None)

    def _clear_silent_servers(self, server: backends.Backend) -> None:
        """Clear the silent servers of a server's data centre."""
        self.silent_servers.pop(server.data_centre, None)
