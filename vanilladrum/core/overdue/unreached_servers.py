"""Health checks of servers whose requests are overdue, and their results.

This evidence is kept apart from unanswered first packets: an overdue request
by itself says nothing about a server, which may be slow. Only health checks
that did not reach the server's host count.
"""

import collections
from collections.abc import Callable

from vanilladrum.core import backend as backends

# Longest time in seconds between the end of the first unreached check and the
# start of the second. Two packets that were lost further apart do not add up.
MAX_GAP_SECONDS = 0.5
# Limit of the checks of one server by one host, and its period in seconds.
MAX_CHECKS = 4
CHECK_PERIOD_SECONDS = 2.0
# Seconds after which a check is offered again if it was not started, because
# too many others were running.
OFFER_SECONDS = 0.1
# Seconds for which the interval between checks of a slow server is remembered
# when none of its requests is overdue.
FORGET_SECONDS = 2.0


class CheckRecord:
    """Checks of one run of a server; times are in monotonic seconds.

    :param server: the server.
    :param unreached: checks in a row that did not reach the server's host.
    :param unreached_since: when the first of them was started.
    :param last_ended: when the last of them ended.
    :param others_answer: whether another server has answered a packet that
        was sent between the starts of the first and the last of them.
    :param interval_index: index of the current interval between checks.
    :param next_check: when the next check is due.
    :param offered_until: time before which the check is not offered again.
    :param reported: whether the server was reported as dead.
    :param replaced: whether another server has answered at its address.
    """

    def __init__(self, server: backends.Backend, now: float) -> None:
        self.server = server
        self.unreached = 0
        self.unreached_since = float("-inf")
        self.last_ended = float("-inf")
        self.others_answer = False
        self.interval_index = 0
        self.next_check = now
        self.offered_until = float("-inf")
        self.reported = False
        self.replaced = False
        self.starts: collections.deque[float] = collections.deque(
            maxlen=MAX_CHECKS
        )

    def end_sequence(self) -> None:
        """Discard the unreached checks, because the server was reached."""
        self.unreached = 0
        self.others_answer = False
        self.reported = False


