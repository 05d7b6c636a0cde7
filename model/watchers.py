"""Model of what entry hosts hear of the store, from it or from each other.

The store changes and forgets its history; any host asks the store or any
other host at any time, so that watchers change, are cut off and come back as
they like; an answer arrives late, twice, or never. What a host takes in and
what it passes on is decided by the shipped follower and mirror.
"""

from collections.abc import Iterator
from typing import Any

import attrs
import minicheck

from model import stepping
from vanilladrum.core import errors
from vanilladrum.daemons import store_follower
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.standins import object_store

HOSTS = 2
KIND = "servers"
# What happens at the store: an object is written, and deleted or not. The
# name comes back after its deletion.
EVENTS = (("a", False), ("a", True), ("b", False), ("a", False))
STORE = -1

Objects = tuple[tuple[str, int], ...]
Event = tuple[str, int, bool]
# As events, with the revision at which the host heard of it.
Heard = tuple[str, int, bool, int]


@attrs.frozen
class Answer:
    """An answer on its way: a list, changes, or neither.

    :param listed: all objects, None for changes.
    :param gone: whether the asked history is gone.
    """

    revision: int
    listed: Objects | None = None
    events: tuple[Event, ...] = ()
    gone: bool = False


@attrs.frozen
class Host:
    """What an entry host knows, and which answers may still reach it.

    :param floor: since which revision its history is complete.
    :param awaited: the answer that it waits for.
    :param stale: an earlier one that may come late or twice.
    :param went_back: whether it took in something older than it knew.
    """

    revision: int | None = None
    relist: bool = True
    view: Objects = ()
    floor: int = 0
    history: tuple[Heard, ...] = ()
    awaited: Answer | None = None
    stale: Answer | None = None
    went_back: bool = False


@attrs.frozen
class State:
    """The store and the hosts.

    :param forgotten: up to which revision the store has no history.
    """

    revision: int = 0
    forgotten: int = 0
    hosts: tuple[Host, ...] = (Host(),) * HOSTS


@attrs.frozen
class Rules:
    """The shipped way, or a mutant of it in one respect."""

    name: str = "shipped"
    breaks: str = ""
    follower: type[store_follower.Follower] = store_follower.Follower
    kind: type[mirrors.Kind] = mirrors.Kind
    hears_stale: bool = False


def objects_at(revision: int) -> Objects:
    """Return the objects that the store has at a revision."""
    found: dict[str, int] = {}
    for at, (name, deleted) in enumerate(EVENTS[:revision], start=1):
        found.pop(name, None)
        if not deleted:
            found[name] = at
    return tuple(sorted(found.items()))


def _stored(name: str, revision: int, deleted: bool) -> objects.Stored:
    plain = object_store.make_plain(name, revision, {})
    return objects.stored(plain, deleted)


class _Sources:
    """Stands for the sources of a follower; counts refusals."""

    def __init__(self, mirror: mirrors.Mirror) -> None:
        self.mirror = mirror
        self.loop: Any = None
        self.contact: Any = self
        self.store: Any = None
        self.followers: list = []
        self.refused = False
        self.following: Any = self

    def pause(self) -> float:
        return 0.0

    def answered(self, source: object) -> None:
        pass

    def failed(self, source: object, error: errors.PlatformError) -> None:
        self.refused = True


class _Reader(stores.Store):
    """The shipped client, whose every call has a known answer."""

    def __init__(self, plain: dict) -> None:
        self.plain = plain
        self.found: list = []

    def _call(self, method, path, read, done, **_):
        done(read(self.plain))

    def listing(self) -> stores.Listing:
        self.list(KIND, self.found.append)
        return self.found.pop()

    def changes(self) -> stores.Changes:
        self.watch(KIND, 0, 0.0, self.found.append)
        return self.found.pop()


