"""Service-level burn, merged over entry hosts, as a table and a page."""

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

WINDOWS = {"1 min": 60, "5 min": 300, "1 h": 3600}
TIMEOUT_SECONDS = 5.0
PLOT_WIDTH = 720
PLOT_HEIGHT = 160
SHOWN_BUCKETS = 90
STYLE = (
    "body{font:15px sans-serif;margin:2em;max-width:60em;color:#222}"
    "table{border-collapse:collapse}td,th{padding:.3em .9em;"
    "text-align:right;border-bottom:1px solid #ccc}"
    "td:first-child,th:first-child{text-align:left}.bad{color:#b00020}"
)


@attrs.define
class Class:
    """One class of requests with what all hosts counted.

    :param latency: seconds within which an answer is good.
    :param target: share of requests that must be good.
    :param buckets: good and bad requests by time bucket.
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
        """Return good and bad requests of the last seconds."""
        first = (now - seconds) // metrics.BUCKET_SECONDS
        recent = [
            counts
            for bucket, counts in self.buckets.items()
            if bucket >= first
        ]
        return sum(each[0] for each in recent), sum(each[1] for each in recent)

    def burn(self, seconds: int, now: float) -> float:
        """Return how fast the error budget is used; 1.0 uses it up."""
        good, bad = self.counted(seconds, now)
        if not good + bad:
            return 0.0
        return bad / (good + bad) / (1 - self.target)

    def budget_left(self, now: float) -> float:
        """Return the share of the longest window's budget that is left."""
        return 1 - self.burn(max(WINDOWS.values()), now)


def merge(snapshots: Iterable[dict]) -> dict[str, Class]:
    """Add up what entry hosts counted."""
    found: dict[str, Class] = {}
    for snapshot in snapshots:
        for label, (latency, target) in snapshot["objectives"].items():
            found.setdefault(label, Class(label, latency, target))
    for snapshot in snapshots:
        for label, rows in snapshot["burn"].items():
            if label in found:
                _add_buckets(found[label].buckets, rows)
        for name in ("answers", "waits"):
            for label, encoded in snapshot[name].items():
                if label in found:
                    getattr(found[label], name).decode_and_add(encoded)
    return found


def _add_buckets(buckets: dict[int, list[int]], rows: list) -> None:
    for bucket, good, bad in rows:
        counts = buckets.setdefault(bucket, [0, 0])
        counts[0] += good
        counts[1] += bad


async def show(endpoints: tuple[str, ...], path: str | None) -> None:
    """Print the table; write the page when a path is given."""
    if not endpoints:
        raise errors.SettingsError(
            "no metrics endpoint is named; give those of the entry hosts"
        )
    snapshots, silent = await read(endpoints)
    if not snapshots:
        raise errors.PlatformError(
            f"no entry host answered at {', '.join(silent)}; check the "
            "metrics endpoints in their settings"
        )
    classes = merge(snapshots)
    now = time.time()
    console.Console(width=110).print(as_table(classes, now))
    for endpoint in silent:
        print(f"not counted, no answer: {endpoint}")
    if path:
        page = as_page(classes, now, len(snapshots), silent)
        pathlib.Path(path).write_text(page, encoding="utf-8")
        print(f"page written to {path}")


async def read(
    endpoints: tuple[str, ...],
) -> tuple[list[dict], list[str]]:
    """Return the snapshots of those that answer, and who does not."""
    limit = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=limit) as session:
        found = await asyncio.gather(
            *[_read_one(session, addresses.parse(each)) for each in endpoints]
        )
    pairs = list(zip(endpoints, found, strict=True))
    snapshots = [snapshot for _, snapshot in pairs if snapshot is not None]
    return snapshots, [name for name, each in pairs if each is None]


async def _read_one(
    session: aiohttp.ClientSession, address: addresses.Address
) -> dict | None:
    try:
        async with session.get(f"http://{address}/metrics") as response:
            return await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return None


