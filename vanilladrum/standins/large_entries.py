"""Large entries of other writers, which name no server, by their form."""

from collections.abc import Callable

# Largest object that the platform stores, in bytes.
MAX_BYTES = 1_048_576


def _repeat(unit: bytes, end: bytes = b"1") -> Callable[[int], bytes]:
    """Return a function that makes an entry with a list of a given size.

    :param unit: text that is repeated.
    :param end: text after the last unit.
    """
    head, tail = b'{"service":"other","rows":[', b"]}"

    def make(size: int) -> bytes:
        rest = size - len(head) - len(end) - len(tail)
        return head + unit * (rest // len(unit)) + end + tail

    return make


def _nest(opening: bytes, closing: bytes) -> Callable[[int], bytes]:
    """Return a function that makes an entry with deep nesting."""
    head, tail = b'{"service":"other","rows":', b"}"

    def make(size: int) -> bytes:
        rest = size - len(head) - len(tail) - 1
        levels = rest // (len(opening) + len(closing))
        return head + opening * levels + b"1" + closing * levels + tail

    return make


# Functions that make an entry of a size in bytes, by form.
FORMS: dict[str, Callable[[int], bytes]] = {
    "empty lists": _repeat(b"[],"),
    "empty objects": _repeat(b"{},"),
    "short texts": _repeat(b'"a",'),
    "escaped text": _repeat(b'"\\n\\"",'),
    "numbers": _repeat(b"1.5,"),
    "no UTF-8": _repeat(b'"Gij\xf3n",'),
    "other scripts": _repeat('"予約",'.encode()),
    "small objects": _repeat(b'{"a":[1,{"b":2}]},'),
    "deep lists": _repeat(b"[" * 9 + b"]" * 9 + b","),
    "one deep list": _nest(b"[", b"]"),
    "one deep object": _nest(b'{"a":', b"}"),
    "members": lambda size: (
        b"{" + b'"service":1,' * (size // 12 - 2) + b'"a":1}'
    ),
}
