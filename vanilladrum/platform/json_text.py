"""Finds the parts of JSON text without decoding them.

The time depends on the size of the text and little on its form: nearly all of
it is spent in the regular expression engine. Nothing is built in memory, and
works without recursion, so that the depth of the text does not matter. The
text is not validated further than finding its parts requires.
"""

from collections.abc import Collection
from collections.abc import Iterator
import itertools
import json
import operator
import re

# Levels of nesting that a regular expression matches; deeper text is skipped
# by counting brackets.
_LEVELS = 4
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_SPACE = rb"[ \t\r\n]*+"


def _nested(levels: int) -> bytes:
    """Return the pattern of text in a container, without its brackets."""
    flat = rb'[^][{}"]++|' + _STRING
    pattern = rb"(?:%s)*+" % flat
    for _ in range(levels):
        pattern = rb"(?:%s|[\[{]%s[\]}])*+" % (flat, pattern)
    return pattern


_VALUE_PATTERN = rb'(?:[^][{}",]++|%s|[\[{]%s[\]}])*+' % (
    _STRING,
    _nested(_LEVELS),
)
_VALUE = re.compile(_VALUE_PATTERN, re.DOTALL)
_NAME = re.compile(rb"%s(%s)%s:%s" % (_SPACE, _STRING, _SPACE, _SPACE))
_STRING_RE = re.compile(_STRING, re.DOTALL)
# Pieces of text that do not end within a string: 256 kB, then 4 kB, apart from
# longer strings.
_PIECES = tuple(
    re.compile(rb'(?:[^"]{1,4096}+|%s){1,%d}+' % (_STRING, parts), re.DOTALL)
    for parts in (64, 1)
)
# Longest text in bytes that is matched as nested values; for longer text the
# brackets are counted, which is faster.
_WINDOW = 16_384
_BRACKET = re.compile(rb"[\[{]|([\]}])|%s" % _STRING, re.DOTALL)
_SPACES = re.compile(_SPACE)
_OPENING, _CLOSING, _SEPARATORS = b"[{", b"]}", b",]}"
# Brackets as steps of the depth, 2 for an opening and 0 for a closing one;
# everything else is deleted.
_STEPS = bytes.maketrans(b"[{]}", b"\2\2\0\0")
_PAIR = b"\2\0"
# Levels of pairs of brackets that are removed before the depth is summed up.
_COLLAPSED_LEVELS = 16
_NO_BRACKETS = bytes(set(range(256)) - set(b"[{]}"))


class Cursor:
    """A position in JSON text, which only moves forward.

    :param text: the text.
    :param position: where the next value begins, or where one has ended.
    """

    def __init__(self, text: bytes) -> None:
        self.text = text
        self.position = _skip_space(text, 0)

    def is_at(self, bracket: bytes) -> bool:
        """Return whether the next value begins with a bracket."""
        return self.text.startswith(bracket, self.position)

    def take_value(self) -> bytes:
        """Return the text of the next value and move to its end.

        :raises ValueError: when the value does not end.
        """
        begin = self.position
        self.position = _end_of_value(self.text, begin)
        return self.text[begin : self.position].strip()

    def take_short_value(self, size: int) -> bytes | None:
        """Return the text of the next value if it is short.

        :param size: longest text in bytes. After a longer value, or one that
            is nested deeply, the position is as before.
        """
        end = _VALUE.match(self.text, self.position, self.position + size)
        if end is None or end.end() >= min(
            self.position + size, len(self.text)
        ):
            return None
        if self.text[end.end()] not in _SEPARATORS:
            return None
        self.position = end.end()
        return end[0].strip()

    def members(self) -> Iterator[str]:
        """Yield the names of an object's members that can be decoded.

        The position is where the value of the member begins. The caller may
        move to its end.

        :raises ValueError: when the object does not end.
        """
        self._enter(b"{")
        if self.is_at(b"}"):
            self.position += 1
            return
        while True:
            match = _NAME.match(self.text, self.position)
            if match is None:
                raise ValueError("an object with a member without a name")
            self.position = match.end()
            name = _decode_name(match[1])
            if name is not None:
                yield name
            if self._ends():
                return

    def elements(self) -> Iterator[None]:
        """Move to each element of an array.

        :raises ValueError: when the array does not end.
        """
        self._enter(b"[")
        if self.is_at(b"]"):
            self.position += 1
            return
        while True:
            yield
            if self._ends():
                return

    def _enter(self, opening: bytes) -> None:
        if not self.is_at(opening):
            raise ValueError(f"a container does not begin with {opening!r}")
        self.position = _skip_space(self.text, self.position + 1)

    def _ends(self) -> bool:
        """Move past a value and what follows; return if its container ends."""
        end = _end_of_value(self.text, self.position)
        self.position = _skip_space(self.text, end + 1)
        return self.text[end] in _CLOSING


