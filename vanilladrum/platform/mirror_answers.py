"""Encoding of the answers that a mirror of the store sends."""

import json
import zlib

from vanilladrum.platform import connection as connections
from vanilladrum.platform import objects
from vanilladrum.wire import httpd

# Answers above this size, in bytes, are compressed. Compressing an answer that
# fits into one packet has no benefit.
MAX_UNCOMPRESSED_BYTES = 1400
# Level of zlib: the fastest one, because an entry host may have only a sixth
# of a core.
COMPRESSION_LEVEL = 1
# Errors that a value which cannot be encoded as JSON raises.
_ENCODE_ERRORS = (ValueError, TypeError, RecursionError)
# Fields of the metadata that are read when an object is parsed.
_META_FIELDS = ("name", "revision", objects.ERA_FIELD)


def encode(document: dict, era: int) -> httpd.Response:
    """Return a response with a JSON document, compressed if it is large."""
    body = _dump(document)
    headers = {connections.ERA_HEADER: str(era)}
    if len(body) <= MAX_UNCOMPRESSED_BYTES:
        return httpd.Response(200, body, headers=headers)
    compressed = zlib.compress(body, COMPRESSION_LEVEL)
    return httpd.Response(200, compressed, compressed=True, headers=headers)


def _dump(document: dict) -> bytes:
    """Encode an answer, without the content of objects that cannot be.

    An object that could just be decoded may be nested too deeply to be
    encoded as a part of an answer.
    """
    try:
        return json.dumps(document).encode()
    except _ENCODE_ERRORS:
        return json.dumps(_without_unencodable(document)).encode()


def _without_unencodable(document: dict) -> dict:
    """Return an answer in which the content of some objects is None."""
    if "items" in document:
        items = [_encodable(each) for each in document["items"]]
        return document | {"items": items}
    events = [
        each | {"object": _encodable(each["object"])}
        for each in document["events"]
    ]
    return document | {"events": events}


def _encodable(plain: dict) -> dict:
    try:
        # An answer has up to four levels around an object.
        json.dumps([[[[plain]]]])
    except _ENCODE_ERRORS:
        meta = {
            key: plain["meta"][key]
            for key in _META_FIELDS
            if key in plain["meta"]
        }
        return {"meta": meta, "spec": None, "status": None}
    return plain
