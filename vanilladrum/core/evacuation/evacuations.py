"""Evacuations that the store has confirmed, also through its restores."""

from collections.abc import Iterable

from vanilladrum.core import position as positions

# Cancelled evacuations that are remembered; more than there are data centres.
MAX_CANCELLED = 1000


class Evacuation:
    """An evacuation of one data centre.

    :param since: when it became known, monotonic seconds.
    :param position: position of the store from which it is known.
    """

    __slots__ = ("position", "since")

    def __init__(
        self, since: float, position: positions.StorePosition
    ) -> None:
        self.since = since
        self.position = position


class Evacuations:
    """Evacuations by name of the data centre.

    A restored store may lack an evacuation that it had confirmed, or contain
    one that was cancelled. What was known before the restore then stays in
    force until a change in the new era says otherwise, or until
    ``hold_seconds`` have passed. After that the restored list applies.

    :param hold_seconds: see above.
    :param by_name: evacuations in force, as of the last call.
    :param position: position of the last list or change, ``START`` before
        the first one.
    """

    def __init__(self, hold_seconds: float) -> None:
        self.hold_seconds = hold_seconds
        self.by_name: dict[str, Evacuation] = {}
        self.position = positions.START
        # Evacuations that the list after a restore lacks, with the time until
        # which they stay in force.
        self._missing: dict[str, float] = {}
        # Evacuations of the list after a restore that had been cancelled, with
        # the time from which they are in force.
        self._withheld: dict[str, float] = {}
        # Eras in which evacuations were cancelled, oldest cancellation first.
        self._cancelled: dict[str, int] = {}
        # Until when lists of the present era may have the state before it.
        self._outdated_until = float("-inf")
        self._in_force: frozenset[str] = frozenset()

    def apply_listing(
        self,
        names: Iterable[str],
        position: positions.StorePosition,
        now: float,
    ) -> None:
        """Apply a list of all evacuations; one of the past is ignored.

        :param position: position of the store that the list shows.
        :param now: monotonic seconds.
        """
        if position < self.position:
            return
        self._enter_era(position, now)
        self.position = position
        listed = frozenset(names)
        for name in self._withheld.keys() - listed:
            del self._withheld[name]
        for name in self.by_name.keys() - listed:
            if now < self._outdated_until and self._is_of_earlier_era(name):
                self._missing.setdefault(name, self._outdated_until)
                continue
            self._cancel(name, position)
        for name in listed:
            self._missing.pop(name, None)
            if now < self._outdated_until and self._was_cancelled(name):
                self._withheld.setdefault(name, self._outdated_until)
                continue
            self._add(name, position, now)
        self._update()

    def apply_change(
        self,
        name: str,
        deleted: bool,
        position: positions.StorePosition,
        now: float,
    ) -> None:
        """Apply a request (or a cancellation); one of the past is ignored.

        :param position: position of the store that the change shows.
        :param now: monotonic seconds.
        """
        if position < self.position:
            return
        self._enter_era(position, now)
        self.position = position
        self._missing.pop(name, None)
        if deleted:
            self._withheld.pop(name, None)
            self._cancel(name, position)
        else:
            self._add(name, position, now)
        self._update()

    def in_force(self, now: float) -> frozenset[str]:
        """Return the names of the data centres that are evacuated.

        :param now: monotonic seconds.
        """
        if self._missing or self._withheld:
            self._end_holds(now)
        return self._in_force

    def _enter_era(
        self, position: positions.StorePosition, now: float
    ) -> None:
        if position.era > self.position.era and self.position.era:
            self._outdated_until = now + self.hold_seconds
            # A second restore begins the time anew for what is still held.
            self._missing.clear()
            self._withheld.clear()

    def _is_of_earlier_era(self, name: str) -> bool:
        return self.by_name[name].position.era < self.position.era

    def _was_cancelled(self, name: str) -> bool:
        """Return whether an evacuation was cancelled in an earlier era."""
        era = self._cancelled.get(name)
        return era is not None and era < self.position.era

    def _end_holds(self, now: float) -> None:
        """Let the restored list apply to what was held long enough."""
        for name, until in list(self._missing.items()):
            if until > now:
                continue
            del self._missing[name]
            self._cancel(name, self.position)
        for name, until in list(self._withheld.items()):
            if until > now:
                continue
            self._add(name, self.position, now)
        self._update()

    def _add(
        self, name: str, position: positions.StorePosition, now: float
    ) -> None:
        self._cancelled.pop(name, None)
        self._withheld.pop(name, None)
        known = self.by_name.get(name)
        since = known.since if known else now
        self.by_name[name] = Evacuation(since, position)

    def _cancel(self, name: str, position: positions.StorePosition) -> None:
        # Recorded also if it is unknown here: a host that never heard of the
        # evacuation must not take it from a restored list either.
        self.by_name.pop(name, None)
        self._cancelled.pop(name, None)
        self._cancelled[name] = position.era
        if len(self._cancelled) > MAX_CANCELLED:
            del self._cancelled[next(iter(self._cancelled))]

    def _update(self) -> None:
        if self.by_name.keys() != self._in_force:
            self._in_force = frozenset(self.by_name)
