"""Suspected hosts and the time within which they can refute a suspicion."""

import math

import attrs

# Timeout of a suspicion raised by another host, as a multiple of that of a
# suspicion raised by this host.
REMOTE_TIMEOUT_FACTOR = 2.0
# Binary logarithm of the group size up to which the base timeout applies.
BASE_LOG2_HOSTS = 3.0


@attrs.define
class Suspicions:
    """Suspected incarnations and the time at which each is declared dead.

    :param base: timeout of a suspicion in a group of up to 8 hosts, in
        seconds.
    :param deadlines: when each suspect is declared dead, by incarnation, in
        monotonic seconds.
    :param local: incarnations for which this host raised the suspicion; may
        contain ended suspicions, see :meth:`locally_suspected`.
    """

    base: float
    deadlines: dict[bytes, float] = attrs.field(factory=dict)
    local: set[bytes] = attrs.field(factory=set)

    def suspect(self, incarnation: bytes, now: float, others: int) -> None:
        """Record a suspicion that this host raised after a failed probe.

        :param now: monotonic seconds.
        :param others: number of other hosts, on which the timeout depends.
        """
        self.deadlines[incarnation] = now + self._timeout(others)
        self.local.add(incarnation)

    def record_remote(
        self, incarnation: bytes, now: float, others: int
    ) -> None:
        """Record a suspicion that another host raised, unless one is recorded.

        The timeout is longer here than at the host that raised it, so that a
        refutation arrives before this host declares the suspect dead.

        :param now: monotonic seconds.
        :param others: number of other hosts, on which the timeout depends.
        """
        timeout = REMOTE_TIMEOUT_FACTOR * self._timeout(others)
        self.deadlines.setdefault(incarnation, now + timeout)

    def clear(self, incarnation: bytes) -> None:
        """Remove the suspicion of an incarnation, if there is one."""
        self.deadlines.pop(incarnation, None)

    def pop_expired(self, now: float) -> list[bytes]:
        """Remove and return the incarnations whose deadline has passed.

        :param now: monotonic seconds.
        """
        found = [
            each
            for each, deadline in self.deadlines.items()
            if deadline <= now
        ]
        for incarnation in found:
            del self.deadlines[incarnation]
        return found

    def extend_all(self, seconds: float) -> None:
        """Postpone the deadlines of all suspicions.

        :param seconds: time to add.
        """
        self.deadlines = {
            each: deadline + seconds
            for each, deadline in self.deadlines.items()
        }

    def locally_suspected(self) -> set[bytes]:
        """Return the suspects for which this host raised the suspicion.

        Ended suspicions are removed from :attr:`local`.
        """
        self.local &= self.deadlines.keys()
        return self.local

    def _timeout(self, others: int) -> float:
        """Return the timeout of a local suspicion in seconds.

        It grows with the logarithm of the number of hosts, as does the number
        of probe periods in which gossip reaches all of them.
        """
        factor = math.log2(others + 1) / BASE_LOG2_HOSTS
        return self.base * max(1.0, factor)
