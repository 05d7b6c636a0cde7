"""Lists the entries of a configuration with their keys in its JSON form.

:func:`vanilladrum.platform.objects.parse_configuration` stops at the first
invalid value and keeps one route for each address. A listing has a problem
for each invalid value and keeps all entries. Values are converted by the same
functions, so that both accept the same configurations.
"""

from collections.abc import Callable
from typing import Any

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import routes
from vanilladrum.platform import objects
from vanilladrum.platform import values

# Names of the fields of an entry in its JSON form.
FIELD_NAMES = {
    "address": "path-prefix",
    "timeout": "timeout-ms",
    "target_latency": "target-latency-ms",
    "shares": "backends",
    "name": "name",
    "warm_up": "warmup-s",
    "rate": "warmup-per-s",
}
IDLE_TIMEOUT_KEY = "limits.idle-timeout-ms"
MS_PER_SECOND = 1000
# Significant digits that remain when durations and shares are compared; the
# rest is the rounding error of their conversion. Decimal places would make
# the smallest shares equal to 0, which has another meaning.
COMPARED_DIGITS = 12
_REQUIRED = object()


@attrs.frozen
class Problem:
    """A value that entry hosts do not accept.

    :param key: its key, such as ``routes[1].timeout-ms``; empty for the whole
        configuration.
    """

    key: str
    reason: str
    remedy: str


@attrs.frozen
class ListedEntry:
    """An entry of a list of the configuration.

    :param path: key of the entry, such as ``routes[1]``.
    """

    path: str

    def key(self, field: str) -> str:
        """Return the key of a field; see :data:`FIELD_NAMES`."""
        return f"{self.path}.{FIELD_NAMES[field]}"


@attrs.frozen
class ListedRoute(ListedEntry):
    """A route and the address whose flows it takes."""

    address: addresses.Address
    route: routes.Route


@attrs.frozen
class ListedService(ListedEntry):
    """A service.

    :param health_path: URL path of its health check.
    :param warm_up: None if the entry names none.
    :param has_rate: whether the entry names a warm-up rate that is not 0.
    """

    name: str
    health_path: str
    warm_up: routes.WarmUp | None
    has_rate: bool


@attrs.define
class Listing:
    """A configuration as it is written, with all problems of its values.

    Entries with a problem are left out.

    :param idle_timeout: seconds after which an idle flow may be removed.
    """

    problems: list[Problem] = attrs.field(factory=list)
    routes: list[ListedRoute] = attrs.field(factory=list)
    services: list[ListedService] = attrs.field(factory=list)
    idle_timeout: float = 0.0

    def add_problem(self, key: str, error: Exception) -> None:
        """Add a problem for an error that a conversion raised."""
        reason = str(error)
        remedy = "correct the value"
        if isinstance(error, errors.AddressError):
            # These messages end with their own remedy.
            reason, _, remedy = reason.rpartition("; ")
        self.problems.append(Problem(key, reason, remedy))

    def read(
        self,
        content: dict,
        path: str,
        field: str,
        convert: Callable[[Any], Any],
        default: object = _REQUIRED,
    ) -> Any:
        """Return a converted field, or None after adding a problem."""
        key = f"{path}.{field}" if path else field
        if field not in content and default is _REQUIRED:
            self.problems.append(Problem(key, "is missing", "add it"))
            return None
        try:
            return convert(content.get(field, default))
        except objects.CONVERSION_ERRORS as error:
            self.add_problem(key, error)
            return None


def read_listing(plain: Any) -> Listing:
    """Read a configuration as decoded from JSON.

    :param plain: the configuration, or the stored object that contains it.
    """
    content = configuration_of(plain)
    listing = Listing()
    if not _is_object(listing, content, ""):
        return listing
    listing.read(
        content,
        "",
        "version",
        lambda value: values.expect_int(value, 1, values.MAX_INTEGER),
    )
    for position, each in _entries(listing, content, "routes"):
        _add_route(listing, each, f"routes[{position}]")
    for position, each in _entries(listing, content, "services"):
        _add_service(listing, each, f"services[{position}]")
    limits = listing.read(content, "", "limits", lambda value: value)
    if "limits" in content and _is_object(listing, limits, "limits"):
        field = IDLE_TIMEOUT_KEY.rpartition(".")[2]
        listing.idle_timeout = listing.read(
            limits, "limits", field, values.expect_duration
        )
    if not listing.problems:
        _confirm(listing, content)
    return listing


def configuration_of(plain: Any) -> Any:
    """Return the configuration in a stored object, or what was passed."""
    if isinstance(plain, dict) and {"meta", "spec"} <= plain.keys():
        return plain["spec"]
    return plain


def comparable(listing: Listing) -> dict[tuple[str, str], dict[str, object]]:
    """Return the fields of each entry by kind and name.

    Different notations of one meaning have equal fields: the order of
    entries and shares, 1 and 1.0, weights of 9 to 1 and of 90 to 10. Routes
    with one name are told apart by their addresses.
    """
    names = [each.route.name for each in listing.routes]
    last_by_address = {each.address: each for each in listing.routes}
    entries: dict[tuple[str, str], dict[str, object]] = {
        ("limits", ""): {
            IDLE_TIMEOUT_KEY.rpartition(".")[2]: _in_ms(listing.idle_timeout)
        }
    }
    for each in listing.routes:
        name = each.route.name
        if names.count(name) > 1:
            name = f"{name} at {each.address}"
        entries["route", name] = {
            "address": str(each.address),
            "services": _shares(each.route),
            FIELD_NAMES["timeout"]: _in_ms(each.route.timeout),
            FIELD_NAMES["target_latency"]: _in_ms(each.route.target_latency),
            "priority": each.route.priority,
            "repeatable": each.route.repeatable,
            # Of two routes with one address only the later one is used.
            "used": last_by_address[each.address] is each,
        }
    for service in listing.services:
        warm_up = service.warm_up or routes.WarmUp(0.0, 0.0)
        entries["service", service.name] = {
            "health-check-path": service.health_path,
            FIELD_NAMES["warm_up"]: _plain_number(warm_up.seconds),
            FIELD_NAMES["rate"]: _plain_number(warm_up.rate),
        }
    return entries


