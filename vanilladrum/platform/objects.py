"""Converts the platform's objects to the types of the core."""

from collections.abc import Callable
import struct
from typing import Any
from urllib import parse

from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import errors
from vanilladrum.core import routes
from vanilladrum.core import serverstate
from vanilladrum.platform import connection as connections
from vanilladrum.platform import packet

# Kinds and names of the objects that entry hosts read.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
SERVER_KIND = "servers"
# Each object of this kind is named after a data centre to evacuate.
EVACUATION_KIND = "evacuations"
# Field of the metadata that entry hosts add to an object of an earlier era.
ERA_FIELD = "era"
SECONDS_PER_MS = 0.001
# Bounds of values that other programs wrote. The largest integer fits into
# what is sent between hosts; floats hold all smaller durations exactly.
MAX_INTEGER = 2**63 - 1
MAX_DURATION_MS = 10**9
MAX_SLOTS = 100_000
MAX_WEIGHT = 1e9
MAX_RATE = 1e9
MAX_PRIORITY = 1000
# Longest name of an object, in characters; bounds the memory of a host that
# keeps the names of other programs' objects.
MAX_NAME_LENGTH = 4096
# Characters that a path needs no percent-encoding for (RFC 3986).
_PATH_CHARACTERS = "!#$%&'()*+,/:;=?@[]~"
# Types of routes whose requests are idempotent.
_REPEATABLE_TYPES = ("safe", "download")
_SERVER_STATES = {
    "ready": serverstate.ServerState.ACTIVE,
    "draining": serverstate.ServerState.LEAVING,
}
# Errors that a missing or invalid value raises during conversion. Their
# messages name types and bounds but not the value, which may be of any size.
CONVERSION_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    struct.error,
    errors.AddressError,
)


class StoredObject:
    """An object of the store.

    :param name: unique among the objects of its kind.
    :param revision: store revision of the object's last change.
    :param content: data that its writer stored, not validated yet.
    :param deleted: whether the object was deleted.
    :param plain: the complete object as decoded from JSON.
    :param era: number of restores of the store when the object was read.
    """

    def __init__(
        self,
        name: str,
        revision: int,
        content: Any,
        deleted: bool = False,
        plain: dict | None = None,
        era: int = 0,
    ) -> None:
        self.name = name
        self.revision = revision
        self.content = content
        self.deleted = deleted
        self.plain = plain or {}
        self.era = era


def parse_readable(
    read: Callable[[Any, int], StoredObject], documents: list, era: int
) -> tuple[StoredObject, ...]:
    """Read objects or events; leave out those without a readable name.

    :param read: :func:`parse_object` or :func:`parse_event`.
    :param documents: the objects or events as decoded from JSON.
    :param era: number of restores of the store that sent them.
    """
    parsed = []
    for each in documents:
        try:
            parsed.append(read(each, era))
        except errors.PlatformError:
            # Counted and logged by the list watcher.
            continue
    return tuple(parsed)


def parse_event(event: Any, era: int = 0) -> StoredObject:
    """Read an event of a watch.

    :param event: the event as decoded from JSON.
    :param era: number of restores of the store that sent it.
    :raises PlatformError: when a part of it is missing.
    """
    try:
        deleted = expect_bool(event["deleted"])
        changed = event["object"]
    except (KeyError, TypeError) as error:
        raise _unreadable_object_error(error) from error
    return parse_object(changed, era, deleted)


