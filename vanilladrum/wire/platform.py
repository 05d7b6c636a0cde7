"""HTTP client of the platform's object API."""

import json
import typing

import aiohttp
import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import errors

# Longest time for which the platform delays the response to a watch request. A
# watch whose response was lost is noticed after it and the timeout of a call,
# so both together stay below the 8 s in which a change has to be in force.
WATCH_SECONDS = 4.0


@attrs.frozen
class StoredObject:
    """A stored object and its version.

    :param version: increases with each update; 0 if the object does not
        exist.
    """

    version: int
    value: dict


@attrs.define
class PlatformClient:
    """Reads, watches and writes objects of the platform.

    :param url: base URL of the object API.
    :param timeout: seconds to wait for a response; watch requests may take
        :data:`WATCH_SECONDS` longer.
    :param calls: number of requests sent, including failed ones.
    """

    url: str
    timeout: float = 2.0
    calls: int = 0
    _session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections to the API."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object; its version is 0 if it does not exist.

        :raises PlatformError: if the platform does not answer.
        """
        return await self._read(f"/objects/{kind}/{name}", self.timeout)

    async def watch(self, kind: str, name: str, after: int) -> StoredObject:
        """Wait for a version above ``after`` and return the current object.

        After :data:`WATCH_SECONDS` without a newer version, the unchanged
        object is returned.

        :raises PlatformError: if the platform does not answer.
        """
        path = f"/objects/{kind}/{name}?after={after}&wait={WATCH_SECONDS}"
        return await self._read(path, WATCH_SECONDS + self.timeout)

    async def put(
        self, kind: str, name: str, value: dict, version: int
    ) -> int:
        """Store an object if its version is still ``version``.

        :param version: expected version; 0 if the object must not exist.
        :returns: the new version.
        :raises ConflictError: if the stored version differs.
        :raises PlatformError: if the update failed for another reason; it may
            have been made nevertheless.
        """
        path = f"/objects/{kind}/{name}"
        headers = {"If-Match": str(version)}
        status, body = await self._call(
            "PUT", path, self.timeout, json=value, headers=headers
        )
        if status == 412:
            raise errors.ConflictError(
                f"{kind}/{name} is no longer at version {version}; "
                "print again and repeat the change"
            )
        if status != 200:
            raise errors.PlatformError(
                f"platform answered status {status} to an update of "
                f"{kind}/{name}; {body.get('error', 'try again later')}"
            )
        return self._field(body, "version", int)

    async def hosts(self) -> list[addresses.Address]:
        """Return the peer endpoints of the entry hosts listed by the platform.

        The platform's list may lag behind the hosts that actually run.

        :raises PlatformError: if the platform does not answer.
        """
        status, body = await self._call("GET", "/hosts", self.timeout)
        if status != 200:
            raise errors.PlatformError(
                f"platform answered status {status}; try again later"
            )
        listed = self._field(body, "hosts", list)
        return [addresses.parse(str(text)) for text in listed]

    async def _read(self, path: str, timeout: float) -> StoredObject:
        status, body = await self._call("GET", path, timeout)
        if status == 404:
            return StoredObject(0, {})
        if status != 200:
            raise errors.PlatformError(
                f"platform answered status {status}; try again later"
            )
        return StoredObject(
            self._field(body, "version", int), self._field(body, "value", dict)
        )

    def _field(self, body: object, name: str, kind: type) -> typing.Any:
        """Return a field of a response.

        :raises PlatformError: if the field is missing or of another type.
        """
        value = body.get(name) if isinstance(body, dict) else None
        if type(value) is kind:
            return value
        raise errors.PlatformError(
            f"platform at {self.url} sent a response without a valid "
            f"{name!r}; check for proxies on the path to it"
        )

    async def _call(
        self, method: str, path: str, timeout: float, **options: typing.Any
    ) -> tuple[int, dict]:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        self.calls += 1
        client_timeout = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self._session.request(
                method, self.url + path, timeout=client_timeout, **options
            ) as response:
                text = await response.text()
                return response.status, json.loads(text or "{}")
        except (
            TimeoutError,
            aiohttp.ClientError,
            ValueError,
            RecursionError,
        ) as error:
            raise errors.PlatformError(
                f"platform at {self.url} did not answer "
                f"({type(error).__name__}); check that it is reachable"
            ) from error