def _rows(classes: dict[str, Class], now: float) -> list[list[str]]:
    rows = []
    for label, each in sorted(classes.items()):
        rows.append(
            [
                label,
                f"{each.target:.2%} in {each.latency * 1000:g} ms",
                *[f"{each.burn(s, now):.2f}" for s in WINDOWS.values()],
                f"{each.budget_left(now):.0%}",
                f"{_milliseconds(each.answers, 50):.1f}",
                f"{_milliseconds(each.answers, 99):.1f}",
                f"{_milliseconds(each.waits, 99):.1f}",
            ]
        )
    return rows


HEADS = (
    "class",
    "objective",
    *[f"burn {name}" for name in WINDOWS],
    "budget left",
    "p50 ms",
    "p99 ms",
    "wait p99 ms",
)


def _milliseconds(each: histogram.HdrHistogram, share: float) -> float:
    return each.get_value_at_percentile(share) / 1000


def as_table(classes: dict[str, Class], now: float) -> table.Table:
    """Return the burn of all classes for a terminal."""
    shown = table.Table(title="service-level burn (1.00 uses the budget up)")
    for head in HEADS:
        if head in ("class", "objective"):
            shown.add_column(head)
        else:
            shown.add_column(head, justify="right")
    for row in _rows(classes, now):
        shown.add_row(*row)
    return shown


def as_page(
    classes: dict[str, Class], now: float, hosts: int, silent: list[str]
) -> str:
    """Return a page that needs nothing from elsewhere."""
    heads = "".join(f"<th>{html.escape(head)}</th>" for head in HEADS)
    body = ""
    for row in _rows(classes, now):
        cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in row)
        body += f"<tr>{cells}</tr>"
    plots = "".join(_plot(each, now) for _, each in sorted(classes.items()))
    missing = ""
    if silent:
        names = html.escape(", ".join(silent))
        missing = f"<p class=bad>Not counted, no answer: {names}</p>"
    when = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(now))
    return (
        "<!doctype html><html lang=en><meta charset=utf-8>"
        f"<title>Service-level burn</title><style>{STYLE}</style>"
        f"<h1>Service-level burn</h1><p>{hosts} entry hosts, {when}. A burn "
        f"of 1.00 uses the error budget up.</p>{missing}"
        f"<table><tr>{heads}</tr>{body}</table>{plots}</html>"
    )


def _plot(each: Class, now: float) -> str:
    """Draw good and bad requests by time bucket as bars."""
    last = int(now) // metrics.BUCKET_SECONDS
    shown = range(last - SHOWN_BUCKETS + 1, last + 1)
    counts = [each.buckets.get(bucket, [0, 0]) for bucket in shown]
    highest = max((good + bad for good, bad in counts), default=0) or 1
    width = PLOT_WIDTH / SHOWN_BUCKETS
    bars = ""
    for number, (good, bad) in enumerate(counts):
        bars += _bar(number * width, width, good + bad, highest, "#7aa6c2")
        bars += _bar(number * width, width, bad, highest, "#b00020")
    minutes = SHOWN_BUCKETS * metrics.BUCKET_SECONDS // 60
    return (
        f"<h2>{html.escape(each.label)}</h2><p>Requests in each "
        f"{metrics.BUCKET_SECONDS} s of the last {minutes} minutes, at most "
        f"{highest}; late, refused or unknown ones in red.</p>"
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" role="img">'
        f'<rect width="100%" height="100%" fill="#f4f4f4"/>{bars}</svg>'
    )


def _bar(
    left: float, width: float, count: int, highest: int, colour: str
) -> str:
    if not count:
        return ""
    height = max(1.0, PLOT_HEIGHT * count / highest)
    return (
        f'<rect x="{left:.1f}" y="{PLOT_HEIGHT - height:.1f}" '
        f'width="{width - 1:.1f}" height="{height:.1f}" fill="{colour}"/>'
    )
