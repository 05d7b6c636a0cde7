"""Health checks of backend servers, as the platform specifies them."""

from vanilladrum.core import address as addresses

# Responses beyond this size, in bytes, are not read further.
MAX_RESPONSE_BYTES = 4096
_OK_STATUS_LINE = b"HTTP/1.1 200"
_END_OF_HEADERS = b"\r\n\r\n"
_INSTANCE_HEADER = b"x-instance-id:"


class HealthResponse:
    """Response to a health check.

    :param healthy: whether the server considers itself healthy.
    :param server: name of the server that has responded, empty if the
        response does not tell. Another server may use the address of one
        that has ended.
    """

    def __init__(self, healthy: bool, server: str) -> None:
        self.healthy = healthy
        self.server = server


def make_request(address: addresses.Address, path: str) -> bytes:
    """Return the request of a health check.

    :param path: path of the health check of the server's service.
    """
    return (
        f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    ).encode()


def is_ok(received: bytes) -> bool:
    """Return whether a response, of which a part may be missing, is good."""
    return received.startswith(_OK_STATUS_LINE)


def read_response(received: bytes) -> HealthResponse | None:
    """Return the response, None while its headers are incomplete.

    :param received: all bytes that were received so far.

    >>> response = read_response(
    ...     b"HTTP/1.1 200 OK\\r\\nX-Instance-Id: i-7f3a91c2\\r\\n\\r\\n")
    >>> response.healthy, response.server
    (True, 'i-7f3a91c2')
    """
    headers, end, _ = received.partition(_END_OF_HEADERS)
    if not end and len(received) < MAX_RESPONSE_BYTES:
        return None
    server = ""
    for line in headers.split(b"\r\n")[1:]:
        if not line.lower().startswith(_INSTANCE_HEADER):
            continue
        server = line[len(_INSTANCE_HEADER) :].decode("latin-1").strip()
    return HealthResponse(is_ok(headers), server)
