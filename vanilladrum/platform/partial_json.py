"""Decodes answers of the store that have unreadable objects in them.

Any program may write an object, so an answer can hold text that is no UTF-8,
that is nested too deeply or that has too many digits. The answer is then split
into its objects, and only what cannot be decoded is left out.
"""

from collections.abc import Iterator
import json
import re

# Errors that content of another form raises; a document that is nested too
# deeply raises RecursionError.
DECODE_ERRORS = (ValueError, RecursionError)
# Members of an answer that hold objects, and events that hold one each.
_OBJECTS_MEMBER = "items"
_EVENTS_MEMBER = "events"
_OBJECT_MEMBER = "object"
# A string, a run of opening or closing brackets, or a separator.
_TOKEN = re.compile(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{]+|[\]}]+|[,:]', re.DOTALL
)


def loads(body: bytes) -> object:
    """Decode an answer.

    :returns: the decoded document. What cannot be decoded is None: a member
        of the answer, of an event or of an object, or a whole event or object.
    :raises ValueError: when the answer is not an object or is incomplete.
    """
    try:
        return json.loads(body)
    except DECODE_ERRORS:
        return {
            name: _decode_member(name, part)
            for name, part in _split_object(body)
        }


def _decode_member(name: str, part: bytes) -> object:
    if name == _OBJECTS_MEMBER:
        return [_decode_object(each) for each in _split_array(part)]
    if name == _EVENTS_MEMBER:
        return [_decode_event(each) for each in _split_array(part)]
    return _load_or_none(part)


def _decode_event(part: bytes) -> object:
    decoded = _load_or_none(part)
    if decoded is not None or not part.startswith(b"{"):
        return decoded
    return {
        name: _decode_object(member)
        if name == _OBJECT_MEMBER
        else _load_or_none(member)
        for name, member in _split_object(part)
    }


def _decode_object(part: bytes) -> object:
    """Return an object; a member that cannot be decoded is None.

    An object whose content cannot be read still has its name, so that what
    was known under this name is not used any more.
    """
    decoded = _load_or_none(part)
    if decoded is not None or not part.startswith(b"{"):
        return decoded
    return {
        name: _load_or_none(member) for name, member in _split_object(part)
    }


def _load_or_none(part: bytes) -> object:
    try:
        return json.loads(part)
    except DECODE_ERRORS:
        return None


def _split_object(part: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield the members of an object whose name can be decoded.

    :raises ValueError: when the object is incomplete.
    """
    for element in _split(part, b"{"):
        name_part, separator, member = element
        name = _load_or_none(name_part)
        if separator and isinstance(name, str):
            yield name, member


def _split_array(part: bytes) -> Iterator[bytes]:
    """Yield the elements of an array.

    :raises ValueError: when the array is incomplete.
    """
    for element, _, _ in _split(part, b"["):
        if element:
            yield element


def _split(
    part: bytes, opening: bytes
) -> Iterator[tuple[bytes, bytes, bytes]]:
    """Yield the elements of a container, split at the first colon.

    Works without recursion, so that the depth of the elements does not matter.

    :param opening: first character of the container.
    :raises ValueError: when it is another one, or the container does not end.
    """
    stripped = part.strip()
    if not stripped.startswith(opening):
        raise ValueError(f"a container does not begin with {opening!r}")
    depth = 1
    begin, colon = 1, -1
    for token in _TOKEN.finditer(stripped, 1):
        character = token.group()[:1]
        if character in b"[{":
            depth += len(token.group())
        elif character in b"]}":
            depth -= len(token.group())
            if depth <= 0:
                # The run may go on past the end of the container.
                end = token.end() + depth - 1
                yield _partition(stripped, begin, colon, end)
                return
        elif depth == 1 and character == b",":
            yield _partition(stripped, begin, colon, token.start())
            begin, colon = token.end(), -1
        elif depth == 1 and character == b":" and colon < 0:
            colon = token.start()
    raise ValueError("a container does not end")


def _partition(
    part: bytes, begin: int, colon: int, end: int
) -> tuple[bytes, bytes, bytes]:
    if colon < 0:
        return part[begin:end].strip(), b"", b""
    return (
        part[begin:colon].strip(),
        b":",
        part[colon + 1 : end].strip(),
    )
