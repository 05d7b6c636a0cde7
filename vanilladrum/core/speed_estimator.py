"""Relative speed of backend servers, from their response times."""

from vanilladrum.core import backend as backends

# Lowest weight of a new measurement in the moving average; about the last
# twenty requests contribute.
MIN_WEIGHT = 0.1
# Requests that a server must have answered before it is compared with others.
MIN_REQUESTS = 4
# A server that has answered no request for this many seconds has relative
# speed 1 again, so that it receives requests that can be measured.
STALE_SECONDS = 2.0
# Lower bound of the relative speed. A server this slow receives hardly any
# flows, so lower values would make no difference.
MIN_RELATIVE_SPEED = 0.15


class ResponseTimeAverage:
    """Moving average of response times.

    :param mean: average response time, in seconds.
    :param requests: number of requests since the average was last reset.
    :param last_measured: time of the last measurement, monotonic seconds.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self.requests = 0
        self.last_measured = float("-inf")

    def add(self, seconds: float, now: float) -> None:
        """Add a response time.

        The average is reset after STALE_SECONDS without one.

        :param seconds: response time.
        :param now: monotonic seconds.
        """
        if now - self.last_measured > STALE_SECONDS:
            self.requests = 0
        self.requests += 1
        weight = max(MIN_WEIGHT, 1.0 / self.requests)
        self.mean += weight * (seconds - self.mean)
        self.last_measured = now


class SpeedEstimator:
    """Compares the speed of each server with the average of its service.

    :param servers: average response time by tag and start time of a server.
    :param services: average response time by service.
    """

    def __init__(self) -> None:
        self.servers: dict[tuple[int, int], ResponseTimeAverage] = {}
        self.services: dict[str, ResponseTimeAverage] = {}

    def record_response_time(
        self, server: backends.Backend, seconds: float, now: float
    ) -> None:
        """Record the response time of a request.

        :param seconds: from the request to the first data of its answer.
        :param now: monotonic seconds.
        """
        key = (server.tag, server.started)
        self.servers.setdefault(key, ResponseTimeAverage()).add(seconds, now)
        self.services.setdefault(server.service, ResponseTimeAverage()).add(
            seconds, now
        )

    def relative_speed(self, server: backends.Backend, now: float) -> float:
        """Return the speed of a server relative to its service's average.

        :param now: monotonic seconds.
        :returns: from MIN_RELATIVE_SPEED to 1; 1 for a server of average or
            higher speed, and for one without MIN_REQUESTS recent requests.
        """
        own = self.servers.get((server.tag, server.started))
        service = self.services.get(server.service)
        if own is None or service is None or own.requests < MIN_REQUESTS:
            return 1.0
        if now - own.last_measured > STALE_SECONDS or own.mean <= service.mean:
            return 1.0
        return max(MIN_RELATIVE_SPEED, service.mean / own.mean)

    def remove(self, server: backends.Backend) -> None:
        """Remove the state of a server that no longer exists."""
        self.servers.pop((server.tag, server.started), None)
