"""Printing, comparing and applying configurations."""

import asyncio
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
from vanilladrum.core import update as updates
from vanilladrum import plan as plans
from vanilladrum.wire import platform as platforms

CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "fleet"
STATUS_KIND = "status"
KEY_SECRET_BYTES = 32
# A token holds the key ID in 4 bits.
KEY_ID_COUNT = 16
# Number of token keys and of operation IDs that a configuration holds; the
# oldest are removed.
MAX_KEYS = 3
MAX_OPERATIONS = 32
# Reads that determine whether an unconfirmed update was accepted.
READ_BACK_ATTEMPTS = 20
READ_BACK_INTERVAL_SECONDS = 0.5
PRINTED_HEADER = "# Review, then run: vanilladrum apply THIS-FILE\n"


class StaleBaseError(errors.ConflictError):
    """Another change was accepted after the configuration was printed.

    :param difference: unified diff from the stored configuration to the
        printed one.
    """

    def __init__(self, message: str, difference: str) -> None:
        super().__init__(message)
        self.difference = difference


class OutcomeUnknownError(errors.PlatformError):
    """The platform did not confirm whether a change was accepted."""


@attrs.frozen
class StoredConfiguration:
    """The configuration that the platform stores.

    :param version: version of the object that holds the configuration.
    :param content: the stored document; empty before the first change.
    """

    version: int
    content: dict

    @property
    def generation(self) -> int:
        """Return the stored generation, or 0 if there is none."""
        return self.content.get("generation", 0)

    @property
    def state(self) -> updates.StoredState:
        """Return what tells it from other stored configurations."""
        return updates.StoredState(self.version, self.generation)


@attrs.frozen
class AcceptedChange:
    """A change that the platform has accepted.

    :param operation: id of the change.
    """

    generation: int
    operation: str


async def fetch_stored(
    client: platforms.PlatformClient,
) -> StoredConfiguration:
    """Read the configuration that the platform stores.

    :raises PlatformError: if the platform does not answer.
    """
    stored = await client.get(CONFIGURATION_KIND, CONFIGURATION_NAME)
    return StoredConfiguration(stored.version, stored.value)


def printed(plan: plans.Plan, base: int) -> str:
    """Return a plan as TOML for review.

    :param base: generation that the change is based on.
    """
    content = {"base": base, **plan.document()}
    return PRINTED_HEADER + tomli_w.dumps(content)


def reviewable_toml(content: dict) -> str:
    """Return the reviewable part of a document as TOML.

    Token keys, generations and operation IDs are left out.
    """
    hidden = {"key", "active_key", "generation", "operations", "base"}
    shown = {name: content[name] for name in content if name not in hidden}
    return tomli_w.dumps(shown)


def difference(before: dict, after: dict) -> str:
    """Return the unified diff of two documents; empty if they are equal."""
    lines = difflib.unified_diff(
        reviewable_toml(before).splitlines(),
        reviewable_toml(after).splitlines(),
        f"generation {before.get('generation', 0)}",
        "proposed",
        lineterm="",
    )
    return "\n".join(lines)


def read_printed(path: str) -> dict:
    """Read a printed configuration from a TOML file.

    :raises ConfigurationError: if the file is not valid; the message gives
        the path, the key and a remedy.
    """
    return parse_printed(read_text(path, "name a printed TOML file"), path)


