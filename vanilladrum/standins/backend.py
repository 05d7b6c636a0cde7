"""Simulated CoAP backend server with slots, load shedding and stragglers."""

import asyncio
import collections
import random

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types
from aiocoap import optiontypes
import aiomisc
import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.daemons import sockets
from vanilladrum.standins import content
from vanilladrum.standins import control
from vanilladrum.wire import coap

# Exchanges stored, at most, to recognize retransmissions.
MAX_EXCHANGES = 200_000


@attrs.frozen
class BackendSettings:
    """Settings of the simulated backend server.

    :param control: HTTP endpoint for reports and control commands.
    :param slots: number of requests that run at the same time.
    :param service_seconds: mean service time of a request that is neither
        a straggler nor during the cold start.
    :param block_seconds: service time of a request for one block.
    :param straggler_ratio: share of requests, other than for blocks, that
        take ``straggler_factor`` times as long.
    :param backlog: number of requests that may wait for a slot; any beyond
        are shed.
    :param cold_seconds: time after start during which requests, other than
        for blocks, take ``cold_factor`` times as long.
    :param report_lag: intended age of the values at ``/load``, in seconds;
        not implemented.
    :param seed: seed of the random service times and stragglers.
    """

    name: str
    service: str
    address: addresses.Address
    control: addresses.Address
    slots: int = 2
    service_seconds: float = 0.02
    block_seconds: float = 0.004
    straggler_ratio: float = 0.02
    straggler_factor: float = 20.0
    backlog: int = 2
    cold_seconds: float = 0.0
    cold_factor: float = 3.0
    report_lag: float = 1.0
    seed: int = 1


@attrs.define(eq=False)
class Exchange:
    """A request message and the reply to it.

    :param task: runs the request; None if it was answered at once.
    :param reply: encoded reply, resent when the request is retransmitted.
    """

    message: aiocoap.Message
    source: addresses.Address
    task: asyncio.Task | None = None
    reply: bytes | None = None


