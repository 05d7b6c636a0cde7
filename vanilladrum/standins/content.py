"""Expected response bodies, computed by server and caller alike."""

import hashlib

BLOCK_BYTES = 1024
# Size exponent of the Block2 option: 2 ** (6 + 4) = 1024 bytes.
BLOCK_EXPONENT = 6
DIGEST_BYTES = 8


def response_body(service: str, path: str, payload: bytes) -> bytes:
    """Return the response body for a check, a record or an order.

    It consists of the service, the path and a digest of the payload.

    >>> body = response_body("bookings", "/slots/1", b"")
    >>> body.startswith(b"bookings|/slots/1|")
    True
    """
    digest = hashlib.blake2b(payload, digest_size=DIGEST_BYTES).hexdigest()
    return f"{service}|{path}|{digest}".encode()


def drawing_body(path: str) -> bytes:
    """Return the body of a drawing, which depends on the path only.

    Its length is 4 to 16 blocks less up to 255 bytes, so that the last block
    is usually shorter.
    """
    seed = hashlib.blake2b(path.encode(), digest_size=64).digest()
    blocks = 4 + seed[0] % 13
    return (seed * (blocks * BLOCK_BYTES // len(seed)))[: -seed[1]]


def entity_tag(path: str) -> bytes:
    """Return the ETag of the drawing at a path."""
    return hashlib.blake2b(path.encode(), digest_size=4).digest()
