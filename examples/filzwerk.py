"""Services of the felt-hat shop: block checks, orders and drawings."""

import os

from vanilladrum import plan as plans

DATA_CENTRES = ["at-east-a", "at-east-b", "at-east-c"]
HOST = "127.0.0.1"
FIRST_PORT = int(os.environ.get("VANILLADRUM_FIRST_PORT", "20000"))
LEAVING = os.environ.get("VANILLADRUM_LEAVING", "").split(",")
ORDER_SERVERS = 7
PATTERN_SERVERS = 3


def servers(kind: str, count: int, port: int) -> list:
    """Spread servers over the data centres."""
    return [
        plans.server(
            f"{kind}-{number}",
            number,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            f"{HOST}:{port + number}",
            slots=3,
            leaving=f"{kind}-{number}" in LEAVING,
        )
        for number in range(1, count + 1)
    ]


plan = plans.Plan(DATA_CENTRES)
plan.service(
    "orders",
    1,
    f"{HOST}:{FIRST_PORT}",
    servers("order", ORDER_SERVERS, FIRST_PORT + 10),
    routes=[plans.urgent("/blocks"), plans.urgent("/orders")],
    objectives=[plans.objective("urgent", latency=0.1, target=0.99)],
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
