"""Datagrams between entry hosts: CBOR with a keyed tag."""

import hashlib
import hmac
import types
import typing

import attrs
import cbor2

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import peers

TAG_BYTES = 8
MAX_DATAGRAM = 8192


@attrs.frozen
class Codec:
    """Reads and writes peer messages.

    :param secret: key that all entry hosts share, at least 16 bytes.
    """

    secret: bytes = attrs.field(repr=False)

    def encode(self, message: object) -> bytes:
        """Return the datagram of a message."""
        fields = _to_plain(message)
        body = cbor2.dumps([getattr(message, peers.KIND), *fields])
        return self._tag(body) + body

    def decode(self, datagram: bytes) -> object:
        """Return the message of a datagram.

        :raises PacketError: ``peer_forged`` without the right tag,
            ``peer_malformed`` when it is no message known here.
        """
        tag, body = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            raise errors.PacketError("peer_forged", "peer tag is wrong")
        try:
            kind, *fields = cbor2.loads(body)
            return _from_plain(peers.KINDS[kind], fields)
        except (
            cbor2.CBORDecodeError,
            LookupError,
            TypeError,
            ValueError,
            errors.AddressError,
        ) as error:
            raise errors.PacketError(
                "peer_malformed", f"peer message is broken: {error}"
            ) from error

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body, digest_size=TAG_BYTES, key=self.secret
        ).digest()


_FIELDS: dict[type, list[tuple[str, object]]] = {}


def _fields(cls: type) -> list[tuple[str, object]]:
    if cls not in _FIELDS:
        hints = typing.get_type_hints(cls)
        _FIELDS[cls] = [
            (field.name, hints[field.name]) for field in attrs.fields(cls)
        ]
    return _FIELDS[cls]


def _to_plain(message: object) -> list:
    return [
        _plain(getattr(message, name)) for name, _ in _fields(type(message))
    ]


def _plain(value: object) -> object:
    if isinstance(value, addresses.Address):
        return value.pack()
    if isinstance(value, tuple):
        return [_plain(each) for each in value]
    if attrs.has(type(value)):
        return _to_plain(value)
    return value


def _from_plain(cls: type, values: list) -> object:
    fields = _fields(cls)
    if len(values) != len(fields):
        raise ValueError(f"{cls.__name__} has {len(fields)} fields")
    return cls(
        *[
            _typed(hint, value)
            for (_, hint), value in zip(fields, values, strict=True)
        ]
    )


def _typed(hint: typing.Any, value: typing.Any) -> object:
    if hint is addresses.Address:
        return addresses.unpack(value)
    if isinstance(hint, types.UnionType):
        if value is None:
            return None
        return _typed(typing.get_args(hint)[0], value)
    if typing.get_origin(hint) is tuple:
        return _typed_tuple(typing.get_args(hint), value)
    if attrs.has(hint):
        return _from_plain(hint, value)
    if type(value) is not hint:
        raise TypeError(f"{value!r} is no {hint}")
    return value


def _typed_tuple(hints: tuple, values: list) -> tuple:
    if hints[-1] is Ellipsis:
        return tuple(_typed(hints[0], value) for value in values)
    return tuple(
        _typed(hint, value) for hint, value in zip(hints, values, strict=True)
    )