@attrs.frozen
class Watchers:
    """Steps of the model under some rules."""

    rules: Rules
    changes: int = len(EVENTS)

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Return every step that may follow."""
        if state.revision < self.changes:
            yield (
                "the store changes",
                attrs.evolve(state, revision=state.revision + 1),
            )
        if state.forgotten < state.revision:
            yield (
                "the store forgets",
                attrs.evolve(state, forgotten=state.revision),
            )
        for number, host in enumerate(state.hosts):
            yield from self._asks(state, number, host)
            yield from self._hears(state, number, host)

    def _asks(
        self, state: State, number: int, host: Host
    ) -> Iterator[tuple[str, State]]:
        for source in (STORE, *range(HOSTS)):
            if source == number:
                continue
            answer = self._answer(state, source, host)
            if answer is None or answer == host.awaited:
                continue
            asked = attrs.evolve(
                host, awaited=answer, stale=host.awaited or host.stale
            )
            whom = "the store" if source == STORE else f"host {source}"
            yield f"host {number} asks {whom}", _with(state, number, asked)

    def _answer(self, state: State, source: int, host: Host) -> Answer | None:
        if source == STORE:
            return self._answer_of_store(state, host)
        kind = self._kind(state.hosts[source])
        if kind.revision is None:
            return None
        if host.relist or host.revision is None:
            listing = _Reader(kind.listing_plain()).listing()
            listed = [(each.name, each.revision) for each in listing.objects]
            return Answer(listing.revision, tuple(sorted(listed)))
        if not kind.reaches_back_to(host.revision):
            return Answer(0, gone=True)
        changes = _Reader(kind.changes_plain(host.revision)).changes()
        events = tuple(
            (each.name, each.revision, each.deleted)
            for each in changes.objects
        )
        return Answer(changes.revision, events=events)

    def _answer_of_store(self, state: State, host: Host) -> Answer:
        if host.relist or host.revision is None:
            return Answer(state.revision, objects_at(state.revision))
        if host.revision < state.forgotten:
            return Answer(0, gone=True)
        events = [
            (name, at, deleted)
            for at, (name, deleted) in enumerate(EVENTS, start=1)
            if host.revision < at <= state.revision
        ]
        return Answer(state.revision, events=tuple(events))

    def _hears(
        self, state: State, number: int, host: Host
    ) -> Iterator[tuple[str, State]]:
        if host.awaited is not None:
            heard = self._take(host, host.awaited)
            heard = attrs.evolve(heard, awaited=None, stale=host.awaited)
            yield f"host {number} hears", _with(state, number, heard)
        if host.stale is not None and self.rules.hears_stale:
            heard = self._take(host, host.stale)
            yield f"host {number} hears late", _with(state, number, heard)

    def _take(self, host: Host, answer: Answer) -> Host:
        if answer.gone:
            return attrs.evolve(host, relist=True)
        mirror = mirrors.Mirror(loop=None)  # type: ignore[arg-type]
        mirror.kinds[KIND] = self._kind(host)
        sources = _Sources(mirror)
        view = dict(host.view)
        follower = self.rules.follower(
            sources,  # type: ignore[arg-type]
            KIND,
            lambda listed: _list(view, listed),
            lambda changed: _change(view, changed),
        )
        follower.revision = host.revision
        follower._relist = host.relist
        follower._take(_outcome(answer))
        kind = mirror.kinds[KIND]
        before = host.revision or 0
        return attrs.evolve(
            host,
            revision=follower.revision,
            relist=follower._relist,
            view=tuple(sorted(view.items())),
            floor=kind.complete_from,
            history=tuple(
                (name, objects.stored(plain).revision, deleted, at)
                for name, (at, plain, deleted) in kind.history.items()
            ),
            went_back=host.went_back or (follower.revision or 0) < before,
        )

    def _kind(self, host: Host) -> mirrors.Kind:
        """Return the shipped mirror's state of a host."""
        kind = self.rules.kind()
        kind.revision = host.revision
        kind.complete_from = host.floor
        kind.plain = {
            name: _stored(name, at, False).plain for name, at in host.view
        }
        for name, revision, deleted, at in host.history:
            plain = _stored(name, revision, deleted).plain
            kind.history[name] = (at, plain, deleted)
        return kind


