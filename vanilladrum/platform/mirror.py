"""Serves what this host knows of the store to other entry hosts.

It answers lists and watches in the store's own manner, so that one client
and one way of following serve both. It only repeats what it was told.
"""

import collections
from collections.abc import Callable
import json
from urllib import parse
import zlib

from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

# Changed objects kept for hosts that ask what they missed; about a minute of
# a rolling replacement of a large data centre.
MAX_HISTORY = 2000
# Answers above so many bytes are packed: what fits one packet gains nothing.
PACK_BYTES = 1400
# The fastest level: an entry host may have a sixth of a core.
PACK_LEVEL = 1
# Larger packed answers are left to the store, whose link is faster: twenty
# hosts that follow one with 5 Mbit/s get this much in half a second.
MAX_PASSED_BYTES = 16_000
# Answers kept for other hosts that ask the same.
MAX_ANSWERS = 16
_MS = 0.001
_GONE = httpd.Answer(410)
_ABSENT = httpd.Answer(404)
_TOO_LARGE = httpd.Answer(413)


class Kind:
    """Objects of one kind and their last changes.

    :param complete_from: revision since which no change is missing.
    :param history: the last change of each object, oldest first: revision,
        plain object and whether it is gone.
    """

    def __init__(self) -> None:
        self.plain: dict[str, dict] = {}
        self.revision: int | None = None
        self.complete_from = 0
        self.history: dict[str, tuple[int, dict, bool]] = {}
        self.waiting: list[_Waiting] = []
        self._answers: dict[int | None, httpd.Answer] = {}

    def note(self, revision: int, changed: objects.Stored) -> None:
        """Take in a change."""
        if changed.deleted:
            self.plain.pop(changed.name, None)
        else:
            self.plain[changed.name] = changed.plain
        self.history.pop(changed.name, None)
        entry = (revision, changed.plain, changed.deleted)
        self.history[changed.name] = entry
        while len(self.history) > MAX_HISTORY:
            oldest = next(iter(self.history))
            self.complete_from, _, _ = self.history.pop(oldest)

    def forget_answers(self) -> None:
        """Make answers anew from now on."""
        self._answers.clear()

    def reaches_back_to(self, revision: int) -> bool:
        """Return whether no change after a revision is missing."""
        return revision >= self.complete_from

    def changed_after(self, revision: int) -> bool:
        """Return whether a watch from a revision has something to tell."""
        if not self.history:
            return False
        newest = next(reversed(self.history.values()))
        return newest[0] > revision

    def listing(self) -> httpd.Answer:
        """Return all objects."""
        return self._answer(None, self.listing_plain)

    def changes(self, revision: int) -> httpd.Answer:
        """Return what has changed after a revision."""
        return self._answer(revision, lambda: self.changes_plain(revision))

    def _answer(
        self, asked: int | None, make: Callable[[], dict]
    ) -> httpd.Answer:
        """Return an answer; many hosts ask the same at the same time."""
        if asked not in self._answers:
            while len(self._answers) >= MAX_ANSWERS:
                del self._answers[next(iter(self._answers))]
            self._answers[asked] = _encode(make())
        return self._answers[asked]

    def listing_plain(self) -> dict:
        """Return all objects as the store writes them."""
        return {
            "items": list(self.plain.values()),
            "has-more": False,
            "store-revision": self.revision,
        }

    def changes_plain(self, revision: int) -> dict:
        """Return what has changed after a revision as the store writes it."""
        events = [
            {"object": plain, "deleted": deleted}
            for at, plain, deleted in self.history.values()
            if at > revision
        ]
        return {
            "events": events,
            "store-revision": max(self.revision or 0, revision),
        }


class _Waiting:
    """A watch that waits for a change."""

    def __init__(
        self, request: httpd.Request, revision: int, until: float
    ) -> None:
        self.request = request
        self.revision = revision
        self.until = until


class Mirror:
    """Repeats lists and changes of the store."""

    def __init__(self, loop: loops.Loop) -> None:
        self.loop = loop
        self.kinds: dict[str, Kind] = collections.defaultdict(Kind)

    def revision(self, kind: str) -> int:
        """Return up to which revision a kind is known, 0 for not at all."""
        return self.kinds[kind].revision or 0

    def listed(self, kind: str, listing: stores.Listing) -> None:
        """Take in a whole list."""
        known = self.kinds[kind]
        known.plain = {each.name: each.plain for each in listing.objects}
        known.revision = listing.revision
        known.complete_from = listing.revision
        known.history.clear()
        known.forget_answers()
        for waiting in known.waiting:
            waiting.request.answer(_GONE)
        known.waiting.clear()

    def changed(self, kind: str, changes: stores.Changes) -> None:
        """Take in changes."""
        known = self.kinds[kind]
        for each in changes.objects:
            known.note(changes.revision, each)
        known.revision = changes.revision
        known.forget_answers()
        if changes.objects:
            self._tell(known)

    def handle(self, request: httpd.Request) -> None:
        """Answer a list or a watch."""
        kind = request.path.rpartition("/")[2]
        known = self.kinds[kind]
        if known.revision is None:
            request.answer(_ABSENT)
            return
        query = parse.parse_qs(request.query, keep_blank_values=True)
        if "watch" not in query:
            whole = stores.WHOLE in query
            request.answer(known.listing() if whole else _fit(known.listing()))
            return
        try:
            revision = int(query["watch"][0])
            wait = int(query.get("wait-ms", ["0"])[0]) * _MS
        except ValueError:
            request.answer(httpd.Answer(400))
            return
        if not known.reaches_back_to(revision):
            request.answer(_GONE)
            return
        if known.changed_after(revision):
            request.answer(_fit(known.changes(revision)))
            return
        until = self.loop.now() + wait
        known.waiting.append(_Waiting(request, revision, until))

    def tick(self) -> None:
        """Answer the watches that have waited long enough."""
        now = self.loop.now()
        for known in self.kinds.values():
            for waiting in list(known.waiting):
                if waiting.until <= now:
                    known.waiting.remove(waiting)
                    waiting.request.answer(known.changes(waiting.revision))

    def _tell(self, known: Kind) -> None:
        waiting, known.waiting = known.waiting, []
        for each in waiting:
            if known.changed_after(each.revision):
                each.request.answer(_fit(known.changes(each.revision)))
            else:
                known.waiting.append(each)


def serve(mirror: Mirror) -> httpd.Handlers:
    """Return the handlers of a mirror."""
    kinds = (objects.CONFIGURATION_KIND, objects.SERVER_KIND)
    return {f"{stores.OBJECTS}/{kind}": mirror.handle for kind in kinds}


def _fit(answer: httpd.Answer) -> httpd.Answer:
    """Return an answer if it is small enough to be passed on."""
    if len(answer.body) > MAX_PASSED_BYTES:
        return _TOO_LARGE
    return answer


def _encode(plain: dict) -> httpd.Answer:
    body = json.dumps(plain).encode()
    if len(body) <= PACK_BYTES:
        return httpd.Answer(200, body)
    return httpd.Answer(200, zlib.compress(body, PACK_LEVEL), packed=True)
