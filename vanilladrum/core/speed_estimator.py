"""Relative speed of backend servers, from the duration of their flows."""

from vanilladrum.core import backend as backends

# Lowest weight of a new measurement in the moving average; about the last
# twenty flows contribute.
MIN_WEIGHT = 0.1
# Flows that a server must have completed before it is compared with others.
MIN_FLOWS = 4
# A server that has completed no flow for this many seconds has relative speed
# 1 again, so that it receives flows that can be measured.
STALE_SECONDS = 2.0
# Lower bound of the relative speed. A server this slow receives hardly any
# flows, so lower values would make no difference.
MIN_RELATIVE_SPEED = 0.15


class DurationAverage:
    """Moving average of flow durations.

    :param mean: average duration, in seconds.
    :param flows: number of flows since the average was last reset.
    :param last_measured: time of the last measurement, monotonic seconds.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self.flows = 0
        self.last_measured = float("-inf")

    def add(self, seconds: float, now: float) -> None:
        """Add the duration of a flow.

        The average is reset after STALE_SECONDS without a flow.

        :param seconds: duration of the flow.
        :param now: monotonic seconds.
        """
        if now - self.last_measured > STALE_SECONDS:
            self.flows = 0
        self.flows += 1
        weight = max(MIN_WEIGHT, 1.0 / self.flows)
        self.mean += weight * (seconds - self.mean)
        self.last_measured = now


class SpeedEstimator:
    """Compares the speed of each server with the average of its service.

    :param servers: average duration by tag and start time of a server.
    :param services: average duration by service.
    """

    def __init__(self) -> None:
        self.servers: dict[tuple[int, int], DurationAverage] = {}
        self.services: dict[str, DurationAverage] = {}

    def record_duration(
        self, server: backends.Backend, seconds: float, now: float
    ) -> None:
        """Record the duration of a flow that its caller has closed.

        :param seconds: duration of the flow.
        :param now: monotonic seconds.
        """
        key = (server.tag, server.started)
        self.servers.setdefault(key, DurationAverage()).add(seconds, now)
        self.services.setdefault(server.service, DurationAverage()).add(
            seconds, now
        )

    def relative_speed(self, server: backends.Backend, now: float) -> float:
        """Return the speed of a server relative to its service's average.

        :param now: monotonic seconds.
        :returns: from MIN_RELATIVE_SPEED to 1; 1 for a server of average or
            higher speed, and for one without MIN_FLOWS recent flows.
        """
        own = self.servers.get((server.tag, server.started))
        service = self.services.get(server.service)
        if own is None or service is None or own.flows < MIN_FLOWS:
            return 1.0
        if now - own.last_measured > STALE_SECONDS or own.mean <= service.mean:
            return 1.0
        return max(MIN_RELATIVE_SPEED, service.mean / own.mean)

    def remove(self, server: backends.Backend) -> None:
        """Remove the state of a server that no longer exists."""
        self.servers.pop((server.tag, server.started), None)
