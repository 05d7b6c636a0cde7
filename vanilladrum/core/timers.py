"""Timers of the core, run by the event loop.

The core reads no clock; the caller passes the current time.
"""

from collections.abc import Callable
import heapq


class Timers:
    """Queue of actions ordered by due time.

    Actions with equal times run in the order in which they were scheduled.
    All times are in monotonic seconds.

    >>> ran = []
    >>> timers = Timers()
    >>> timers.at(2.0, lambda: ran.append("late"))
    >>> timers.at(1.0, lambda: ran.append("early"))
    >>> timers.run(1.5), ran, timers.next_due()
    (None, ['early'], 2.0)
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def at(self, due: float, action: Callable[[], None]) -> None:
        """Schedule an action for a time; it cannot be cancelled."""
        self._order += 1
        heapq.heappush(self._heap, (due, self._order, action))

    def run(self, now: float) -> None:
        """Run and remove all due actions, also due ones that they schedule."""
        while self._heap and self._heap[0][0] <= now:
            _, _, action = heapq.heappop(self._heap)
            action()

    def next_due(self) -> float | None:
        """Return the time of the next action, or None if there is none."""
        return self._heap[0][0] if self._heap else None
