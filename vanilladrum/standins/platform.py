"""Simulated platform with versioned objects, watches and outages."""

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
    """Settings of the simulated platform.

    :param list_lag: seconds until the host list shows a change.
    """

    address: addresses.Address
    list_lag: float = 2.0


@attrs.define
class VersionedObject:
    """A JSON value with its version."""

    version: int
    value: dict


@attrs.define(eq=False)
class Store:
    """Objects and the faults that are injected.

    :param objects: objects by request path.
    :param hosts: entry hosts on the lagging list.
    :param calls: number of calls by operation.
    :param unavailable: whether calls are refused with 503, other than for
        reports and control.
    :param confirmations_to_drop: number of further updates that are stored
        but lose their response.
    :param changed: notified when an object or the availability changes.
    """

    objects: dict[str, VersionedObject] = attrs.field(factory=dict)
    hosts: list[str] = attrs.field(factory=list)
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    unavailable: bool = False
    confirmations_to_drop: int = 0
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)


class PlatformService(aiomisc.Service):
    """Serves the object API and the control endpoint.

    :param settings: validated settings.
    """

    settings: PlatformSettings

    async def start(self) -> None:
        """Start the HTTP server."""
        self.store = Store()
        app = web.Application(client_max_size=2 * MAX_VALUE_BYTES)
        app.router.add_get("/objects/{kind}/{name}", self.get)
        app.router.add_put("/objects/{kind}/{name}", self.put)
        app.router.add_get("/hosts", self.list_hosts)
        app.router.add_get("/report", self.report)
        app.router.add_post("/control", self.control)
        self.runner = await control.start_app(app, self.settings.address)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the HTTP server."""
        await self.runner.cleanup()

    def admit_call(self, operation: str) -> None:
        """Count a call and refuse it during an outage.

        :raises HTTPServiceUnavailable: during an outage.
        """
        self.store.calls[operation] += 1
        if self.store.unavailable:
            raise web.HTTPServiceUnavailable(text='{"error": "outage"}')

    async def get(self, request: web.Request) -> web.Response:
        """Return an object.

        With ``wait`` in the query, responds once the version differs from
        ``after``, at the latest after ``wait`` seconds.

        :raises HTTPServiceUnavailable: during an outage.
        :raises HTTPNotFound: when the object does not exist.
        """
        path = request.path
        after = int(request.query.get("after", 0))
        wait = float(request.query.get("wait", 0))
        self.admit_call("watch" if wait else "get")
        try:
            async with asyncio.timeout(wait or None):
                async with self.store.changed:
                    while wait and self._version(path) == after:
                        await self.store.changed.wait()
        except TimeoutError:
            pass
        if self.store.unavailable:
            raise web.HTTPServiceUnavailable(text='{"error": "outage"}')
        found = self.store.objects.get(path)
        if found is None:
            raise web.HTTPNotFound(text="{}")
        return web.json_response(
            {"version": found.version, "value": found.value}
        )

    async def put(self, request: web.Request) -> web.Response:
        """Write an object if its version matches the If-Match header.

        An object that does not exist has version 0.

        :raises HTTPServiceUnavailable: during an outage.
        :raises HTTPRequestEntityTooLarge: above ``MAX_VALUE_BYTES``.
        :raises HTTPPreconditionFailed: when the version is another one.
        """
        self.admit_call("put")
        path = request.path
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(
                MAX_VALUE_BYTES, len(body), text='{"error": "above 1 MB"}'
            )
        expected = int(request.headers.get("If-Match", -1))
        if self._version(path) != expected:
            raise web.HTTPPreconditionFailed(text="{}")
        stored = VersionedObject(expected + 1, await request.json())
        async with self.store.changed:
            self.store.objects[path] = stored
            self.store.changed.notify_all()
        if self.store.confirmations_to_drop:
            self.store.confirmations_to_drop -= 1
            if request.transport is not None:
                request.transport.abort()
        return web.json_response({"version": stored.version})

    async def list_hosts(self, _: web.Request) -> web.Response:
        """Return the lagging list of entry hosts."""
        self.admit_call("hosts")
        return web.json_response({"hosts": self.store.hosts})

    async def report(self, _: web.Request) -> web.Response:
        """Return the number of calls by operation."""
        return web.json_response({"calls": dict(self.store.calls)})

    async def control(self, request: web.Request) -> web.Response:
        """Apply a control command.

        ``away`` begins or ends an outage. ``lose_confirmations`` is the
        number of further updates that lose their response. ``restore``
        writes objects with their versions by path, as from a backup.
        ``hosts`` changes the list of entry hosts after the lag.
        """
        command = await request.json()
        for path, document in command.get("restore", {}).items():
            self.store.objects[path] = VersionedObject(**document)
        async with self.store.changed:
            self.store.unavailable = command.get(
                "away", self.store.unavailable
            )
            self.store.changed.notify_all()
        self.store.confirmations_to_drop += command.get(
            "lose_confirmations", 0
        )
        if "hosts" in command:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.settings.list_lag,
                setattr,
                self.store,
                "hosts",
                list(command["hosts"]),
            )
        return web.json_response({})

    def _version(self, path: str) -> int:
        found = self.store.objects.get(path)
        return found.version if found else 0
