"""How fast each backend server works, from the length of its flows."""

from vanilladrum.core import backend as backends

# Weight of a new measurement: about the last twenty flows count.
GAIN = 0.1
# Flows that are needed before a server is compared with the others.
MIN_FLOWS = 4
# A server that had no flow for so long, in seconds, is tried as normal.
FORGET_SECONDS = 2.0
# The slowest pace that is told apart; below, a server gets hardly any work.
SLOWEST = 0.15


class Length:
    """Smoothed length of flows, in seconds."""

    def __init__(self) -> None:
        self.mean = 0.0
        self.flows = 0
        self.measured = float("-inf")

    def add(self, seconds: float, now: float) -> None:
        """Take in one flow."""
        if now - self.measured > FORGET_SECONDS:
            self.flows = 0
        self.flows += 1
        gain = max(GAIN, 1.0 / self.flows)
        self.mean += gain * (seconds - self.mean)
        self.measured = now


class Pace:
    """Compares each server with the others of its service."""

    def __init__(self) -> None:
        self.servers: dict[tuple[int, int], Length] = {}
        self.services: dict[str, Length] = {}

    def ended(
        self, server: backends.Backend, seconds: float, now: float
    ) -> None:
        """Take in a flow that its caller has closed."""
        key = (server.tag, server.started)
        self.servers.setdefault(key, Length()).add(seconds, now)
        self.services.setdefault(server.service, Length()).add(seconds, now)

    def of(self, server: backends.Backend, now: float) -> float:
        """Return the pace of a server: 1 for an ordinary one, less if slow."""
        own = self.servers.get((server.tag, server.started))
        every = self.services.get(server.service)
        if own is None or every is None or own.flows < MIN_FLOWS:
            return 1.0
        if now - own.measured > FORGET_SECONDS or own.mean <= every.mean:
            return 1.0
        return max(SLOWEST, every.mean / own.mean)

    def forget(self, server: backends.Backend) -> None:
        """Drop what is known of a server that is gone."""
        self.servers.pop((server.tag, server.started), None)
