"""The queue of one priority class at a dispatcher."""

import attrs
import sortedcontainers

from vanilladrum.core import job as jobs

CALLER_PENALTY_SECONDS = 0.02
SMOOTHING_FACTOR = 0.05
MAX_INTERVAL_SECONDS = 0.1
CALLER_QUEUE_DIVISOR = 8
MIN_CALLER_QUEUE = 8


def _sort_key(job: jobs.Job) -> tuple[float, int]:
    return job.rank, job.order


def _new_list() -> sortedcontainers.SortedKeyList:
    return sortedcontainers.SortedKeyList(key=_sort_key)


@attrs.define(eq=False)
class PriorityClassQueue:
    """Jobs of one priority class, ordered by rank.

    The rank is the arrival time plus a penalty for each job that the caller
    has queued already, so that one caller can't delay all others.

    :param mean_start_interval: moving average of the seconds between two
        starts while jobs wait.
    :param mean_running_seconds: moving average of a job's running time.
    :param unpinned: jobs that may start on any server.
    :param pinned: jobs that must start on their home server, by its number.
    :param size: jobs in all lists.
    """

    mean_start_interval: float = 0.002
    mean_running_seconds: float = 0.02
    unpinned: sortedcontainers.SortedKeyList = attrs.field(factory=_new_list)
    pinned: dict[int, sortedcontainers.SortedKeyList] = attrs.field(
        factory=dict
    )
    size: int = 0
    _outstanding: dict[object, int] = attrs.field(factory=dict)
    _order: int = 0
    _last_start: float | None = None

    def rank(self, job: jobs.Job) -> float:
        """Return the sort key of a job that is about to be queued.

        :returns: seconds; the job with the lowest key starts first.
        """
        queued = self._outstanding.get(job.caller, 0)
        return job.arrived_at + queued * CALLER_PENALTY_SECONDS

    def expected_wait(self, job: jobs.Job) -> float:
        """Return an estimate of the seconds that a new job would wait.

        The unpinned jobs with a lower sort key and all jobs pinned to the
        job's home server count as starting before it.
        """
        ahead = self.unpinned.bisect_key_right((self.rank(job), self._order))
        home = self.pinned.get(job.home)
        if home is not None:
            ahead += len(home)
        return ahead * self.mean_start_interval

    def is_full(self, job: jobs.Job, max_queue: int) -> bool:
        """Return whether the queue or the caller's share of it is full."""
        limit = max(MIN_CALLER_QUEUE, max_queue // CALLER_QUEUE_DIVISOR)
        if self._outstanding.get(job.caller, 0) >= limit:
            return True
        return self.size >= max_queue

    def add(self, job: jobs.Job, pinned: bool) -> None:
        """Add a job; if ``pinned``, only its home server may start it."""
        self._order += 1
        job.order = self._order
        job.rank = self.rank(job)
        job.pinned = pinned
        job.queued = True
        self.size += 1
        queued = self._outstanding.get(job.caller, 0)
        self._outstanding[job.caller] = queued + 1
        self._list_for(job).add(job)

    def remove(self, job: jobs.Job) -> None:
        """Remove a job; does nothing if it is not queued."""
        if not job.queued:
            return
        self._list_for(job).remove(job)
        job.queued = False
        self.size -= 1
        queued = self._outstanding[job.caller] - 1
        if queued:
            self._outstanding[job.caller] = queued
        else:
            del self._outstanding[job.caller]

    def head(self, home: int | None = None) -> jobs.Job | None:
        """Return the first unpinned job, or the first pinned to ``home``."""
        candidates = self.unpinned
        if home is not None:
            candidates = self.pinned.get(home, ())
        return candidates[0] if candidates else None

    def record_start(self, now: float) -> None:
        """Update the average interval between starts.

        The interval that ends with the first start after an empty queue
        does not count, since no job was waiting.
        """
        if self._last_start is not None:
            interval_sample = min(now - self._last_start, MAX_INTERVAL_SECONDS)
            self.mean_start_interval += SMOOTHING_FACTOR * (
                interval_sample - self.mean_start_interval
            )
        self._last_start = now if self.size else None

    def record_running_time(self, seconds: float) -> None:
        """Update the average running time with that of one job."""
        self.mean_running_seconds += SMOOTHING_FACTOR * (
            seconds - self.mean_running_seconds
        )

    def _list_for(self, job: jobs.Job) -> sortedcontainers.SortedKeyList:
        if not job.pinned:
            return self.unpinned
        if job.home not in self.pinned:
            self.pinned[job.home] = _new_list()
        return self.pinned[job.home]
