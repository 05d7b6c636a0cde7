"""Settings of the daemons, read from TOML files."""

import pathlib
import tomllib
from typing import TypeVar

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import document
from vanilladrum.core import errors

MIN_SECRET_BYTES = 16
MAX_HOST_NUMBER = 65535
MAX_DRAIN_SECONDS = 50.0
LOG_LEVELS = ("debug", "info", "warning", "error")
T = TypeVar("T")


@attrs.frozen
class Host:
    """Identity of an entry host.

    :param number: host number, unique in the fleet, 1 to 65535.
    """

    name: str
    number: int
    data_centre: str


@attrs.frozen
class Listen:
    """Endpoints of an entry host.

    :param peer: UDP and TCP endpoint for other entry hosts.
    :param tunnel: UDP endpoint for datagrams behind PROXY protocol v2.
    :param direct: whether to bind the service addresses as well.
    :param metrics: HTTP endpoint for counters and histograms.
    """

    peer: addresses.Address
    tunnel: addresses.Address | None = None
    direct: bool = False
    metrics: addresses.Address | None = None


@attrs.frozen
class Platform:
    """Access to the platform's object API.

    :param url: base URL, with an IP address as its host.
    :param timeout: timeout of a call, in seconds.
    """

    url: str
    timeout: float = 2.0


@attrs.frozen
class Security:
    """Authentication between entry hosts.

    :param peer_secret: hexadecimal digits, the same on all entry hosts.
    """

    peer_secret: str = attrs.field(repr=False)


@attrs.frozen
class Stop:
    """Limits of a planned stop.

    :param drain: longest time to wait for open requests, in seconds.
    """

    drain: float = 20.0


@attrs.frozen
class EntryHostSettings:
    """Settings of the entry-host daemon.

    :param seeds: peer endpoints of hosts through which to join.
    :param log_level: one of ``LOG_LEVELS``.
    """

    host: Host
    listen: Listen
    platform: Platform
    security: Security
    stop: Stop = attrs.field(factory=Stop)
    seeds: tuple[addresses.Address, ...] = ()
    log_level: str = "info"


def read(kind: type[T], path: str) -> T:
    """Read a settings file.

    :param kind: class that the settings are read into.
    :raises SettingsError: naming file, key and remedy.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"{path}: cannot be read ({error}); name a readable TOML file"
        ) from error
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError(
            f"{path}: is not valid TOML ({error}); correct that line"
        ) from error
    return document.structure(kind, table, path, errors.SettingsError)


def read_entry_host(path: str) -> EntryHostSettings:
    """Read and check the settings of an entry host.

    :raises SettingsError: naming file, key and remedy.
    """
    settings = read(EntryHostSettings, path)
    _check_ports(settings, path)
    if not 1 <= settings.host.number <= MAX_HOST_NUMBER:
        raise errors.SettingsError(
            f"{path}: key 'host.number' is {settings.host.number}; "
            f"use 1 to {MAX_HOST_NUMBER}"
        )
    if settings.listen.tunnel is None and not settings.listen.direct:
        raise errors.SettingsError(
            f"{path}: key 'listen' has neither 'tunnel' nor 'direct'; "
            "set one so that callers can reach this host"
        )
    _check_secret(settings, path)
    _check_stop_log_and_url(settings, path)
    return settings


def _check_stop_log_and_url(settings: EntryHostSettings, path: str) -> None:
    if settings.log_level not in LOG_LEVELS:
        raise errors.SettingsError(
            f"{path}: key 'log_level' is {settings.log_level!r}; use one of "
            f"{LOG_LEVELS}"
        )
    if not 0 < settings.stop.drain <= MAX_DRAIN_SECONDS:
        raise errors.SettingsError(
            f"{path}: key 'stop.drain' is {settings.stop.drain}; use more "
            f"than 0 and at most {MAX_DRAIN_SECONDS} seconds"
        )
    scheme, _, rest = settings.platform.url.partition("://")
    if scheme not in ("http", "https"):
        raise errors.SettingsError(
            f"{path}: key 'platform.url' is {settings.platform.url!r}; write "
            "it as http://192.0.2.1:8000"
        )
    try:
        addresses.parse(rest)
    except errors.AddressError as error:
        raise errors.SettingsError(
            f"{path}: key 'platform.url': {error}"
        ) from error


def _check_ports(settings: EntryHostSettings, path: str) -> None:
    key_by_address: dict[addresses.Address, str] = {}
    for key in ("peer", "tunnel", "metrics"):
        address = getattr(settings.listen, key)
        if address is None:
            continue
        if address.port == 0:
            raise errors.SettingsError(
                f"{path}: key 'listen.{key}' has port 0; use 1 to 65535"
            )
        if address in key_by_address:
            raise errors.SettingsError(
                f"{path}: key 'listen.{key}' repeats {address} of "
                f"'listen.{key_by_address[address]}'; give each its own port"
            )
        key_by_address[address] = key


def _check_secret(settings: EntryHostSettings, path: str) -> None:
    try:
        secret = bytes.fromhex(settings.security.peer_secret)
    except ValueError:
        secret = b""
    if len(secret) < MIN_SECRET_BYTES:
        raise errors.SettingsError(
            f"{path}: key 'security.peer_secret' is not at least "
            f"{2 * MIN_SECRET_BYTES} hexadecimal digits; use a longer one"
        )