def read_text(path: str, remedy: str) -> str:
    """Return the text of a file.

    :param remedy: end of the error message.
    :raises ConfigurationError: if the file cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ConfigurationError(
            f"{path}: cannot be read ({error}); {remedy}"
        ) from error


def parse_printed(text: str, path: str) -> dict:
    """Convert the text of a printed configuration to a document.

    :param path: path of the file, for error messages.
    :raises ConfigurationError: if the text is not valid; the message gives
        the path, the key and a remedy.
    """
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.ConfigurationError(
            f"{path}: is not valid TOML ({error}); print it again"
        ) from error
    size = len(text.encode())
    if size > document.MAX_DOCUMENT_BYTES:
        raise errors.ConfigurationError(
            f"{path}: has {size} bytes; the platform stores at most "
            f"{document.MAX_DOCUMENT_BYTES}, split the services"
        )
    base = content.get("base")
    if type(base) is not int or base < 0:
        raise errors.ConfigurationError(
            f"{path}: key 'base' is {base!r}; print the plan again"
        )
    return content


def complete(printed_content: dict, stored: StoredConfiguration) -> dict:
    """Convert a printed document to the document to be stored.

    This removes ``base`` and adds generation, operation ID and token keys.
    """
    content = {
        name: value
        for name, value in printed_content.items()
        if name != "base"
    }
    _assign_generation(content, stored)
    keys = stored.content.get("key") or [_new_key(0)]
    content["key"] = keys
    content["active_key"] = stored.content.get("active_key", 0)
    return content


def check(printed_content: dict, path: str) -> fleets.Fleet:
    """Validate a printed document with the checks of the entry hosts.

    :param path: path of the document, for error messages.
    :raises ConfigurationError: if it is not valid; the message gives the
        path, the key and a remedy.
    """
    content = complete(printed_content, StoredConfiguration(0, {}))
    return document.read_fleet(content, path)


async def apply(
    client: platforms.PlatformClient, printed_content: dict, path: str
) -> AcceptedChange:
    """Store a printed configuration as a new generation.

    :param path: path of the document, for error messages.
    :raises ConfigurationError: if the configuration is not valid.
    :raises StaleBaseError: if another change was accepted after the
        configuration was printed.
    :raises OutcomeUnknownError: if it cannot be determined whether the change
        was accepted.
    """
    check(printed_content, path)
    stored = await fetch_stored(client)
    if stored.generation != printed_content["base"]:
        raise _stale_base_error(printed_content, stored)
    content = complete(printed_content, stored)
    document.read_fleet(content, path)
    return await _store(client, content, stored)


def _stale_base_error(
    printed_content: dict, stored: StoredConfiguration
) -> StaleBaseError:
    return StaleBaseError(
        f"printed from generation {printed_content['base']}, but generation "
        f"{stored.generation} is accepted; print again and review both",
        difference(stored.content, printed_content),
    )


async def _store(
    client: platforms.PlatformClient,
    content: dict,
    stored: StoredConfiguration,
) -> AcceptedChange:
    try:
        await client.put(
            CONFIGURATION_KIND, CONFIGURATION_NAME, content, stored.version
        )
    except errors.ConflictError:
        # The conflict may be caused by this update itself, if it was stored
        # but its confirmation was lost.
        await _confirm_by_read_back(client, content, stored)
    except errors.PlatformError:
        await _confirm_by_read_back(client, content, stored)
    return AcceptedChange(content["generation"], content["operations"][-1])


async def _confirm_by_read_back(
    client: platforms.PlatformClient,
    content: dict,
    stored: StoredConfiguration,
) -> None:
    """Determine by its operation ID whether an update was accepted.

    An update that is neither stored nor refused is sent again.

    :raises StaleBaseError: if another change was accepted instead.
    :raises OutcomeUnknownError: if all :data:`READ_BACK_ATTEMPTS` fail.
    """
    for _ in range(READ_BACK_ATTEMPTS):
        try:
            latest = await fetch_stored(client)
        except errors.PlatformError:
            await asyncio.sleep(READ_BACK_INTERVAL_SECONDS)
            continue
        resolution = updates.resolve_update(
            content["operations"][-1],
            stored.state,
            latest.state,
            tuple(latest.content.get("operations", ())),
        )
        if resolution == updates.Resolution.ACCEPTED:
            return
        if resolution == updates.Resolution.REFUSED:
            raise _stale_base_error(
                {**content, "base": stored.generation}, latest
            )
        # The update is not stored yet, but may still arrive late. It is sent
        # again for the same version, so that only one of the two can succeed.
        try:
            await client.put(
                CONFIGURATION_KIND, CONFIGURATION_NAME, content, stored.version
            )
            return
        except errors.PlatformError:
            await asyncio.sleep(READ_BACK_INTERVAL_SECONDS)
    raise OutcomeUnknownError(
        "the platform did not confirm whether the change was accepted; run "
        "`vanilladrum status` when it is back, before you apply again"
    )


async def rotate_keys(client: platforms.PlatformClient) -> AcceptedChange:
    """Start or complete a rotation of the token keys.

    The first call adds a key, so that all entry hosts know it before tokens
    are sealed with it. The next call makes it the active key. Beyond
    :data:`MAX_KEYS` keys, the oldest one is removed.

    :raises ConfigurationError: if no configuration is stored.
    :raises StaleBaseError: if another change was accepted at the same time.
    :raises OutcomeUnknownError: if it cannot be determined whether the change
        was accepted.
    """
    stored = await fetch_stored(client)
    if not stored.generation:
        raise errors.ConfigurationError(
            "no configuration is stored yet; apply one first"
        )
    content = dict(stored.content)
    keys = list(content["key"])
    newest = keys[-1]["key_id"]
    if newest != content["active_key"]:
        content["active_key"] = newest
    else:
        keys.append(_new_key((newest + 1) % KEY_ID_COUNT))
        content["key"] = keys[-MAX_KEYS:]
    _assign_generation(content, stored)
    document.read_fleet(content, "rotated keys")
    return await _store(client, content, stored)


def _assign_generation(content: dict, stored: StoredConfiguration) -> None:
    """Set the generation and the operation ID of a change."""
    content["generation"] = generations.next_generation(
        stored.generation, time.time()
    )
    previous = stored.content.get("operations", [])[1 - MAX_OPERATIONS :]
    content["operations"] = [*previous, uuid.uuid4().hex]


def _new_key(key_id: int) -> dict:
    return {"key_id": key_id, "secret": secrets.token_hex(KEY_SECRET_BYTES)}
