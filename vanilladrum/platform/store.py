"""Client of the platform's store, the only one.

Every call has a time limit and ends with exactly one outcome: a value or a
:class:`vanilladrum.core.errors.PlatformError`.
"""

from collections.abc import Callable
import json
from typing import Any
import zlib

import httptools

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.platform import objects
from vanilladrum.wire import loop as loops
from vanilladrum.wire import stream as streams

MAX_IDLE_CONNECTIONS = 2
# A packed answer may not grow beyond this many bytes, eight pages of a list.
MAX_UNPACKED_BYTES = 8_000_000
OBJECTS = "/vanilladrum/objects"
_OK = 200
_ABSENT = 404
_CONFLICT = 409
_GONE = 410
_TOO_LARGE = 413
# Asks an entry host for a list of any size.
WHOLE = "whole"
_REFUSED = (429, 503)


class Listing:
    """All objects of a kind.

    :param revision: of the store when the list was begun.
    """

    def __init__(
        self, listed: tuple[objects.Stored, ...], revision: int
    ) -> None:
        self.objects = listed
        self.revision = revision


class Changes:
    """What has changed since a revision.

    :param revision: from which to watch on.
    """

    def __init__(
        self, changed: tuple[objects.Stored, ...], revision: int
    ) -> None:
        self.objects = changed
        self.revision = revision


class Alive:
    """The store has answered."""


# Takes a value or a PlatformError.
Done = Callable[[Any], None]


class _Call:
    """One call on its way.

    :param done: told the plain answer or an error, once.
    """

    def __init__(self, done: Done, connection: "_Connection") -> None:
        self.done = done
        self.connection = connection
        self.ended = False

    def finish(self, outcome: Any) -> None:
        if self.ended:
            return
        self.ended = True
        self.done(outcome)


class _Connection:
    """An HTTP connection; the parser calls its ``on`` methods."""

    def __init__(self, loop: loops.Loop, to: addresses.Address) -> None:
        self.call: _Call | None = None
        self.body = b""
        self.packed = False
        self.heard = float("-inf")
        self.loop = loop
        self.parser = httptools.HttpResponseParser(self)
        self.stream = streams.Stream.connect(
            loop, to, self._received, self._ended
        )

    def send(self, call: _Call, request: bytes) -> None:
        self.call = call
        self.body = b""
        self.packed = False
        self.parser = httptools.HttpResponseParser(self)
        self.stream.send(request)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"content-encoding":
            self.packed = value == b"deflate"

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        call, self.call = self.call, None
        if not self.parser.should_keep_alive():
            self.stream.close()
        if call is not None:
            status = self.parser.get_status_code()
            call.finish((status, self.body, self.packed))

    def _received(self, data: bytes) -> None:
        self.heard = self.loop.now()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.stream.close()
            self._ended(f"no HTTP response: {error}")

    def _ended(self, reason: str) -> None:
        call, self.call = self.call, None
        if call is not None:
            call.finish(reason)


