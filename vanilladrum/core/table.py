"""Tables of an owner's requests and of the requests a witness recorded."""

import collections

import attrs

from vanilladrum.core import errors
from vanilladrum.core import job as jobs
from vanilladrum.core import ownership
from vanilladrum.core import request as requests

RETENTION_SECONDS = 250.0
IDEMPOTENT_RETENTION_SECONDS = 2.0
MAX_ENTRIES = 60_000
MAX_RECORDS = 200_000
MAX_FENCED_OWNERS = 8_192

Key = tuple[bytes, bytes]


@attrs.define(eq=False)
class Entry:
    """State of one request at its owner.

    :param key: connection id and exchange of the request.
    :param owner: incarnation that the request's connection token names.
    :param reply_path: where to answer the latest copy of the request.
    :param arrived_at: when the request arrived, seconds.
    :param response: final response, or None.
    :param job: None once the response is final.
    """

    key: Key
    owner: bytes
    reply_path: requests.ReplyPath
    idempotent: bool
    arrived_at: float
    stage: ownership.Stage = ownership.Stage.NEW
    response: requests.Response | None = None
    job: jobs.Job | None = None

    @property
    def open_job(self) -> jobs.Job:
        """Return the job of a request without a final response.

        :raises RequestCompletedError: when the response is final.
        """
        if self.job is None:
            raise errors.RequestCompletedError(
                f"request {self.key[1].hex()} has its final response; use "
                "the response instead of the job"
            )
        return self.job


@attrs.define
class RequestTable:
    """Requests by connection and exchange, limited in age and number.

    :param entries: non-idempotent requests.
    :param idempotent_entries: idempotent requests, which expire earlier.
    :param max_entries: limit for each of the two.
    """

    entries: dict[Key, Entry] = attrs.field(factory=dict)
    idempotent_entries: dict[Key, Entry] = attrs.field(factory=dict)
    max_entries: int = MAX_ENTRIES

    def find(self, key: Key) -> Entry | None:
        """Return the entry of a request, or None."""
        return self.entries.get(key) or self.idempotent_entries.get(key)

    def add(self, entry: Entry, now: float) -> bool:
        """Remove expired requests, then add a new one.

        :returns: False when the table is full of requests whose copies may
            still arrive. The request must then be ignored, not refused,
            since a refusal needs an entry too.
        """
        self.expire(now)
        entries = self.idempotent_entries if entry.idempotent else self.entries
        if len(entries) >= self.max_entries:
            return False
        entries[entry.key] = entry
        return True

    def expire(self, now: float) -> None:
        """Remove requests so old that no copy of them is expected any more.

        Each of the two tables is scanned from its oldest entry up to the
        first that is queued or dispatched.
        """
        _expire(self.entries, now - RETENTION_SECONDS)
        _expire(self.idempotent_entries, now - IDEMPOTENT_RETENTION_SECONDS)

    def pending(self) -> int:
        """Return how many requests have no final response yet."""
        return sum(
            1
            for entries in (self.entries, self.idempotent_entries)
            for entry in entries.values()
            if entry.response is None
        )

    def outcomes(self) -> dict[Entry, requests.Response]:
        """Return the responses to hand over to this host's successor.

        Only non-idempotent requests are included. Requests that will never
        run are left out: the successor reports every request without an
        outcome as not run.
        """
        responses = {}
        for entry in self.entries.values():
            stage = ownership.stage_after_handover(entry.stage)
            if entry.response is not None:
                responses[entry] = entry.response
            elif stage == ownership.Stage.UNKNOWN:
                responses[entry] = requests.Response(requests.Outcome.UNKNOWN)
        return responses


def _expire(entries: dict[Key, Entry], before: float) -> None:
    """Remove the entries that arrived at ``before`` or earlier.

    Stops at the first entry that is queued or dispatched.
    """
    while entries:
        entry = entries[next(iter(entries))]
        if entry.arrived_at > before:
            return
        if entry.response is None and entry.stage in (
            ownership.Stage.QUEUED,
            ownership.Stage.DISPATCHED,
        ):
            return
        del entries[entry.key]


@attrs.define
class WitnessTable:
    """Requests that owners on other hosts recorded here before dispatch.

    :param fenced: time in seconds at which each owner was fenced; beyond
        ``MAX_FENCED_OWNERS``, the oldest are removed.
    :param records: time in seconds at which each request was recorded, by
        owner and request.
    :param max_records: limit of ``records``; :meth:`is_full` checks it,
        :meth:`record` does not.
    """

    fenced: collections.OrderedDict[bytes, float] = attrs.field(
        factory=collections.OrderedDict
    )
    records: dict[tuple[bytes, Key], float] = attrs.field(factory=dict)
    max_records: int = MAX_RECORDS

    def record(self, owner: bytes, key: Key, now: float) -> bool:
        """Remove expired records, then record a request for its owner.

        :returns: False when the owner is fenced and must not dispatch.
        """
        self._expire(now)
        record_key = (owner, key)
        state = self._witness_state(record_key)
        new_state = ownership.record(state)
        if new_state.fenced:
            return False
        if record_key not in self.records:
            self.records[record_key] = now
        return True

    def is_full(self) -> bool:
        """Return whether the limit of records is reached."""
        return len(self.records) >= self.max_records

    def fence_and_check(
        self, owner: bytes, key: Key, now: float
    ) -> ownership.ExecutionStatus:
        """Fence a lost owner; return whether its request may have run."""
        state, status = ownership.fence_and_check(
            self._witness_state((owner, key))
        )
        if state.fenced and owner not in self.fenced:
            self.fenced[owner] = now
        while len(self.fenced) > MAX_FENCED_OWNERS:
            self.fenced.popitem(last=False)
        return status

    def _witness_state(
        self, record_key: tuple[bytes, Key]
    ) -> ownership.WitnessState:
        return ownership.WitnessState(
            fenced=record_key[0] in self.fenced,
            recorded=record_key in self.records,
        )

    def _expire(self, now: float) -> None:
        while self.records:
            record_key = next(iter(self.records))
            if self.records[record_key] > now - RETENTION_SECONDS:
                return
            del self.records[record_key]
