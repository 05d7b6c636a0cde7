"""The queue of one priority class at a dispatcher."""

import attrs
import sortedcontainers

from vanilladrum.core import job as jobs

FAIRNESS_SECONDS = 0.02
SMOOTHING = 0.05
MAX_GAP_SECONDS = 0.1
CALLER_SHARE = 8
MIN_CALLER_LIMIT = 8


def _sort_key(job: jobs.Job) -> tuple[float, int]:
    return job.rank, job.order


def _new_list() -> sortedcontainers.SortedKeyList:
    return sortedcontainers.SortedKeyList(key=_sort_key)


@attrs.define(eq=False)
class ClassQueue:
    """Jobs of one class, those of busy callers behind the others.

    :param interval: seconds between two starts while jobs wait, smoothed.
    :param mean_seconds: running time of a job, smoothed.
    """

    interval: float = 0.002
    mean_seconds: float = 0.02
    shared: sortedcontainers.SortedKeyList = attrs.field(factory=_new_list)
    pinned: dict[int, sortedcontainers.SortedKeyList] = attrs.field(
        factory=dict
    )
    size: int = 0
    _outstanding: dict[object, int] = attrs.field(factory=dict)
    _order: int = 0
    _backlog_since: float | None = None

    def rank(self, job: jobs.Job) -> float:
        """Return a job's place: its arrival, later for busy callers."""
        waiting = self._outstanding.get(job.caller, 0)
        return job.arrived + waiting * FAIRNESS_SECONDS

    def expected_wait(self, job: jobs.Job) -> float:
        """Return the seconds that a job would wait here, estimated."""
        ahead = self.shared.bisect_key_right((self.rank(job), self._order))
        home = self.pinned.get(job.home)
        if home is not None:
            ahead += len(home)
        return ahead * self.interval

    def crowded(self, job: jobs.Job, max_queue: int) -> bool:
        """Return whether the queue or the caller's part of it is full."""
        limit = max(MIN_CALLER_LIMIT, max_queue // CALLER_SHARE)
        if self._outstanding.get(job.caller, 0) >= limit:
            return True
        return self.size >= max_queue

    def add(self, job: jobs.Job, pinned: bool) -> None:
        """Queue a job, for its home server alone when ``pinned``."""
        self._order += 1
        job.order = self._order
        job.rank = self.rank(job)
        job.pinned = pinned
        job.queued = True
        self.size += 1
        waiting = self._outstanding.get(job.caller, 0)
        self._outstanding[job.caller] = waiting + 1
        self._list_of(job).add(job)

    def remove(self, job: jobs.Job) -> None:
        """Take a job out."""
        if not job.queued:
            return
        self._list_of(job).remove(job)
        job.queued = False
        self.size -= 1
        waiting = self._outstanding[job.caller] - 1
        if waiting:
            self._outstanding[job.caller] = waiting
        else:
            del self._outstanding[job.caller]

    def head(self, home: int | None = None) -> jobs.Job | None:
        """Return the first job, of those pinned to a server if named."""
        jobs_there = self.shared
        if home is not None:
            jobs_there = self.pinned.get(home, ())
        return jobs_there[0] if jobs_there else None

    def started(self, now: float) -> None:
        """Learn from a start how fast the queue moves."""
        if self._backlog_since is not None:
            gap = min(now - self._backlog_since, MAX_GAP_SECONDS)
            self.interval += SMOOTHING * (gap - self.interval)
        self._backlog_since = now if self.size else None

    def ran(self, seconds: float) -> None:
        """Learn from an answer how long jobs run."""
        self.mean_seconds += SMOOTHING * (seconds - self.mean_seconds)

    def _list_of(self, job: jobs.Job) -> sortedcontainers.SortedKeyList:
        if not job.pinned:
            return self.shared
        if job.home not in self.pinned:
            self.pinned[job.home] = _new_list()
        return self.pinned[job.home]
