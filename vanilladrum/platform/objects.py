"""Converts the platform's objects to the types of the core."""

import struct
from typing import Any

from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import errors
from vanilladrum.core import routes
from vanilladrum.core import serverstate
from vanilladrum.platform import packet

# Kinds and names of the objects that entry hosts read.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
SERVER_KIND = "servers"
# Field of the metadata that entry hosts add to an object of an earlier era.
ERA_FIELD = "era"
SECONDS_PER_MS = 0.001
# Types of routes whose requests are idempotent.
_REPEATABLE_TYPES = ("safe", "download")
_SERVER_STATES = {
    "ready": serverstate.ServerState.ACTIVE,
    "draining": serverstate.ServerState.LEAVING,
}
# Errors that a missing or invalid value raises during conversion.
_CONVERSION_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
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


def parse_object(
    plain: dict, deleted: bool = False, era: int = 0
) -> StoredObject:
    """Read an object as it appears in lists and in events of a watch.

    :param plain: the object as decoded from JSON.
    :param deleted: whether the event reports its deletion.
    :param era: number of restores of the store that sent it. An object that
        another host has kept through a restore has its own.
    :raises PlatformError: when the name or the revision is missing.
    """
    try:
        meta = plain["meta"]
        return StoredObject(
            _expect_str(meta["name"]),
            expect_int(meta["revision"]),
            plain.get("spec"),
            deleted,
            plain,
            expect_int(meta.get(ERA_FIELD, era)),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise errors.PlatformError(
            f"the store sent an object that cannot be read ({error!r}); "
            "check the program that wrote it"
        ) from error


def parse_server(entry: StoredObject) -> backends.Backend:
    """Convert the entry that a backend server wrote about itself.

    :raises PlatformError: when the entry is incomplete or invalid.
    """
    try:
        content = entry.content
        return backends.Backend(
            name=entry.name,
            wire_id=packet.wire_id(entry.name),
            started=expect_int(content.get("born", 0)),
            service=_expect_str(content["service"]),
            address=addresses.parse(_expect_str(content["address"])),
            data_centre=_expect_str(content["zone"]),
            # The platform calls the number of slots concurrency.
            slots=max(1, expect_int(content["max-concurrency"])),
            state=_SERVER_STATES[content["state"]],
            # Remaining warm-up time when the entry was written.
            warm_up=expect_int(content.get("warmup-left-ms", 0))
            * SECONDS_PER_MS,
            sequence=expect_int(content.get("sequence", 0)),
        )
    except _CONVERSION_ERRORS as error:
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
        for each in content["routes"]:
            routes_by_address[_route_key(each)] = _route(each)
        return routes.FlowConfiguration(
            generation=expect_int(content["version"]),
            routes=routes_by_address,
            idle_timeout=content["limits"]["idle-timeout-ms"] * SECONDS_PER_MS,
            health_paths={
                _expect_str(each["name"]): _expect_str(
                    each["health-check-path"]
                )
                for each in content["services"]
            },
            era=entry.era,
        )
    except _CONVERSION_ERRORS as error:
        raise errors.PlatformError(
            f"configuration {entry.name!r} cannot be read ({error!r}); the "
            "one in force stays; correct it and apply it again"
        ) from error


def _route_key(route: dict) -> bytes:
    """Return the packed address and port of a route, 6 bytes."""
    # The address of a route is split into two fields: the host is an IP
    # address, and the path prefix is a port between slashes.
    port = int(route["path-prefix"].strip("/"))
    return addresses.parse(f"{route['host']}:{port}").pack()


def _route(route: dict) -> routes.Route:
    if "service" in route:
        shares: tuple[routes.Share, ...] = (
            routes.Share(_expect_str(route["service"])),
        )
    else:
        # The platform calls the services of a route backends.
        shares = tuple(
            routes.Share(_expect_str(each["service"]), float(each["weight"]))
            for each in route["backends"]
        )
    return routes.Route(
        name=_expect_str(route["name"]),
        shares=shares,
        timeout=route["timeout-ms"] * SECONDS_PER_MS,
        repeatable=route.get("type") in _REPEATABLE_TYPES,
    )


def _expect_str(value: object) -> str:
    if isinstance(value, str):
        return value
    raise TypeError(f"{value!r} is not a string")


def expect_int(value: object) -> int:
    """Return a value that must be an integer.

    :raises TypeError: when it is not.
    """
    # isinstance would accept bool, a subclass of int.
    if type(value) is int:
        return value
    raise TypeError(f"{value!r} is not an integer")
