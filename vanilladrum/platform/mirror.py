"""Read-only mirror of the store for other entry hosts.

It answers lists and watches in the format of the store, so that the same
client and list watcher work with both. It relays the objects that this host
has received, as :mod:`vanilladrum.platform.relay` keeps them.
"""

from collections.abc import Callable
from urllib import parse
import zlib

from vanilladrum.core import position as positions
from vanilladrum.platform import connection as connections
from vanilladrum.platform import objects
from vanilladrum.platform import relay
from vanilladrum.platform import store as stores
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

# Changed objects kept in the history for hosts that missed changes; about a
# minute of a rolling replacement of a large data centre.
MAX_HISTORY = 2000
# Answers above this size, in bytes, are compressed. Compressing an answer that
# fits into one packet has no benefit.
MAX_UNCOMPRESSED_BYTES = 1400
# Level of zlib: the fastest one, because an entry host may have only a sixth
# of a core.
COMPRESSION_LEVEL = 1
# Larger compressed answers, in bytes, have to be requested from the store,
# whose link is faster. Twenty hosts that follow a host with a link of 5 Mbit/s
# receive this much in half a second.
MAX_RELAYED_BYTES = 16_000
# Longest time in seconds that a watch waits, as at the store.
MAX_WAIT_SECONDS = 30.0
# Answers of each kind that are cached for hosts that send the same request.
MAX_CACHED_ANSWERS = 16
# Kinds of objects that are mirrored.
KINDS = (
    objects.CONFIGURATION_KIND,
    objects.SERVER_KIND,
    objects.EVACUATION_KIND,
)
_SECONDS_PER_MS = 0.001
# Answers of the store.
_LIST = b'{"items": [%s], "has-more": false, "store-revision": %d}'
_CHANGES = b'{"events": [%s], "store-revision": %d}'
_EVENT = b'{"object": %s, "deleted": %s}'
_GONE = httpd.Response(410)
_NOT_FOUND = httpd.Response(404)
_TOO_LARGE = httpd.Response(413)


