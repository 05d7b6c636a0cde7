"""The platform's metadata store: lists, watches and single objects."""

import asyncio
import json
from urllib import parse

# One answer of the store, in seconds (the sheets: 4 ms an answer).
ANSWER_SECONDS = 0.004
# Limits of one page of a list.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
# How long changes are kept (the settings: platform.history-s).
HISTORY_SECONDS = 20.0
PREFIX = "/vanilladrum/objects/"


class _Stored:
    def __init__(self, name, created, revision, spec):
        self.name = name
        self.created = created
        self.revision = revision
        self.spec = spec

    def encode(self):
        """Return the object as bytes; its spec is bytes of any kind."""
        meta = {
            "name": self.name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return b'{"meta":%s,"spec":%s,"status":null}' % (
            json.dumps(meta).encode(),
            self.spec,
        )


class Store:
    """Objects by kind and name, one revision counter, watches.

    :param record: receives what is written, with the time of the ack.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.kinds = {}
        # Time, revision, kind, encoded object, and whether it was removed.
        self.history = []
        self.history_start = 0
        self.calls = 0
        self._changed = asyncio.Condition()
        self._connections = set()
        self._server = None

    async def start(self, host, port):
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self):
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        for each in list(self._connections):
            each.transport.abort()

    async def put(self, kind, name, spec, **fields):
        """Create or replace an object.

        :param spec: bytes, or a value that is encoded as JSON.
        :returns: time of the ack.
        """
        if not isinstance(spec, bytes):
            spec = json.dumps(spec, separators=(",", ":")).encode()
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known.spec == spec:
            return self.record.now()
        self.revision += 1
        created = known.created if known else self.revision
        stored = _Stored(name, created, self.revision, spec)
        objects[name] = stored
        when = self.record.add("store ack", kind=kind, name=name, **fields)
        self._remember(when, kind, stored, False)
        await self._notify()
        return when

    async def delete(self, kind, name, **fields):
        """Remove an object; return the time of the ack."""
        stored = self.kinds[kind].pop(name)
        self.revision += 1
        stored.revision = self.revision
        when = self.record.add(
            "store ack", kind=kind, name=name, removed=True, **fields
        )
        self._remember(when, kind, stored, True)
        await self._notify()
        return when

    def _remember(self, when, kind, stored, deleted):
        entry = (when, self.revision, kind, stored.encode(), deleted)
        self.history.append(entry)
        while self.history[0][0] < when - HISTORY_SECONDS:
            self.history_start = self.history.pop(0)[1]

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target, _ = head.split(b" ", 2)
                self.calls += 1
                status, body = await self._answer(
                    method.decode(), target.decode()
                )
                await asyncio.sleep(ANSWER_SECONDS)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body))
                )
                writer.write(body)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, method, target):
        path, _, query = target.partition("?")
        fields = dict(parse.parse_qsl(query, keep_blank_values=True))
        if method != "GET" or not path.startswith(PREFIX):
            return 404, b"{}"
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        objects = self.kinds.get(kind, {})
        if name:
            stored = objects.get(parse.unquote(name))
            return (200, stored.encode()) if stored else (404, b"{}")
        if "watch" in fields:
            return await self._watch(kind, fields)
        return self._list(objects, fields.get("after", ""))

    def _list(self, objects, after):
        names = sorted(name for name in objects if name > after)
        items = []
        size = 0
        for name in names[:PAGE_ITEMS]:
            encoded = objects[name].encode()
            if items and size + len(encoded) > PAGE_BYTES:
                break
            items.append(encoded)
            size += len(encoded)
        more = b"true" if len(items) < len(names) else b"false"
        return 200, b'{"items":[%s],"has-more":%s,"store-revision":%d}' % (
            b",".join(items),
            more,
            self.revision,
        )

    async def _watch(self, kind, fields):
        since = int(fields["watch"])
        wait = int(fields.get("wait-ms", "0")) / 1000
        if since < self.history_start:
            return 410, b"{}"
        try:
            async with asyncio.timeout(wait), self._changed:
                while not self._events(kind, since):
                    await self._changed.wait()
        except TimeoutError:
            pass
        events = b",".join(
            b'{"deleted":%s,"object":%s}'
            % (b"true" if deleted else b"false", encoded)
            for encoded, deleted in self._events(kind, since)
        )
        return 200, b'{"events":[%s],"store-revision":%d}' % (
            events,
            self.revision,
        )

    def _events(self, kind, since):
        return [
            (encoded, deleted)
            for _, revision, of_kind, encoded, deleted in self.history
            if of_kind == kind and revision > since
        ]
