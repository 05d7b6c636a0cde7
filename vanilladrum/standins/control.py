"""HTTP endpoint for reports and commands of a simulated system."""

from collections.abc import Callable

from aiohttp import web

from vanilladrum.core import address as addresses

Report = Callable[[], dict]
CommandHandler = Callable[[dict], None]


async def serve(
    address: addresses.Address, report: Report, handle_command: CommandHandler
) -> web.AppRunner:
    """Serve ``GET /report`` and ``POST /control``.

    :param report: returns the body of a report.
    :param handle_command: receives the body of a control request.
    :raises OSError: when the address cannot be bound.
    """

    async def get(_: web.Request) -> web.Response:
        return web.json_response(report())

    async def post(request: web.Request) -> web.Response:
        handle_command(await request.json())
        return web.json_response({})

    app = web.Application(client_max_size=2**22)
    app.router.add_get("/report", get)
    app.router.add_post("/control", post)
    return await start_app(app, address)


async def start_app(
    app: web.Application, address: addresses.Address
) -> web.AppRunner:
    """Start a web application on an address.

    :raises OSError: when the address cannot be bound.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    return runner
