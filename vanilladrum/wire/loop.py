"""A minimal event loop for daemons that must start within milliseconds.

Importing an event loop library would take longer than all other steps between
the start of an entry host and its first packet.
"""

from collections.abc import Callable
import select
import time

from vanilladrum.core import timers

# Limits one poll, in seconds: signals are acted on only between polls.
MAX_POLL_SECONDS = 1.0
READ = select.EPOLLIN
WRITE = select.EPOLLOUT
Handler = Callable[[int], None]


class Loop:
    """Calls event handlers and timer callbacks on a single thread.

    :param on_error: called with an exception that a handler or a timer
        callback raised; if None, :meth:`run` raises the exception.

    >>> loop = Loop()
    >>> loop.after(0.0, loop.stop)
    >>> loop.run()
    """

    def __init__(
        self, on_error: Callable[[Exception], None] | None = None
    ) -> None:
        self.on_error = on_error
        self.timers = timers.Timers()
        self._epoll = select.epoll()
        self._handlers: dict[int, Handler] = {}
        self._running = False

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def watch(self, descriptor: int, events: int, handler: Handler) -> None:
        """Call a handler whenever a file descriptor has one of the events.

        A second call for a descriptor replaces its events and handler.

        :param events: bit mask of epoll events, such as :data:`READ`.
        """
        if descriptor in self._handlers:
            self._epoll.modify(descriptor, events)
        else:
            self._epoll.register(descriptor, events)
        self._handlers[descriptor] = handler

    def unwatch(self, descriptor: int) -> None:
        """Stop watching a file descriptor.

        Call this before the descriptor is closed; an unknown one is ignored.
        """
        if self._handlers.pop(descriptor, None) is not None:
            self._epoll.unregister(descriptor)

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call a function once, after a delay in seconds."""
        self.timers.at(self.now() + seconds, callback)

    def stop(self) -> None:
        """Make :meth:`run` return after the current iteration."""
        self._running = False

    def run(self) -> None:
        """Handle events and timers until :meth:`stop` is called."""
        self._running = True
        while self._running:
            for descriptor, events in self._epoll.poll(self._poll_timeout()):
                handler = self._handlers.get(descriptor)
                if handler is not None:
                    self._call(handler, events)
            self._call(self.timers.run, self.now())

    def _call(self, callback: Callable, *arguments: object) -> None:
        """Call a function and pass its exception to ``on_error``."""
        try:
            callback(*arguments)
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)

    def _poll_timeout(self) -> float:
        due = self.timers.next_due()
        if due is None:
            return MAX_POLL_SECONDS
        return min(max(due - self.now(), 0.0), MAX_POLL_SECONDS)
