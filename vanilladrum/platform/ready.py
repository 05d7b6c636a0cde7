"""The endpoint that the platform's routers ask before they send packets."""

from collections.abc import Callable

from vanilladrum.core import address as addresses
from vanilladrum.wire import httpd

PATH = "/vanilladrum/ready"
READY = httpd.Answer(200)
NOT_READY = httpd.Answer(503)


async def serve(
    address: addresses.Address, is_ready: Callable[[], bool]
) -> httpd.HttpEndpoint:
    """Answer the routers.

    :param is_ready: whether packets are wanted now.
    :raises SettingsError: when the endpoint cannot be bound.
    """

    def answer() -> httpd.Answer:
        return READY if is_ready() else NOT_READY

    endpoint = httpd.HttpEndpoint({PATH: answer})
    await endpoint.serve(address)
    return endpoint
