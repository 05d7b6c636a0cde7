"""Choice of the server of a new flow."""

from collections.abc import Callable
import random

from vanilladrum.core import backend as backends
from vanilladrum.core import evidence as evidences
from vanilladrum.core import pace as paces
from vanilladrum.core import policy as policies

# Load that a server in another data centre has to be below a local one, as a
# share of its slots: a local server is preferred while it has a free slot.
REMOTE_LOAD = 0.95
# Share of its slots that a server which is still warming up counts with.
WARM_UP_SHARE = 0.6
POLICY = "least_busy"


class Candidate:
    """A server with its load, as policies look at it.

    :param busy: open flows, and what distance adds.
    """

    def __init__(
        self, server: backends.Backend, busy: float, slots: float
    ) -> None:
        self.server = server
        self.busy = busy
        self.slots = slots


class Balancer:
    """Chooses among the servers of a service.

    :param data_centre: name of this host's data centre.
    :param open_flows: returns the open flows of a server, by its tag.
    """

    def __init__(
        self,
        data_centre: str,
        evidence: evidences.Evidence,
        pace: paces.Pace,
        open_flows: Callable[[int], float],
        rng: random.Random,
    ) -> None:
        self.data_centre = data_centre
        self.evidence = evidence
        self.pace = pace
        self.open_flows = open_flows
        self.rng = rng
        self.policy = policies.find(POLICY)

    def choose(
        self,
        servers: list[backends.Backend],
        now: float,
        avoid: backends.Backend | None = None,
    ) -> backends.Backend | None:
        """Return the server of a new flow, None when there is none.

        :param avoid: a server that has just stayed silent; it is chosen
            only when it is the only one.
        """
        others = [each for each in servers if each is not avoid]
        trusted = self._trusted(others or servers, now)
        if not trusted:
            return None
        candidates = [self._candidate(each, now) for each in trusted]
        return self.policy(candidates, self.rng).server

    def _trusted(
        self, servers: list[backends.Backend], now: float
    ) -> list[backends.Backend]:
        """Return the servers of the best standing that any has."""
        standings = [self.evidence.standing(each, now) for each in servers]
        best = min(standings, default=None)
        return [
            server
            for server, standing in zip(servers, standings, strict=True)
            if standing == best
        ]

    def _candidate(self, server: backends.Backend, now: float) -> Candidate:
        slots = server.slots * self.pace.of(server, now)
        if server.warm_up > 0:
            slots *= WARM_UP_SHARE
        # The flow to come is counted, so that speed decides among idle ones.
        busy = self.open_flows(server.tag) + 1
        if server.data_centre != self.data_centre:
            busy += REMOTE_LOAD * slots
        return Candidate(server, busy, slots)