class Store:
    """Calls the store.

    :param at: address of the store.
    :param timeout: seconds for a connection and an answer that does not
        wait for a change.
    :param calls: how many calls were made, since each has a price.
    """

    def __init__(
        self, loop: loops.Loop, at: addresses.Address, timeout: float
    ) -> None:
        self.loop = loop
        self.at = at
        self.timeout = timeout
        self.calls = 0
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()

    def list(self, kind: str, done: Done) -> None:
        """Ask for all objects of a kind, page by page.

        The revision is that of the first page, so that a watch from there
        misses nothing that changes between two pages.

        :param done: takes a :class:`Listing` or a PlatformError.
        """
        self._list_page(kind, "", (), None, done)

    def list_whole(self, kind: str, done: Done) -> None:
        """Ask an entry host for a list, however large it is."""
        self._list_page(f"{kind}?{WHOLE}=1", "", (), None, done)

    def watch(
        self, kind: str, revision: int, wait: float, done: Done
    ) -> Callable[[], None]:
        """Ask what changed after a revision, waiting for it.

        :param wait: seconds until the store gives an empty answer.
        :param done: takes :class:`Changes` or a PlatformError, which is a
            HistoryGoneError when the kind has to be listed again.
        :returns: gives the call up; ``done`` is not called then.
        """

        def read(plain: dict) -> Changes:
            events = tuple(
                objects.stored(each["object"], each["deleted"])
                for each in plain["events"]
            )
            return Changes(events, plain["store-revision"])

        path = f"/{kind}?watch={revision}&wait-ms={int(wait * 1000)}"
        return self._call("GET", path, read, done, wait=wait)

    def ping(self, done: Done) -> None:
        """Make the cheapest call, to see whether the store answers.

        :param done: takes :class:`Alive` or a PlatformError.
        """
        kind = objects.CONFIGURATION_KIND
        path = f"/{kind}/{objects.CONFIGURATION_NAME}?allow-stale=1"
        self._call("GET", path, lambda _: Alive(), done, absent_ok=True)

    def receiving(self) -> bool:
        """Return whether part of an answer came a moment ago."""
        now = self.loop.now()
        return any(now - each.heard < self.timeout for each in self._busy)

    def drop_idle(self) -> None:
        """Close the connections that wait for a call."""
        for each in self._idle:
            each.stream.close()
        self._idle.clear()

    def _list_page(
        self,
        kind: str,
        after: str,
        found: tuple[objects.Stored, ...],
        revision: int | None,
        done: Done,
    ) -> None:
        def read(plain: dict) -> tuple[tuple, int, bool]:
            page = tuple(objects.stored(each) for each in plain["items"])
            return page, plain["store-revision"], plain["has-more"]

        def next_page(outcome: Any) -> None:
            if isinstance(outcome, errors.PlatformError):
                done(outcome)
                return
            page, at, more = outcome
            first = at if revision is None else revision
            every = found + page
            if more and page:
                self._list_page(kind, page[-1].name, every, first, done)
                return
            done(Listing(every, first))

        query = f"?after={after}" if after else ""
        self._call("GET", f"/{kind}{query}", read, next_page)

    def _call(
        self,
        method: str,
        path: str,
        read: Callable[[dict], object],
        done: Done,
        wait: float = 0.0,
        absent_ok: bool = False,
    ) -> Callable[[], None]:
        text = f"{method} {OBJECTS}{path}"
        self.calls += 1

        def finished(outcome: Any) -> None:
            self._busy.discard(connection)
            if isinstance(outcome, str):
                self.drop_idle()
                done(self._silent(text, outcome))
                return
            self._keep(call.connection)
            done(_read(text, outcome, read, absent_ok))

        def look(reason: str = "timeout") -> None:
            # A large answer on a slow link is fine while more of it comes.
            quiet = self.loop.now() - connection.heard
            if not call.ended and quiet < self.timeout:
                self.loop.after(self.timeout - quiet, look)
                return
            give_up(reason)

        def give_up(reason: str) -> None:
            if call.ended:
                return
            call.connection.call = None
            call.connection.stream.close()
            call.finish(reason)

        def give_up_unconnected() -> None:
            # A way that swallows packets shows in the connection already.
            if not connection.stream.connected:
                give_up("no way")

        def cancel() -> None:
            call.done = lambda _: None
            self._busy.discard(connection)
            give_up("cancelled")

        connection = self._take()
        call = _Call(finished, connection)
        connection.heard = float("-inf")
        self._busy.add(connection)
        request = f"{text} HTTP/1.1\r\nHost: {self.at}\r\n\r\n"
        connection.send(call, request.encode())
        self.loop.after(self.timeout + wait, look)
        if not connection.stream.connected:
            self.loop.after(self.timeout, give_up_unconnected)
        return cancel

    def _silent(self, text: str, reason: str) -> errors.StoreSilentError:
        return errors.StoreSilentError(
            f"the store at {self.at} gave no answer to {text} ({reason}); "
            "check the way to it"
        )

    def _take(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.stream.ended:
                return connection
        return _Connection(self.loop, self.at)

    def _keep(self, connection: _Connection) -> None:
        if connection.stream.ended:
            return
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
            return
        connection.stream.close()


def _read(
    text: str,
    answer: tuple[int, bytes, bool],
    read: Callable[[dict], object],
    absent_ok: bool,
) -> object:
    status, body, packed = answer
    if status in _REFUSED:
        return errors.StoreRefusedError(
            f"the store answered {status} to {text}; nothing was done, ask "
            "again later"
        )
    if status == _GONE:
        return errors.HistoryGoneError(
            f"the store has no history for {text}; list again"
        )
    if status == _TOO_LARGE:
        return errors.TooLargeError(
            f"the answer to {text} is too large to pass on; ask the store"
        )
    if status == _CONFLICT:
        return errors.ConflictError(
            f"{text} was refused: the object has changed; read it and "
            "repeat the change"
        )
    if status != _OK and not (status == _ABSENT and absent_ok):
        return errors.PlatformError(
            f"the store answered {status} to {text}; see its page on this call"
        )
    try:
        plain = _unpack(body) if packed else body
        return read(json.loads(plain or b"{}"))
    except errors.PlatformError as error:
        return error
    except (ValueError, KeyError, TypeError, zlib.error) as error:
        return errors.PlatformError(
            f"the store's answer to {text} cannot be read ({error!r}); look "
            "at what stands between"
        )


def _unpack(body: bytes) -> bytes:
    """Return a packed body.

    :raises ValueError: when it is larger than any answer.
    """
    unpacker = zlib.decompressobj()
    plain = unpacker.decompress(body, MAX_UNPACKED_BYTES)
    if unpacker.unconsumed_tail:
        raise ValueError(f"more than {MAX_UNPACKED_BYTES} bytes")
    return plain