class MemberFinder:
    """Finds the members of an object that have certain names.

    :param names: the names, as they are written without escape sequences.
    """

    def __init__(self, names: Collection[str]) -> None:
        self.names = frozenset(names)
        wanted = b"|".join(re.escape(each).encode() for each in names)
        self._others = re.compile(
            rb'(?:%s(?!"(?:%s)"%s:)%s%s:%s,)*+'
            % (_SPACE, wanted, _SPACE, _STRING, _SPACE, _VALUE_PATTERN),
            re.DOTALL,
        )

    def find(self, cursor: Cursor) -> Iterator[tuple[str, bytes]]:
        """Yield the names and the texts of the members; move to the end.

        Also yields an empty text for each other member that is long or nested
        deeply, so that the caller is able to limit their number.

        :raises ValueError: when the object does not end.
        """
        cursor.position += len(b"{")
        while True:
            if self._skip_others(cursor):
                continue
            if cursor.is_at(b"}"):
                cursor.position += 1
                return
            match = _NAME.match(cursor.text, cursor.position)
            if match is None:
                raise ValueError("an object with a member without a name")
            cursor.position = match.end()
            name = _decode_name(match[1])
            member = cursor.take_value()
            yield (name, member) if name in self.names else ("", b"")
            if cursor.is_at(b","):
                cursor.position += 1

    def _skip_others(self, cursor: Cursor) -> bool:
        """Move past the next short members with other names.

        :returns: whether there are any.
        """
        begin = cursor.position
        others = self._others.match(cursor.text, begin, begin + _WINDOW)
        if others is None or others.end() == begin:
            cursor.position = _skip_space(cursor.text, begin)
            return False
        cursor.position = others.end()
        return True


def _skip_space(text: bytes, position: int) -> int:
    match = _SPACES.match(text, position)
    return match.end() if match else position


def _decode_name(text: bytes) -> str | None:
    try:
        return json.loads(text)
    except ValueError:
        return None


def _end_of_value(text: bytes, position: int) -> int:
    """Return the position of the separator or bracket after a value.

    :raises ValueError: when the value does not end.
    """
    while True:
        match = _VALUE.match(text, position, position + _WINDOW)
        position = match.end() if match else position
        character = text[position : position + 1]
        if not character:
            raise ValueError("a value does not end")
        if character in _SEPARATORS:
            return position
        if character in _OPENING:
            position = _end_of_container(text, position)
        elif character == b'"':
            position = _end_of_string(text, position)


def _end_of_string(text: bytes, position: int) -> int:
    match = _STRING_RE.match(text, position)
    if match is None:
        raise ValueError("a text does not end")
    return match.end()


def _end_of_container(text: bytes, position: int) -> int:
    """Return the position after a container of any size and depth.

    :raises ValueError: when the container does not end.
    """
    # Its own opening bracket is not a part of the steps, so that they reach
    # zero at its closing one only.
    depth = 1
    position += 1
    for pieces in _PIECES:
        depth, position = _skip_pieces(text, position, depth, pieces)
    return _position_at_zero(text, position, depth)


def _skip_pieces(
    text: bytes, position: int, depth: int, pieces: re.Pattern[bytes]
) -> tuple[int, int]:
    """Skip the pieces of text in which a container does not end.

    :param depth: depth at the position.
    :returns: depth and position of the piece in which the container ends.
    :raises ValueError: when the container does not end.
    """
    while True:
        piece = pieces.match(text, position)
        if piece is None:
            raise ValueError("a container does not end")
        without_strings = _STRING_RE.sub(b"", piece[0])
        steps = without_strings.translate(_STEPS, _NO_BRACKETS)
        closings = steps.count(0)
        if depth <= closings and _reaches_zero(depth, steps):
            return depth, position
        depth += len(steps) - 2 * closings
        position = piece.end()


def _reaches_zero(depth: int, steps: bytes) -> bool:
    """Return whether the depth reaches zero.

    :param depth: depth before the steps, 1 or more.
    :param steps: 2 for each opening bracket, 0 for each closing one.
    """
    # A pair of brackets does not change the lowest depth.
    for _ in range(_COLLAPSED_LEVELS):
        collapsed = steps.replace(_PAIR, b"")
        if len(collapsed) == len(steps):
            break
        steps = collapsed
    # Each step is 1 more than the change of the depth.
    changes = map(
        operator.sub, itertools.accumulate(steps), itertools.count(1)
    )
    return depth + min(changes, default=1) <= 0


def _position_at_zero(text: bytes, position: int, depth: int) -> int:
    for token in _BRACKET.finditer(text, position):
        if token[1]:
            depth -= 1
        elif token[0] in (b"[", b"{"):
            depth += 1
        if depth == 0:
            return token.end()
    raise ValueError("a container does not end")
