"""Report of error-budget burn rates, merged over entry hosts.

It is shown as a table in the terminal and, on request, as an HTML page.
"""

import asyncio
from collections.abc import Iterable
import html
import pathlib
import time

import aiohttp
import attrs
from hdrh import histogram
from rich import console
from rich import table

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.daemons import metrics

# Labels and lengths of the reported time windows, in seconds.
WINDOWS = {"1 min": 60, "5 min": 300, "1 h": 3600}
# Time for the metrics of one entry host.
TIMEOUT_SECONDS = 5.0
# Size of a chart in pixels.
PLOT_WIDTH = 720
PLOT_HEIGHT = 160
PLOTTED_BUCKETS = 90
PAGE_STYLE = (
    "body{font:15px sans-serif;margin:2em;max-width:60em;color:#222}"
    "table{border-collapse:collapse}td,th{padding:.3em .9em;"
    "text-align:right;border-bottom:1px solid #ccc}"
    "td:first-child,th:first-child{text-align:left}.bad{color:#b00020}"
)


@attrs.define
class RequestClass:
    """Merged counts of a request class, such as ``bookings/urgent``.

    :param latency: seconds within which an answer is good.
    :param target: share of requests that must be good.
    :param buckets: number of good and of bad requests by time bucket.
    :param answers: histogram of response times, in microseconds.
    :param waits: histogram of queueing times, in microseconds.
    """

    label: str
    latency: float
    target: float
    buckets: dict[int, list[int]] = attrs.field(factory=dict)
    answers: histogram.HdrHistogram = attrs.field(
        factory=metrics.new_histogram
    )
    waits: histogram.HdrHistogram = attrs.field(factory=metrics.new_histogram)

    def counted(self, seconds: int, now: float) -> tuple[int, int]:
        """Return the number of good and of bad requests in a time window.

        :param seconds: length of the window, extended to whole buckets.
        :param now: end of the window as a Unix time.
        """
        first_bucket = (now - seconds) // metrics.BUCKET_SECONDS
        recent = [
            counts
            for bucket, counts in self.buckets.items()
            if bucket >= first_bucket
        ]
        return sum(pair[0] for pair in recent), sum(pair[1] for pair in recent)

    def burn(self, seconds: int, now: float) -> float:
        """Return the burn rate of the error budget in a time window.

        It is the share of bad requests divided by the share that the target
        permits: a rate of 1.0 uses up exactly the budget.

        :returns: the burn rate, 0.0 without requests.
        """
        good, bad = self.counted(seconds, now)
        if not good + bad:
            return 0.0
        return bad / (good + bad) / (1 - self.target)

    def budget_left(self, now: float) -> float:
        """Return the share of the error budget left in the longest window.

        It is negative if the budget is exceeded.
        """
        return 1 - self.burn(max(WINDOWS.values()), now)


def merge(snapshots: Iterable[dict]) -> dict[str, RequestClass]:
    """Merge the metrics snapshots of entry hosts by request class.

    Classes without an objective are left out.
    """
    classes: dict[str, RequestClass] = {}
    for snapshot in snapshots:
        for label, (latency, target) in snapshot["objectives"].items():
            classes.setdefault(label, RequestClass(label, latency, target))
    for snapshot in snapshots:
        for label, rows in snapshot["burn"].items():
            if label in classes:
                _add_buckets(classes[label].buckets, rows)
        for name in ("answers", "waits"):
            for label, encoded in snapshot[name].items():
                if label in classes:
                    getattr(classes[label], name).decode_and_add(encoded)
    return classes


def _add_buckets(buckets: dict[int, list[int]], rows: list) -> None:
    for bucket, good, bad in rows:
        counts = buckets.setdefault(bucket, [0, 0])
        counts[0] += good
        counts[1] += bad


async def show(endpoints: tuple[str, ...], path: str | None) -> None:
    """Print the table, and write the HTML page if a path is given.

    :param endpoints: metrics endpoints of the entry hosts.
    :param path: path of the HTML page, or None.
    :raises SettingsError: if no endpoint is given.
    :raises PlatformError: if no entry host answers.
    """
    if not endpoints:
        raise errors.SettingsError(
            "no metrics endpoint is given; name those of the entry hosts"
        )
    snapshots, unreachable = await fetch_snapshots(endpoints)
    if not snapshots:
        raise errors.PlatformError(
            f"no entry host answered at {', '.join(unreachable)}; check the "
            "metrics endpoints in their settings"
        )
    classes = merge(snapshots)
    now = time.time()
    console.Console(width=110).print(render_table(classes, now))
    for endpoint in unreachable:
        print(f"not included, no response: {endpoint}")
    if path:
        page = render_html(classes, now, len(snapshots), unreachable)
        pathlib.Path(path).write_text(page, encoding="utf-8")
        print(f"page written to {path}")