class BackendService(aiomisc.Service):
    """Runs requests on a limited number of slots and counts executions.

    :param settings: validated settings.
    """

    settings: BackendSettings

    async def start(self) -> None:
        """Open the CoAP socket and the control endpoint."""
        self.rng = random.Random(self.settings.seed)
        self.slots = asyncio.Semaphore(self.settings.slots)
        self.exchanges: collections.OrderedDict = collections.OrderedDict()
        self.executions: collections.Counter = collections.Counter()
        self.counters: collections.Counter = collections.Counter()
        self.accepted = 0
        self.busy = 0
        self.draining = False
        self.status_override: str | None = None
        self.drop_replies = False
        self.started = asyncio.get_running_loop().time()
        self.endpoint = await sockets.open_endpoint(
            self.settings.address, self.receive
        )
        self.runner = await control.serve(
            self.settings.control, self.report, self.apply_command
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the sockets."""
        await self.runner.cleanup()
        self.endpoint.close()

    def report(self) -> dict:
        """Return the counters and the number of executions by request id.

        Only POST and PATCH requests have an id, at the start of the payload.
        """
        return {
            "name": self.settings.name,
            "service": self.settings.service,
            "executions": dict(self.executions),
            "counters": dict(self.counters),
        }

    def apply_command(self, command: dict) -> None:
        """Apply a control command.

        :param command: ``drain`` sets whether new requests are refused,
            except those for later blocks; ``lie`` sets a fixed body for
            ``/health`` and ``/load``; ``mute`` sets whether all replies are
            dropped.
        """
        self.draining = command.get("drain", self.draining)
        self.status_override = command.get("lie", self.status_override)
        self.drop_replies = command.get("mute", self.drop_replies)

    def receive(self, data: bytes, source: addresses.Address) -> None:
        """Handle a datagram.

        Runs a new request. Resends the reply to a retransmitted one. A reset
        cancels the request with its message ID.
        """
        try:
            message = coap.decode(data)
        except errors.PacketError:
            self.counters["malformed"] += 1
            return
        key = (source, message.mid)
        earlier = self.exchanges.get(key)
        if message.mtype == types.RST:
            self._cancel(earlier)
            return
        if message.mtype not in (types.CON, types.NON):
            return
        if earlier is not None:
            self.counters["copies"] += 1
            if earlier.reply is not None:
                self._send(earlier.reply, source)
            return
        exchange = Exchange(message, source)
        self.exchanges[key] = exchange
        while len(self.exchanges) > MAX_EXCHANGES:
            self.exchanges.popitem(last=False)
        self._accept(exchange)

    def _accept(self, exchange: Exchange) -> None:
        message = exchange.message
        path = "/" + "/".join(message.opt.uri_path)
        if path in ("/health", "/load"):
            self._reply(exchange, codes.CONTENT, self._status(path))
            return
        if self.draining and not self._is_later_block(message):
            self.counters["declined_draining"] += 1
            self._decline(exchange)
            return
        if self.accepted >= self.settings.slots + self.settings.backlog:
            self.counters["shed"] += 1
            self._decline(exchange)
            return
        self.accepted += 1
        exchange.task = asyncio.create_task(self._run(exchange, path))
        exchange.task.add_done_callback(self._release)

    def _release(self, _: asyncio.Task) -> None:
        self.accepted -= 1

    def _is_later_block(self, message: aiocoap.Message) -> bool:
        block = message.opt.block2
        return block is not None and block.block_number > 0

    async def _run(self, exchange: Exchange, path: str) -> None:
        try:
            async with self.slots:
                self.busy += 1
                self.counters["max_busy"] = max(
                    self.counters["max_busy"], self.busy
                )
                try:
                    self._count_execution(exchange, path)
                    await asyncio.sleep(self._service_time(exchange.message))
                finally:
                    self.busy -= 1
        except asyncio.CancelledError:
            self.counters["cancelled"] += 1
            raise
        code, body = self._response(exchange.message, path)
        self._reply(exchange, code, body)

    def _count_execution(self, exchange: Exchange, path: str) -> None:
        self.counters["executed"] += 1
        message = exchange.message
        if message.code in (codes.POST, codes.PATCH):
            request_id = message.payload.partition(b"|")[0].decode("latin-1")
            self.executions[request_id] += 1

    def _service_time(self, message: aiocoap.Message) -> float:
        seconds = self.settings.service_seconds
        if message.opt.block2 is not None:
            return self.settings.block_seconds
        seconds *= self.rng.uniform(0.8, 1.2)
        if self.rng.random() < self.settings.straggler_ratio:
            seconds *= self.settings.straggler_factor
        age = asyncio.get_running_loop().time() - self.started
        if age < self.settings.cold_seconds:
            seconds *= self.settings.cold_factor
        return seconds

    def _response(
        self, message: aiocoap.Message, path: str
    ) -> tuple[codes.Code, bytes]:
        if message.opt.block2 is not None:
            return codes.CONTENT, content.drawing_body(path)
        code = codes.CONTENT
        if message.code == codes.POST:
            code = codes.CHANGED
        body = content.response_body(
            self.settings.service, path, message.payload
        )
        return code, body

    def _status(self, path: str) -> bytes:
        if self.status_override is not None:
            return self.status_override.encode()
        return b"ok" if path == "/health" else str(self.busy).encode()

    def _decline(self, exchange: Exchange) -> None:
        reply = self._new_reply(exchange, codes.SERVICE_UNAVAILABLE, b"")
        reply.opt.max_age = 0
        exchange.reply = reply.encode()
        self._send(exchange.reply, exchange.source)

    def _reply(
        self, exchange: Exchange, code: codes.Code, body: bytes
    ) -> None:
        block = exchange.message.opt.block2
        if block is None:
            reply = self._new_reply(exchange, code, body)
        else:
            reply = self._new_block_reply(exchange, code, body, block)
        exchange.reply = reply.encode()
        self._send(exchange.reply, exchange.source)

    def _new_block_reply(
        self,
        exchange: Exchange,
        code: codes.Code,
        body: bytes,
        block: optiontypes.BlockOption.BlockwiseTuple,
    ) -> aiocoap.Message:
        begin = block.block_number * content.BLOCK_BYTES
        end = begin + content.BLOCK_BYTES
        reply = self._new_reply(exchange, code, body[begin:end])
        reply.opt.block2 = optiontypes.BlockOption.BlockwiseTuple(
            block.block_number, end < len(body), content.BLOCK_EXPONENT
        )
        path = "/" + "/".join(exchange.message.opt.uri_path)
        reply.opt.etag = content.entity_tag(path)
        return reply

    def _new_reply(
        self, exchange: Exchange, code: codes.Code, body: bytes
    ) -> aiocoap.Message:
        return aiocoap.Message(
            code=code,
            payload=body,
            _mtype=types.ACK,
            _mid=exchange.message.mid,
            _token=exchange.message.token,
        )

    def _send(self, data: bytes, to: addresses.Address) -> None:
        if self.drop_replies:
            self.counters["muted"] += 1
            return
        self.endpoint.send(data, to)

    def _cancel(self, exchange: Exchange | None) -> None:
        if exchange is None or exchange.task is None:
            return
        exchange.task.cancel()
