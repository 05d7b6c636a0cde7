"""Requests that an owner remembers, and those a witness recorded."""

import collections

import attrs

from vanilladrum.core import errors
from vanilladrum.core import job as jobs
from vanilladrum.core import ownership
from vanilladrum.core import request as requests

REPLAY_SECONDS = 250.0
IDEMPOTENT_REPLAY_SECONDS = 2.0
MAX_ENTRIES = 60_000
MAX_RECORDS = 200_000
MAX_FENCED = 8_192

Key = tuple[bytes, bytes]


@attrs.define(eq=False)
class Entry:
    """One remembered request.

    :param key: connection id and the caller's token of the request.
    :param owner: incarnation under which it arrived.
    :param path: latest way to the caller.
    :param response: what the caller was told, once that is final.
    """

    key: Key
    owner: bytes
    path: requests.ReplyPath
    idempotent: bool
    since: float
    stage: ownership.Stage = ownership.Stage.NEW
    response: requests.Response | None = None
    job: jobs.Job | None = None

    @property
    def open_job(self) -> jobs.Job:
        """Return the job of a request without a final answer.

        :raises OutcomeError: when the answer is final.
        """
        if self.job is None:
            raise errors.OutcomeError(
                f"request {self.key[1].hex()} has its final answer; ask "
                "for its response instead of its job"
            )
        return self.job


@attrs.define
class RequestTable:
    """Requests by connection and exchange, bounded in time and number."""

    entries: dict[Key, Entry] = attrs.field(factory=dict)
    short: dict[Key, Entry] = attrs.field(factory=dict)
    max_entries: int = MAX_ENTRIES

    def find(self, key: Key) -> Entry | None:
        """Return the entry of a request, or None."""
        return self.entries.get(key) or self.short.get(key)

    def add(self, entry: Entry, now: float) -> bool:
        """Remember a request.

        :returns: False when the table is full of requests that may still
            be repeated; the request must then be ignored, not refused,
            since a refusal has to be remembered too.
        """
        self.expire(now)
        kind = self.short if entry.idempotent else self.entries
        if len(kind) >= self.max_entries:
            return False
        kind[entry.key] = entry
        return True

    def expire(self, now: float) -> None:
        """Forget what no copy can ask for any more."""
        _expire(self.entries, now - REPLAY_SECONDS)
        _expire(self.short, now - IDEMPOTENT_REPLAY_SECONDS)

    def pending(self) -> int:
        """Return how many requests have no final answer yet."""
        return sum(
            1
            for kind in (self.entries, self.short)
            for entry in kind.values()
            if entry.response is None
        )

    def outcomes(self) -> dict[Entry, requests.Response]:
        """Return what an heir must know of the non-idempotent requests.

        A request that never began is left out: an heir tells of what is
        not in the table that it never ran.
        """
        found = {}
        for entry in self.entries.values():
            handed = ownership.handed_over(entry.stage)
            if entry.response is not None:
                found[entry] = entry.response
            elif handed == ownership.Stage.UNKNOWN:
                found[entry] = requests.Response(requests.Outcome.UNKNOWN)
        return found


def _expire(entries: dict[Key, Entry], before: float) -> None:
    while entries:
        entry = entries[next(iter(entries))]
        if entry.since > before:
            return
        if entry.response is None and entry.stage in (
            ownership.Stage.QUEUED,
            ownership.Stage.DISPATCHED,
        ):
            return
        del entries[entry.key]


@attrs.define
class WitnessTable:
    """Requests that other owners have recorded here before dispatch."""

    fenced: collections.OrderedDict[bytes, float] = attrs.field(
        factory=collections.OrderedDict
    )
    records: dict[tuple[bytes, Key], float] = attrs.field(factory=dict)
    max_records: int = MAX_RECORDS

    def record(self, owner: bytes, key: Key, now: float) -> bool:
        """Record a request before its dispatch.

        :returns: False when the owner is fenced and must not dispatch.
        """
        self._expire(now)
        name = (owner, key)
        view = self._view(name)
        after = ownership.record(view)
        if after.fenced:
            return False
        if name not in self.records:
            self.records[name] = now
        return True

    def full(self) -> bool:
        """Return whether nothing more can be recorded."""
        return len(self.records) >= self.max_records

    def judge(self, owner: bytes, key: Key, now: float) -> ownership.Judgement:
        """Fence a lost owner and judge one of its requests."""
        view, judgement = ownership.judge(self._view((owner, key)))
        if view.fenced and owner not in self.fenced:
            self.fenced[owner] = now
        while len(self.fenced) > MAX_FENCED:
            self.fenced.popitem(last=False)
        return judgement

    def _view(self, name: tuple[bytes, Key]) -> ownership.WitnessView:
        return ownership.WitnessView(
            fenced=name[0] in self.fenced, recorded=name in self.records
        )

    def _expire(self, now: float) -> None:
        while self.records:
            name = next(iter(self.records))
            if self.records[name] > now - REPLAY_SECONDS:
                return
            del self.records[name]
