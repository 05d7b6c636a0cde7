"""Readiness endpoint that the platform's routers query."""

from collections.abc import Callable

from vanilladrum.core import address as addresses
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

PATH = "/vanilladrum/ready"
READY = httpd.Response(200)
NOT_READY = httpd.Response(503)


def serve(
    loop: loops.Loop,
    address: addresses.Address,
    is_ready: Callable[[], bool],
) -> httpd.HttpEndpoint:
    """Serve the readiness endpoint, with status 200 or 503.

    :param address: address to listen on.
    :param is_ready: returns whether routers should send packets to this
        host.
    :returns: the listening endpoint.
    :raises SettingsError: when the endpoint cannot be bound.
    """

    def respond(request: httpd.Request) -> None:
        request.respond(READY if is_ready() else NOT_READY)

    endpoint = httpd.HttpEndpoint(loop, {PATH: respond})
    endpoint.listen(address)
    return endpoint
