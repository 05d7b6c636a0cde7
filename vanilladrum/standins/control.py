"""HTTP control of a stand-in: read its report, change its behaviour."""

from collections.abc import Callable

from aiohttp import web

from vanilladrum.core import address as addresses

Report = Callable[[], dict]
Change = Callable[[dict], None]


async def serve(
    address: addresses.Address, report: Report, change: Change
) -> web.AppRunner:
    """Answer ``GET /report`` and ``POST /control``."""

    async def get(_: web.Request) -> web.Response:
        return web.json_response(report())

    async def post(request: web.Request) -> web.Response:
        change(await request.json())
        return web.json_response({})

    app = web.Application(client_max_size=2**22)
    app.router.add_get("/report", get)
    app.router.add_post("/control", post)
    return await run(app, address)


async def run(
    app: web.Application, address: addresses.Address
) -> web.AppRunner:
    """Run a web application on an endpoint."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    return runner