class UnreachedServers:
    """Servers that are checked because requests to them are overdue.

    :param intervals: intervals between checks, in seconds; the last one is
        used for all further checks.
    :param min_checks: unreached checks in a row after which a server is
        presumed dead.
    :param min_seconds: seconds since the start of the first of them after
        which a server is presumed dead.
    :param records: state by server tag.
    :param last_reached: newest time of sending of a packet or check that a
        server is known to have answered, monotonic seconds.
    """

    def __init__(
        self, intervals: tuple[float, ...], min_checks: int, min_seconds: float
    ) -> None:
        self.intervals = intervals
        self.min_checks = min_checks
        self.min_seconds = min_seconds
        self.records: dict[int, CheckRecord] = {}
        self.last_reached = float("-inf")
        # Start of each running check and ``last_reached`` at that time, by
        # server tag.
        self._running: dict[int, tuple[float, float]] = {}

    def find(self, server: backends.Backend) -> CheckRecord | None:
        """Return the record of a server's run, or None."""
        record = self.records.get(server.tag)
        if record is None or record.server.started != server.started:
            return None
        return record

    def record_overdue(self, server: backends.Backend, now: float) -> None:
        """Record that a request to a server is overdue."""
        if self.find(server) is None:
            self.records[server.tag] = CheckRecord(server, now)

    def record_answer(self, server: backends.Backend, sent: float) -> None:
        """Record that a server has answered a packet.

        The time of sending counts, not that of the answer: the answer to an
        earlier packet may arrive after this host was cut off.

        :param sent: when this host sent the packet, monotonic seconds.
        """
        self.last_reached = max(self.last_reached, sent)
        record = self.find(server)
        if record is None:
            return
        if record.replaced and sent > record.unreached_since:
            # The response that named another server was wrong.
            self.remove(server)
            return
        record.end_sequence()

    def begin_check(self, server: backends.Backend, now: float) -> bool:
        """Record the start of a check, whatever the reason for it.

        :returns: whether requests to the server are or were overdue.
        """
        self._running[server.tag] = (now, self.last_reached)
        record = self.find(server)
        if record is None:
            return False
        record.starts.append(now)
        last = len(self.intervals) - 1
        record.interval_index = min(record.interval_index + 1, last)
        record.next_check = now + self.intervals[record.interval_index]
        return True

    def record_check(
        self, server: backends.Backend, reached: bool, now: float
    ) -> None:
        """Record the result of a check.

        :param reached: whether the server's host has responded.
        """
        check = self._running.pop(server.tag, None)
        record = self.find(server)
        if check is None:
            return
        started, reached_before = check
        if reached:
            self.record_answer(server, started)
            return
        if record is None:
            return
        if (
            record.unreached == 1
            and started - record.last_ended > MAX_GAP_SECONDS
        ):
            record.end_sequence()
        if not record.unreached:
            record.unreached_since = started
            record.interval_index = 1
            record.next_check = started + self.intervals[1]
        elif reached_before > record.unreached_since:
            record.others_answer = True
        record.unreached += 1
        record.last_ended = now

    def discard_check(self, server: backends.Backend) -> None:
        """Forget a running check that says nothing about its server."""
        self._running.pop(server.tag, None)

    def record_replaced(self, server: backends.Backend, now: float) -> None:
        """Record that another server has answered a check of a server.

        An address is given to another server only after the first one has
        ended, so this needs no further evidence.

        :param now: monotonic seconds.
        """
        self._running.pop(server.tag, None)
        self.record_overdue(server, now)
        record = self.records[server.tag]
        if not record.replaced:
            record.replaced = True
            record.unreached_since = now

    def restart(self) -> None:
        """Discard all unreached checks, after a pause of the process.

        The results of the checks that are running will not count.
        """
        self._running.clear()
        for record in self.records.values():
            record.end_sequence()

    def is_unreached(self, server: backends.Backend) -> bool:
        """Return whether the last check did not reach a server's host."""
        record = self.find(server)
        if record is None:
            return False
        return record.replaced or record.unreached > 0

    def is_dead(self, server: backends.Backend, now: float) -> bool:
        """Return whether the checks show that a server is dead or cut off.

        :param now: monotonic seconds.
        """
        record = self.find(server)
        if record is None:
            return False
        if record.replaced:
            return True
        if not self._is_confirmed(record):
            return False
        return now - record.unreached_since >= self.min_seconds

    def due_checks(
        self, now: float, is_needed: Callable[[backends.Backend], bool]
    ) -> list[backends.Backend]:
        """Return the servers whose check is due, and forget old records.

        :param now: monotonic seconds.
        :param is_needed: returns whether an overdue request waits for a
            server.
        """
        due = []
        for tag, record in list(self.records.items()):
            if self._due_at(record, is_needed) > now:
                continue
            if not record.unreached and not is_needed(record.server):
                del self.records[tag]
                continue
            record.offered_until = now + OFFER_SECONDS
            due.append(record.server)
        return due

    def next_due(self, is_needed: Callable[[backends.Backend], bool]) -> float:
        """Return when :meth:`due_checks` has something to do next.

        It includes the time from which a server is presumed dead.

        :returns: monotonic seconds, infinite without any record.
        """
        due = float("inf")
        for record in self.records.values():
            due = min(due, self._due_at(record, is_needed))
            if record.reported:
                continue
            if record.replaced:
                due = min(due, record.unreached_since)
            elif self._is_confirmed(record):
                due = min(due, record.unreached_since + self.min_seconds)
        return due

    def remove(self, server: backends.Backend) -> None:
        """Remove the state of a server that no longer exists."""
        self.records.pop(server.tag, None)

    def _is_confirmed(self, record: CheckRecord) -> bool:
        """Return whether there are enough unreached checks."""
        return record.unreached >= self.min_checks and record.others_answer

    def _due_at(
        self,
        record: CheckRecord,
        is_needed: Callable[[backends.Backend], bool],
    ) -> float:
        """Return when a record is due for a check or to be forgotten."""
        if record.replaced or record.server.tag in self._running:
            return float("inf")
        if not record.unreached and not is_needed(record.server):
            return record.next_check + FORGET_SECONDS
        due = record.next_check
        if (
            record.unreached >= self.min_checks
            and not record.others_answer
            and self.last_reached > record.unreached_since
        ):
            # Only a further check is missing: other servers have been reached
            # since the last one was started.
            due = record.last_ended
        due = max(due, record.offered_until)
        if len(record.starts) == MAX_CHECKS:
            due = max(due, record.starts[0] + CHECK_PERIOD_SECONDS)
        return due
