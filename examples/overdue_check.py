"""Checks of the soak test about requests that wait for a silent server."""

from examples import flow_cluster
from vanilladrum.core import backend as backends

# Target latency of the routes, a fifth of their time limit.
TARGET_MS = 600
# Shortest silence, in seconds, after which a server may be presumed dead.
MIN_SILENCE_SECONDS = 0.5
# Seconds after the end of a silence in which hosts may not have reached the
# server again: checks are up to 1 s apart and time out after 0.25 s.
RETURN_SECONDS = 1.5
# Longest time that a request may wait for a silent server, in seconds: 1.5 s,
# and 0.5 s for a loaded machine.
MAX_WAIT_SECONDS = 2.0
# Faults that keep a host from resetting requests, and how long at most, in
# seconds, with the start of a host.
HOST_FAULTS = ("freeze", "kill", "kill_all", "loss", "stop")
HOST_FAULT_SECONDS = 6.0


def find_violations(
    cluster: flow_cluster.FlowCluster,
    injected: list[tuple[float, str]],
    began: float,
) -> list[str]:
    """Return descriptions of wrong resets, and of requests without one.

    Requests on routes without a target latency may wait.

    :param injected: injected faults, each with the second in which it began.
    :param began: when the run began, in seconds of the event loop.
    """
    exchanges = cluster.caller.exchanges
    by_tag = {backends.make_tag(each.name): each for each in cluster.servers}
    violations = []
    host_faults = [
        began + second for second, name in injected if name in HOST_FAULTS
    ]
    answers = sorted(
        each.ended for each in exchanges if each.served and each.ended
    )
    for exchange in exchanges:
        server = by_tag.get(exchange.tag)
        silences = server.silences() if server is not None else []
        if exchange.was_reset:
            if not _explains_reset(silences, exchange.ended):
                violations.append(f"{exchange.request_id} reset while open")
            continue
        if exchange.served or not cluster.target_ms:
            continue
        for begin, end in silences:
            since = max(begin, exchange.sent)
            until = min(end, exchange.ended)
            if until - since <= MAX_WAIT_SECONDS:
                continue
            if any(
                fault < until and fault + HOST_FAULT_SECONDS > since
                for fault in host_faults
            ):
                continue
            # Some answers in the meantime, so that hosts are not cut off.
            if sum(since < each < until for each in answers) >= 10:
                violations.append(
                    f"{exchange.request_id} waited {until - since:.2f} s for "
                    "a silent server"
                )
    return violations


def _explains_reset(silences: list[tuple[float, float]], when: float) -> bool:
    """Return whether a server may be taken for dead at a time."""
    return any(
        begin + MIN_SILENCE_SECONDS <= when <= end + RETURN_SECONDS
        for begin, end in silences
    )
