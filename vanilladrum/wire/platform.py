"""Client of the platform's object API, with a count of its calls."""

import json
import typing

import aiohttp
import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import errors

WATCH_SECONDS = 30.0


@attrs.frozen
class Object:
    """A stored object and its version.

    :param version: grows with each update; 0 for an absent object.
    """

    version: int
    value: dict


@attrs.define
class PlatformClient:
    """Calls the object API.

    :param url: address of the API.
    :param timeout: seconds until a call is given up.
    """

    url: str
    timeout: float = 2.0
    calls: int = 0
    _session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, kind: str, name: str) -> Object:
        """Return an object; version 0 when it is absent.

        :raises PlatformError: when the platform does not answer.
        """
        return await self._read(f"/objects/{kind}/{name}", self.timeout)

    async def watch(self, kind: str, name: str, after: int) -> Object:
        """Wait for a version above ``after``; return what is current.

        :raises PlatformError: when the platform does not answer.
        """
        path = f"/objects/{kind}/{name}?after={after}&wait={WATCH_SECONDS}"
        return await self._read(path, WATCH_SECONDS + self.timeout)

    async def put(
        self, kind: str, name: str, value: dict, version: int
    ) -> int:
        """Store an object if its version is still ``version``.

        :returns: the new version.
        :raises ConflictError: when the version is another.
        :raises PlatformError: when the outcome is not known.
        """
        path = f"/objects/{kind}/{name}"
        headers = {"If-Match": str(version)}
        status, body = await self._call(
            "PUT", path, self.timeout, json=value, headers=headers
        )
        if status == 412:
            raise errors.ConflictError(
                f"{kind}/{name} has another version than {version}; "
                "print again and repeat the change"
            )
        if status != 200:
            raise errors.PlatformError(
                f"platform answered {status} to an update of {kind}/{name}; "
                f"{body.get('error', 'try again later')}"
            )
        return body["version"]

    async def hosts(self) -> list[addresses.Address]:
        """Return the peer endpoints on the platform's lagging list.

        :raises PlatformError: when the platform does not answer.
        """
        status, body = await self._call("GET", "/hosts", self.timeout)
        if status != 200:
            raise errors.PlatformError(
                f"platform answered {status}; try again later"
            )
        return [addresses.parse(text) for text in body["hosts"]]

    async def _read(self, path: str, timeout: float) -> Object:
        status, body = await self._call("GET", path, timeout)
        if status == 404:
            return Object(0, {})
        if status != 200:
            raise errors.PlatformError(
                f"platform answered {status}; try again later"
            )
        return Object(body["version"], body["value"])

    async def _call(
        self, method: str, path: str, timeout: float, **extra: typing.Any
    ) -> tuple[int, dict]:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        self.calls += 1
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self._session.request(
                method, self.url + path, timeout=limit, **extra
            ) as response:
                text = await response.text()
                return response.status, json.loads(text or "{}")
        except (
            TimeoutError,
            aiohttp.ClientError,
            json.JSONDecodeError,
        ) as error:
            raise errors.PlatformError(
                f"platform at {self.url} did not answer "
                f"({type(error).__name__}); check that it is reachable"
            ) from error
