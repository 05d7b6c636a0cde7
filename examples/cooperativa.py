"""Plan of the Cooperativa's services: bookings and pattern books.

Environment variables set the first port and the names of the leaving
servers, separated by commas.
"""

import os

from vanilladrum import plan as plans

DATA_CENTRES = ["bilbao", "santander", "oviedo", "gijon"]
HOST = "127.0.0.1"
FIRST_PORT = int(os.environ.get("VANILLADRUM_FIRST_PORT", "20000"))
LEAVING_SERVERS = os.environ.get("VANILLADRUM_LEAVING", "").split(",")
BOOKING_SERVERS = 7
PATTERN_SERVERS = 4


def servers(prefix: str, count: int, base_port: int) -> list:
    """Return servers 1 to ``count``, spread evenly over the data centres.

    :param prefix: prefix of the server names.
    :param base_port: server ``n`` listens on port ``base_port + n``.
    """
    return [
        plans.server(
            f"{prefix}-{number}",
            number,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            f"{HOST}:{base_port + number}",
            slots=2,
            leaving=f"{prefix}-{number}" in LEAVING_SERVERS,
        )
        for number in range(1, count + 1)
    ]


plan = plans.Plan(DATA_CENTRES)
plan.service(
    "bookings",
    1,
    f"{HOST}:{FIRST_PORT}",
    servers("booking", BOOKING_SERVERS, FIRST_PORT + 10),
    routes=[plans.urgent("/slots"), plans.urgent("/records")],
    objectives=[plans.objective("urgent", latency=0.25, target=0.99)],
    deadline=5.0,
)
plan.service(
    "patterns",
    2,
    f"{HOST}:{FIRST_PORT + 1}",
    servers("pattern", PATTERN_SERVERS, FIRST_PORT + 30),
    routes=[plans.bulk("/")],
    objectives=[plans.objective("bulk", latency=2.0, target=0.99)],
    deadline=10.0,
)
