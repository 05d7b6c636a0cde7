"""Non-blocking log of JSON lines on standard output."""

import collections
from collections.abc import Callable
import json
import os
import select
import sys
import time

# PIPE_BUF: a pipe that polls as writable takes this much without blocking.
CHUNK_BYTES = 4096
# About ten seconds of lines at the rate limit below; when the buffer is full,
# further lines are dropped.
MAX_BUFFERED_BYTES = 1 << 20
# Rate limit per event name; suppressed lines are counted and reported. It
# keeps the cost of logging on a loaded host below one percent of a core.
MAX_LINES_PER_SECOND = 100


class LineWriter:
    """Buffers lines and writes them without blocking.

    :param descriptor: file descriptor of a pipe, file or terminal.
    :param dropped: number of lines dropped since the last report because
        the buffer was full.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self._buffer = bytearray()

    def write(self, line: str) -> None:
        """Buffer a line, or drop and count it when the buffer is full."""
        data = line.encode()
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer += data + b"\n"

    def flush(self) -> None:
        """Write buffered lines while the descriptor accepts them."""
        while self._buffer and self._writable():
            try:
                written = os.write(self.descriptor, self._buffer[:CHUNK_BYTES])
            except OSError:
                # The reader has closed the pipe, so a report is not possible.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _writable(self) -> bool:
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return bool(poll.poll(0))


class EventLog:
    """Writes one line per event and limits the rate of each event name.

    :param context: fields added to every line.
    :param limit: lines per second for one event name.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        writer: LineWriter,
        context: dict[str, object],
        limit: int = MAX_LINES_PER_SECOND,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.writer = writer
        self.context = context
        self.limit = limit
        self.clock = clock
        self._current_second = 0
        self._written: collections.Counter = collections.Counter()
        self._suppressed: collections.Counter = collections.Counter()

    def event(self, event: str, **fields: object) -> None:
        """Log an event unless its rate limit is reached.

        :param event: name of the event.
        :param fields: further fields of the line, JSON values or objects
            that are logged as their ``str()``.
        """
        if not self.is_allowed(event):
            return
        self._written[event] += 1
        record = {"time": _now(), "event": event, **self.context, **fields}
        self.writer.write(json.dumps(record, default=str))

    def is_allowed(self, event: str) -> bool:
        """Return whether the rate limit permits a line for an event.

        A line that it does not permit is counted as suppressed.
        """
        second = int(self.clock())
        if second != self._current_second:
            # Set first, because the report is an event as well.
            self._current_second = second
            self._report()
        if self._written[event] < self.limit:
            return True
        self._suppressed[event] += 1
        return False

    def flush(self) -> None:
        """Write buffered lines without blocking."""
        self.writer.flush()

    def _report(self) -> None:
        suppressed = dict(self._suppressed)
        dropped = self.writer.dropped
        self._written.clear()
        self._suppressed.clear()
        if not suppressed and not dropped:
            return
        self.writer.dropped = 0
        self.event("lines left out", events=suppressed, no_room=dropped)


def _now() -> str:
    now = time.time()
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now))
    return f"{seconds}.{int(now % 1 * 1000):03d}Z"


def open_log(**context: object) -> EventLog:
    """Return a log on standard output.

    :param context: fields added to every line.
    """
    return EventLog(LineWriter(sys.stdout.fileno()), context)
