"""HTTP client of the platform's object store.

All calls to the store go through this client. Every call has a time limit and
ends with exactly one outcome: a value or a
:class:`vanilladrum.core.errors.PlatformError`.
"""

import collections
from collections.abc import Callable
from typing import Any

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import position as positions
from vanilladrum.platform import answers
from vanilladrum.platform import connection as connections
from vanilladrum.platform import objects
from vanilladrum.platform import values
from vanilladrum.wire import loop as loops

# Idle connections that stay open for further calls of one kind.
MAX_IDLE_CONNECTIONS = 2
# Characters of a name that an error message shows.
MAX_LOGGED_NAME = 100
OBJECTS_PATH = "/vanilladrum/objects"
# Query parameter that asks an entry host for a list of any size.
WHOLE_PARAMETER = "whole"
# Query parameter of a watch at an entry host: the era of its revision.
ERA_PARAMETER = "era"


class Listing:
    """All objects of a kind.

    :param listed: the objects, as attribute ``objects``.
    :param revision: store revision at the first page of the list.
    :param era: number of restores of the store at all pages.
    :param unnamed: number of objects that are left out, because their name
        or revision cannot be read.
    """

    def __init__(
        self,
        listed: tuple[objects.StoredObject, ...],
        revision: int,
        era: int = 0,
        unnamed: int = 0,
    ) -> None:
        self.objects = listed
        self.revision = revision
        self.era = era
        self.unnamed = unnamed

    @property
    def position(self) -> positions.StorePosition:
        """Return the position that a host has reached with this listing."""
        return positions.StorePosition(self.era, self.revision)


class Changes:
    """Objects that have changed since a revision.

    :param changed: the objects, as attribute ``objects``.
    :param revision: store revision from which the next watch starts.
    :param era: number of restores of the store.
    :param unnamed: number of changes that are left out, because the name or
        the revision of the object cannot be read.
    """

    def __init__(
        self,
        changed: tuple[objects.StoredObject, ...],
        revision: int,
        era: int = 0,
        unnamed: int = 0,
    ) -> None:
        self.objects = changed
        self.revision = revision
        self.era = era
        self.unnamed = unnamed

    @property
    def position(self) -> positions.StorePosition:
        """Return the position that a host has reached with these changes."""
        return positions.StorePosition(self.era, self.revision)


class PingReply:
    """Result of a ping that the store has answered.

    :param era: number of restores of the store.
    """

    def __init__(self, era: int = 0) -> None:
        self.era = era


