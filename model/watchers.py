"""Model of how store changes propagate to entry hosts and between them.

The store changes, compacts its history and is restored from an earlier copy;
it then gives out revisions again for other changes. Any host may send a
request to the store or to any other host at any time, so that every change of
the watching hosts, every disconnection and every return is covered. An answer
may arrive late, twice or never. The production list watcher decides what a
host accepts, and the production mirror what it passes on.
"""

from collections.abc import Iterator
import json
from typing import Any

import attrs
import minicheck

from model import stepping
from vanilladrum.core import errors
from vanilladrum.core import position as positions
from vanilladrum.daemons import list_watch
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import relay
from vanilladrum.platform import store as stores
from vanilladrum.standins import object_store

HOST_COUNT = 2
KIND = "servers"
# Content of each object: the mirror relays only entries that name a server.
SERVER_ENTRY = {
    "service": "bookings",
    "address": "10.128.0.9:8080",
    "zone": "bilbao",
    "version": "v1",
    "max-concurrency": 2,
    "state": "ready",
    "warmup-left-ms": 0,
    "sequence": 1,
}
# Successive changes of the store in its first era and in later ones: the name
# of an object and whether it is deleted. Name "a" is reused after it was
# deleted.
STORE_EVENTS = (("a", False), ("a", True), ("b", False), ("a", False))
RESTORED_EVENTS = (("c", False), ("d", False), ("c", True), ("e", False))
FIRST_ERA = 1
# Source number of the store; the other sources are numbers of entry hosts.
STORE_SOURCE = -1

# Name and revision of each object.
Objects = tuple[tuple[str, int], ...]
# Name, revision, and whether the object was deleted.
Event = tuple[str, int, bool]
# An event and the revision at which the host received it.
HistoryEntry = tuple[str, int, bool, int]


@attrs.frozen
class Answer:
    """An answer in transit: a listing, changes, or an error.

    :param position: position of the source.
    :param listed: all objects of a listing, None for changes.
    :param history_gone: whether the answer is the error that the requested
        history is no longer available.
    """

    position: positions.StorePosition
    listed: Objects | None = None
    events: tuple[Event, ...] = ()
    history_gone: bool = False


@attrs.frozen
class Host:
    """State of an entry host and the answers that may still reach it.

    :param position: position of the store that the host has reached.
    :param relist: whether the host's next request is for a listing.
    :param view: objects of the store at that position, as the host has
        received them.
    :param history_start: revision of the same era since which its history is
        complete.
    :param history: changes that the host can pass on, oldest first.
    :param pending: the answer that it waits for.
    :param delayed: an earlier answer that may arrive late or twice.
    :param reverted: whether it accepted a state older than its own.
    """

    position: positions.StorePosition | None = None
    relist: bool = True
    view: Objects = ()
    history_start: int = 0
    history: tuple[HistoryEntry, ...] = ()
    pending: Answer | None = None
    delayed: Answer | None = None
    reverted: bool = False


@attrs.frozen
class State:
    """State of the store and the hosts.

    :param restored_to: revision of the copy that begins each later era.
    :param compacted_revision: revision up to which the store has no history.
    """

    revision: int = 0
    restored_to: tuple[int, ...] = ()
    compacted_revision: int = 0
    hosts: tuple[Host, ...] = (Host(),) * HOST_COUNT

    @property
    def position(self) -> positions.StorePosition:
        """Return the position of the store."""
        era = FIRST_ERA + len(self.restored_to)
        return positions.StorePosition(era, self.revision)


@attrs.frozen
class Rules:
    """Classes under test: the production classes, or a mutant of one.

    :param breaks: invariant that the mutant violates.
    :param list_watcher: class that accepts answers.
    :param kind: class that stores a host's objects and history.
    :param receives_delayed: whether a host accepts answers that arrive late
        or twice.
    """

    name: str = "shipped"
    breaks: str = ""
    list_watcher: type[list_watch.ListWatcher] = list_watch.ListWatcher
    kind: type[mirrors.MirroredKind] = mirrors.MirroredKind
    receives_delayed: bool = False


def events_until(
    restored_to: tuple[int, ...], position: positions.StorePosition
) -> list[Event]:
    """Return the changes that led to a position.

    :param restored_to: revision of the copy that begins each later era.
    """
    kept = restored_to[: position.era - FIRST_ERA]
    events = list(STORE_EVENTS)
    for revision in kept:
        events = events[:revision] + list(RESTORED_EVENTS[revision:])
    return [
        (name, at, deleted)
        for at, (name, deleted) in enumerate(events, start=1)
        if at <= position.revision
    ]


