"""Stand-in for the platform: objects with versions, watches, outages."""

import asyncio
import collections

from aiohttp import web
import aiomisc
import attrs

from vanilladrum.core import address as addresses
from vanilladrum.standins import control

MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class PlatformSettings:
    """Settings of the platform stand-in.

    :param list_lag: seconds until a change of hosts shows on the list.
    """

    address: addresses.Address
    list_lag: float = 2.0


@attrs.define
class Stored:
    """An object with its version."""

    version: int
    value: dict


@attrs.define(eq=False)
class Store:
    """Objects, waiting watches and faults on command."""

    objects: dict[str, Stored] = attrs.field(factory=dict)
    hosts: list[str] = attrs.field(factory=list)
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    away: bool = False
    lost_confirmations: int = 0
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)


class PlatformService(aiomisc.Service):
    """Serves the object API and its control.

    :param settings: checked settings.
    """

    settings: PlatformSettings

    async def start(self) -> None:
        """Listen."""
        self.store = Store()
        app = web.Application(client_max_size=2 * MAX_VALUE_BYTES)
        app.router.add_get("/objects/{kind}/{name}", self.get)
        app.router.add_put("/objects/{kind}/{name}", self.put)
        app.router.add_get("/hosts", self.list_hosts)
        app.router.add_get("/report", self.report)
        app.router.add_post("/control", self.control)
        self.runner = await control.run(app, self.settings.address)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening."""
        await self.runner.cleanup()

    def check(self, kind: str) -> None:
        """Count a call; refuse it during an outage."""
        self.store.calls[kind] += 1
        if self.store.away:
            raise web.HTTPServiceUnavailable(text='{"error": "outage"}')

    async def get(self, request: web.Request) -> web.Response:
        """Return an object, after a change when asked to wait."""
        name = request.path
        after = int(request.query.get("after", 0))
        wait = float(request.query.get("wait", 0))
        self.check("watch" if wait else "get")
        try:
            async with asyncio.timeout(wait or None):
                async with self.store.changed:
                    while wait and self._version(name) == after:
                        await self.store.changed.wait()
        except TimeoutError:
            pass
        if self.store.away:
            raise web.HTTPServiceUnavailable(text='{"error": "outage"}')
        found = self.store.objects.get(name)
        if found is None:
            raise web.HTTPNotFound(text="{}")
        return web.json_response(
            {"version": found.version, "value": found.value}
        )

    async def put(self, request: web.Request) -> web.Response:
        """Update an object whose version is the expected one."""
        self.check("put")
        name = request.path
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(
                MAX_VALUE_BYTES, len(body), text='{"error": "above 1 MB"}'
            )
        expected = int(request.headers.get("If-Match", -1))
        if self._version(name) != expected:
            raise web.HTTPPreconditionFailed(text="{}")
        stored = Stored(expected + 1, await request.json())
        async with self.store.changed:
            self.store.objects[name] = stored
            self.store.changed.notify_all()
        if self.store.lost_confirmations:
            self.store.lost_confirmations -= 1
            if request.transport is not None:
                request.transport.abort()
        return web.json_response({"version": stored.version})

    async def list_hosts(self, _: web.Request) -> web.Response:
        """Return the lagging list of hosts."""
        self.check("hosts")
        return web.json_response({"hosts": self.store.hosts})

    async def report(self, _: web.Request) -> web.Response:
        """Return the counts of calls."""
        return web.json_response({"calls": dict(self.store.calls)})

    async def control(self, request: web.Request) -> web.Response:
        """Begin or end a fault, or change the hosts."""
        wanted = await request.json()
        async with self.store.changed:
            self.store.away = wanted.get("away", self.store.away)
            self.store.changed.notify_all()
        self.store.lost_confirmations += wanted.get("lose_confirmations", 0)
        for name, plain in wanted.get("restore", {}).items():
            self.store.objects[name] = Stored(**plain)
        if "hosts" in wanted:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.settings.list_lag,
                setattr,
                self.store,
                "hosts",
                list(wanted["hosts"]),
            )
        return web.json_response({})

    def _version(self, name: str) -> int:
        found = self.store.objects.get(name)
        return found.version if found else 0
