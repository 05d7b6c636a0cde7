"""Stand-in for the platform's store: objects, revisions, watches, faults."""

import asyncio
import collections
import enum

from aiohttp import web
import attrs

PAGE = 50


class Trouble(enum.Enum):
    """How the store fails on command."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"


def make_plain(name: str, revision: int, spec: object) -> dict:
    """Return an object as the platform's store writes it."""
    return {
        "meta": {
            "name": name,
            "revision": revision,
            "created": revision,
            "finalizers": [],
            "deleting": False,
        },
        "spec": spec,
        "status": None,
    }


@attrs.define(eq=False)
class ObjectStore:
    """Objects by kind and name under one revision counter.

    :param turned_away: addresses that the trouble is meant for; all if none.
    :param history: changes that watches may still ask for.
    """

    revision: int = 1
    kinds: dict[str, dict[str, dict]] = attrs.field(
        factory=lambda: collections.defaultdict(dict)
    )
    history: list[tuple[int, str, dict, bool]] = attrs.field(factory=list)
    oldest: int = 0
    trouble: Trouble = Trouble.NONE
    turned_away: frozenset[str] = frozenset()
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Store an object."""
        self.revision += 1
        plain = make_plain(name, self.revision, spec)
        self.kinds[kind][name] = plain
        await self._tell(kind, plain, False)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        plain = self.kinds[kind].pop(name)
        self.revision += 1
        plain["meta"]["revision"] = self.revision
        await self._tell(kind, plain, True)

    def forget_history(self) -> None:
        """Answer 410 to watches from before now."""
        self.history.clear()
        self.oldest = self.revision

    async def _tell(self, kind: str, plain: dict, deleted: bool) -> None:
        self.history.append((self.revision, kind, plain, deleted))
        async with self.changed:
            self.changed.notify_all()

    def app(self) -> web.Application:
        """Return the HTTP application."""
        found = web.Application()
        found.router.add_get("/vanilladrum/objects/{kind}", self._list)
        found.router.add_get("/vanilladrum/objects/{kind}/{name}", self._get)
        return found

    async def _check(self, request: web.Request, call: str) -> None:
        self.calls[call] += 1
        away = not self.turned_away or request.remote in self.turned_away
        if self.trouble is Trouble.NONE or not away:
            return
        if self.trouble is Trouble.BUSY:
            raise web.HTTPServiceUnavailable(text="{}")
        if self.trouble is Trouble.RESET:
            _abort(request)
        # Nobody is told when a silent call ends.
        await asyncio.Event().wait()

    async def _get(self, request: web.Request) -> web.Response:
        await self._check(request, "get")
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self.kinds[kind]:
            raise web.HTTPNotFound(text="{}")
        return web.json_response(self.kinds[kind][name])

    async def _list(self, request: web.Request) -> web.Response:
        if "watch" in request.query:
            return await self._watch(request)
        await self._check(request, "list")
        kind = self.kinds[request.match_info["kind"]]
        after = request.query.get("after", "")
        names = sorted(name for name in kind if name > after)
        plain = {
            "items": [kind[name] for name in names[:PAGE]],
            "has-more": len(names) > PAGE,
            "store-revision": self.revision,
        }
        return web.json_response(plain)

    async def _watch(self, request: web.Request) -> web.Response:
        await self._check(request, "watch")
        since = int(request.query["watch"])
        wait = int(request.query["wait-ms"]) / 1000
        kind = request.match_info["kind"]
        if since < self.oldest:
            raise web.HTTPGone(text="{}")
        try:
            async with asyncio.timeout(wait), self.changed:
                while not self._events(kind, since):
                    await self.changed.wait()
        except TimeoutError:
            pass
        await self._check(request, "answer")
        plain = {
            "events": self._events(kind, since),
            "store-revision": self.revision,
        }
        return web.json_response(plain)

    def _events(self, kind: str, since: int) -> list[dict]:
        return [
            {"object": plain, "deleted": deleted}
            for revision, of, plain, deleted in self.history
            if of == kind and revision > since
        ]


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