def objects_at(
    restored_to: tuple[int, ...], position: positions.StorePosition
) -> Objects:
    """Return the objects in the store at a position."""
    revisions: dict[str, int] = {}
    for name, at, deleted in events_until(restored_to, position):
        revisions.pop(name, None)
        if not deleted:
            revisions[name] = at
    return tuple(sorted(revisions.items()))


def _make_stored(
    name: str, revision: int, deleted: bool
) -> objects.StoredObject:
    plain = object_store.make_object(name, revision, SERVER_ENTRY)
    return objects.parse_object(plain, deleted=deleted)


def _make_relayed(name: str, revision: int) -> bytes:
    """Return an object as the production mirror keeps it."""
    encoded = relay.encode(KIND, _make_stored(name, revision, False))
    assert encoded is not None
    return encoded


class _StubSourceSelector:
    """Test double for the source selector of a list watcher.

    It also takes the place of the store monitor, of its log, of the store
    and of the followed host, and records whether the list watcher reported a
    failure.
    """

    is_mirror = False
    address = None

    def __init__(self, mirror: mirrors.Mirror, era: int) -> None:
        self.mirror = mirror
        self.era = era
        self.loop: Any = self
        self.store_monitor: Any = self
        self.store: Any = self
        self.log: Any = self
        self.list_watchers: list = []
        self.refused = False
        self.followed_host: Any = self

    def now(self) -> float:
        return 0.0

    def batch_delay(self) -> float:
        return 0.0

    def record_success(self, source: object) -> None:
        pass

    def record_era(self, era: int) -> None:
        pass

    def is_allowed(self, event: str) -> bool:
        return False

    def record_failure(
        self, source: object, error: errors.PlatformError
    ) -> None:
        self.refused = True


class _StubStore(stores.Store):
    """Production client whose calls are all answered with a given object."""

    is_mirror = True

    def __init__(self, plain: dict, era: int) -> None:
        self.plain = plain
        self.era = era
        self.results: list = []

    def _call(self, method, path, read, done, **_):
        done(read(self.plain, self.era))

    def listing(self) -> stores.Listing:
        self.list(KIND, self.results.append)
        return self.results.pop()

    def changes(self) -> stores.Changes:
        self.watch(KIND, positions.START, 0.0, self.results.append)
        return self.results.pop()


