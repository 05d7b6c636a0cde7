"""Printing, comparing and applying configurations."""

import asyncio
from collections.abc import Callable
import difflib
import pathlib
import secrets
import time
import tomllib
import uuid

import attrs
import tomli_w

from vanilladrum.core import document
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import generation as generations
from vanilladrum import plan as plans
from vanilladrum.wire import platform as platforms

KIND = "configuration"
NAME = "fleet"
STATUS_KIND = "status"
SECRET_BYTES = 32
KEY_IDS = 16
MAX_KEYS = 3
MAX_OPERATIONS = 32
POLL_SECONDS = 0.2
READ_BACK_TRIES = 20
READ_BACK_SECONDS = 0.5
HEADING = "# Review, then run: vanilladrum apply THIS-FILE\n"


class StaleBaseError(errors.ConflictError):
    """Another change was accepted since the configuration was printed.

    :param difference: what that change did, as a unified diff.
    """

    def __init__(self, message: str, difference: str) -> None:
        super().__init__(message)
        self.difference = difference


class UnresolvedError(errors.PlatformError):
    """It is not known whether a change was accepted."""


class NotInForceError(errors.VanilladrumError):
    """A change was accepted but is not in force everywhere in time."""


@attrs.frozen
class Current:
    """What the platform holds.

    :param version: the object's version.
    :param plain: the stored document; empty before the first change.
    """

    version: int
    plain: dict

    @property
    def generation(self) -> int:
        """Return the generation stored, 0 for none."""
        return self.plain.get("generation", 0)


async def current(client: platforms.PlatformClient) -> Current:
    """Read what the platform holds.

    :raises PlatformError: when it does not answer.
    """
    found = await client.get(KIND, NAME)
    return Current(found.version, found.value)


def printed(plan: plans.Plan, base: int) -> str:
    """Return a plan as TOML for review.

    :param base: generation that the change builds on.
    """
    plain = {"base": base, **plan.document()}
    return HEADING + tomli_w.dumps(plain)


def readable(plain: dict) -> str:
    """Return a stored document as TOML without keys."""
    hidden = {"key", "active_key", "generation", "operations", "base"}
    shown = {name: plain[name] for name in plain if name not in hidden}
    return tomli_w.dumps(shown)


def difference(before: dict, after: dict) -> str:
    """Return the unified diff of two documents, empty for equal ones."""
    lines = difflib.unified_diff(
        readable(before).splitlines(),
        readable(after).splitlines(),
        f"generation {before.get('generation', 0)}",
        "proposed",
        lineterm="",
    )
    return "\n".join(lines)


