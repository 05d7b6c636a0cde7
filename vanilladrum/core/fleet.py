"""Configuration of the whole deployment, which operators print and apply."""

import enum
import re

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import policy as policies
from vanilladrum.core import serverstate
from vanilladrum.core import token as tokens

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_NUMBER = 65535
MAX_SLOTS = 1024


class Priority(enum.IntEnum):
    """Priority class of a request; the lower value is served first."""

    URGENT = 0
    BULK = 1


class Affinity(enum.Enum):
    """Which requests are sent to the home server of their connection.

    ``CONNECTION``: all requests of the connection. ``REQUEST``: only the
    requests of a block transfer.
    """

    CONNECTION = "connection"
    REQUEST = "request"


@attrs.frozen
class Server:
    """A backend server.

    :param name: unique among all backend servers.
    :param number: unique in its service, 1 to 65535.
    :param data_centre: name of its data centre.
    :param address: UDP endpoint.
    :param slots: number of requests that it can run concurrently.
    :param state: state that the operator set.
    """

    name: str
    number: int
    data_centre: str
    address: addresses.Address
    slots: int = 1
    state: serverstate.ServerState = serverstate.ServerState.ACTIVE


@attrs.frozen
class Route:
    """Assigns a priority to requests whose path begins with ``path``."""

    path: str
    priority: Priority


@attrs.frozen
class Objective:
    """Service-level objective of one priority class.

    :param latency: time in seconds within which an answer counts as good.
    :param target: share of requests whose answer must be good, 0 to 1.
    """

    priority: Priority
    latency: float
    target: float


@attrs.frozen
class Service:
    """A service at one address.

    :param name: unique among all services.
    :param number: unique among all services, 1 to 65535.
    :param address: endpoint that callers use.
    :param affinity: which requests are sent to their home server.
    :param policy: name of the load-balancing policy; see
        :mod:`vanilladrum.core.policy`.
    :param deadline: time limit of a request in seconds if the caller sets
        none.
    :param attempt_timeout: seconds after which an attempt at a server that
        does not respond is abandoned.
    :param aging: seconds for which bulk requests wait behind urgent ones.
    :param bulk_share: minimum share of slot time for bulk requests that have
        waited for the aging time.
    :param max_queue: maximum number of queued requests.
    :param retry_ratio: retries allowed, as a share of the requests.
    :param hedge_ratio: hedged copies of idempotent requests allowed, as a
        share of the requests.
    :param slow_start: seconds for which a newly added server gets one request
        at a time.
    """

    name: str
    number: int
    address: addresses.Address
    servers: tuple[Server, ...]
    routes: tuple[Route, ...] = ()
    objectives: tuple[Objective, ...] = ()
    affinity: Affinity = Affinity.REQUEST
    policy: str = "least_busy"
    deadline: float = 10.0
    attempt_timeout: float = 4.0
    aging: float = 0.5
    bulk_share: float = 0.1
    max_queue: int = 4096
    retry_ratio: float = 0.1
    hedge_ratio: float = 0.03
    slow_start: float = 0.0

    def objective(self, priority: Priority) -> Objective | None:
        """Return the objective of a priority class, or None."""
        for objective in self.objectives:
            if objective.priority == priority:
                return objective
        return None

    def priority(self, path: str) -> Priority:
        """Return the priority of the longest route that is a prefix of a path.

        Paths without a matching route are urgent.

        >>> service = Service("s", 1, addresses.parse("127.0.0.1:1"), (),
        ...     (Route("/drawings", Priority.BULK),))
        >>> service.priority("/drawings/7").name
        'BULK'
        >>> service.priority("/slots").name
        'URGENT'
        """
        longest = ""
        found = Priority.URGENT
        for route in self.routes:
            if not path.startswith(route.path):
                continue
            if len(route.path) < len(longest):
                continue
            longest = route.path
            found = route.priority
        return found


@attrs.frozen
class SealingKey:
    """Key that seals connection tokens, as written in the configuration.

    :param key_id: number in the token, 0 to 15.
    :param secret: at least 32 hexadecimal digits.
    """

    key_id: int
    secret: str = attrs.field(repr=False)


@attrs.frozen
class Fleet:
    """A complete configuration.

    :param generation: increases with each accepted change.
    :param operations: ids of the last accepted changes, newest last. They
        show whether a change was accepted whose confirmation was lost.
    :param data_centres: names of all data centres.
    :param keys: keys that open connection tokens.
    :param active_key: id of the key that seals new tokens.
    """

    generation: int
    operations: tuple[str, ...]
    data_centres: tuple[str, ...]
    services: tuple[Service, ...]
    keys: tuple[SealingKey, ...]
    active_key: int

    def services_by_address(self) -> dict[addresses.Address, Service]:
        """Return the services indexed by address."""
        return {service.address: service for service in self.services}

    def keyring(self) -> tokens.Keyring:
        """Return the keyring that seals and opens connection tokens.

        :raises ConfigurationError: for a short key, an id out of range or an
            active id without a key.
        """
        keys = [
            tokens.Key(key.key_id, bytes.fromhex(key.secret))
            for key in self.keys
        ]
        return tokens.Keyring.from_keys(keys, self.active_key)