@attrs.frozen
class WatcherModel:
    """State transitions of the model for a set of rules.

    :param changes: maximum revision of the store before its first restore.
    :param restores: maximum number of restores of the store.
    :param later_changes: maximum revision of the restored store.
    """

    rules: Rules
    changes: int = len(STORE_EVENTS)
    restores: int = 0
    later_changes: int = len(STORE_EVENTS)

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the label and next state of every enabled transition."""
        limit = self.later_changes if state.restored_to else self.changes
        if state.revision < limit:
            yield (
                "store changes",
                attrs.evolve(state, revision=state.revision + 1),
            )
        if state.compacted_revision < state.revision:
            yield (
                "store compacts its history",
                attrs.evolve(state, compacted_revision=state.revision),
            )
        yield from self._restore_steps(state)
        for number, host in enumerate(state.hosts):
            yield from self._request_steps(state, number, host)
            yield from self._response_steps(state, number, host)

    def _restore_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if len(state.restored_to) == self.restores:
            return
        for revision in range(state.revision):
            yield (
                f"store is restored to {revision}",
                attrs.evolve(
                    state,
                    revision=revision,
                    restored_to=(*state.restored_to, revision),
                    compacted_revision=min(state.compacted_revision, revision),
                ),
            )

    def _request_steps(
        self, state: State, number: int, host: Host
    ) -> Iterator[tuple[str, State]]:
        for source in (STORE_SOURCE, *range(HOST_COUNT)):
            if source == number:
                continue
            answer = self._make_answer(state, source, host)
            if answer is None or answer == host.pending:
                continue
            requesting = attrs.evolve(
                host, pending=answer, delayed=host.pending or host.delayed
            )
            target = (
                "the store" if source == STORE_SOURCE else f"host {source}"
            )
            yield (
                f"host {number} sends request to {target}",
                _replace_host(state, number, requesting),
            )

    def _make_answer(
        self, state: State, source: int, host: Host
    ) -> Answer | None:
        if source == STORE_SOURCE:
            return self._make_store_answer(state, host)
        kind = self._make_kind(state.hosts[source])
        if kind.position is None:
            return None
        if host.relist or host.position is None:
            document = json.loads(kind.list_body())
            listing = _StubStore(document, kind.era).listing()
            listed = [(each.name, each.revision) for each in listing.objects]
            return Answer(listing.position, tuple(sorted(listed)))
        if not kind.has_history_since(host.position):
            return Answer(positions.START, history_gone=True)
        document = json.loads(kind.changes_body(host.position.revision))
        changes = _StubStore(document, kind.era).changes()
        events = tuple(
            (each.name, each.revision, each.deleted)
            for each in changes.objects
        )
        return Answer(changes.position, events=events)

    def _make_store_answer(self, state: State, host: Host) -> Answer:
        if host.relist or host.position is None:
            listed = objects_at(state.restored_to, state.position)
            return Answer(state.position, listed)
        since = host.position.revision
        if not state.compacted_revision <= since <= state.revision:
            return Answer(positions.START, history_gone=True)
        events = [
            each
            for each in events_until(state.restored_to, state.position)
            if each[1] > since
        ]
        return Answer(state.position, events=tuple(events))

    def _response_steps(
        self, state: State, number: int, host: Host
    ) -> Iterator[tuple[str, State]]:
        if host.pending is not None:
            updated = self._apply_answer(host, host.pending)
            updated = attrs.evolve(updated, pending=None, delayed=host.pending)
            yield (
                f"host {number} receives answer",
                _replace_host(state, number, updated),
            )
        if host.delayed is not None and self.rules.receives_delayed:
            updated = self._apply_answer(host, host.delayed)
            yield (
                f"host {number} receives delayed answer",
                _replace_host(state, number, updated),
            )

    def _apply_answer(self, host: Host, answer: Answer) -> Host:
        if answer.history_gone:
            return attrs.evolve(host, relist=True)
        mirror = mirrors.Mirror(loop=None)  # type: ignore[arg-type]
        mirror.kinds[KIND] = self._make_kind(host)
        old_position = host.position or positions.START
        source_selector = _StubSourceSelector(mirror, old_position.era)
        view = dict(host.view)
        list_watcher = self.rules.list_watcher(
            source_selector,  # type: ignore[arg-type]
            KIND,
            lambda listed: _apply_listing(view, listed),
            lambda changed: _apply_change(view, changed),
        )
        list_watcher.position = host.position
        list_watcher._needs_listing = host.relist
        list_watcher._apply(_make_outcome(answer))
        kind = mirror.kinds[KIND]
        return attrs.evolve(
            host,
            position=list_watcher.position,
            relist=list_watcher._needs_listing,
            view=tuple(sorted(view.items())),
            history_start=kind.history_start,
            history=tuple(
                (name, _revision(relayed), deleted, at)
                for name, (at, relayed, deleted) in kind.history.items()
            ),
            reverted=host.reverted
            or (list_watcher.position or positions.START) < old_position,
        )

    def _make_kind(self, host: Host) -> mirrors.MirroredKind:
        """Build the production mirror's object from a host's state."""
        kind = self.rules.kind(KIND)
        kind.position = host.position
        kind.history_start = host.history_start
        kind.relayed = {
            name: _make_relayed(name, at) for name, at in host.view
        }
        for name, revision, deleted, at in host.history:
            kind.history[name] = (at, _make_relayed(name, revision), deleted)
        return kind


def _revision(relayed: bytes) -> int:
    return objects.parse_object(json.loads(relayed)).revision


def _replace_host(state: State, number: int, host: Host) -> State:
    hosts = list(state.hosts)
    hosts[number] = host
    return attrs.evolve(state, hosts=tuple(hosts))


def _make_outcome(answer: Answer) -> stores.Listing | stores.Changes:
    if answer.listed is not None:
        listed = tuple(_make_stored(*each, False) for each in answer.listed)
        return stores.Listing(
            listed, answer.position.revision, answer.position.era
        )
    changed = tuple(_make_stored(*each) for each in answer.events)
    return stores.Changes(
        changed, answer.position.revision, answer.position.era
    )


def _apply_listing(
    view: dict, listed: tuple[objects.StoredObject, ...]
) -> None:
    view.clear()
    for each in listed:
        _apply_change(view, each)


def _apply_change(view: dict, changed: objects.StoredObject) -> None:
    view.pop(changed.name, None)
    if not changed.deleted:
        view[changed.name] = changed.revision


def no_gap(fields: dict) -> bool:
    """A host at a position has exactly the store's objects at it."""
    state = fields["state"]
    return all(
        host.view == objects_at(state.restored_to, host.position)
        for host in state.hosts
        if host.position is not None
    )


def never_back(fields: dict) -> bool:
    """No host accepts a state older than its own."""
    return not any(host.reverted for host in fields["state"].hosts)