def read_printed(path: str) -> dict:
    """Read a printed configuration.

    :raises ConfigurationError: naming file, key and remedy.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        plain = tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ConfigurationError(
            f"{path}: cannot be read ({error}); name a printed TOML file"
        ) from error
    except tomllib.TOMLDecodeError as error:
        raise errors.ConfigurationError(
            f"{path}: is no TOML ({error}); print it again"
        ) from error
    size = len(text.encode())
    if size > document.MAX_DOCUMENT_BYTES:
        raise errors.ConfigurationError(
            f"{path}: has {size} bytes; the platform holds "
            f"{document.MAX_DOCUMENT_BYTES} at most, split the services"
        )
    base = plain.get("base")
    if type(base) is not int or base < 0:
        raise errors.ConfigurationError(
            f"{path}: key 'base' is {base!r}; print the plan again"
        )
    return plain


def complete(printed_plain: dict, stored: Current) -> dict:
    """Add generation, operation id and keys to a printed document."""
    plain = {
        name: value for name, value in printed_plain.items() if name != "base"
    }
    _stamp(plain, stored)
    keys = stored.plain.get("key") or [_new_key(0)]
    plain["key"] = keys
    plain["active_key"] = stored.plain.get("active_key", 0)
    return plain


def check(printed_plain: dict, where: str) -> fleets.Fleet:
    """Check a printed document as entry hosts will.

    :raises ConfigurationError: naming file, key and remedy.
    """
    plain = complete(printed_plain, Current(0, {}))
    return document.read_fleet(plain, where)


async def apply(
    client: platforms.PlatformClient, printed_plain: dict, where: str
) -> int:
    """Make a printed configuration the accepted one.

    :returns: its generation.
    :raises ConfigurationError: when it contradicts itself.
    :raises StaleBaseError: when another change was accepted meanwhile.
    :raises UnresolvedError: when the outcome stays unknown.
    """
    check(printed_plain, where)
    stored = await current(client)
    if stored.generation != printed_plain["base"]:
        raise _stale(printed_plain, stored)
    plain = complete(printed_plain, stored)
    document.read_fleet(plain, where)
    await _store(client, plain, stored)
    return plain["generation"]


def _stale(printed_plain: dict, stored: Current) -> StaleBaseError:
    return StaleBaseError(
        f"printed from generation {printed_plain['base']}, but generation "
        f"{stored.generation} is accepted; print again and review both",
        difference(stored.plain, printed_plain),
    )


async def _store(
    client: platforms.PlatformClient, plain: dict, stored: Current
) -> None:
    try:
        await client.put(KIND, NAME, plain, stored.version)
    except errors.ConflictError:
        # The update may be our own whose confirmation was lost.
        await _read_back(client, plain, stored)
    except errors.PlatformError:
        await _read_back(client, plain, stored)


async def _read_back(
    client: platforms.PlatformClient, plain: dict, stored: Current
) -> None:
    """Find out by the operation id whether an update was accepted."""
    for _ in range(READ_BACK_TRIES):
        try:
            now = await current(client)
        except errors.PlatformError:
            await asyncio.sleep(READ_BACK_SECONDS)
            continue
        found = generations.resolve(
            plain["operations"][-1],
            stored.version,
            now.version,
            tuple(now.plain.get("operations", ())),
        )
        if found == generations.Resolution.ACCEPTED:
            return
        if found == generations.Resolution.REFUSED:
            raise _stale({**plain, "base": stored.generation}, now)
        # Not stored yet: a late update may still arrive, so this one is
        # made again under the same condition; one of the two can win.
        try:
            await client.put(KIND, NAME, plain, stored.version)
            return
        except errors.PlatformError:
            await asyncio.sleep(READ_BACK_SECONDS)
    raise UnresolvedError(
        "the platform does not tell whether the change was accepted; run "
        "`vanilladrum status` when it is back, before you apply again"
    )


async def rotate_keys(client: platforms.PlatformClient) -> int:
    """Begin or finish a key rotation.

    The first call adds a key that all entry hosts learn; the next one seals
    with it.

    :returns: the generation of the change.
    :raises StaleBaseError: when another change was accepted meanwhile.
    """
    stored = await current(client)
    if not stored.generation:
        raise errors.ConfigurationError(
            "no configuration is stored yet; apply one first"
        )
    plain = dict(stored.plain)
    keys = list(plain["key"])
    newest = keys[-1]["key_id"]
    if newest != plain["active_key"]:
        plain["active_key"] = newest
    else:
        keys.append(_new_key((newest + 1) % KEY_IDS))
        plain["key"] = keys[-MAX_KEYS:]
    _stamp(plain, stored)
    document.read_fleet(plain, "rotated keys")
    await _store(client, plain, stored)
    return plain["generation"]


async def wait_in_force(
    client: platforms.PlatformClient,
    data_centres: list[str],
    generation: int,
    timeout: float,
    progress: Callable[[str, int], None],
) -> None:
    """Wait until each data centre reports a generation in force.

    :param progress: called with data centre and generation on each change.
    :raises NotInForceError: naming the data centres that lag.
    """
    reported: dict[str, int] = {}
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        for name in data_centres:
            found = await client.get(STATUS_KIND, name)
            now = found.value.get("generation", 0)
            if reported.get(name) != now:
                reported[name] = now
                progress(name, now)
        if all(reported[name] >= generation for name in data_centres):
            return
        await asyncio.sleep(POLL_SECONDS)
    lagging = [
        name for name in data_centres if reported.get(name, 0) < generation
    ]
    raise NotInForceError(
        f"generation {generation} is accepted but not yet reported in "
        f"force by {lagging}; check their entry hosts"
    )


def _stamp(plain: dict, stored: Current) -> None:
    """Give a change its generation and its operation id."""
    plain["generation"] = generations.following(stored.generation, time.time())
    earlier = stored.plain.get("operations", [])[1 - MAX_OPERATIONS :]
    plain["operations"] = [*earlier, uuid.uuid4().hex]


def _new_key(key_id: int) -> dict:
    return {"key_id": key_id, "secret": secrets.token_hex(SECRET_BYTES)}
