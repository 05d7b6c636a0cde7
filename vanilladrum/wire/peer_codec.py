"""Encoding of messages between entry hosts.

A message is CBOR behind a keyed BLAKE2b tag that authenticates it.
"""

import hashlib
import hmac
import types
import typing

import attrs
import cbor2

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import peer_messages

TAG_BYTES = 8
# In bytes.
MAX_DATAGRAM = 8192


@attrs.frozen
class Codec:
    """Encodes, decodes and authenticates messages between entry hosts.

    :param secret: key that all entry hosts share, at least 16 bytes.
    """

    secret: bytes = attrs.field(repr=False)

    def encode(self, message: object) -> bytes:
        """Encode a message and prepend its authentication tag."""
        fields = _encode_fields(message)
        body = cbor2.dumps(
            [getattr(message, peer_messages.KIND_ATTRIBUTE), *fields]
        )
        return self._tag(body) + body

    def decode(self, datagram: bytes) -> object:
        """Authenticate and decode an encoded message.

        :param datagram: authentication tag and CBOR data.

        :raises PacketError: of kind ``peer_forged`` if the tag is wrong, or
            ``peer_malformed`` if the content is not a known message.
        """
        tag, body = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            raise errors.PacketError(
                "peer_forged", "wrong authentication tag in a peer message"
            )
        try:
            kind, *fields = cbor2.loads(body)
            return _decode_fields(peer_messages.KINDS[kind], fields)
        except (
            cbor2.CBORDecodeError,
            LookupError,
            TypeError,
            ValueError,
            errors.AddressError,
        ) as error:
            raise errors.PacketError(
                "peer_malformed", f"malformed peer message: {error}"
            ) from error

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body, digest_size=TAG_BYTES, key=self.secret
        ).digest()


# Name and type of each field, by message class.
_FIELD_CACHE: dict[type, list[tuple[str, object]]] = {}


def _fields_of(cls: type) -> list[tuple[str, object]]:
    if cls not in _FIELD_CACHE:
        hints = typing.get_type_hints(cls)
        _FIELD_CACHE[cls] = [
            (field.name, hints[field.name]) for field in attrs.fields(cls)
        ]
    return _FIELD_CACHE[cls]


def _encode_fields(message: object) -> list:
    return [
        _encode_value(getattr(message, name))
        for name, _ in _fields_of(type(message))
    ]


def _encode_value(value: object) -> object:
    if isinstance(value, addresses.Address):
        return value.pack()
    if isinstance(value, tuple):
        return [_encode_value(item) for item in value]
    if attrs.has(type(value)):
        return _encode_fields(value)
    return value


def _decode_fields(cls: type, values: list) -> object:
    fields = _fields_of(cls)
    if len(values) != len(fields):
        raise ValueError(f"{cls.__name__} has {len(fields)} fields")
    return cls(
        *[
            _decode_value(hint, value)
            for (_, hint), value in zip(fields, values, strict=True)
        ]
    )


def _decode_value(hint: typing.Any, value: typing.Any) -> object:
    if hint is addresses.Address:
        return addresses.unpack(value)
    # The only unions in messages are optional types, ``X | None``.
    if isinstance(hint, types.UnionType):
        if value is None:
            return None
        return _decode_value(typing.get_args(hint)[0], value)
    if typing.get_origin(hint) is tuple:
        return _decode_tuple(typing.get_args(hint), value)
    if attrs.has(hint):
        return _decode_fields(hint, value)
    if type(value) is not hint:
        raise TypeError(f"{value!r} is not of type {hint}")
    return value


def _decode_tuple(hints: tuple, values: list) -> tuple:
    if hints[-1] is Ellipsis:
        return tuple(_decode_value(hints[0], value) for value in values)
    return tuple(
        _decode_value(hint, value)
        for hint, value in zip(hints, values, strict=True)
    )