async def fetch_snapshots(
    endpoints: tuple[str, ...],
) -> tuple[list[dict], list[str]]:
    """Fetch the metrics of entry hosts.

    :returns: the snapshots received, and the endpoints that did not answer.
    """
    client_timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=client_timeout) as session:
        results = await asyncio.gather(
            *[
                _fetch_snapshot(session, addresses.parse(endpoint))
                for endpoint in endpoints
            ]
        )
    pairs = list(zip(endpoints, results, strict=True))
    snapshots = [snapshot for _, snapshot in pairs if snapshot is not None]
    return snapshots, [name for name, result in pairs if result is None]


async def _fetch_snapshot(
    session: aiohttp.ClientSession, address: addresses.Address
) -> dict | None:
    try:
        async with session.get(f"http://{address}/metrics") as response:
            return await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return None


def _rows(classes: dict[str, RequestClass], now: float) -> list[list[str]]:
    rows = []
    for label, request_class in sorted(classes.items()):
        rows.append(
            [
                label,
                f"{request_class.target:.2%} in "
                f"{request_class.latency * 1000:g} ms",
                *[
                    f"{request_class.burn(seconds, now):.2f}"
                    for seconds in WINDOWS.values()
                ],
                f"{request_class.budget_left(now):.0%}",
                f"{_percentile_ms(request_class.answers, 50):.1f}",
                f"{_percentile_ms(request_class.answers, 99):.1f}",
                f"{_percentile_ms(request_class.waits, 99):.1f}",
            ]
        )
    return rows


COLUMN_HEADINGS = (
    "class",
    "objective",
    *[f"burn {name}" for name in WINDOWS],
    "budget left",
    "p50 ms",
    "p99 ms",
    "wait p99 ms",
)


def _percentile_ms(
    recorded: histogram.HdrHistogram, percentile: float
) -> float:
    return recorded.get_value_at_percentile(percentile) / 1000


def render_table(classes: dict[str, RequestClass], now: float) -> table.Table:
    """Return the burn rates of all request classes as a terminal table."""
    output = table.Table(
        title="error-budget burn rate (1.00 uses up the budget)"
    )
    for heading in COLUMN_HEADINGS:
        if heading in ("class", "objective"):
            output.add_column(heading)
        else:
            output.add_column(heading, justify="right")
    for row in _rows(classes, now):
        output.add_row(*row)
    return output


def render_html(
    classes: dict[str, RequestClass],
    now: float,
    hosts: int,
    unreachable: list[str],
) -> str:
    """Return the table and charts as an HTML page.

    The page loads no external resources.

    :param hosts: number of entry hosts included.
    :param unreachable: endpoints of entry hosts that did not answer.
    """
    headings = "".join(
        f"<th>{html.escape(heading)}</th>" for heading in COLUMN_HEADINGS
    )
    rows = ""
    for row in _rows(classes, now):
        cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in row)
        rows += f"<tr>{cells}</tr>"
    plots = "".join(
        _plot(request_class, now)
        for _, request_class in sorted(classes.items())
    )
    notice = ""
    if unreachable:
        names = html.escape(", ".join(unreachable))
        notice = f"<p class=bad>Not included, no response: {names}</p>"
    timestamp = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(now))
    return (
        "<!doctype html><html lang=en><meta charset=utf-8>"
        f"<title>Error-budget burn rate</title><style>{PAGE_STYLE}</style>"
        f"<h1>Error-budget burn rate</h1><p>{hosts} entry hosts, {timestamp}. "
        f"A burn rate of 1.00 uses up the error budget.</p>{notice}"
        f"<table><tr>{headings}</tr>{rows}</table>{plots}</html>"
    )


def _plot(request_class: RequestClass, now: float) -> str:
    """Return a bar chart of good and bad requests by time bucket."""
    last_bucket = int(now) // metrics.BUCKET_SECONDS
    plotted = range(last_bucket - PLOTTED_BUCKETS + 1, last_bucket + 1)
    counts = [request_class.buckets.get(bucket, [0, 0]) for bucket in plotted]
    highest = max((good + bad for good, bad in counts), default=0) or 1
    width = PLOT_WIDTH / PLOTTED_BUCKETS
    bars = ""
    for index, (good, bad) in enumerate(counts):
        bars += _bar(index * width, width, good + bad, highest, "#7aa6c2")
        bars += _bar(index * width, width, bad, highest, "#b00020")
    minutes = PLOTTED_BUCKETS * metrics.BUCKET_SECONDS // 60
    return (
        f"<h2>{html.escape(request_class.label)}</h2><p>Requests in each "
        f"{metrics.BUCKET_SECONDS} s of the last {minutes} minutes, at most "
        f"{highest}; late, refused or unknown ones in red.</p>"
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" role="img">'
        f'<rect width="100%" height="100%" fill="#f4f4f4"/>{bars}</svg>'
    )


def _bar(x: float, width: float, count: int, highest: int, colour: str) -> str:
    if not count:
        return ""
    height = max(1.0, PLOT_HEIGHT * count / highest)
    return (
        f'<rect x="{x:.1f}" y="{PLOT_HEIGHT - height:.1f}" '
        f'width="{width - 1:.1f}" height="{height:.1f}" fill="{colour}"/>'
    )
