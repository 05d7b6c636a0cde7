"""JSON lines on standard output that never hold the process up."""

import collections
import json
import os
import select
import sys
import time

# A pipe that polls as writable takes this much without blocking (PIPE_BUF).
CHUNK_BYTES = 4096
# About ten seconds of lines at the highest rate below.
MAX_BUFFERED_BYTES = 1 << 20
# Lines a second of one event; more are counted and reported, so that a
# log costs a loaded host less than one percent of a core.
LINES_A_SECOND = 100


class LineWriter:
    """Buffers lines and writes what the other end takes.

    :param descriptor: of a pipe, file or terminal.
    :param dropped: lines that found no room since the last report.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self._buffer = bytearray()

    def write(self, line: str) -> None:
        """Add a line, or count it when there is no room."""
        data = line.encode()
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer += data + b"\n"

    def flush(self) -> None:
        """Write what can be written at once."""
        while self._buffer and self._writable():
            try:
                written = os.write(self.descriptor, self._buffer[:CHUNK_BYTES])
            except OSError:
                # Nobody reads any more and nothing is left to tell it to.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _writable(self) -> bool:
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return bool(poll.poll(0))


class EventLog:
    """Writes one line an event, with a bound on each event's rate.

    :param context: fields of every line.
    """

    def __init__(
        self,
        writer: LineWriter,
        context: dict[str, object],
        limit: int = LINES_A_SECOND,
    ) -> None:
        self.writer = writer
        self.context = context
        self.limit = limit
        self._second = 0
        self._written: collections.Counter = collections.Counter()
        self._left_out: collections.Counter = collections.Counter()

    def event(self, event: str, **fields: object) -> None:
        """Write a line unless the event comes too often."""
        if not self.wants(event):
            return
        self._written[event] += 1
        plain = {"time": _now(), "event": event, **self.context, **fields}
        self.writer.write(json.dumps(plain, default=str))

    def wants(self, event: str) -> bool:
        """Return whether a line would be written; count it if not."""
        second = int(time.monotonic())
        if second != self._second:
            self._report()
            self._second = second
        if self._written[event] < self.limit:
            return True
        self._left_out[event] += 1
        return False

    def flush(self) -> None:
        """Write what the other end takes."""
        self.writer.flush()

    def _report(self) -> None:
        left_out = dict(self._left_out)
        self._written.clear()
        self._left_out.clear()
        if not left_out and not self.writer.dropped:
            return
        self.event(
            "lines left out", events=left_out, no_room=self.writer.dropped
        )
        self.writer.dropped = 0


def _now() -> str:
    now = time.time()
    whole = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now))
    return f"{whole}.{int(now % 1 * 1000):03d}Z"


def open_log(**context: object) -> EventLog:
    """Return the log of this process, on standard output."""
    return EventLog(LineWriter(sys.stdout.fileno()), context)
