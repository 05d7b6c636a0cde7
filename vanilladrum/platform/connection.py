"""One HTTP connection to the platform's store, for one call at a time."""

from collections.abc import Callable
from typing import Any, NamedTuple

import httptools

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.wire import loop as loops
from vanilladrum.wire import stream as streams

# Callback that receives the result of a call or a PlatformError.
Done = Callable[[Any], None]
# The store's header with the number of its restores.
ERA_HEADER = "Store-Era"
MAX_ERA = 2**32 - 1
_ERA_HEADER_LOWER = ERA_HEADER.lower().encode()


class Answer(NamedTuple):
    """The response to a call.

    :param compressed: whether the body is compressed.
    :param era: number of the store's restores, 0 if the response has none.
    """

    status: int
    body: bytes
    compressed: bool = False
    era: int = 0


class Call:
    """A call in progress.

    :param done: called once, with the :class:`Answer` or with the reason of
        a failure as text.
    """

    def __init__(self, done: Done, connection: "Connection") -> None:
        self.done = done
        self.connection = connection
        self.ended = False

    def finish(self, outcome: Any) -> None:
        """Pass the outcome to the callback, unless the call has ended."""
        if self.ended:
            return
        self.ended = True
        self.done(outcome)


class Connection:
    """An HTTP connection for one call at a time.

    The parser calls the ``on_`` methods.

    :param body_parts: the parts of the response's body that have arrived.
    :param body_bytes: their size.
    :param compressed: whether the body of the response is compressed.
    :param era: the response's number of restores of the store.
    :param max_body_bytes: size of a body above which the call ends with an
        AnswerTooLargeError as soon as the size is known, None for no limit.
    :param last_received: when data last arrived, monotonic seconds.
    """

    def __init__(self, loop: loops.Loop, to: addresses.Address) -> None:
        self.call: Call | None = None
        self.max_body_bytes: int | None = None
        self.body_parts: list[bytes] = []
        self.body_bytes = 0
        self.compressed = False
        self.era = 0
        self.last_received = float("-inf")
        # The call that has ended, and its answer or error.
        self._completed: tuple[Call, Any] | None = None
        self.loop = loop
        self.parser = httptools.HttpResponseParser(self)
        self.stream = streams.Stream.connect(
            loop, to, self._received, self._failed
        )

    def send(self, call: Call, request: bytes) -> None:
        self.call = call
        self.body_parts = []
        self.body_bytes = 0
        self.compressed = False
        self.era = 0
        self.parser = httptools.HttpResponseParser(self)
        self.stream.send(request)

    def on_message_begin(self) -> None:
        if self.call is None:
            # A second copy of an answer, or one that nobody asked for. The
            # next call must not get it.
            self.stream.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"content-encoding":
            self.compressed = value == b"deflate"
        elif lower == _ERA_HEADER_LOWER:
            self.era = _parse_era(value)
        elif lower == b"content-length":
            self._check_size(int(value))

    def on_body(self, data: bytes) -> None:
        if self.call is None:
            return
        self.body_parts.append(data)
        self.body_bytes += len(data)
        self._check_size(self.body_bytes)

    def on_message_complete(self) -> None:
        call, self.call = self.call, None
        if not self.parser.should_keep_alive():
            self.stream.close()
        if call is not None:
            status = self.parser.get_status_code()
            body = b"".join(self.body_parts)
            answer = Answer(status, body, self.compressed, self.era)
            self._completed = (call, answer)
        self.body_parts = []

    def _check_size(self, size: int) -> None:
        """End the call if the body is too large."""
        if self.call is None or self.max_body_bytes is None:
            return
        if size <= self.max_body_bytes:
            return
        call, self.call = self.call, None
        self.body_parts = []
        self.stream.close()
        error = errors.AnswerTooLargeError(
            f"the answer has {size} bytes, more than {self.max_body_bytes}; "
            "list the objects, which is shorter"
        )
        self._completed = (call, error)

    def _received(self, data: bytes) -> None:
        self.last_received = self.loop.now()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.stream.close()
            self._failed(f"no HTTP response: {error}")
        self._finish_completed()

    def _finish_completed(self) -> None:
        """Pass on a complete answer.

        The parser would hide an exception that was raised while it runs.
        """
        completed, self._completed = self._completed, None
        if completed is not None:
            call, answer = completed
            call.finish(answer)

    def _failed(self, reason: str) -> None:
        call, self.call = self.call, None
        if call is not None:
            call.finish(reason)


def _parse_era(value: bytes) -> int:
    """Return the value of the header.

    :raises ValueError: when it is no integer from 0 to ``MAX_ERA``.
    """
    era = int(value)
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"{ERA_HEADER} is {era}, not 0 to {MAX_ERA}")
    return era
