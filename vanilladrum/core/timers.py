"""Timers of the core: what is due when, run by whoever has the clock."""

from collections.abc import Callable
import heapq


class Timers:
    """Actions ordered by the time at which they are due.

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
        """Run an action once a time has come; it cannot be taken back."""
        self._order += 1
        heapq.heappush(self._heap, (due, self._order, action))

    def run(self, now: float) -> None:
        """Run everything that is due."""
        while self._heap and self._heap[0][0] <= now:
            _, _, action = heapq.heappop(self._heap)
            action()

    def next_due(self) -> float | None:
        """Return when the next action is due, or None."""
        return self._heap[0][0] if self._heap else None