class Store:
    """Client of the store, or of an entry host that mirrors it.

    :param address: address of the store or of the entry host.
    :param timeout: seconds within which a connection has to be established,
        and longest time without data of an answer, in seconds; before the
        first data of a watch, its wait is added to the latter.
    :param is_mirror: whether the address is that of an entry host, which is
        told the era of each watch. The store does not know that parameter.
    :param calls: number of calls made; the platform charges for each call.
    """

    def __init__(
        self,
        loop: loops.Loop,
        address: addresses.Address,
        timeout: float,
        is_mirror: bool = False,
    ) -> None:
        self.loop = loop
        self.address = address
        self.timeout = timeout
        self.is_mirror = is_mirror
        self.calls = 0
        # By kind: a late second copy of an answer then reaches a call of the
        # same kind at worst, which sees from the revision that it is old.
        self._idle_connections: collections.defaultdict[
            str, list[connections.Connection]
        ] = collections.defaultdict(list)
        self._busy_connections: set[connections.Connection] = set()

    def list(self, kind: str, done: connections.Done) -> None:
        """List all objects of a kind, page by page.

        The listing has the revision of its first page, so that a watch from
        there reports what changes between two pages.

        :param done: called with a :class:`Listing` or a PlatformError.
        """
        self._list_page(kind, "", None, done)

    def list_unlimited(self, kind: str, done: connections.Done) -> None:
        """List all objects of a kind at an entry host, whatever the size.

        With :meth:`list`, an entry host refuses a list that is too large to
        relay.

        :param done: called with a :class:`Listing` or a PlatformError.
        """
        self._list_page(f"{kind}?{WHOLE_PARAMETER}=1", "", None, done)

    def watch(
        self,
        kind: str,
        position: positions.StorePosition,
        wait: float,
        done: connections.Done,
        max_bytes: int | None = None,
    ) -> Callable[[], None]:
        """Wait for changes after a position.

        The store answers in its present era, which may be a later one. The
        changes then have gaps, and the kind has to be listed again.

        :param wait: seconds after which the store sends an answer without
            changes.
        :param done: called with :class:`Changes` or a PlatformError, which
            is a HistoryExpiredError if the kind has to be listed again, and an
            AnswerTooLargeError if it should be.
        :param max_bytes: largest answer that is received, None for no limit.
        :returns: function that cancels the call; ``done`` is not called
            afterwards.
        """

        def read(document: dict, era: int) -> Changes:
            events = values.expect_list(document["events"])
            changed = objects.parse_readable(objects.parse_event, events, era)
            unnamed = len(events) - len(changed)
            return Changes(changed, _revision(document), era, unnamed)

        path = f"/{kind}?watch={position.revision}&wait-ms={int(wait * 1000)}"
        if self.is_mirror:
            path += f"&{ERA_PARAMETER}={position.era}"
        return self._call(
            "GET", path, read, done, wait=wait, max_bytes=max_bytes
        )

    def ping(self, done: connections.Done) -> None:
        """Check with the cheapest call whether the store answers.

        :param done: called with :class:`PingReply` or a PlatformError.
        """
        kind = objects.CONFIGURATION_KIND
        path = f"/{kind}/{objects.CONFIGURATION_NAME}?allow-stale=1"
        self._call(
            "GET",
            path,
            lambda _, era: PingReply(era),
            done,
            allow_not_found=True,
        )

    def is_receiving(self) -> bool:
        """Return whether a call in progress is receiving its answer.

        That is, whether data arrived within the last ``timeout`` seconds.
        """
        now = self.loop.now()
        return any(
            now - each.last_received < self.timeout
            for each in self._busy_connections
        )

    def drop_idle(self) -> None:
        """Close the idle connections."""
        for idle in self._idle_connections.values():
            for each in idle:
                each.stream.close()
        self._idle_connections.clear()

    def _list_page(
        self,
        kind: str,
        after: str,
        previous: Listing | None,
        done: connections.Done,
    ) -> None:
        def read(document: dict, era: int) -> tuple[Listing, str | None]:
            items = values.expect_list(document["items"])
            page = objects.parse_readable(objects.parse_object, items, era)
            unnamed = len(items) - len(page)
            listing = Listing(page, _revision(document), era, unnamed)
            if not values.expect_bool(document["has-more"]):
                return listing, None
            return listing, objects.last_name(items)

        def next_page(outcome: Any) -> None:
            if isinstance(outcome, errors.PlatformError):
                done(outcome)
                return
            page, last_name = outcome
            if previous is not None and page.era != previous.era:
                done(_restored_error(kind))
                return
            collected = _append_page(previous, page)
            if last_name is None:
                done(collected)
                return
            if last_name in ("", after):
                done(_no_next_page_error(kind, after))
                return
            self._list_page(kind, last_name, collected, done)

        query = f"?after={values.quote_name(after)}" if after else ""
        self._call("GET", f"/{kind}{query}", read, next_page)

    def _call(
        self,
        method: str,
        path: str,
        read: answers.Reader,
        done: connections.Done,
        wait: float = 0.0,
        allow_not_found: bool = False,
        max_bytes: int | None = None,
    ) -> Callable[[], None]:
        request_line = f"{method} {OBJECTS_PATH}{path}"
        self.calls += 1

        def on_outcome(outcome: Any) -> None:
            self._busy_connections.discard(connection)
            if isinstance(outcome, str):
                # The next call opens a new connection.
                self.drop_idle()
                done(self._timeout_error(request_line, outcome))
                return
            self._release(call.connection, kind)
            if isinstance(outcome, errors.PlatformError):
                done(outcome)
                return
            done(
                answers.read_answer(
                    request_line,
                    outcome,
                    read,
                    allow_not_found,
                    objects.decoder(kind),
                )
            )

        def check_idle_time(reason: str = "timeout") -> None:
            # A large answer may take long on a slow link. The call fails only
            # when no more data arrives.
            idle_seconds = self.loop.now() - connection.last_received
            if not call.ended and idle_seconds < self.timeout:
                self.loop.after(self.timeout - idle_seconds, check_idle_time)
                return
            fail(reason)

        def fail(reason: str) -> None:
            if call.ended:
                return
            if call.connection.stream.has_unread_data():
                reason += ", data not read yet"
            call.connection.call = None
            call.connection.stream.close()
            call.finish(reason)

        def fail_if_unconnected() -> None:
            # If packets are lost on the path, no connection is established.
            # The call then fails without waiting for the end of a long watch.
            if not connection.stream.connected:
                fail("connection not established")

        def cancel() -> None:
            call.done = lambda _: None
            self._busy_connections.discard(connection)
            fail("cancelled")

        kind = path.removeprefix("/").partition("?")[0].partition("/")[0]
        connection = self._acquire(kind)
        call = connections.Call(on_outcome, connection)
        connection.last_received = float("-inf")
        connection.max_body_bytes = max_bytes
        self._busy_connections.add(connection)
        request = f"{request_line} HTTP/1.1\r\nHost: {self.address}\r\n\r\n"
        connection.send(call, request.encode())
        self.loop.after(self.timeout + wait, check_idle_time)
        if not connection.stream.connected:
            self.loop.after(self.timeout, fail_if_unconnected)
        return cancel

    def _timeout_error(
        self, request_line: str, reason: str
    ) -> errors.StoreTimeoutError:
        return errors.StoreTimeoutError(
            f"the store at {self.address} gave no answer to {request_line} "
            f"({reason}); check the network path to it"
        )

    def _acquire(self, kind: str) -> connections.Connection:
        """Return an idle connection, or a new one if there is none."""
        idle = self._idle_connections[kind]
        while idle:
            connection = idle.pop()
            if not connection.stream.ended:
                return connection
        return connections.Connection(self.loop, self.address)

    def _release(self, connection: connections.Connection, kind: str) -> None:
        """Return a connection to the idle ones, or close it."""
        if connection.stream.ended:
            return
        idle = self._idle_connections[kind]
        if len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
            return
        connection.stream.close()


def _restored_error(kind: str) -> errors.HistoryExpiredError:
    return errors.HistoryExpiredError(
        f"the store was restored between two pages of {kind}; list the "
        "objects again"
    )


def _no_next_page_error(kind: str, after: str) -> errors.PlatformError:
    return errors.PlatformError(
        f"the store has more {kind} after {after[:MAX_LOGGED_NAME]!r}, but no "
        "name on that page can be read; remove the objects there"
    )


def _append_page(previous: Listing | None, page: Listing) -> Listing:
    """Return a listing with one more page.

    :param previous: the pages before, None for the first one.
    """
    if previous is None:
        return page
    return Listing(
        previous.objects + page.objects,
        previous.revision,
        previous.era,
        previous.unnamed + page.unnamed,
    )


def _revision(document: dict) -> int:
    return values.expect_int(document["store-revision"], 0, values.MAX_INTEGER)
