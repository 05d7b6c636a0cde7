"""Load of servers that entry hosts of a data centre report to each other.

Candidate (b) of :mod:`bench.fleet_choices`, not used in production.
"""

# Servers in one report. With all headers it stays below 500 bytes, so that
# twenty datagrams a second stay below 10 KB/s.
MAX_ENTRIES = 32
# Interval between two reports of a host, in seconds, and hosts of the data
# centre that receive each of them.
PERIOD = 0.2
FAN_OUT = 4
# Counts and sums of response times are sent modulo this.
MODULUS = 2**32
# Sizes in bytes: IP and UDP headers with kind, number of servers, start,
# sequence and data centre; tag, busy flows, answers and response times.
HEADER_BYTES = 28 + 14
SERVER_BYTES = 14


class ServerLoad:
    """What one entry host reports about one server.

    :param busy: flows of the reporting host that wait for an answer.
    :param answers: number of answers since the start of the reporting host,
        modulo ``MODULUS``.
    :param response_ms: sum of their response times in milliseconds, modulo
        ``MODULUS``. Totals instead of differences make up for lost reports.
    """

    __slots__ = ("busy", "answers", "response_ms")

    def __init__(
        self, busy: int = 0, answers: int = 0, response_ms: int = 0
    ) -> None:
        self.busy = busy
        self.answers = answers
        self.response_ms = response_ms


class LoadReport:
    """One report of an entry host.

    :param start: 32-bit random number that identifies the process start.
    :param sequence: increases with each report of the same start.
    :param data_centre: number that identifies the sender's data centre.
    :param servers: load by server tag, at most ``MAX_ENTRIES``.
    """

    __slots__ = ("start", "sequence", "data_centre", "servers")

    def __init__(
        self,
        start: int,
        sequence: int,
        data_centre: int,
        servers: dict[int, ServerLoad],
    ) -> None:
        self.start = start
        self.sequence = sequence
        self.data_centre = data_centre
        self.servers = servers

    @property
    def size(self) -> int:
        """Return the size of the datagram in bytes."""
        return HEADER_BYTES + SERVER_BYTES * len(self.servers)
