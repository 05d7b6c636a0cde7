"""Plan of the felt-hat shop's services: block checks, orders, drawings."""

from vanilladrum import plan as plans

DATA_CENTRES = ["at-east-a", "at-east-b", "at-east-c"]
ORDER_SERVERS = 7
PATTERN_SERVERS = 3
SLOTS = 3

order_servers = []
for number in range(1, ORDER_SERVERS + 1):
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    address = f"127.0.0.1:{31010 + number}"
    order_servers.append(
        plans.server(f"order-{number}", number, data_centre, address, SLOTS)
    )

pattern_servers = []
for number in range(1, PATTERN_SERVERS + 1):
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    address = f"127.0.0.1:{31030 + number}"
    pattern_servers.append(
        plans.server(f"pattern-{number}", number, data_centre, address, SLOTS)
    )

plan = plans.Plan(DATA_CENTRES)
plan.service(
    "orders",
    1,
    "127.0.0.1:31000",
    order_servers,
    routes=[plans.urgent("/blocks"), plans.urgent("/orders")],
    objectives=[plans.objective("urgent", latency=0.1, target=0.99)],
    deadline=5.0,
)
plan.service(
    "patterns",
    2,
    "127.0.0.1:31001",
    pattern_servers,
    routes=[plans.bulk("/")],
    objectives=[plans.objective("bulk", latency=2.0, target=0.99)],
)
