"""Decodes answers of the store, one object at a time.

Any program may write an object, of any form and up to the platform's limit. A
large answer is therefore split into its objects without decoding them, and of
each object only what is read here is decoded and kept. What cannot be decoded,
for example text that is no UTF-8 or that is nested too deeply, is left out.
"""

from collections.abc import Collection
import json
from typing import Any

from vanilladrum.platform import json_text

# Errors that content of another form raises; a document that is nested too
# deeply raises RecursionError.
DECODE_ERRORS = (ValueError, RecursionError)
# Longest answer, and longest object of a longer answer, that is decoded as a
# whole, in bytes. A decoded document takes up to 24 times its size in memory.
MAX_WHOLE_ANSWER = 65_536
MAX_WHOLE_OBJECT = 16_384
# Members of a large object's content that are looked at one by one. No server
# writes so many that are nested deeply or have the names of fields.
MAX_MEMBERS = 64
# Members of an answer that hold objects, and events that hold one each.
_OBJECTS_MEMBER = "items"
_EVENTS_MEMBER = "events"
_OBJECT_MEMBER = "object"
_METADATA_MEMBER = "meta"
_CONTENT_MEMBER = "spec"
_CONTAINERS = (dict, list)
# Names of the members of the content, or of the metadata, that are kept.
Fields = Collection[str]


class Decoder:
    """Decodes the answers about one kind of objects.

    :param fields: members of an object's content that are read. Others are
        not kept, nor are values that are objects or arrays. None if all of the
        content is read.
    :param metadata: members of the metadata that are read.
    """

    def __init__(self, fields: Fields | None, metadata: Fields) -> None:
        self.fields = fields
        self.metadata = metadata
        self._members = json_text.MemberFinder(fields or ())

    def loads(self, body: bytes) -> object:
        """Decode an answer.

        :returns: the decoded document. What cannot be decoded is None: a
            member of the answer, of an event or of an object, or a whole
            event or object.
        :raises ValueError: when the answer is not an object or is incomplete.
        """
        if len(body) <= MAX_WHOLE_ANSWER:
            try:
                return self._reduce_answer(json.loads(body))
            except DECODE_ERRORS:
                pass
        cursor = json_text.Cursor(body)
        return {
            name: self._decode_member(name, cursor)
            for name in cursor.members()
        }

    def _decode_member(self, name: str, cursor: json_text.Cursor) -> object:
        """Decode a member of an answer."""
        if name == _OBJECTS_MEMBER and cursor.is_at(b"["):
            return [self._decode_object(cursor) for _ in cursor.elements()]
        if name == _EVENTS_MEMBER and cursor.is_at(b"["):
            return [self._decode_event(cursor) for _ in cursor.elements()]
        return _load_short(cursor.take_value())

    def _decode_event(self, cursor: json_text.Cursor) -> object:
        begin = cursor.position
        part = cursor.take_short_value(MAX_WHOLE_OBJECT)
        decoded = None if part is None else _load_or_none(part)
        if decoded is not None:
            return self._reduce_event(decoded)
        cursor.position = begin
        if not cursor.is_at(b"{"):
            cursor.take_value()
            return None
        return {
            name: self._decode_object(cursor)
            if name == _OBJECT_MEMBER
            else _load_short(cursor.take_value())
            for name in cursor.members()
        }

    def _decode_object(self, cursor: json_text.Cursor) -> object:
        """Return an object; a member that cannot be decoded is None.

        An object whose content cannot be read still has its name, so that
        what was known under this name is not used any more.
        """
        begin = cursor.position
        part = cursor.take_short_value(MAX_WHOLE_OBJECT)
        decoded = None if part is None else _load_or_none(part)
        if decoded is not None:
            return self._reduce(decoded)
        cursor.position = begin
        if not cursor.is_at(b"{"):
            cursor.take_value()
            return None
        members: dict[str, object] = {}
        for name in cursor.members():
            if name == _CONTENT_MEMBER:
                members[name] = self._decode_content(cursor)
            elif name == _METADATA_MEMBER:
                members[name] = _load_metadata(cursor.take_value())
        return self._reduce(members)

    def _decode_content(self, cursor: json_text.Cursor) -> object:
        if self.fields is None:
            return _load_or_none(cursor.take_value())
        part = cursor.take_short_value(MAX_WHOLE_OBJECT)
        if part is not None:
            return _load_or_none(part)
        if not cursor.is_at(b"{"):
            cursor.take_value()
            return None
        begin = cursor.position
        content = {}
        for count, (name, member) in enumerate(self._members.find(cursor)):
            if count >= MAX_MEMBERS:
                cursor.position = begin
                cursor.take_value()
                return None
            content[name] = _load_short(member)
        try:
            cursor.text[begin : cursor.position].decode()
        except UnicodeDecodeError:
            return None
        return content

    def _reduce_answer(self, document: Any) -> Any:
        if self.fields is None or not isinstance(document, dict):
            return document
        for name, reduce in (
            (_OBJECTS_MEMBER, self._reduce),
            (_EVENTS_MEMBER, self._reduce_event),
        ):
            if isinstance(document.get(name), list):
                document[name] = [reduce(each) for each in document[name]]
        return document

    def _reduce_event(self, event: Any) -> Any:
        if isinstance(event, dict) and _OBJECT_MEMBER in event:
            event[_OBJECT_MEMBER] = self._reduce(event[_OBJECT_MEMBER])
        return event

    def _reduce(self, decoded: Any) -> Any:
        """Return an object with what is read of it."""
        if self.fields is None or not isinstance(decoded, dict):
            return decoded
        return {
            _METADATA_MEMBER: _pick(
                decoded.get(_METADATA_MEMBER), self.metadata
            ),
            _CONTENT_MEMBER: _pick(decoded.get(_CONTENT_MEMBER), self.fields),
        }


# Decodes all of the content.
WHOLE = Decoder(None, ())


def _pick(decoded: Any, fields: Fields) -> dict | None:
    if not isinstance(decoded, dict):
        return None
    return {
        name: decoded[name]
        for name in fields
        if name in decoded and not isinstance(decoded[name], _CONTAINERS)
    }


def _load_metadata(part: bytes) -> object:
    """Return the metadata; a byte that is no UTF-8 is a lone surrogate.

    A list can then be continued after an object whose name has such bytes.
    """
    if len(part) > MAX_WHOLE_OBJECT and not _is_long_name(part):
        return None
    try:
        return json.loads(part.decode(errors="surrogateescape"))
    except DECODE_ERRORS:
        return None


def _is_long_name(part: bytes) -> bool:
    """Return whether metadata is long because of its texts."""
    return part.count(b"[") + part.count(b"{") < MAX_MEMBERS


def _load_short(part: bytes) -> object:
    return _load_or_none(part) if len(part) <= MAX_WHOLE_OBJECT else None


def _load_or_none(part: bytes) -> object:
    try:
        return json.loads(part)
    except DECODE_ERRORS:
        return None