def _is_object(listing: Listing, value: object, key: str) -> bool:
    if isinstance(value, dict):
        return True
    listing.add_problem(
        key, TypeError(f"{type(value).__name__} in place of an object")
    )
    return False


def _entries(listing: Listing, content: dict, field: str) -> enumerate:
    found = listing.read(content, "", field, values.expect_list)
    return enumerate(found or ())


def _add_route(listing: Listing, plain: Any, path: str) -> None:
    if not _is_object(listing, plain, path):
        return
    before = len(listing.problems)
    listing.read(plain, path, "name", values.expect_text)
    _read_address(listing, plain, path)
    listing.read(plain, path, "timeout-ms", values.expect_duration)
    listing.read(plain, path, "target-latency-ms", values.expect_duration, 0)
    listing.read(plain, path, "priority", objects.read_priority, 0)
    if "service" in plain:
        listing.read(plain, path, "service", values.expect_text)
    else:
        _read_shares(listing, plain, path)
    if len(listing.problems) > before:
        return
    address = addresses.unpack(objects.route_key(plain))
    route = objects.read_route(plain)
    listing.routes.append(ListedRoute(path, address, route))


def _read_address(listing: Listing, plain: dict, path: str) -> None:
    """Add a problem unless the host and the port of a route are valid."""
    host = listing.read(plain, path, "host", values.expect_text)
    port = listing.read(
        plain,
        path,
        "path-prefix",
        lambda value: int(values.expect_text(value).strip("/")),
    )
    if host is None or port is None:
        return
    try:
        objects.route_key(plain)
    except objects.CONVERSION_ERRORS as error:
        if 1 <= port <= addresses.MAX_PORT:
            listing.add_problem(f"{path}.host", error)
            return
        reason = ValueError(f"a port that is not 1 to {addresses.MAX_PORT}")
        listing.add_problem(f"{path}.path-prefix", reason)


def _read_shares(listing: Listing, plain: dict, path: str) -> None:
    shares = listing.read(plain, path, "backends", values.expect_list)
    if shares is None:
        return
    key = f"{path}.backends"
    if not shares:
        listing.problems.append(
            Problem(key, "a route has no service", "add a service")
        )
    for position, each in enumerate(shares):
        share_path = f"{key}[{position}]"
        if not _is_object(listing, each, share_path):
            continue
        listing.read(each, share_path, "service", values.expect_text)
        listing.read(
            each,
            share_path,
            "weight",
            lambda value: values.expect_number(value, objects.MAX_WEIGHT),
        )


def _add_service(listing: Listing, plain: Any, path: str) -> None:
    if not _is_object(listing, plain, path):
        return
    before = len(listing.problems)
    name = listing.read(plain, path, "name", values.expect_text)
    health_path = listing.read(
        plain, path, "health-check-path", values.read_path
    )
    # Entry hosts read the rate only if there is a warm-up.
    if "warmup-s" in plain:
        listing.read(
            plain,
            path,
            "warmup-s",
            lambda value: values.expect_number(
                value, values.MAX_DURATION_MS * values.SECONDS_PER_MS
            ),
        )
        listing.read(
            plain,
            path,
            "warmup-per-s",
            lambda value: values.expect_number(value, objects.MAX_RATE),
            0,
        )
    if len(listing.problems) > before:
        return
    warm_up = objects.read_warm_up(plain) if "warmup-s" in plain else None
    has_rate = bool(plain.get("warmup-per-s"))
    listing.services.append(
        ListedService(path, name, health_path, warm_up, has_rate)
    )


def _confirm(listing: Listing, content: dict) -> None:
    """Add a problem if entry hosts refuse a configuration without one."""
    try:
        objects.parse_configuration(
            objects.StoredObject(objects.CONFIGURATION_NAME, 0, content)
        )
    except errors.PlatformError as error:
        listing.problems.append(Problem("", str(error), "correct it"))


def _shares(route: routes.Route) -> dict[str, float]:
    """Return the share of new flows by service; they add up to 1."""
    weights = [share.weight for share in route.shares]
    if not any(weights):
        weights = [1.0] * len(weights)
    shares = dict.fromkeys(sorted(route.services), 0.0)
    for share, weight in zip(route.shares, weights, strict=True):
        shares[share.service] += weight / sum(weights)
    return {name: _plain_number(share) for name, share in shares.items()}


def _in_ms(seconds: float) -> float:
    return _plain_number(seconds * MS_PER_SECOND)


def _plain_number(value: float) -> float:
    """Return a rounded number, as an integer if it is one."""
    rounded = float(f"{value:.{COMPARED_DIGITS}g}")
    return int(rounded) if rounded == int(rounded) else rounded
