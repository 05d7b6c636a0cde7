"""CoAP client that sends requests over one long-lived connection."""

import asyncio
import collections
import enum
import random

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import optionnumbers
from aiocoap.numbers import types
from aiocoap import optiontypes
import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.daemons import sockets
from vanilladrum.standins import content
from vanilladrum.wire import coap

# Attempts of a request, the first included.
MAX_ATTEMPTS = 8
# Transmissions of each attempt, the first included.
MAX_TRANSMISSIONS = 6
COAP_TOKEN_BYTES = 4
MAX_MID = 0xFFFF


class RequestOutcome(enum.Enum):
    """Outcome of a request as the caller sees it.

    ``NOT_RUN``: refused before execution. ``UNKNOWN``: may have been
    executed. ``SILENT``: no reply to any transmission. ``OTHER``: any
    other error response.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    SILENT = "silent"
    OTHER = "other"


@attrs.frozen
class RequestResult:
    """Outcome of a request, its last reply and the number of attempts.

    :param message: the last reply; None when there was none.
    :param renewals: number of times the token was renewed.
    :param transmissions: datagrams sent, retransmissions included.
    """

    outcome: RequestOutcome
    message: aiocoap.Message | None = None
    renewals: int = 0
    transmissions: int = 1


@attrs.define(eq=False)
class Connection:
    """A socket that sends requests to one service.

    :param service: address of the service.
    :param ack_timeout: seconds until the first retransmission; doubled
        for each further one.
    :param token: routing token from the last Echo option received, sent
        back in the Echo option of each request.
    """

    service: addresses.Address
    rng: random.Random
    ack_timeout: float = 0.5
    token: bytes = b""
    endpoint: sockets.Endpoint | None = None
    counters: collections.Counter = attrs.field(factory=collections.Counter)
    _pending: dict[bytes, asyncio.Future] = attrs.field(factory=dict)
    _mid: int = 0
    _last_coap_token: int = 0

    async def open(self, host: str = "127.0.0.1") -> None:
        """Bind a UDP socket to an ephemeral port.

        :raises SettingsError: when the socket cannot be bound.
        """
        self._mid = self.rng.randrange(MAX_MID)
        self._last_coap_token = self.rng.randrange(2**31)
        self.endpoint = await sockets.open_endpoint(
            addresses.Address(host, 0), self._receive
        )

    def close(self) -> None:
        """Close the socket."""
        if self.endpoint is not None:
            self.endpoint.close()

    def _send(self, datagram: bytes) -> None:
        if self.endpoint is None:
            raise errors.SettingsError(
                "connection is not open; call open() first"
            )
        self.endpoint.send(datagram, self.service)

    async def request(
        self,
        code: codes.Code,
        path: str,
        payload: bytes = b"",
        block: int | None = None,
        deadline: float | None = None,
    ) -> RequestResult:
        """Send a request and wait for its result.

        On 4.01 Unauthorized, sends it again with the new token; sends it
        ``MAX_ATTEMPTS`` times at most, not counting retransmissions.

        :param block: number of the Block2 block to fetch.
        :param deadline: seconds until the caller needs the reply, sent as
            an option; None sends no option. It does not end the wait.
        """
        transmissions = 0
        for renewals in range(MAX_ATTEMPTS):
            message = self._new_message(code, path, payload, block, deadline)
            reply, sent = await self._exchange_message(message)
            transmissions += sent
            if reply is None:
                return RequestResult(
                    RequestOutcome.SILENT, None, renewals, transmissions
                )
            if reply.code != codes.UNAUTHORIZED:
                outcome = _classify(reply)
                return RequestResult(outcome, reply, renewals, transmissions)
        return RequestResult(
            RequestOutcome.NOT_RUN, reply, MAX_ATTEMPTS, transmissions
        )

    async def fetch(
        self, path: str, deadline: float | None = None
    ) -> tuple[RequestResult, bytes]:
        """Fetch a drawing block by block; restart when the ETag changes.

        :returns: result of the last request and the body so far.
        """
        body = b""
        number = 0
        tag = None
        while True:
            result = await self.request(
                codes.GET, path, block=number, deadline=deadline
            )
            reply = result.message
            if result.outcome != RequestOutcome.ANSWERED or reply is None:
                return result, body
            if tag is not None and reply.opt.etag != tag:
                self.counters["restarted_transfers"] += 1
                body, number, tag = b"", 0, None
                continue
            tag = reply.opt.etag
            body += reply.payload
            if reply.opt.block2 is None or not reply.opt.block2.more:
                return result, body
            number += 1

    def _new_message(
        self,
        code: codes.Code,
        path: str,
        payload: bytes,
        block: int | None,
        deadline: float | None,
    ) -> aiocoap.Message:
        self._mid = (self._mid + 1) & MAX_MID
        self._last_coap_token = (self._last_coap_token + 1) & 0xFFFFFFFF
        message = aiocoap.Message(
            code=code,
            uri_path=path.strip("/").split("/"),
            payload=payload,
            _mtype=types.CON,
            _mid=self._mid,
            _token=self._last_coap_token.to_bytes(COAP_TOKEN_BYTES, "big"),
        )
        if self.token:
            message.opt.echo = self.token
        if block is not None:
            message.opt.block2 = optiontypes.BlockOption.BlockwiseTuple(
                block, False, content.BLOCK_EXPONENT
            )
        if deadline is not None:
            number = optionnumbers.OptionNumber(coap.DEADLINE)
            milliseconds = round(deadline * 1000).to_bytes(3, "big")
            value = milliseconds.lstrip(b"\0")
            message.opt.add_option(optiontypes.OpaqueOption(number, value))
        return message

    async def _exchange_message(
        self, message: aiocoap.Message
    ) -> tuple[aiocoap.Message | None, int]:
        datagram = message.encode()
        future = asyncio.get_running_loop().create_future()
        self._pending[message.token] = future
        timeout = self.ack_timeout * self.rng.uniform(1.0, 1.5)
        try:
            for sent in range(1, MAX_TRANSMISSIONS + 1):
                self._send(datagram)
                done, _ = await asyncio.wait([future], timeout=timeout)
                if done:
                    return future.result(), sent
                timeout *= 2
            return None, MAX_TRANSMISSIONS
        finally:
            del self._pending[message.token]

    def _receive(self, data: bytes, source: addresses.Address) -> None:
        if source != self.service:
            self.counters["wrong_source"] += 1
            return
        try:
            message = coap.decode(data)
        except errors.PacketError:
            self.counters["malformed"] += 1
            return
        future = self._pending.get(message.token)
        if future is None or future.done():
            self.counters["late"] += 1
            return
        if message.opt.echo:
            self.token = message.opt.echo
        future.set_result(message)


def _classify(reply: aiocoap.Message) -> RequestOutcome:
    if reply.code.is_successful():
        return RequestOutcome.ANSWERED
    if reply.code == codes.SERVICE_UNAVAILABLE:
        return RequestOutcome.NOT_RUN
    if reply.code == codes.GATEWAY_TIMEOUT:
        return RequestOutcome.UNKNOWN
    return RequestOutcome.OTHER
