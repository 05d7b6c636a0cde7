"""An event loop for the daemon that has to start within milliseconds.

Importing an event loop library takes longer than everything else that an
entry host does before its first packet.
"""

from collections.abc import Callable
import select
import time

from vanilladrum.core import timers

# Upper bound of one wait, in seconds: signals are noticed between waits.
LONGEST_WAIT = 1.0
READ = select.EPOLLIN
WRITE = select.EPOLLOUT
Handler = Callable[[int], None]


class Loop:
    """Runs handlers of descriptors and timers on one thread.

    :param on_error: told of an exception that a handler or timer raised;
        without it the exception ends :meth:`run`.

    >>> loop = Loop()
    >>> loop.after(0.0, loop.stop)
    >>> loop.run()
    """

    def __init__(
        self, on_error: Callable[[Exception], None] | None = None
    ) -> None:
        self.on_error = on_error
        self.timers = timers.Timers()
        self._poll = select.epoll()
        self._handlers: dict[int, Handler] = {}
        self._running = False

    @staticmethod
    def now() -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def watch(self, descriptor: int, events: int, handler: Handler) -> None:
        """Call a handler with the events of a descriptor."""
        if descriptor in self._handlers:
            self._poll.modify(descriptor, events)
        else:
            self._poll.register(descriptor, events)
        self._handlers[descriptor] = handler

    def unwatch(self, descriptor: int) -> None:
        """Forget a descriptor, before it is closed."""
        if self._handlers.pop(descriptor, None) is not None:
            self._poll.unregister(descriptor)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action once, some time from now."""
        self.timers.at(self.now() + seconds, action)

    def stop(self) -> None:
        """Let :meth:`run` return after the current round."""
        self._running = False

    def run(self) -> None:
        """Run until stopped."""
        self._running = True
        while self._running:
            for descriptor, events in self._poll.poll(self._wait()):
                handler = self._handlers.get(descriptor)
                if handler is not None:
                    self._guard(handler, events)
            self._guard(self.timers.run, self.now())

    def _guard(self, work: Callable, *arguments: object) -> None:
        """Let a fault in one piece of work end no other."""
        try:
            work(*arguments)
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)

    def _wait(self) -> float:
        due = self.timers.next_due()
        if due is None:
            return LONGEST_WAIT
        return min(max(due - self.now(), 0.0), LONGEST_WAIT)
