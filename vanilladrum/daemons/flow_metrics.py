"""Renders a flow host's metrics in the Prometheus text format."""

from vanilladrum.core import buckets
from vanilladrum.core import flowhost

PREFIX = "vanilladrum"


def render(core: flowhost.FlowHost, gauges: dict[str, float]) -> str:
    """Return the body of a metrics response.

    :param gauges: the daemon's own values by name, added to the core's.
    """
    lines = []
    for name, count in sorted(core.counters.items()):
        lines.append(f"{PREFIX}_{name}_total {count}")
    for name, value in sorted((gauges | _gauges(core)).items()):
        lines.append(f"{PREFIX}_{name} {value:g}")
    lines.extend(_histogram("answer_seconds", "", core.observer.answer_times))
    by_service = {
        "flow_seconds": core.observer.flow_durations,
        "response_seconds": core.observer.response_times,
    }
    for name, histograms in by_service.items():
        for service, histogram in sorted(histograms.items()):
            label = f'service="{escape(service)}"'
            lines.extend(_histogram(name, label, histogram))
    return "\n".join(lines) + "\n"


def escape(text: str) -> str:
    """Return a label value in the Prometheus text format.

    >>> escape('a "b"')
    'a \\\\"b\\\\"'
    """
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    # A lone surrogate cannot be encoded.
    encodable = escaped.encode(errors="replace").decode()
    return encodable.replace("\n", "\\n")


def _gauges(core: flowhost.FlowHost) -> dict[str, float]:
    directory = core.directory
    gauges: dict[str, float] = {}
    if core.warm_up is not None:
        gauges["cold_servers"] = core.warm_up.count_cold(directory)
    return gauges | {
        "configuration_generation": core.configuration.generation,
        "routes": len(core.configuration.routes),
        "servers": len(directory.servers),
        "servers_lapsing": len(directory.pending_removal),
        "servers_superseded": len(directory.superseded),
        "servers_departed": len(directory.departed),
        "busy_flows": core.table.busy_counts.total(),
        "open_flows": core.table.busy_counts.total()
        + core.table.idle_counts.total(),
        "known_flows": len(core.table.flows),
        "entry_hosts": len(core.neighbours.hosts),
        "answer_limit_seconds": core.failure_detector.round_trip.timeout(),
    }


def _histogram(
    name: str, label: str, histogram: buckets.Histogram
) -> list[str]:
    lines = []
    separator = "," if label else ""
    counts = histogram.cumulative()
    for bound, count in zip(buckets.BOUNDS, counts, strict=True):
        labels = f'{label}{separator}le="{bound:g}"'
        lines.append(f"{PREFIX}_{name}_bucket{{{labels}}} {count}")
    labels = f'{label}{separator}le="+Inf"'
    lines.append(f"{PREFIX}_{name}_bucket{{{labels}}} {histogram.count}")
    label_set = f"{{{label}}}" if label else ""
    lines.append(f"{PREFIX}_{name}_sum{label_set} {histogram.sum:.6f}")
    lines.append(f"{PREFIX}_{name}_count{label_set} {histogram.count}")
    return lines
