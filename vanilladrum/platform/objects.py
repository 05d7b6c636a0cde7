"""The platform's objects, read into our types."""

from typing import Any

from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import errors
from vanilladrum.core import routes
from vanilladrum.core import serverstate
from vanilladrum.platform import packet

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
SERVER_KIND = "servers"
MS = 0.001
_STATES = {
    "ready": serverstate.ServerState.ACTIVE,
    "draining": serverstate.ServerState.LEAVING,
}
_BROKEN = (KeyError, TypeError, ValueError, errors.AddressError)


class Stored:
    """An object of the store.

    :param revision: store's counter at the object's last change.
    :param content: what its writer put there, not yet checked.
    :param plain: the whole object as it came.
    :param deleted: whether it has gone.
    """

    def __init__(
        self,
        name: str,
        revision: int,
        content: Any,
        deleted: bool = False,
        plain: dict | None = None,
    ) -> None:
        self.name = name
        self.revision = revision
        self.content = content
        self.deleted = deleted
        self.plain = plain or {}


def stored(plain: dict, deleted: bool = False) -> Stored:
    """Read an object as it comes in lists and events.

    :raises PlatformError: when it is no object.
    """
    try:
        meta = plain["meta"]
        return Stored(
            meta["name"], meta["revision"], plain.get("spec"), deleted, plain
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise errors.PlatformError(
            f"the store sent an object that cannot be read ({error!r}); "
            "look at what wrote it"
        ) from error


def server(entry: Stored) -> backends.Backend:
    """Read a backend server's own entry.

    :raises PlatformError: when it names no server to use.
    """
    try:
        plain = entry.content
        return backends.Backend(
            name=entry.name,
            identity=packet.identity(entry.name),
            started=_integer(plain.get("born", 0)),
            service=_text(plain["service"]),
            address=addresses.parse(_text(plain["address"])),
            data_centre=_text(plain["zone"]),
            # What it runs at once; the platform calls it concurrency.
            slots=max(1, _integer(plain["max-concurrency"])),
            state=_STATES[plain["state"]],
            # How much longer it stays slow, at the time of writing.
            warm_up=_integer(plain.get("warmup-left-ms", 0)) * MS,
        )
    except (*_BROKEN, AttributeError) as error:
        raise errors.PlatformError(
            f"entry {entry.name!r} names no server ({error!r}); it is left "
            "out until its writer corrects it"
        ) from error


def configuration(entry: Stored) -> routes.FlowConfiguration:
    """Read a whole configuration.

    :raises PlatformError: when any part of it cannot be read.
    """
    try:
        plain = entry.content
        found = {}
        for each in plain["routes"]:
            found[_route_key(each)] = _route(each)
        return routes.FlowConfiguration(
            generation=_integer(plain["version"]),
            routes=found,
            idle_timeout=plain["limits"]["idle-timeout-ms"] * MS,
            health_paths={
                _text(each["name"]): _text(each["health-check-path"])
                for each in plain["services"]
            },
        )
    except (*_BROKEN, AttributeError) as error:
        raise errors.PlatformError(
            f"configuration {entry.name!r} cannot be read ({error!r}); the "
            "one in force stays; apply a corrected one"
        ) from error


def _route_key(plain: dict) -> bytes:
    # A route's address stands in two fields: the host is an IP number, the
    # prefix is a port between slashes.
    port = int(plain["path-prefix"].strip("/"))
    return addresses.parse(f"{plain['host']}:{port}").pack()


def _route(plain: dict) -> routes.Route:
    if "service" in plain:
        shares: tuple[routes.Share, ...] = (
            routes.Share(_text(plain["service"])),
        )
    else:
        # These are services, not servers.
        shares = tuple(
            routes.Share(_text(each["service"]), float(each["weight"]))
            for each in plain["backends"]
        )
    return routes.Route(
        name=_text(plain["name"]),
        shares=shares,
        timeout=plain["timeout-ms"] * MS,
    )


def _text(value: object) -> str:
    if isinstance(value, str):
        return value
    raise TypeError(f"{value!r} is no text")


def _integer(value: object) -> int:
    if type(value) is int:
        return value
    raise TypeError(f"{value!r} is no whole number")