def _with(state: State, number: int, host: Host) -> State:
    hosts = list(state.hosts)
    hosts[number] = host
    return attrs.evolve(state, hosts=tuple(hosts))


def _outcome(answer: Answer) -> stores.Listing | stores.Changes:
    if answer.listed is not None:
        listed = tuple(_stored(*each, False) for each in answer.listed)
        return stores.Listing(listed, answer.revision)
    changed = tuple(_stored(*each) for each in answer.events)
    return stores.Changes(changed, answer.revision)


def _list(view: dict, listed: tuple[objects.Stored, ...]) -> None:
    view.clear()
    for each in listed:
        _change(view, each)


def _change(view: dict, changed: objects.Stored) -> None:
    view.pop(changed.name, None)
    if not changed.deleted:
        view[changed.name] = changed.revision


def no_gap(fields: dict) -> bool:
    """A host that knows a revision knows what the store had at it."""
    return all(
        host.view == objects_at(host.revision)
        for host in fields["state"].hosts
        if host.revision is not None
    )


def never_back(fields: dict) -> bool:
    """No host takes in a state older than the one that it knows."""
    return not any(host.went_back for host in fields["state"].hosts)


def nothing_invented(fields: dict) -> bool:
    """No host knows a revision that the store has not reached."""
    state = fields["state"]
    return all((host.revision or 0) <= state.revision for host in state.hosts)


def all_know(fields: dict) -> bool:
    """Every host knows what the store has in the end."""
    return all(
        host.revision == fields["state"].revision
        for host in fields["state"].hosts
    )


INVARIANTS = {
    each.__name__: each for each in (no_gap, never_back, nothing_invented)
}


def protocol(rules: Rules, changes: int = len(EVENTS)) -> minicheck.Protocol:
    """Return the model under some rules.

    :param changes: how often the store changes, at the most.
    """
    model = Watchers(rules, changes)
    return stepping.make_protocol(
        name=f"watchers-{rules.name}",
        initial=State(),
        steps=model.steps,
        invariants=INVARIANTS,
        goal=all_know,
    )


class _TakesOlderLists(store_follower.Follower):
    """Takes any list, also of a host that knows less."""

    def _take(self, outcome):
        self.revision = None
        return super()._take(outcome)


class _AnswersAcrossGaps(mirrors.Kind):
    """Answers with the changes that it has, whatever is missing."""

    def reaches_back_to(self, revision):
        return True


class _NamesItsOwnRevision(mirrors.Kind):
    """Tells a host that is ahead to go back."""

    def changes_plain(self, revision):
        return super().changes_plain(min(revision, self.revision))


class _ForgetsDeletions(mirrors.Kind):
    """Passes on only what is there."""

    def note(self, revision, changed):
        super().note(revision, changed)
        if changed.deleted:
            del self.history[changed.name]


class _BoundsSilently(mirrors.Kind):
    """Drops the oldest change and answers as if it never was."""

    def note(self, revision, changed):
        super().note(revision, changed)
        while len(self.history) > 1:
            del self.history[next(iter(self.history))]


MUTANTS: tuple[Rules, ...] = (
    Rules("takes_older_lists", "never_back", follower=_TakesOlderLists),
    Rules("hears_stale_answers", "no_gap", hears_stale=True),
    Rules("answers_across_gaps", "no_gap", kind=_AnswersAcrossGaps),
    Rules("names_its_own_revision", "never_back", kind=_NamesItsOwnRevision),
    Rules("forgets_deletions", "no_gap", kind=_ForgetsDeletions),
    Rules("bounds_silently", "no_gap", kind=_BoundsSilently),
)
