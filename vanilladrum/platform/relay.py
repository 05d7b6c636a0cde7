"""Form in which an entry host keeps and relays an object of the store.

An object that names nothing here is neither kept nor relayed, so it costs the
hosts that follow this one nothing. The rest of an object that nobody reads has
been left out when the answer of the store was decoded.
"""

from collections.abc import Callable
import json

from vanilladrum.core import errors
from vanilladrum.platform import objects

# Errors that a value which cannot be encoded as JSON raises.
_ENCODE_ERRORS = (ValueError, TypeError, RecursionError)
# Levels that an answer has around an object at most. An object that could just
# be decoded may be too deep to be a part of an answer.
_LEVELS_AROUND = 4
# Returns whether an object names something.
Check = Callable[[objects.StoredObject], bool]
CHECKS: dict[str, Check] = {}


def check(kind: str) -> Callable[[Check], Check]:
    """Register the check of a kind; without one all objects are relayed."""

    def register(function: Check) -> Check:
        CHECKS[kind] = function
        return function

    return register


@check(objects.SERVER_KIND)
def names_server(entry: objects.StoredObject) -> bool:
    """Return whether an entry names a server, of whatever service."""
    try:
        objects.parse_server(entry)
    except errors.PlatformError:
        return False
    return True


@check(objects.CONFIGURATION_KIND)
def is_configuration(entry: objects.StoredObject) -> bool:
    """Return whether an object is the one that has the configuration."""
    return entry.name == objects.CONFIGURATION_NAME


def encode(
    kind: str, entry: objects.StoredObject, era: int | None = None
) -> bytes | None:
    """Return an object as it is relayed, None if it names nothing.

    :param era: era of the answers that it is sent in, None if that may
        change: the object then has its own.
    """
    if kind in CHECKS and not CHECKS[kind](entry):
        return None
    metadata: dict[str, object] = {
        "name": entry.name,
        "revision": entry.revision,
    }
    if entry.era != era:
        metadata[objects.ERA_FIELD] = entry.era
    document = {"meta": metadata, "spec": entry.content}
    try:
        encoded = json.dumps([[[[document]]]])
    except _ENCODE_ERRORS:
        encoded = json.dumps([[[[document | {"spec": None}]]]])
    return encoded[_LEVELS_AROUND:-_LEVELS_AROUND].encode()


def encode_removal(entry: objects.StoredObject) -> bytes:
    """Return the object of an event that reports a removal."""
    metadata = {"name": entry.name, "revision": entry.revision}
    return json.dumps({"meta": metadata, "spec": None}).encode()
