"""Reads the settings file that the platform writes for each process."""

import os

from vanilladrum.core import address as addresses
from vanilladrum.core import errors

PATH_VARIABLE = "VANILLADRUM_NODE_FILE"
METRICS_VARIABLE = "VANILLADRUM_METRICS_PORT"
DEFAULT_PATH = "/etc/vanilladrum/settings.conf"


class NodeSettings:
    """What a process learns about itself from the platform.

    :param data_centre: name of its data centre.
    :param flows: endpoint at which callers' packets arrive.
    :param readiness: endpoint that the routers ask.
    :param peer: endpoint for other entry hosts.
    :param seeds: endpoints of a few entry hosts; some may be stale.
    :param store: endpoint of the platform's store.
    :param metrics: endpoint of the metrics page, None for no page.
    :param grace: seconds between SIGTERM and SIGKILL.
    :param flow_lifetime: seconds that a flow may live.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        flows: addresses.Address,
        readiness: addresses.Address,
        peer: addresses.Address,
        seeds: tuple[addresses.Address, ...],
        store: addresses.Address,
        metrics: addresses.Address | None,
        grace: float,
        flow_lifetime: float,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.flows = flows
        self.readiness = readiness
        self.peer = peer
        self.seeds = seeds
        self.store = store
        self.metrics = metrics
        self.grace = grace
        self.flow_lifetime = flow_lifetime


def path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read(where: str) -> NodeSettings:
    """Read the settings file.

    :raises SettingsError: naming file, key and remedy.
    """
    try:
        with open(where, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"{where}: cannot be read ({error}); set {PATH_VARIABLE} to a "
            "readable file"
        ) from error
    return parse(text, where)


def parse(text: str, where: str) -> NodeSettings:
    """Read lines of the form ``key=value``; unknown keys are ignored.

    :raises SettingsError: naming file, key and remedy.
    """
    reader = _Reader(dict(_pairs(text)), where)
    # Everything on a machine answers at one IP number; the range of ports
    # between entry hosts is the same everywhere.
    port = reader.integer("internal-ports", part=0)
    return NodeSettings(
        name=reader.text("node-name"),
        data_centre=reader.text("zone"),
        flows=reader.address("listen-addrs.datagram-addr"),
        readiness=reader.address("listen-addrs.readiness-addr"),
        peer=addresses.Address(reader.text("ip"), port),
        seeds=tuple(
            addresses.Address(seed.host, port)
            for seed in reader.address_list("seeds")
        ),
        store=reader.address("platform.address"),
        metrics=_metrics(reader.text("ip"), where),
        grace=reader.number("bounds.grace-s", 6.0),
        flow_lifetime=reader.number("bounds.flow-ttl-s", 60.0),
    )


def modified(where: str) -> float:
    """Return when the settings file was changed, 0 when it is not there."""
    try:
        return os.stat(where).st_mtime
    except OSError:
        return 0.0


def _metrics(ip: str, where: str) -> addresses.Address | None:
    """Return the endpoint whose port the deploy file sets."""
    port = os.environ.get(METRICS_VARIABLE, "")
    if not port:
        return None
    try:
        return addresses.parse(f"{ip}:{port}")
    except errors.AddressError as error:
        raise errors.SettingsError(
            f"{where}: variable {METRICS_VARIABLE} is refused: {error}"
        ) from error


def _pairs(text: str) -> list[tuple[str, str]]:
    pairs = []
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator:
            pairs.append((key.strip(), value.strip()))
    return pairs


class _Reader:
    """Typed access to the pairs of one file."""

    def __init__(self, values: dict[str, str], where: str) -> None:
        self.values = values
        self.where = where

    def optional(self, key: str) -> str:
        return self.values.get(key, "")

    def text(self, key: str) -> str:
        found = self.optional(key)
        if not found:
            raise self._error(key, "is missing; the platform has to set it")
        return found

    def address(self, key: str) -> addresses.Address:
        return self._parse(key, self.text(key))

    def address_list(self, key: str) -> list[addresses.Address]:
        parts = self.optional(key).split(",")
        return [self._parse(key, part) for part in parts if part]

    def integer(self, key: str, part: int) -> int:
        parts = self.text(key).split(",")
        try:
            return int(parts[part])
        except (ValueError, IndexError) as error:
            raise self._error(
                key, f"is {self.text(key)!r}; write whole numbers"
            ) from error

    def number(self, key: str, default: float) -> float:
        found = self.optional(key)
        if not found:
            return default
        try:
            return float(found)
        except ValueError as error:
            raise self._error(key, f"is {found!r}; write a number") from error

    def _parse(self, key: str, text: str) -> addresses.Address:
        try:
            return addresses.parse(text)
        except errors.AddressError as error:
            raise self._error(key, f"is refused: {error}") from error

    def _error(self, key: str, message: str) -> errors.SettingsError:
        return errors.SettingsError(f"{self.where}: key {key!r} {message}")
