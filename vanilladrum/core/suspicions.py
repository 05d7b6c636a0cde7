"""Hosts that are suspected, and until when they may refute it."""

import math

import attrs

HEARSAY_FACTOR = 2.0
ROUNDS_AT_BASE = 3.0


@attrs.define
class Suspicions:
    """Suspected incarnations and when each is declared dead.

    :param base: seconds that a suspicion lasts in a group of up to 8 hosts.
    :param due: by incarnation, monotonic seconds.
    :param own: those that this host accused itself.
    """

    base: float
    due: dict[bytes, float] = attrs.field(factory=dict)
    own: set[bytes] = attrs.field(factory=set)

    def accuse(self, incarnation: bytes, now: float, others: int) -> None:
        """Suspect a host that did not answer this one."""
        self.due[incarnation] = now + self._lasts(others)
        self.own.add(incarnation)

    def hear(self, incarnation: bytes, now: float, others: int) -> None:
        """Note a suspicion of another host.

        The accuser decides first; hearers wait longer, so that a
        refutation overtakes the rumour.
        """
        lasts = HEARSAY_FACTOR * self._lasts(others)
        self.due.setdefault(incarnation, now + lasts)

    def clear(self, incarnation: bytes) -> None:
        """Suspect an incarnation no longer."""
        self.due.pop(incarnation, None)

    def take_due(self, now: float) -> list[bytes]:
        """Return the incarnations whose time is up, and forget them."""
        found = [each for each, due in self.due.items() if due <= now]
        for incarnation in found:
            del self.due[incarnation]
        return found

    def postpone(self, seconds: float) -> None:
        """Give all suspects more time."""
        self.due = {each: due + seconds for each, due in self.due.items()}

    def accused(self) -> set[bytes]:
        """Return the suspects that this host accused itself."""
        self.own &= self.due.keys()
        return self.own

    def _lasts(self, others: int) -> float:
        """Return how long a suspicion lasts; rumours need log n periods."""
        rounds = math.log2(others + 1) / ROUNDS_AT_BASE
        return self.base * max(1.0, rounds)
