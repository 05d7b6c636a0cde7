"""What a backend server must answer, known to server and caller alike."""

import hashlib

BLOCK_BYTES = 1024
BLOCK_EXPONENT = 6
DIGEST_BYTES = 8


def answer(service: str, path: str, payload: bytes) -> bytes:
    """Return the body that answers a check, record or order.

    >>> answer("bookings", "/slots/1", b"").startswith(b"bookings|/slots/1|")
    True
    """
    digest = hashlib.blake2b(payload, digest_size=DIGEST_BYTES).hexdigest()
    return f"{service}|{path}|{digest}".encode()


def drawing(path: str) -> bytes:
    """Return a drawing of 4 to 16 blocks that depends on its path."""
    seed = hashlib.blake2b(path.encode(), digest_size=64).digest()
    blocks = 4 + seed[0] % 13
    return (seed * (blocks * BLOCK_BYTES // len(seed)))[: -seed[1]]


def entity_tag(path: str) -> bytes:
    """Return the ETag of a drawing."""
    return hashlib.blake2b(path.encode(), digest_size=4).digest()
