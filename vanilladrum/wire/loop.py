"""A minimal event loop for daemons that must start within milliseconds.

Importing an event loop library would take longer than all other steps between
the start of an entry host and its first packet.
"""

from collections.abc import Callable
import select
import time

from vanilladrum.core import timers

# Longest wait for events: signals are handled only between two polls.
MAX_POLL_SECONDS = 1.0
# Epoll events: the descriptor can be read or written without blocking.
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
        """Call a handler whenever one of the events occurs on a descriptor.

        A second call for a descriptor replaces its events and handler.

        :param events: bit mask of epoll events, such as :data:`READ`.
        :param handler: called with the events that occurred; epoll adds error
            and hang-up events.
        """
        if descriptor in self._handlers:
            self._epoll.modify(descriptor, events)
        else:
            self._epoll.register(descriptor, events)
        self._handlers[descriptor] = handler

    def unwatch(self, descriptor: int) -> None:
        """Stop watching a file descriptor.

        Call this before the descriptor is closed. A descriptor that is not
        watched is ignored.
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
            ready = self._epoll.poll(self._poll_timeout())
            polled_at = self.now()
            for descriptor, events in ready:
                # A handler called before may have unwatched the descriptor.
                handler = self._handlers.get(descriptor)
                if handler is not None:
                    self._call(handler, events)
            # Timers that became due while the handlers ran wait for the next
            # poll: what has arrived meanwhile may be the answer whose timeout
            # they are.
            self._call(self.timers.run, polled_at)

    def _call(self, callback: Callable, *arguments: object) -> None:
        """Call a function and pass its exception to ``on_error``.

        With ``on_error``, an exception in one callback does not stop the
        others.
        """
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
