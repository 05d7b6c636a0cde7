"""Client of the platform's store, the only one."""

import asyncio
import json
from urllib import parse

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.platform import connection as connections
from vanilladrum.platform import objects

MAX_IDLE_CONNECTIONS = 2
_REFUSED = (429, 503)


@attrs.frozen
class Listing:
    """All objects of a kind.

    :param revision: of the store when the list was made.
    """

    objects: tuple[objects.Stored, ...]
    revision: int


@attrs.frozen
class Changes:
    """What has changed since a revision.

    :param revision: from which to watch on.
    """

    objects: tuple[objects.Stored, ...]
    revision: int


@attrs.define(eq=False)
class Store:
    """Calls the store; every call is bounded in time.

    :param address: of the store.
    :param timeout: seconds for a connection and for an answer that does
        not wait for a change.
    :param calls: how many calls were made, since each has a price.
    """

    address: addresses.Address
    timeout: float
    calls: int = 0
    _idle: list[connections.Connection] = attrs.field(factory=list)

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind, page by page.

        The revision is that of the first page, so that a watch from there
        misses nothing that changed between two pages.

        :raises PlatformError: when the store does not answer.
        """
        found: list[objects.Stored] = []
        revision = None
        after = ""
        while True:
            path = self._path(kind, {"after": after} if after else {})
            plain = await self._call("GET", path)
            items = [objects.stored(each) for each in plain["items"]]
            found.extend(items)
            if revision is None:
                revision = plain["store-revision"]
            if not plain["has-more"] or not items:
                return Listing(tuple(found), revision)
            after = items[-1].name

    async def watch(self, kind: str, revision: int, wait: float) -> Changes:
        """Return what changed after a revision, waiting for it.

        :param wait: seconds until an empty answer is given.
        :raises HistoryGoneError: when the kind has to be listed again.
        :raises PlatformError: when the store does not answer.
        """
        query = {"watch": revision, "wait-ms": int(wait * 1000)}
        path = self._path(kind, query)
        plain = await self._call("GET", path, wait=wait)
        events = tuple(
            objects.stored(each["object"], each["deleted"])
            for each in plain["events"]
        )
        return Changes(events, plain["store-revision"])

    async def ping(self) -> None:
        """Make the cheapest call, to see whether the store answers.

        :raises PlatformError: when it does not.
        """
        name = parse.quote(objects.CONFIGURATION_NAME)
        path = self._path(objects.CONFIGURATION_KIND, {"allow-stale": 1}, name)
        await self._call("GET", path, absent_ok=True)

    def drop_idle(self) -> None:
        """Close the connections that wait for a call."""
        for each in self._idle:
            each.close()
        self._idle.clear()

    def _path(self, kind: str, query: dict, name: str = "") -> str:
        text = parse.urlencode(query)
        path = f"/vanilladrum/objects/{parse.quote(kind)}"
        if name:
            path = f"{path}/{name}"
        return f"{path}?{text}" if text else path

    async def _call(
        self,
        method: str,
        path: str,
        wait: float = 0.0,
        content: object = None,
        absent_ok: bool = False,
    ) -> dict:
        body = None
        if content is not None:
            body = json.dumps(content).encode()
        self.calls += 1
        response = await self._exchange(method, path, wait, body)
        if response.status in _REFUSED:
            raise errors.StoreRefusedError(
                f"the store answered {response.status} to {method} {path}; "
                "nothing was done, ask again later"
            )
        if response.status == 410:
            raise errors.HistoryGoneError(
                f"the store has no history for {path}; list again"
            )
        plain = _read(response, method, path)
        if response.status == 409:
            raise errors.ConflictError(
                f"{method} {path} was refused: the object has changed; read "
                "it and repeat the change"
            )
        if response.status == 404 and absent_ok:
            return {}
        if response.status != 200:
            raise errors.PlatformError(
                f"the store answered {response.status} to {method} {path}; "
                "see its page on this call"
            )
        return plain

    async def _exchange(
        self, method: str, path: str, wait: float, body: bytes | None
    ) -> connections.Response:
        connection = None
        try:
            async with asyncio.timeout(self.timeout):
                connection = await self._connect()
            async with asyncio.timeout(self.timeout + wait):
                response = await connection.request(
                    method, path, str(self.address), body
                )
        except (TimeoutError, OSError) as error:
            self.drop_idle()
            raise errors.StoreSilentError(
                f"the store at {self.address} gave no answer to {method} "
                f"{path} ({type(error).__name__}); check the way to it"
            ) from error
        finally:
            self._keep(connection)
        return response

    async def _connect(self) -> connections.Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
        return await connections.Connection.open(self.address)

    def _keep(self, connection: connections.Connection | None) -> None:
        if connection is None:
            return
        if connection.idle and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
            return
        connection.close()


def _read(response: connections.Response, method: str, path: str) -> dict:
    try:
        plain = json.loads(response.body or b"{}")
    except ValueError as error:
        raise errors.PlatformError(
            f"the store's answer to {method} {path} is no JSON ({error}); "
            "look at what stands between"
        ) from error
    if not isinstance(plain, dict):
        raise errors.PlatformError(
            f"the store's answer to {method} {path} is no table; look at "
            "what stands between"
        )
    return plain