def parse_object(
    plain: Any, era: int = 0, deleted: bool = False
) -> StoredObject:
    """Read an object as it appears in lists and in events of a watch.

    :param plain: the object as decoded from JSON.
    :param era: number of restores of the store that sent it. An object that
        another host has kept through a restore has its own.
    :param deleted: whether the event reports its deletion.
    :raises PlatformError: when the name or the revision cannot be read.
    """
    try:
        meta = plain["meta"]
        return StoredObject(
            expect_name(meta["name"]),
            expect_int(meta["revision"], 0, MAX_INTEGER),
            plain.get("spec"),
            deleted,
            plain,
            expect_int(meta.get(ERA_FIELD, era), 0, connections.MAX_ERA),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise _unreadable_object_error(error) from error


def _unreadable_object_error(error: Exception) -> errors.PlatformError:
    return errors.PlatformError(
        f"the store sent an object that cannot be read ({error!r}); "
        "check the program that wrote it"
    )


def parse_server(entry: StoredObject) -> backends.Backend:
    """Convert the entry that a backend server wrote about itself.

    The platform says: "An entry has `service`, `address`, `zone`, `version`,
    `max-concurrency`, `state`, `warmup-left-ms` and `sequence`." An entry of
    another writer may lack some of them; "it names no server to use". Only
    `born`, the time of the server's start, is not on that list.

    :raises PlatformError: when the entry is incomplete or invalid.
    """
    try:
        content = entry.content
        expect_text(content["version"])
        warm_up_ms = expect_int(content["warmup-left-ms"], 0, MAX_DURATION_MS)
        return backends.Backend(
            name=entry.name,
            wire_id=packet.wire_id(entry.name),
            started=expect_int(content.get("born", 0), 0, MAX_INTEGER),
            service=expect_text(content["service"]),
            address=_parse_endpoint(expect_text(content["address"])),
            data_centre=expect_encodable(content["zone"]),
            # The platform calls the number of slots concurrency.
            slots=max(1, expect_int(content["max-concurrency"], 0, MAX_SLOTS)),
            state=_SERVER_STATES[expect_text(content["state"])],
            # Remaining warm-up time when the entry was written.
            warm_up=warm_up_ms * SECONDS_PER_MS,
            sequence=expect_int(content["sequence"], 0, MAX_INTEGER),
        )
    except CONVERSION_ERRORS as error:
        raise errors.PlatformError(
            f"entry {entry.name!r} names no server ({error!r}); it is ignored "
            "until it is corrected"
        ) from error


def parse_configuration(entry: StoredObject) -> routes.FlowConfiguration:
    """Convert a complete configuration.

    :raises PlatformError: when any part of it is invalid.
    """
    try:
        content = entry.content
        routes_by_address = {}
        for each in expect_list(content["routes"]):
            routes_by_address[route_key(each)] = read_route(each)
        limits = content["limits"]
        return routes.FlowConfiguration(
            generation=expect_int(content["version"], 1, MAX_INTEGER),
            routes=routes_by_address,
            idle_timeout=expect_duration(limits["idle-timeout-ms"]),
            health_paths={
                expect_text(each["name"]): read_path(each["health-check-path"])
                for each in expect_list(content["services"])
            },
            era=entry.era,
            warm_ups={
                expect_text(each["name"]): read_warm_up(each)
                for each in expect_list(content["services"])
                if "warmup-s" in each
            },
        )
    except CONVERSION_ERRORS as error:
        raise errors.PlatformError(
            f"configuration {entry.name!r} cannot be read ({error!r}); the "
            "one in force stays; correct it and apply it again"
        ) from error


def _parse_endpoint(text: str) -> addresses.Address:
    """Return an IPv4 endpoint; the platform has no others.

    :raises ValueError: when it is one of IPv6, or its port is 0.
    :raises AddressError: when the text is no endpoint.
    """
    endpoint = addresses.parse(text)
    if ":" in endpoint.host or not endpoint.port:
        raise ValueError("no IPv4 endpoint with a port")
    return endpoint


def route_key(route: dict) -> bytes:
    """Return the packed address and port of a route, 6 bytes."""
    # The address of a route is split into two fields: the host is an IP
    # address, and the path prefix is a port between slashes.
    host = expect_text(route["host"])
    port = int(expect_text(route["path-prefix"]).strip("/"))
    return _parse_endpoint(f"{host}:{port}").pack()


def read_route(route: dict) -> routes.Route:
    """Convert a route of a configuration.

    :raises KeyError, TypeError, ValueError: when it is invalid.
    """
    if "service" in route:
        shares: tuple[routes.Share, ...] = (
            routes.Share(expect_text(route["service"])),
        )
    else:
        # The platform calls the services of a route backends.
        shares = tuple(
            routes.Share(
                expect_text(each["service"]),
                expect_number(each["weight"], MAX_WEIGHT),
            )
            for each in expect_list(route["backends"])
        )
    if not shares:
        raise ValueError("a route has no service")
    return routes.Route(
        name=expect_text(route["name"]),
        shares=shares,
        timeout=expect_duration(route["timeout-ms"]),
        repeatable=route.get("type") in _REPEATABLE_TYPES,
        target_latency=expect_duration(route.get("target-latency-ms", 0)),
        priority=read_priority(route.get("priority", 0)),
    )


def read_priority(value: object) -> int:
    """Return a priority, limited to the lowest one.

    :raises TypeError, ValueError: when it is no integer from 0.
    """
    if type(value) is int:
        value = min(value, MAX_PRIORITY)
    return expect_int(value, 0, MAX_PRIORITY)


def read_warm_up(service: dict) -> routes.WarmUp:
    """Convert the warm-up of a service that names one.

    :raises TypeError, ValueError: when it is invalid.
    """
    return routes.WarmUp(
        expect_number(service["warmup-s"], MAX_DURATION_MS * SECONDS_PER_MS),
        expect_number(service.get("warmup-per-s", 0), MAX_RATE),
    )


def expect_text(value: object) -> str:
    """Return a value that must be a text; it may have any characters.

    :raises TypeError: when it is no text.
    """
    if not isinstance(value, str):
        raise TypeError(f"{type(value).__name__} in place of a text")
    return value


def expect_encodable(value: object) -> str:
    """Return a value that must be a text that is sent to other hosts.

    :raises TypeError: when it is no text.
    :raises ValueError: when it cannot be encoded, because it has a lone
        surrogate.
    """
    text = expect_text(value)
    text.encode()
    return text


def expect_name(value: object) -> str:
    """Return the name of an object, which may name a data centre or a server.

    :raises TypeError: when it is no text.
    :raises ValueError: when it is empty, longer than ``MAX_NAME_LENGTH``,
        has ASCII control characters, or cannot be encoded.
    """
    name = expect_encodable(value)
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise ValueError(f"a name of {len(name)} characters")
    if any(each < " " or each == "\x7f" for each in name):
        raise ValueError("a name with control characters")
    return name


def read_path(value: object) -> str:
    """Return the path of a URL as it is sent in a request line.

    Characters that a request line cannot contain are percent-encoded.

    :raises TypeError: when it is no text.
    """
    return parse.quote(
        expect_text(value) or "/", _PATH_CHARACTERS, errors="surrogatepass"
    )


def expect_int(value: object, lowest: int, highest: int) -> int:
    """Return a value that must be an integer within bounds.

    :raises TypeError: when it is no integer.
    :raises ValueError: when it is out of bounds.
    """
    # isinstance would accept bool, a subclass of int.
    if type(value) is not int:
        raise TypeError(f"{type(value).__name__} in place of an integer")
    if not lowest <= value <= highest:
        raise ValueError(f"an integer that is not {lowest} to {highest}")
    return value


def expect_bool(value: object) -> bool:
    """Return a value that must be true or false.

    :raises TypeError: when it is neither.
    """
    if not isinstance(value, bool):
        raise TypeError(f"{type(value).__name__} in place of true or false")
    return value


def expect_list(value: object) -> list:
    """Return a value that must be a list.

    :raises TypeError: when it is not.
    """
    if not isinstance(value, list):
        raise TypeError(f"{type(value).__name__} in place of a list")
    return value


def expect_number(value: object, highest: float) -> float:
    """Return a value that must be a number from 0, limited to a highest one.

    :raises TypeError: when it is no number.
    :raises ValueError: when it is negative or not a number (NaN).
    """
    if type(value) not in (int, float):
        raise TypeError(f"{type(value).__name__} in place of a number")
    number: Any = value
    # False for a value that is not a number (NaN), too.
    if not number >= 0:
        raise ValueError("a number that is not 0 or more")
    return float(min(number, highest))


def expect_duration(value: object) -> float:
    """Return a duration in seconds that was written in milliseconds."""
    return expect_number(value, MAX_DURATION_MS) * SECONDS_PER_MS
