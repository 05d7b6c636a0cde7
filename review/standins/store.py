"""The platform's store: objects by kind and name over HTTP."""

import asyncio
import dataclasses
import json
from urllib import parse

from standins import record

PREFIX = "/vanilladrum/objects/"
PAGE = 500
ANSWER_SECONDS = 0.004
MISSED_PINGS = 3
_REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 503: "Unavailable"}


@dataclasses.dataclass
class Stored:
    """An object; its spec is kept as the JSON text that was written."""

    name: str
    revision: int
    created: int
    spec: str
    written_at: float

    def text(self) -> str:
        meta = {
            "name": self.name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": [],
            "deleting": False,
        }
        head = json.dumps({"meta": meta, "status": None})[:-1]
        return f'{head}, "spec": {self.spec}}}'


class Store:
    """The store of one day.

    :param ping_seconds: interval in which servers write their entries.
    :param silent: while true, calls are read and never answered, and the
        connections on which they came return nothing further.
    """

    def __init__(self, log: record.Record, ping_seconds: float) -> None:
        self.log = log
        self.ping_seconds = ping_seconds
        self.silent = False
        self.revision = 1
        self.kinds: dict[str, dict[str, Stored]] = {"servers": {}}
        self.history: list[tuple[int, str, str, bool]] = []
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, host, port)
        self.tasks.add(asyncio.create_task(self._expire()))

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    async def put(self, kind: str, name: str, spec: str) -> float:
        """Create or replace an object.

        :param spec: JSON text. If nothing but the field ``sequence`` differs,
            the object does not change.
        :returns: when the store acknowledged the call, monotonic seconds.
        """
        await asyncio.sleep(ANSWER_SECONDS)
        now = self.log.now()
        objects = self.kinds.setdefault(kind, {})
        stored = objects.get(name)
        if stored is not None and _same(stored.spec, spec):
            stored.written_at = now
            return now
        self.revision += 1
        created = stored.created if stored else self.revision
        objects[name] = Stored(name, self.revision, created, spec, now)
        self._publish(kind, objects[name], False)
        return now

    async def delete(self, kind: str, name: str) -> None:
        await asyncio.sleep(ANSWER_SECONDS)
        self._delete(kind, name)

    def _delete(self, kind: str, name: str) -> None:
        stored = self.kinds[kind].pop(name, None)
        if stored is None:
            return
        self.revision += 1
        stored.revision = self.revision
        self._publish(kind, stored, True)

    def _publish(self, kind: str, stored: Stored, deleted: bool) -> None:
        self.history.append((self.revision, kind, stored.text(), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        """Remove the entries of servers that have stopped writing."""
        while True:
            await asyncio.sleep(0.05)
            limit = self.log.now() - MISSED_PINGS * self.ping_seconds
            for stored in list(self.kinds["servers"].values()):
                if stored.written_at < limit:
                    self.log.event("entry expired", server=stored.name)
                    self._delete("servers", stored.name)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n", 1)[0].split(" ", 2)
                if self.silent:
                    self.log.event("store silent", call=f"{method} {target}")
                    await reader.read()
                    return
                status, body = await self._answer(method, target)
                payload = body.encode(errors="surrogateescape")
                writer.write(
                    f"HTTP/1.1 {status} {_REASONS[status]}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _answer(self, method: str, target: str) -> tuple[int, str]:
        await asyncio.sleep(ANSWER_SECONDS)
        path, _, query_text = target.partition("?")
        query = dict(parse.parse_qsl(query_text))
        if method != "GET" or not path.startswith(PREFIX):
            return 404, "{}"
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        objects = self.kinds.get(kind, {})
        if name:
            found = objects.get(parse.unquote(name))
            return (200, found.text()) if found else (404, "{}")
        if "watch" in query:
            return await self._watch(kind, query)
        names = sorted(
            each for each in objects if each > query.get("after", "")
        )
        items = ", ".join(objects[each].text() for each in names[:PAGE])
        more = json.dumps(len(names) > PAGE)
        return 200, (
            f'{{"items": [{items}], "has-more": {more}, '
            f'"store-revision": {self.revision}}}'
        )

    async def _watch(self, kind: str, query: dict) -> tuple[int, str]:
        since = int(query["watch"])
        until = (
            self.log.now() + min(int(query.get("wait-ms", "0")), 30000) / 1000
        )
        while True:
            events = [
                f'{{"object": {text}, "deleted": {json.dumps(deleted)}}}'
                for revision, of_kind, text, deleted in self.history
                if of_kind == kind and revision > since
            ]
            left = until - self.log.now()
            if events or left <= 0:
                return 200, (
                    f'{{"events": [{", ".join(events)}], '
                    f'"store-revision": {self.revision}}}'
                )
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue


def _same(one: str, other: str) -> bool:
    """Return whether two specs differ in the field ``sequence`` at most."""
    if one == other:
        return True
    try:
        first, second = json.loads(one), json.loads(other)
    except (ValueError, RecursionError):
        return False
    return (
        isinstance(first, dict)
        and isinstance(second, dict)
        and (first | {"sequence": 0} == second | {"sequence": 0})
    )