def nothing_invented(fields: dict) -> bool:
    """No host is at a position that the store hasn't reached."""
    state = fields["state"]
    return all(
        (host.position or positions.START) <= state.position
        for host in state.hosts
    )


def all_hosts_current(fields: dict) -> bool:
    """Every host has reached the store's position."""
    return all(
        host.position == fields["state"].position
        for host in fields["state"].hosts
    )


INVARIANTS = {
    each.__name__: each for each in (no_gap, never_back, nothing_invented)
}


def protocol(
    rules: Rules,
    changes: int = len(STORE_EVENTS),
    restores: int = 0,
    later_changes: int = len(STORE_EVENTS),
) -> minicheck.Protocol:
    """Return the model for a set of rules as a minicheck protocol.

    :param changes: maximum revision of the store before its first restore.
    :param restores: maximum number of restores of the store.
    :param later_changes: maximum revision of the restored store. If it is
        lower than ``changes``, the liveness check shows that hosts need no
        further changes to catch up.
    """
    model = WatcherModel(rules, changes, restores, later_changes)
    return stepping.make_protocol(
        name=f"watchers-{rules.name}",
        initial=State(),
        steps=model.steps,
        invariants=INVARIANTS,
        goal=all_hosts_current,
    )


class _TakesOlderLists(list_watch.ListWatcher):
    """Accepts any listing, even that of a host at an older revision."""

    def _apply(self, outcome):
        self.position = None
        return super()._apply(outcome)


class _TakesOlderChanges(list_watch.ListWatcher):
    """Accepts any changes, even those up to an older revision."""

    def _apply(self, outcome):
        if isinstance(outcome, stores.Changes):
            self.position = None
        return super()._apply(outcome)


class _AnswersAcrossGaps(mirrors.MirroredKind):
    """Answers with the changes that it has, even if some are missing."""

    def has_history_since(self, position):
        return True


class _NamesItsOwnRevision(mirrors.MirroredKind):
    """Answers a host that is ahead with its own, older revision."""

    def changes_body(self, revision):
        own_revision = self.position.revision
        return super().changes_body(min(revision, own_revision))


class _ForgetsDeletions(mirrors.MirroredKind):
    """Passes on no deletions, only objects that exist."""

    def apply_change(self, revision, changed, era):
        is_relayed = super().apply_change(revision, changed, era)
        if changed.deleted:
            del self.history[changed.name]
        return is_relayed


class _BoundsSilently(mirrors.MirroredKind):
    """Drops old changes without recording that its history is incomplete."""

    def apply_change(self, revision, changed, era):
        is_relayed = super().apply_change(revision, changed, era)
        while len(self.history) > 1:
            del self.history[next(iter(self.history))]
        return is_relayed


class _ComparesRevisionsOnly(list_watch.ListWatcher):
    """Refuses every answer with a lower revision, whatever its era."""

    def _is_older(self, outcome):
        own_revision = self.position.revision if self.position else 0
        return outcome.revision < own_revision


class _AppliesChangesOfAnyEra(list_watch.ListWatcher):
    """Applies changes after its revision, even those of a later era."""

    def _apply(self, outcome):
        if self.position and isinstance(outcome, stores.Changes):
            own_revision = self.position.revision
            self.position = positions.StorePosition(outcome.era, own_revision)
        return super()._apply(outcome)


MUTANTS: tuple[Rules, ...] = (
    Rules("takes_older_lists", "never_back", list_watcher=_TakesOlderLists),
    # Either of the two protections is enough, so both are taken away.
    Rules(
        "hears_stale_answers",
        "never_back",
        list_watcher=_TakesOlderChanges,
        receives_delayed=True,
    ),
    Rules("answers_across_gaps", "no_gap", kind=_AnswersAcrossGaps),
    # The same.
    Rules(
        "names_its_own_revision",
        "never_back",
        list_watcher=_TakesOlderChanges,
        kind=_NamesItsOwnRevision,
    ),
    Rules("forgets_deletions", "no_gap", kind=_ForgetsDeletions),
    Rules("bounds_silently", "no_gap", kind=_BoundsSilently),
)
# Mutants that matter only if the store is restored.
RESTORE_MUTANTS: tuple[Rules, ...] = (
    Rules(
        "compares_revisions_only",
        "liveness",
        list_watcher=_ComparesRevisionsOnly,
    ),
    Rules(
        "applies_changes_of_any_era",
        "no_gap",
        list_watcher=_AppliesChangesOfAnyEra,
    ),
    Rules("takes_older_eras", "never_back", list_watcher=_TakesOlderLists),
    # The answer to a watch from before a restore lacks changes after it.
    Rules("hears_answers_to_earlier_calls", "no_gap", receives_delayed=True),
)
