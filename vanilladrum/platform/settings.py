"""Settings file that the platform writes for each process."""

import os

from vanilladrum.core import address as addresses
from vanilladrum.core import errors

# Names of environment variables.
PATH_VARIABLE = "VANILLADRUM_NODE_FILE"
METRICS_VARIABLE = "VANILLADRUM_METRICS_PORT"
DEFAULT_PATH = "/etc/vanilladrum/settings.conf"
SECONDS_PER_MS = 0.001
# Largest number in the settings; a duration of 11 days in milliseconds.
MAX_NUMBER = 1e9
# Characters around keys and values that do not belong to them.
_SPACES = " \t\r"


class NodeSettings:
    """Settings of one process.

    :param name: name of the node that the process runs on.
    :param data_centre: name of its data centre.
    :param flows: endpoint that receives the packets of callers.
    :param readiness: endpoint that routers query for readiness.
    :param peer: endpoint for other entry hosts.
    :param seeds: endpoints of some entry hosts, possibly outdated, from
        which the others are discovered.
    :param store: endpoint of the platform's store.
    :param metrics: endpoint of the metrics page, None for no page.
    :param grace: seconds between SIGTERM and SIGKILL.
    :param flow_lifetime: longest lifetime of a flow, in seconds.
    :param heartbeat: interval between two writes of a server, in seconds.
    :param evacuation_limit: seconds within which an evacuation has to be in
        force, None if the deployment has no evacuations.
    :param warm_up_overage: factor of the rate that a cold server bears.
    :param warm_up_slack: requests per second that a cold server may get
        beyond that, None if the deployment does not limit them.
    :param data_centres: names of the data centres that the settings list.
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
        heartbeat: float,
        evacuation_limit: float | None = None,
        warm_up_overage: float = 1.0,
        warm_up_slack: float | None = None,
        data_centres: frozenset[str] = frozenset(),
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
        self.heartbeat = heartbeat
        self.evacuation_limit = evacuation_limit
        self.warm_up_overage = warm_up_overage
        self.warm_up_slack = warm_up_slack
        self.data_centres = data_centres


def path() -> str:
    """Return the path of the settings file, set by PATH_VARIABLE."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read(file_path: str) -> NodeSettings:
    """Read the settings file.

    :param file_path: path of the file.
    :raises SettingsError: with the file, the key and the remedy.
    """
    try:
        with open(file_path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"{file_path}: cannot be read ({error}); set {PATH_VARIABLE} to a "
            "readable file"
        ) from error
    return parse(text, file_path)


def parse(text: str, file_path: str) -> NodeSettings:
    """Parse lines of the form ``key=value``; unknown keys are ignored.

    :param file_path: path of the file, for error messages.
    :raises SettingsError: with the file, the key and the remedy.
    """
    reader = _Reader(dict(_parse_lines(text)), file_path)
    # All endpoints of a machine share one IP address, and the port range for
    # traffic between entry hosts is the same on every machine. The first port
    # of the range is used.
    port = reader.port("internal-ports", part=0)
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
        metrics=_metrics(reader.text("ip"), file_path),
        grace=reader.number("bounds.grace-s", 6.0),
        flow_lifetime=reader.number("bounds.flow-ttl-s", 60.0),
        heartbeat=reader.number("heartbeat-ms", 1200.0) * SECONDS_PER_MS,
        evacuation_limit=reader.duration("bounds.evacuate-ms"),
        warm_up_overage=reader.number("bounds.warmup-overage", 1.0),
        warm_up_slack=reader.optional_number("bounds.warmup-slack"),
        data_centres=reader.names_after("zones."),
    )


def modified(file_path: str) -> float:
    """Return the modification time of the settings file.

    :returns: wall-clock seconds, 0 if the file does not exist.
    """
    try:
        return os.stat(file_path).st_mtime
    except OSError:
        return 0.0


def _metrics(ip: str, file_path: str) -> addresses.Address | None:
    """Return the metrics endpoint, None if there is no metrics page.

    The deploy file sets its port in the variable METRICS_VARIABLE.

    :raises SettingsError: when the port is invalid.
    """
    port = os.environ.get(METRICS_VARIABLE, "")
    if not port:
        return None
    try:
        return addresses.parse(f"{ip}:{port}")
    except errors.AddressError as error:
        raise errors.SettingsError(
            f"{file_path}: variable {METRICS_VARIABLE} is invalid: {error}"
        ) from error


def _parse_lines(text: str) -> list[tuple[str, str]]:
    pairs = []
    # Unlike str.splitlines and str.strip without arguments, this leaves the
    # separators and spaces of other scripts in names as they are.
    for line in text.split("\n"):
        key, separator, value = line.partition("=")
        if separator:
            pairs.append((key.strip(_SPACES), value.strip(_SPACES)))
    return pairs


class _Reader:
    """Typed access to the keys and values of one file.

    A SettingsError is raised for an invalid value, and for a missing value
    that has no default.
    """

    def __init__(self, values: dict[str, str], file_path: str) -> None:
        self.values = values
        self.file_path = file_path

    def optional(self, key: str) -> str:
        """Return the value of a key, an empty string if it is missing."""
        return self.values.get(key, "")

    def text(self, key: str) -> str:
        """Return the value of a key that must not be empty."""
        value = self.optional(key)
        if not value:
            raise self._settings_error(
                key, "is missing; the platform must set it"
            )
        return value

    def address(self, key: str) -> addresses.Address:
        return self._parse(key, self.text(key))

    def address_list(self, key: str) -> list[addresses.Address]:
        """Return addresses separated by commas, none if the key is missing."""
        parts = self.optional(key).split(",")
        return [self._parse(key, part) for part in parts if part]

    def names_after(self, prefix: str) -> frozenset[str]:
        """Return the rest of all keys that begin with a prefix."""
        return frozenset(
            key.removeprefix(prefix)
            for key in self.values
            if key.startswith(prefix)
        )

    def port(self, key: str, part: int) -> int:
        """Return one of several ports that are separated by commas.

        :param part: index of the port.
        """
        parts = self.text(key).split(",")
        try:
            port = int(parts[part])
        except (ValueError, IndexError) as error:
            raise self._settings_error(
                key, f"is {self.text(key)!r}; use ports separated by commas"
            ) from error
        if not 0 < port <= addresses.MAX_PORT:
            raise self._settings_error(
                key, f"has port {port}; use 1 to {addresses.MAX_PORT}"
            )
        return port

    def optional_number(self, key: str) -> float | None:
        """Return a number, None if the key is missing."""
        return self.number(key, 0.0) if self.optional(key) else None

    def duration(self, key: str) -> float | None:
        """Return a time in milliseconds as seconds, None without the key."""
        milliseconds = self.optional_number(key)
        if milliseconds is None:
            return None
        return milliseconds * SECONDS_PER_MS

    def number(self, key: str, default: float) -> float:
        value = self.optional(key)
        if not value:
            return default
        try:
            number = float(value)
        except ValueError as error:
            raise self._settings_error(
                key, f"is {value!r}; use a number"
            ) from error
        # False for a value that is not a number (NaN), too.
        if not 0 <= number <= MAX_NUMBER:
            raise self._settings_error(
                key, f"is {value}; use a number from 0 to {MAX_NUMBER:.0f}"
            )
        return number

    def _parse(self, key: str, text: str) -> addresses.Address:
        try:
            return addresses.parse(text)
        except errors.AddressError as error:
            raise self._settings_error(key, f"is invalid: {error}") from error

    def _settings_error(self, key: str, message: str) -> errors.SettingsError:
        return errors.SettingsError(f"{self.file_path}: key {key!r} {message}")
