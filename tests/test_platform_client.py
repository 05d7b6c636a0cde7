"""Client of the platform's object API: odd and missing responses."""

import asyncio

from aiohttp import web
import pytest

from tests import test_loop
from vanilladrum.core import errors
from vanilladrum.wire import platform as platforms

# A change has to be in force within this time, in seconds.
CHANGE_BOUND_SECONDS = 8.0
# Bodies of successful responses that hold no object.
ODD_BODIES = {
    "nested": b"[" * 20_000 + b"]" * 20_000,
    "bytes": b'{"version": 1, "value": "\xff"}',
    "digits": b'{"version": %s, "value": {}}' % (b"9" * 5_000),
    "array": b"[]",
    "no version": b'{"value": {}}',
    "no value": b'{"version": 1}',
    "another type": b'{"version": "1", "value": {}}',
    "value is a list": b'{"version": 1, "value": []}',
}


@pytest.fixture
async def platform():
    """Yield a client and the bodies of the next responses to it.

    Without a body, a request is never answered.
    """
    bodies = []

    async def answer(_):
        if not bodies:
            await asyncio.Event().wait()
        return web.Response(body=bodies.pop(0))

    app = web.Application()
    app.router.add_get("/{path:.*}", answer)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    port = test_loop.free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    client = platforms.PlatformClient(f"http://127.0.0.1:{port}")
    yield client, bodies
    await client.close()
    await runner.cleanup()


# Such a response ended the task that watches for configurations.
@pytest.mark.parametrize("kind", ODD_BODIES)
async def test_odd_response_is_an_error_that_is_retried(platform, kind):
    client, bodies = platform
    bodies.append(ODD_BODIES[kind])
    with pytest.raises(errors.PlatformError):
        await client.get("configuration", "fleet")
    bodies.append(b'{"version": 3, "value": {"generation": 7}}')
    found = await client.get("configuration", "fleet")
    assert found == platforms.StoredObject(3, {"generation": 7})


# A watch whose response was lost was noticed after 32 s.
async def test_lost_watch_is_noticed_within_the_bound_of_a_change(platform):
    client, _ = platform
    async with asyncio.timeout(CHANGE_BOUND_SECONDS):
        with pytest.raises(errors.PlatformError):
            await client.watch("configuration", "fleet", 1)
