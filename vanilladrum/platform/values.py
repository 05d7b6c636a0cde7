"""Checks of single values that other programs wrote."""

from typing import Any
from urllib import parse

SECONDS_PER_MS = 0.001
# The largest integer fits into what is sent between hosts; floats hold all
# smaller durations exactly.
MAX_INTEGER = 2**63 - 1
MAX_DURATION_MS = 10**9
# Longest name of an object, in characters; bounds the memory of a host that
# keeps the names of other programs' objects.
MAX_NAME_LENGTH = 4096
# Characters that a path needs no percent-encoding for (RFC 3986).
_PATH_CHARACTERS = "!#$%&'()*+,/:;=?@[]~"


def expect_text(value: object) -> str:
    """Return a value that must be a text; it may have any characters.

    :raises TypeError: when it is no text.
    """
    if not isinstance(value, str):
        raise TypeError(f"{type(value).__name__} in place of a text")
    return value


def expect_encodable(value: object) -> str:
    """Return a value that must be a text that is sent to other hosts.

    :raises TypeError: when it is no text.
    :raises ValueError: when it cannot be encoded, because it has a lone
        surrogate.
    """
    text = expect_text(value)
    text.encode()
    return text


def expect_name(value: object) -> str:
    """Return the name of an object, which may name a data centre or a server.

    :raises TypeError: when it is no text.
    :raises ValueError: when it is empty, longer than ``MAX_NAME_LENGTH``,
        has ASCII control characters, or cannot be encoded.
    """
    name = expect_encodable(value)
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise ValueError(f"a name of {len(name)} characters")
    if any(each < " " or each == "\x7f" for each in name):
        raise ValueError("a name with control characters")
    return name


def read_path(value: object) -> str:
    """Return the path of a URL as it is sent in a request line.

    Characters that a request line cannot contain are percent-encoded.

    :raises TypeError: when it is no text.
    """
    return parse.quote(
        expect_text(value) or "/", _PATH_CHARACTERS, errors="surrogatepass"
    )


def expect_int(value: object, lowest: int, highest: int) -> int:
    """Return a value that must be an integer within bounds.

    :raises TypeError: when it is no integer.
    :raises ValueError: when it is out of bounds.
    """
    # isinstance would accept bool, a subclass of int.
    if type(value) is not int:
        raise TypeError(f"{type(value).__name__} in place of an integer")
    if not lowest <= value <= highest:
        raise ValueError(f"an integer that is not {lowest} to {highest}")
    return value


def expect_bool(value: object) -> bool:
    """Return a value that must be true or false.

    :raises TypeError: when it is neither.
    """
    if not isinstance(value, bool):
        raise TypeError(f"{type(value).__name__} in place of true or false")
    return value


def expect_list(value: object) -> list:
    """Return a value that must be a list.

    :raises TypeError: when it is not.
    """
    if not isinstance(value, list):
        raise TypeError(f"{type(value).__name__} in place of a list")
    return value


def expect_number(value: object, highest: float) -> float:
    """Return a value that must be a number from 0, limited to a highest one.

    :raises TypeError: when it is no number.
    :raises ValueError: when it is negative or not a number (NaN).
    """
    if type(value) not in (int, float):
        raise TypeError(f"{type(value).__name__} in place of a number")
    number: Any = value
    # False for a value that is not a number (NaN), too.
    if not number >= 0:
        raise ValueError("a number that is not 0 or more")
    return float(min(number, highest))


def expect_duration(value: object) -> float:
    """Return a duration in seconds that was written in milliseconds."""
    return expect_number(value, MAX_DURATION_MS) * SECONDS_PER_MS


def quote_name(name: str) -> str:
    """Return a name as a value in a query.

    A lone surrogate stands for a byte that is no UTF-8, or was written as an
    escape sequence.
    """
    try:
        encoded = name.encode(errors="surrogateescape")
    except UnicodeEncodeError:
        encoded = name.encode(errors="surrogatepass")
    return parse.quote(encoded, safe="")
