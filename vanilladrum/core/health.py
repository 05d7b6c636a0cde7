"""Ejection of backend servers after consecutive unanswered requests.

A server that declined a request is paused instead, for a shorter time.
"""


class Thresholds:
    """Limits for ejecting and pausing servers.

    :param max_consecutive_failures: unanswered attempts in a row that eject
        a server.
    :param first_ejection: duration of the first ejection, in seconds; each
        further ejection lasts twice as long. Also the longest pause.
    :param longest_ejection: longest duration of an ejection, in seconds.
    :param min_active_fraction: fraction of the servers that is never ejected.
    :param min_pause: shortest pause of a server that declined work, in
        seconds.
    """

    def __init__(
        self,
        max_consecutive_failures: int = 3,
        first_ejection: float = 1.0,
        longest_ejection: float = 30.0,
        min_active_fraction: float = 0.5,
        min_pause: float = 0.05,
    ) -> None:
        self.max_consecutive_failures = max_consecutive_failures
        self.first_ejection = first_ejection
        self.longest_ejection = longest_ejection
        self.min_active_fraction = min_active_fraction
        self.min_pause = min_pause


DEFAULT_THRESHOLDS = Thresholds()


class Health:
    """Failures, ejections and pauses of one server.

    :param failures: failures counted towards the next ejection.
    :param ejections: ejections since the last answer.
    :param ejected_until: end of the last ejection, monotonic seconds.
    :param paused_until: end of the pause after declined work, monotonic
        seconds.
    """

    def __init__(self, thresholds: Thresholds = DEFAULT_THRESHOLDS) -> None:
        self.thresholds = thresholds
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.paused_until = 0.0

    def record_success(self) -> None:
        """Record an answer.

        Resets the numbers of failures and ejections and ends the current
        ejection, but not a pause.
        """
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0

    def record_failure(self, now: float) -> bool:
        """Record an unanswered attempt, without ejecting the server.

        :returns: whether the server should now be ejected with
            :meth:`eject`.
        """
        self.failures += 1
        return self.failures >= self.thresholds.max_consecutive_failures

    def eject(self, now: float) -> None:
        """Eject the server, each time for twice as long up to the limit.

        :param now: monotonic seconds.

        >>> health = Health()
        >>> health.eject(10.0)
        >>> health.ejected_until
        11.0
        """
        duration = self.thresholds.first_ejection * 2**self.ejections
        duration = min(duration, self.thresholds.longest_ejection)
        self.ejected_until = now + duration
        self.ejections += 1
        # A single failure after the ejection ejects the server again.
        self.failures = self.thresholds.max_consecutive_failures - 1

    def record_decline(self, now: float, retry_after: float) -> None:
        """Pause a server that declined a request without running it.

        :param retry_after: pause that the server requested, in seconds;
            limited to the range from ``min_pause`` to ``first_ejection``.
        """
        max_pause = self.thresholds.first_ejection
        pause = max(self.thresholds.min_pause, min(retry_after, max_pause))
        self.paused_until = now + pause

    def is_available(self, now: float) -> bool:
        """Return whether the server is neither ejected nor paused."""
        return now >= self.ejected_until and now >= self.paused_until

    def available_at(self) -> float:
        """Return when ejection and pause have ended, in monotonic seconds."""
        return max(self.ejected_until, self.paused_until)