class MirroredKind:
    """Objects of one kind and their most recent changes.

    :param kind: the kind.
    :param relayed: objects as they are relayed, by name.
    :param position: position of the objects, None before the first list.
    :param changed_position: position of the last list or of the last answer
        with changes. Answers without changes move ``position`` only, because
        the store counts the changes of all kinds in one revision.
    :param history_start: revision of the same era since which the history is
        complete.
    :param history: the last change of each object, oldest first: revision,
        object as it is relayed, and whether it was deleted.
    :param pending_watches: watches that wait for a change.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.relayed: dict[str, bytes] = {}
        self.position: positions.StorePosition | None = None
        self.changed_position = positions.START
        self.history_start = 0
        self.history: dict[str, tuple[int, bytes, bool]] = {}
        self.pending_watches: list[_PendingWatch] = []
        self._cached_answers: dict[int | None, httpd.Response] = {}

    def apply_change(
        self, revision: int, changed: objects.StoredObject, era: int
    ) -> bool:
        """Apply a change and add it to the history.

        :param era: era of the change.
        :returns: whether it is one for the hosts that follow this one.
        """
        encoded = None
        if not changed.deleted:
            encoded = relay.encode(self.kind, changed, era)
        known = self.relayed.pop(changed.name, None)
        if encoded is not None:
            self.relayed[changed.name] = encoded
        elif known is None and not changed.deleted:
            return False
        self.history.pop(changed.name, None)
        is_removal = encoded is None
        entry = encoded or relay.encode_removal(changed)
        self.history[changed.name] = (revision, entry, is_removal)
        while len(self.history) > MAX_HISTORY:
            oldest = next(iter(self.history))
            self.history_start, _, _ = self.history.pop(oldest)
        return True

    def clear_cached_answers(self) -> None:
        """Remove the cached answers, because the objects have changed."""
        self._cached_answers.clear()

    @property
    def era(self) -> int:
        """Return the era of the objects, 0 before the first list."""
        return self.position.era if self.position else 0

    def has_history_since(self, position: positions.StorePosition) -> bool:
        """Return whether the history after a position is complete.

        Revisions of another era say nothing about this history.
        """
        return (
            position.era == self.era
            and position.revision >= self.history_start
        )

    def has_changes_after(self, revision: int) -> bool:
        """Return whether any change is newer than a revision."""
        if not self.history:
            return False
        newest = next(reversed(self.history.values()))
        return newest[0] > revision

    def list_response(self) -> httpd.Response:
        """Return the HTTP response to a list request."""
        return self._cached_answer(None, self.list_body)

    def changes_response(self, revision: int) -> httpd.Response:
        """Return the HTTP response to a watch from a revision."""
        return self._cached_answer(
            revision, lambda: self.changes_body(revision)
        )

    def _cached_answer(
        self, cache_key: int | None, make: Callable[[], bytes]
    ) -> httpd.Response:
        """Return a response from the cache, or make and cache it.

        Many hosts send the same request at the same time, so each response
        is encoded and compressed once.

        :param cache_key: revision of a watch, None for a list.
        """
        if cache_key not in self._cached_answers:
            while len(self._cached_answers) >= MAX_CACHED_ANSWERS:
                del self._cached_answers[next(iter(self._cached_answers))]
            self._cached_answers[cache_key] = _encode(make(), self.era)
        return self._cached_answers[cache_key]

    @property
    def revision(self) -> int:
        """Return the revision of the objects, 0 before the first list."""
        return self.position.revision if self.position else 0

    def list_body(self) -> bytes:
        """Return all objects in the format of the store."""
        return _LIST % (b", ".join(self.relayed.values()), self.revision)

    def changes_body(self, revision: int) -> bytes:
        """Return the changes after a revision in the format of the store."""
        events = [
            _EVENT % (entry, b"true" if deleted else b"false")
            for changed_at, entry, deleted in self.history.values()
            if changed_at > revision
        ]
        last_revision = max(self.revision, revision)
        return _CHANGES % (b", ".join(events), last_revision)


class _PendingWatch:
    """A watch that waits for a change.

    :param revision: store revision after which changes are requested.
    :param until: when it receives an empty answer, monotonic seconds.
    """

    def __init__(
        self, request: httpd.Request, revision: int, until: float
    ) -> None:
        self.request = request
        self.revision = revision
        self.until = until


class Mirror:
    """Answers lists and watches from the state that was last received.

    :param kinds: state by kind.
    :param last_watch_at: when another host last asked for changes, monotonic
        seconds.
    """

    def __init__(self, loop: loops.Loop) -> None:
        self.loop = loop
        self.last_watch_at = float("-inf")
        self.kinds = {kind: MirroredKind(kind) for kind in KINDS}

    def position(self, kind: str) -> positions.StorePosition:
        """Return the position of a kind, ``START`` before the first list."""
        return self.kinds[kind].position or positions.START

    def changed_position(self, kind: str) -> positions.StorePosition:
        """Return the position of the last change of a kind.

        A host that has received the changes up to there lacks nothing.
        """
        return self.kinds[kind].changed_position

    @property
    def has_pending_watches(self) -> bool:
        """Return whether other hosts wait for changes."""
        return any(each.pending_watches for each in self.kinds.values())

    def replace_all(self, kind: str, listing: stores.Listing) -> None:
        """Replace all objects of a kind.

        Pending watches are answered with status 410, because the history
        before the list is unknown.
        """
        mirrored = self.kinds[kind]
        mirrored.relayed.clear()
        for each in listing.objects:
            encoded = relay.encode(kind, each, listing.era)
            if encoded is not None:
                mirrored.relayed[each.name] = encoded
        mirrored.position = listing.position
        mirrored.changed_position = listing.position
        mirrored.history_start = listing.revision
        mirrored.history.clear()
        mirrored.clear_cached_answers()
        for waiting in mirrored.pending_watches:
            waiting.request.respond(_GONE)
        mirrored.pending_watches.clear()

    def apply_changes(self, kind: str, changes: stores.Changes) -> None:
        """Apply changes and answer the watches that wait for them."""
        mirrored = self.kinds[kind]
        has_changed = False
        for each in changes.objects:
            has_changed |= mirrored.apply_change(
                changes.revision, each, changes.era
            )
        mirrored.position = changes.position
        mirrored.clear_cached_answers()
        if has_changed:
            mirrored.changed_position = changes.position
            self._answer_pending(mirrored)

    def keep(self, kind: str, kept: objects.StoredObject) -> None:
        """Relay an object instead of what the store has under its name.

        After a restore the store may have an older one for a while.
        """
        mirrored = self.kinds[kind]
        encoded = relay.encode(kind, kept)
        if encoded is not None:
            mirrored.relayed[kept.name] = encoded
        mirrored.clear_cached_answers()

    def handle(self, request: httpd.Request) -> None:
        """Handle the HTTP request of a list or a watch.

        The status is 404 before the first list, 410 if the history after the
        position of the watch is incomplete, and 413 if the answer is too
        large to relay. A list of any size is sent if the query has
        WHOLE_PARAMETER. A watch without changes is answered later.
        """
        kind = request.path.rpartition("/")[2]
        mirrored = self.kinds[kind]
        if mirrored.position is None:
            request.respond(_NOT_FOUND)
            return
        query = parse.parse_qs(request.query, keep_blank_values=True)
        if "watch" not in query:
            whole = stores.WHOLE_PARAMETER in query
            request.respond(
                mirrored.list_response()
                if whole
                else _limit_size(mirrored.list_response())
            )
            return
        try:
            revision = int(query["watch"][0])
            wait = int(query.get("wait-ms", ["0"])[0]) * _SECONDS_PER_MS
            era = int(query.get(stores.ERA_PARAMETER, [mirrored.era])[0])
        except (ValueError, OverflowError):
            request.respond(httpd.Response(400))
            return
        self.last_watch_at = self.loop.now()
        position = positions.StorePosition(era, revision)
        if not mirrored.has_history_since(position):
            request.respond(_GONE)
            return
        if mirrored.has_changes_after(revision):
            request.respond(_limit_size(mirrored.changes_response(revision)))
            return
        until = self.loop.now() + min(wait, MAX_WAIT_SECONDS)
        mirrored.pending_watches.append(
            _PendingWatch(request, revision, until)
        )

    def tick(self) -> None:
        """Send an empty answer to the watches whose waiting time is over."""
        now = self.loop.now()
        for mirrored in self.kinds.values():
            for waiting in list(mirrored.pending_watches):
                if waiting.until <= now:
                    mirrored.pending_watches.remove(waiting)
                    waiting.request.respond(
                        mirrored.changes_response(waiting.revision)
                    )

    def _answer_pending(self, mirrored: MirroredKind) -> None:
        """Answer the pending watches of a kind that have changes."""
        waiting, mirrored.pending_watches = mirrored.pending_watches, []
        for each in waiting:
            if mirrored.has_changes_after(each.revision):
                each.request.respond(
                    _limit_size(mirrored.changes_response(each.revision))
                )
            else:
                mirrored.pending_watches.append(each)


def serve(mirror: Mirror) -> httpd.Handlers:
    """Return the HTTP handlers of a mirror, by path."""
    return {f"{stores.OBJECTS_PATH}/{kind}": mirror.handle for kind in KINDS}


def _limit_size(response: httpd.Response) -> httpd.Response:
    """Return the response, or status 413 if it is too large to relay."""
    if len(response.body) > MAX_RELAYED_BYTES:
        return _TOO_LARGE
    return response


def _encode(body: bytes, era: int) -> httpd.Response:
    """Return a response with a JSON document, compressed if it is large."""
    headers = {connections.ERA_HEADER: str(era)}
    if len(body) <= MAX_UNCOMPRESSED_BYTES:
        return httpd.Response(200, body, headers=headers)
    compressed = zlib.compress(body, COMPRESSION_LEVEL)
    return httpd.Response(200, compressed, compressed=True, headers=headers)
