"""Entries of servers as other writers may leave them in the store."""

import json

# A complete entry; its address is that of no server.
_COMPLETE = json.dumps(
    {
        "service": "bookings",
        "address": "10.128.0.9:8080",
        "zone": "bilbao",
        "version": "v1",
        "max-concurrency": 2,
        "state": "ready",
        "warmup-left-ms": 1500,
        "sequence": 4,
        "born": 1700000000000,
    }
).encode()


def _replace(old: bytes, new: bytes) -> bytes:
    if old not in _COMPLETE:
        raise ValueError(f"the complete entry has no {old!r}")
    return _COMPLETE.replace(old, new)


def _with_zone(zone: bytes) -> bytes:
    return _replace(b'"bilbao"', zone)


# Specifications that cannot be decoded, by what is odd about them.
UNREADABLE = {
    "nested": _with_zone(b"[" * 20_000 + b"]" * 20_000),
    "objects": _with_zone(b'{"a":' * 3_000 + b"1" + b"}" * 3_000),
    "bytes": _with_zone(b'"Gij\xf3n"'),
    "digits": _with_zone(b"9" * 5_000),
    "extra": _COMPLETE[:-1] + b', "note": "\xff"}',
}
# Specifications that can be decoded and name no server.
REFUSED = {
    "slots of 400 digits": _replace(
        b'"max-concurrency": 2', b'"max-concurrency": ' + b"9" * 400
    ),
    "lone surrogate": _with_zone(b'"Gij\\udcf3n"'),
    "almost too deep": _with_zone(b"[" * 900 + b"]" * 900),
    "port 70000": _replace(b":8080", b":70000"),
    "port 0": _replace(b":8080", b":0"),
    "infinite warm-up": _replace(
        b'"warmup-left-ms": 1500', b'"warmup-left-ms": 1e999'
    ),
    "negative sequence": _replace(b'"sequence": 4', b'"sequence": -4'),
    "no sequence": _replace(b'"sequence": 4, ', b""),
    "null": b"null",
    "array": b"[]",
}
ALL = UNREADABLE | REFUSED
