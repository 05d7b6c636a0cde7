"""Connection tokens, which carry the state of a connection.

A token is authenticated with a key that all entry hosts share and is valid
for one caller's address only. Entry hosts thus need no copy of the state.
"""

import hashlib
import hmac
import struct

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import errors

FORMAT_VERSION = 1
TAG_BYTES = 8
MIN_KEY_BYTES = 16
NO_KEY = -1
MAX_KEY_ID = 15
NO_SERVER = 0
INCARNATION_BYTES = 8
NO_INCARNATION = bytes(INCARNATION_BYTES)
# Format version and key id, issue time, service, home server, connection
# id, owner, witness.
_BODY = struct.Struct("!BIHH8s8s8s")
SEALED_BYTES = _BODY.size + TAG_BYTES


@attrs.frozen
class Token:
    """State of one connection.

    :param issued_at: time of issue, seconds since the Unix epoch.
    :param service: number of the service.
    :param home: number of the home backend server, or ``NO_SERVER``.
    :param connection: 8 random bytes that identify the connection.
    :param owner: incarnation of the only entry host that may dispatch
        non-idempotent requests of this connection.
    :param witness: incarnation of the entry host that records such
        requests before they are dispatched, or ``NO_INCARNATION``.
    """

    issued_at: int
    service: int
    home: int
    connection: bytes
    owner: bytes
    witness: bytes


@attrs.frozen
class Key:
    """A sealing key that all entry hosts share.

    :param key_id: 0 to 15, unencrypted in the token.
    :param secret: at least 16 bytes.
    """

    key_id: int
    secret: bytes = attrs.field(repr=False)


@attrs.define
class Keyring:
    """The valid keys: the active key seals tokens, every key opens them.

    >>> ring = Keyring.from_keys([Key(1, b"k" * 16)], active=1)
    >>> caller = addresses.Address("127.0.0.1", 4000)
    >>> owner = b"o" * INCARNATION_BYTES
    >>> token = Token(7, 1, 0, b"c" * 8, owner, NO_INCARNATION)
    >>> ring.open(ring.seal(token, caller), caller) == token
    True
    """

    keys: dict[int, Key]
    active: int

    @classmethod
    def from_keys(cls, keys: list[Key], active: int) -> "Keyring":
        """Build a keyring.

        :raises ConfigurationError: for a short key, an id out of range or
            an active id without a key.
        """
        for key in keys:
            if len(key.secret) < MIN_KEY_BYTES:
                raise errors.ConfigurationError(
                    f"key {key.key_id} is shorter than {MIN_KEY_BYTES} "
                    "bytes; rotate to a longer one"
                )
            if not 0 <= key.key_id <= MAX_KEY_ID:
                raise errors.ConfigurationError(
                    f"key id {key.key_id} is out of range; use 0 to "
                    f"{MAX_KEY_ID}"
                )
        keys_by_id = {key.key_id: key for key in keys}
        if active not in keys_by_id:
            raise errors.ConfigurationError(
                f"active key {active} is not among the keys; add it or "
                "name another"
            )
        return cls(keys_by_id, active)

    @classmethod
    def empty(cls) -> "Keyring":
        """Return a keyring without keys, for use before a configuration."""
        return cls({}, NO_KEY)

    def seal(self, token: Token, caller: addresses.Address) -> bytes:
        """Return the token with its authentication tag."""
        key = self.keys[self.active]
        body = _BODY.pack(
            FORMAT_VERSION << 4 | key.key_id,
            token.issued_at & 0xFFFFFFFF,
            token.service,
            token.home,
            token.connection,
            token.owner,
            token.witness,
        )
        return body + _tag(key, body, caller)

    def open(self, sealed: bytes, caller: addresses.Address) -> Token:
        """Authenticate and decode a sealed token.

        :raises TokenError: of kind ``forged`` when the length, the format
            version or the tag is wrong, as for a token that was not issued
            to this caller; ``unknown_key`` when this host lacks its key.
        """
        if len(sealed) != SEALED_BYTES:
            raise errors.TokenError(
                "forged",
                f"token has {len(sealed)} bytes; request a new one",
            )
        if sealed[0] >> 4 != FORMAT_VERSION:
            raise errors.TokenError(
                "forged", "token format is not supported; request a new token"
            )
        key = self.keys.get(sealed[0] & MAX_KEY_ID)
        if key is None:
            raise errors.TokenError(
                "unknown_key",
                "token key is not known to this host; repeat the request",
            )
        body = sealed[: _BODY.size]
        if not hmac.compare_digest(
            _tag(key, body, caller), sealed[_BODY.size :]
        ):
            raise errors.TokenError(
                "forged",
                "token was not issued to this caller; request a new one",
            )
        _, issued_at, service, home, connection, owner, witness = _BODY.unpack(
            body
        )
        return Token(issued_at, service, home, connection, owner, witness)


def _tag(key: Key, body: bytes, caller: addresses.Address) -> bytes:
    digest = hashlib.blake2b(
        body, digest_size=TAG_BYTES, key=key.secret, person=b"vanilladrum-con"
    )
    digest.update(caller.pack())
    return digest.digest()
