"""Simulated object store of the platform with watches and faults."""

import asyncio
import collections
import copy
import enum
import json

from aiohttp import web
import attrs

PAGE_SIZE = 50
# Largest part of an answer that is sent at once, in bytes, if the bandwidth is
# limited.
CHUNK_BYTES = 16_384
ERA_HEADER = "Store-Era"


class InjectedFault(enum.Enum):
    """Fault that the store injects into calls.

    ``BUSY``: responds with 503. ``SILENT``: never responds. ``RESET``:
    resets the connection.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"


def make_object(name: str, revision: int, spec: object) -> dict:
    """Return an object in the format of the platform's store."""
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


@attrs.frozen
class StoreCopy:
    """A backup copy of the store.

    :param history_start: lowest revision that a watch may start from.
    """

    revision: int
    kinds: dict[str, dict[str, dict]]
    history: tuple[tuple[int, str, dict, bool], ...]
    history_start: int


@attrs.define(eq=False)
class ObjectStore:
    """Objects by kind and name with one revision counter.

    :param era: number of restores; it is sent with all answers.
    :param history: changes available to watches, each as revision, kind,
        object and whether it was deleted.
    :param history_start: lowest revision that a watch may start from.
    :param injected_fault: fault injected into calls, until it is changed.
    :param rejected_hosts: addresses of the store at which the fault applies
        to calls; all if empty. Each entry host has one of its own, because all
        connect from the same address on loopback.
    :param rejected_kinds: kinds of objects whose calls the fault applies to;
        all if empty.
    :param calls: number of calls by operation; ``answer`` counts the
        responses to watches.
    :param raw_specs: bytes that take the place of a specification in answers,
        by the encoded marker that is stored instead of it.
    :param dropped_watches: how often the waiting watches were lost.
    :param waiting: number of watches that wait for a change now, by kind.
    :param bytes_per_second: bandwidth of the link of each entry host, 0 for no
        limit. Answers to the same host share it.
    """

    revision: int = 1
    kinds: dict[str, dict[str, dict]] = attrs.field(
        factory=lambda: collections.defaultdict(dict)
    )
    history: list[tuple[int, str, dict, bool]] = attrs.field(factory=list)
    history_start: int = 0
    era: int = 1
    injected_fault: InjectedFault = InjectedFault.NONE
    rejected_hosts: frozenset[str] = frozenset()
    rejected_kinds: frozenset[str] = frozenset()
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    dropped_watches: int = 0
    raw_specs: dict[bytes, bytes] = attrs.field(factory=dict)
    waiting: collections.Counter = attrs.field(factory=collections.Counter)
    bytes_per_second: float = 0.0
    _link_free_at: dict[str, float] = attrs.field(factory=dict)
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Create or replace an object."""
        self.revision += 1
        stored = make_object(name, self.revision, spec)
        self.kinds[kind][name] = stored
        await self._record_change(kind, stored, False)

    async def put_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Create or replace an object with a specification of any bytes."""
        marker = f"raw specification of {kind}/{name}"
        self.raw_specs[json.dumps(marker).encode()] = spec
        await self.put(kind, name, marker)

    async def drop_watches(self) -> None:
        """Lose the watches that wait now; they are never answered."""
        self.dropped_watches += 1
        async with self.changed:
            self.changed.notify_all()

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object.

        :raises KeyError: when it does not exist.
        """
        stored = self.kinds[kind].pop(name)
        self.revision += 1
        stored["meta"]["revision"] = self.revision
        await self._record_change(kind, stored, True)

    def discard_history(self) -> None:
        """Discard the history; watches from earlier revisions get 410 Gone."""
        self.history.clear()
        self.history_start = self.revision

    def make_copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored later."""
        return StoreCopy(
            self.revision,
            copy.deepcopy(dict(self.kinds)),
            copy.deepcopy(tuple(self.history)),
            self.history_start,
        )

    async def restore(self, earlier: StoreCopy) -> None:
        """Go back to an earlier copy and begin the next era.

        What was written since then is lost, and its revisions are given out
        again. Watches that wait are cut off.
        """
        self.era += 1
        self.revision = earlier.revision
        self.kinds = collections.defaultdict(
            dict, copy.deepcopy(earlier.kinds)
        )
        self.history = copy.deepcopy(list(earlier.history))
        self.history_start = earlier.history_start
        async with self.changed:
            self.changed.notify_all()

    async def _record_change(
        self, kind: str, stored: dict, deleted: bool
    ) -> None:
        self.history.append((self.revision, kind, stored, deleted))
        async with self.changed:
            self.changed.notify_all()

    def app(self) -> web.Application:
        """Return the HTTP application that serves the store."""
        app = web.Application()
        app.router.add_get("/vanilladrum/objects/{kind}", self._list)
        app.router.add_get("/vanilladrum/objects/{kind}/{name}", self._get)
        app.on_response_prepare.append(self._add_era)
        return app

    async def _add_era(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers[ERA_HEADER] = str(self.era)

    async def _inject_fault(self, request: web.Request, call: str) -> None:
        self.calls[call] += 1
        affected = (
            not self.rejected_hosts
            or _called_address(request) in self.rejected_hosts
        )
        if self.rejected_kinds:
            affected &= request.match_info["kind"] in self.rejected_kinds
        if self.injected_fault is InjectedFault.NONE or not affected:
            return
        if self.injected_fault is InjectedFault.BUSY:
            raise web.HTTPServiceUnavailable(text="{}")
        if self.injected_fault is InjectedFault.RESET:
            _abort(request)
        # A silent call never gets a response; the client has to time out.
        await asyncio.Event().wait()

    async def _get(self, request: web.Request) -> web.StreamResponse:
        await self._inject_fault(request, "get")
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self.kinds[kind]:
            raise web.HTTPNotFound(text="{}")
        return await self._respond(request, self.kinds[kind][name])

    async def _list(self, request: web.Request) -> web.StreamResponse:
        if "watch" in request.query:
            return await self._watch(request)
        await self._inject_fault(request, "list")
        kind = self.kinds[request.match_info["kind"]]
        after = request.query.get("after", "")
        names = sorted(name for name in kind if name > after)
        body = {
            "items": [kind[name] for name in names[:PAGE_SIZE]],
            "has-more": len(names) > PAGE_SIZE,
            "store-revision": self.revision,
        }
        return await self._respond(request, body)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        await self._inject_fault(request, "watch")
        since = int(request.query["watch"])
        wait = int(request.query["wait-ms"]) / 1000
        kind = request.match_info["kind"]
        if not self.history_start <= since <= self.revision:
            raise web.HTTPGone(text="{}")
        era, dropped = self.era, self.dropped_watches
        self.waiting[kind] += 1
        try:
            async with asyncio.timeout(wait), self.changed:
                while era == self.era and not self._events(kind, since):
                    await self.changed.wait()
                    if dropped != self.dropped_watches:
                        break
        except TimeoutError:
            pass
        finally:
            self.waiting[kind] -= 1
        if dropped != self.dropped_watches:
            await asyncio.Event().wait()
        if era != self.era:
            _abort(request)
        await self._inject_fault(request, "answer")
        body = {
            "events": self._events(kind, since),
            "store-revision": self.revision,
        }
        return await self._respond(request, body)

    async def _respond(
        self, request: web.Request, document: dict
    ) -> web.StreamResponse:
        body = json.dumps(document).encode()
        for marker, spec in self.raw_specs.items():
            body = body.replace(marker, spec)
        if not self.bytes_per_second:
            return web.Response(body=body, content_type="application/json")
        response = web.StreamResponse()
        response.content_type = "application/json"
        response.content_length = len(body)
        await response.prepare(request)
        for start in range(0, len(body), CHUNK_BYTES):
            chunk = body[start : start + CHUNK_BYTES]
            await self._use_link(_called_address(request), len(chunk))
            await response.write(chunk)
        return response

    async def _use_link(self, host: str, size: int) -> None:
        """Wait until a host's link has transferred some bytes."""
        now = asyncio.get_running_loop().time()
        begin = max(now, self._link_free_at.get(host, now))
        self._link_free_at[host] = begin + size / self.bytes_per_second
        await asyncio.sleep(self._link_free_at[host] - now)

    def _events(self, kind: str, since: int) -> list[dict]:
        return [
            {"object": stored, "deleted": deleted}
            for revision, changed_kind, stored, deleted in self.history
            if changed_kind == kind and revision > since
        ]


def _called_address(request: web.Request) -> str:
    if request.transport is None:
        return ""
    return request.transport.get_extra_info("sockname")[0]


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
