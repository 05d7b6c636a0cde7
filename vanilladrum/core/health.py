"""Health of a backend server, from the outcomes of its own requests."""


class Thresholds:
    """When a server is ejected and for how long, in seconds.

    :param consecutive: silent attempts in a row that eject a server.
    :param first_ejection: length of the first ejection; doubles each time.
    :param longest_ejection: bound of the doubling.
    :param floor: share of servers that is never ejected.
    :param decline_pause: rest of a server that declined work.
    """

    def __init__(
        self,
        consecutive: int = 3,
        first_ejection: float = 1.0,
        longest_ejection: float = 30.0,
        floor: float = 0.5,
        decline_pause: float = 0.05,
    ) -> None:
        self.consecutive = consecutive
        self.first_ejection = first_ejection
        self.longest_ejection = longest_ejection
        self.floor = floor
        self.decline_pause = decline_pause


DEFAULT_THRESHOLDS = Thresholds()


class Health:
    """What the recent outcomes of one server say."""

    def __init__(self, thresholds: Thresholds = DEFAULT_THRESHOLDS) -> None:
        self.thresholds = thresholds
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.paused_until = 0.0

    def succeeded(self) -> None:
        """Count an answer; forgives earlier failures."""
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0

    def failed(self, now: float) -> bool:
        """Count a silent attempt.

        :returns: whether the server should now be ejected.
        """
        self.failures += 1
        return self.failures >= self.thresholds.consecutive

    def eject(self, now: float) -> None:
        """Keep work away for a while that doubles each time.

        >>> health = Health()
        >>> health.eject(10.0)
        >>> health.ejected_until
        11.0
        """
        length = self.thresholds.first_ejection * 2**self.ejections
        length = min(length, self.thresholds.longest_ejection)
        self.ejected_until = now + length
        self.ejections += 1
        # One more failure after the ejection ejects it again.
        self.failures = self.thresholds.consecutive - 1

    def declined(self, now: float, retry_after: float) -> None:
        """Rest a server that said it did not run a request."""
        longest = self.thresholds.first_ejection
        rest = max(self.thresholds.decline_pause, min(retry_after, longest))
        self.paused_until = now + rest

    def takes_work(self, now: float) -> bool:
        """Return whether new work may go to the server."""
        return now >= self.ejected_until and now >= self.paused_until

    def resumes_at(self) -> float:
        """Return when the server may take work again."""
        return max(self.ejected_until, self.paused_until)
