"""Serves what this host knows of the store to other entry hosts.

It answers lists and watches in the store's own manner, so that one client
and one way of following serve both. It only repeats what it was told.
"""

import collections
import json
from urllib import parse

from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

# Changes kept for hosts that ask what they missed; about a minute of a
# rolling replacement of a large data centre.
MAX_HISTORY = 2000
_MS = 0.001
_GONE = httpd.Answer(410)
_ABSENT = httpd.Answer(404)


class _Kind:
    """Objects of one kind and their last changes.

    :param complete_from: revision since which no change is missing.
    """

    def __init__(self) -> None:
        self.plain: dict[str, dict] = {}
        self.revision: int | None = None
        self.complete_from = 0
        self.history: collections.deque = collections.deque()
        self.waiting: list[_Waiting] = []

    def changes(self, revision: int) -> list[dict]:
        return [
            {"object": plain, "deleted": deleted}
            for at, plain, deleted in self.history
            if at > revision
        ]


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
        self.kinds: dict[str, _Kind] = collections.defaultdict(_Kind)

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
        for waiting in known.waiting:
            waiting.request.answer(_GONE)
        known.waiting.clear()

    def changed(self, kind: str, changes: stores.Changes) -> None:
        """Take in changes."""
        known = self.kinds[kind]
        for each in changes.objects:
            if each.deleted:
                known.plain.pop(each.name, None)
            else:
                known.plain[each.name] = each.plain
            entry = (changes.revision, each.plain, each.deleted)
            known.history.append(entry)
        while len(known.history) > MAX_HISTORY:
            known.complete_from, _, _ = known.history.popleft()
        known.revision = changes.revision
        if changes.objects:
            self._tell(known)

    def handle(self, request: httpd.Request) -> None:
        """Answer a list or a watch."""
        kind = request.path.rpartition("/")[2]
        known = self.kinds[kind]
        if known.revision is None:
            request.answer(_ABSENT)
            return
        query = parse.parse_qs(request.query)
        if "watch" not in query:
            request.answer(_listing(known))
            return
        try:
            revision = int(query["watch"][0])
            wait = int(query.get("wait-ms", ["0"])[0]) * _MS
        except ValueError:
            request.answer(httpd.Answer(400))
            return
        if revision < known.complete_from:
            request.answer(_GONE)
            return
        if known.changes(revision):
            request.answer(_changes(known, revision))
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
                    waiting.request.answer(_changes(known, waiting.revision))

    def _tell(self, known: _Kind) -> None:
        waiting, known.waiting = known.waiting, []
        for each in waiting:
            if known.changes(each.revision):
                each.request.answer(_changes(known, each.revision))
            else:
                known.waiting.append(each)


def serve(mirror: Mirror) -> httpd.Handlers:
    """Return the handlers of a mirror."""
    kinds = (objects.CONFIGURATION_KIND, objects.SERVER_KIND)
    return {f"{stores.OBJECTS}/{kind}": mirror.handle for kind in kinds}


def _listing(known: _Kind) -> httpd.Answer:
    plain = {
        "items": list(known.plain.values()),
        "has-more": False,
        "store-revision": known.revision,
    }
    return httpd.Answer(200, json.dumps(plain).encode())


def _changes(known: _Kind, revision: int) -> httpd.Answer:
    plain = {
        "events": known.changes(revision),
        "store-revision": max(known.revision or 0, revision),
    }
    return httpd.Answer(200, json.dumps(plain).encode())
