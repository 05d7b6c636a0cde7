"""Converts the platform's objects to the types of the core."""

from collections.abc import Callable
import struct
from typing import Any

from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import errors
from vanilladrum.core import routes
from vanilladrum.core import serverstate
from vanilladrum.platform import connection as connections
from vanilladrum.platform import packet
from vanilladrum.platform import partial_json
from vanilladrum.platform import values

# Kinds and names of the objects that entry hosts read.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
SERVER_KIND = "servers"
# Each object of this kind is named after a data centre to evacuate.
EVACUATION_KIND = "evacuations"
# Field of the metadata that entry hosts add to an object of an earlier era.
ERA_FIELD = "era"
# Members of the objects that are read. Nothing else of an entry is kept, so
# that the memory of a host does not depend on what other programs write.
_SERVER_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "max-concurrency",
    "state",
    "warmup-left-ms",
    "sequence",
    "born",
)
_METADATA_FIELDS = ("name", "revision", ERA_FIELD)
_DECODERS = {
    SERVER_KIND: partial_json.Decoder(_SERVER_FIELDS, _METADATA_FIELDS),
    # The name says it all.
    EVACUATION_KIND: partial_json.Decoder((), _METADATA_FIELDS),
}
# Bounds of values that other programs wrote.
MAX_SLOTS = 100_000
MAX_WEIGHT = 1e9
MAX_RATE = 1e9
MAX_PRIORITY = 1000
_LAST_CHARACTER = "\U0010ffff"
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
    :param content: what is read here of the data that its writer stored, not
        validated yet.
    :param deleted: whether the object was deleted.
    :param era: number of restores of the store when the object was read.
    """

    def __init__(
        self,
        name: str,
        revision: int,
        content: Any,
        deleted: bool = False,
        era: int = 0,
    ) -> None:
        self.name = name
        self.revision = revision
        self.content = content
        self.deleted = deleted
        self.era = era


def decoder(kind: str) -> partial_json.Decoder:
    """Return the decoder of the answers about a kind of objects."""
    return _DECODERS.get(kind, partial_json.WHOLE)


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


def last_name(documents: list) -> str:
    """Return the name after which the next page of a list begins.

    It need not be one that an object may have here: a page of objects that
    are left out must not end the list.

    :param documents: the objects of a page as decoded from JSON.
    :returns: an empty text if no object has a name that is a text.
    """
    for each in reversed(documents):
        try:
            name = values.expect_text(each["meta"]["name"])
        except (KeyError, TypeError):
            continue
        if len(name) <= values.MAX_NAME_LENGTH:
            return name
        # Follows all names with this beginning, in a request line that a
        # server accepts.
        return name[: values.MAX_NAME_LENGTH] + _LAST_CHARACTER
    return ""


def parse_event(event: Any, era: int = 0) -> StoredObject:
    """Read an event of a watch.

    :param event: the event as decoded from JSON.
    :param era: number of restores of the store that sent it.
    :raises PlatformError: when a part of it is missing.
    """
    try:
        deleted = values.expect_bool(event["deleted"])
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
            values.expect_name(meta["name"]),
            values.expect_int(meta["revision"], 0, values.MAX_INTEGER),
            plain.get("spec"),
            deleted,
            values.expect_int(
                meta.get(ERA_FIELD, era), 0, connections.MAX_ERA
            ),
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
        values.expect_text(content["version"])
        warm_up_ms = values.expect_int(
            content["warmup-left-ms"], 0, values.MAX_DURATION_MS
        )
        return backends.Backend(
            name=entry.name,
            wire_id=packet.wire_id(entry.name),
            started=values.expect_int(
                content.get("born", 0), 0, values.MAX_INTEGER
            ),
            service=values.expect_text(content["service"]),
            address=_parse_endpoint(values.expect_text(content["address"])),
            data_centre=values.expect_encodable(content["zone"]),
            # The platform calls the number of slots concurrency.
            slots=max(
                1, values.expect_int(content["max-concurrency"], 0, MAX_SLOTS)
            ),
            state=_SERVER_STATES[values.expect_text(content["state"])],
            # Remaining warm-up time when the entry was written.
            warm_up=warm_up_ms * values.SECONDS_PER_MS,
            sequence=values.expect_int(
                content["sequence"], 0, values.MAX_INTEGER
            ),
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
        for each in values.expect_list(content["routes"]):
            routes_by_address[route_key(each)] = read_route(each)
        limits = content["limits"]
        return routes.FlowConfiguration(
            generation=values.expect_int(
                content["version"], 1, values.MAX_INTEGER
            ),
            routes=routes_by_address,
            idle_timeout=values.expect_duration(limits["idle-timeout-ms"]),
            health_paths={
                values.expect_text(each["name"]): values.read_path(
                    each["health-check-path"]
                )
                for each in values.expect_list(content["services"])
            },
            era=entry.era,
            warm_ups={
                values.expect_text(each["name"]): read_warm_up(each)
                for each in values.expect_list(content["services"])
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
    host = values.expect_text(route["host"])
    port = int(values.expect_text(route["path-prefix"]).strip("/"))
    return _parse_endpoint(f"{host}:{port}").pack()


def read_route(route: dict) -> routes.Route:
    """Convert a route of a configuration.

    :raises KeyError, TypeError, ValueError: when it is invalid.
    """
    if "service" in route:
        shares: tuple[routes.Share, ...] = (
            routes.Share(values.expect_text(route["service"])),
        )
    else:
        # The platform calls the services of a route backends.
        shares = tuple(
            routes.Share(
                values.expect_text(each["service"]),
                values.expect_number(each["weight"], MAX_WEIGHT),
            )
            for each in values.expect_list(route["backends"])
        )
    if not shares:
        raise ValueError("a route has no service")
    return routes.Route(
        name=values.expect_text(route["name"]),
        shares=shares,
        timeout=values.expect_duration(route["timeout-ms"]),
        repeatable=route.get("type") in _REPEATABLE_TYPES,
        target_latency=values.expect_duration(
            route.get("target-latency-ms", 0)
        ),
        priority=read_priority(route.get("priority", 0)),
    )


def read_priority(value: object) -> int:
    """Return a priority, limited to the lowest one.

    :raises TypeError, ValueError: when it is no integer from 0.
    """
    if type(value) is int:
        value = min(value, MAX_PRIORITY)
    return values.expect_int(value, 0, MAX_PRIORITY)


def read_warm_up(service: dict) -> routes.WarmUp:
    """Convert the warm-up of a service that names one.

    :raises TypeError, ValueError: when it is invalid.
    """
    return routes.WarmUp(
        values.expect_number(
            service["warmup-s"], values.MAX_DURATION_MS * values.SECONDS_PER_MS
        ),
        values.expect_number(service.get("warmup-per-s", 0), MAX_RATE),
    )