def validate(fleet: Fleet) -> None:
    """Check value ranges, uniqueness and references of a configuration.

    :raises ConfigurationError: names the key and how to correct it.
    """
    if fleet.generation < 1:
        raise errors.ConfigurationError(
            f"generation {fleet.generation} is not positive; count from 1"
        )
    if not fleet.data_centres:
        raise errors.ConfigurationError(
            "data_centres is empty; name at least one"
        )
    for name in fleet.data_centres:
        _check_name("data_centres", name)
    _check_unique("data_centres", list(fleet.data_centres))
    services = fleet.services
    _check_unique("service.name", [service.name for service in services])
    _check_unique("service.number", [service.number for service in services])
    _check_unique("service.address", [service.address for service in services])
    servers = [server for service in services for server in service.servers]
    _check_unique("server.name", [server.name for server in servers])
    endpoints = [server.address for server in servers]
    endpoints.extend(service.address for service in services)
    _check_unique("server.address", endpoints)
    for service in services:
        _check_service(service, fleet.data_centres)
    for key in fleet.keys:
        _check_secret(key)
    _check_unique("key.key_id", [key.key_id for key in fleet.keys])
    fleet.keyring()


def _check_service(service: Service, data_centres: tuple[str, ...]) -> None:
    where = f"service {service.name!r}"
    _check_name("service.name", service.name)
    policies.find(service.policy)
    _check_range(f"{where}: number", service.number, 1, MAX_NUMBER)
    _check_range(f"{where}: address port", service.address.port, 1, 65535)
    _check_unique(
        f"{where}: server.number", [each.number for each in service.servers]
    )
    for seconds in ("deadline", "attempt_timeout"):
        _check_range(
            f"{where}: {seconds}", getattr(service, seconds), 0.01, 3600
        )
    _check_range(f"{where}: aging", service.aging, 0, 3600)
    _check_range(f"{where}: bulk_share", service.bulk_share, 0, 0.9)
    _check_range(f"{where}: slow_start", service.slow_start, 0, 3600)
    _check_range(f"{where}: max_queue", service.max_queue, 1, 10**6)
    _check_range(f"{where}: retry_ratio", service.retry_ratio, 0, 1)
    _check_range(f"{where}: hedge_ratio", service.hedge_ratio, 0, 1)
    for objective in service.objectives:
        _check_range(f"{where}: latency", objective.latency, 0.0001, 3600)
        _check_range(f"{where}: target", objective.target, 0, 0.999999)
    for route in service.routes:
        if not route.path.startswith("/"):
            raise errors.ConfigurationError(
                f"{where}: route {route.path!r} is not a path; begin it with /"
            )
    for server in service.servers:
        _check_server(server, data_centres)


def _check_server(server: Server, data_centres: tuple[str, ...]) -> None:
    where = f"server {server.name!r}"
    _check_name("server.name", server.name)
    _check_range(f"{where}: number", server.number, 1, MAX_NUMBER)
    _check_range(f"{where}: slots", server.slots, 1, MAX_SLOTS)
    _check_range(f"{where}: address port", server.address.port, 1, 65535)
    if server.data_centre not in data_centres:
        raise errors.ConfigurationError(
            f"{where}: data centre {server.data_centre!r} is not declared; "
            "add it to data_centres or correct the name"
        )


def _check_secret(key: SealingKey) -> None:
    try:
        bytes.fromhex(key.secret)
    except ValueError as error:
        raise errors.ConfigurationError(
            f"key {key.key_id}: secret is not hexadecimal; run "
            "`vanilladrum keys rotate` to generate one"
        ) from error


def _check_name(key: str, name: str) -> None:
    if NAME_PATTERN.fullmatch(name):
        return
    raise errors.ConfigurationError(
        f"{key} {name!r} is not a valid name; use 1 to 63 characters of "
        "a-z, 0-9 and inner -"
    )


def _check_range(key: str, value: float, low: float, high: float) -> None:
    if low <= value <= high:
        return
    raise errors.ConfigurationError(f"{key} is {value}; use {low} to {high}")


def _check_unique(key: str, values: list) -> None:
    seen = set()
    for value in values:
        if value in seen:
            raise errors.ConfigurationError(
                f"{key} {str(value)!r} is used twice; use unique values"
            )
        seen.add(value)
