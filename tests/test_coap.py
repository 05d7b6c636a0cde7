"""Malformed, truncated, oversized, looping and forged datagrams."""

import collections

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types
import conftest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from vanilladrum.core import actions
from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import request as requests
from vanilladrum.wire import coap
from vanilladrum.wire import peers as wire_peers
from vanilladrum.wire import tunnel

PACKETS = 10_000


def message(code=codes.GET, mtype=types.CON, **options) -> aiocoap.Message:
    made = aiocoap.Message(
        code=code, uri_path=["slots"], _mtype=mtype, _mid=7, _token=b"tt"
    )
    for name, value in options.items():
        setattr(made.opt, name, value)
    return made


def mutated(draw) -> bytes:
    """Return a good datagram with some bytes changed, cut or added."""
    raw = bytearray(
        message(echo=draw(strategies.binary(max_size=40))).encode()
    )
    for _ in range(draw(strategies.integers(0, 4))):
        at = draw(strategies.integers(0, len(raw) - 1))
        raw[at] = draw(strategies.integers(0, 255))
    cut = draw(strategies.integers(0, len(raw)))
    return bytes(raw[:cut]) + draw(strategies.binary(max_size=20))


DATAGRAMS = strategies.one_of(
    strategies.binary(max_size=64), strategies.composite(mutated)()
)


@settings(max_examples=PACKETS, deadline=None, derandomize=True, database=None)
@given(raw=DATAGRAMS)
def test_no_made_up_packet_crashes_or_reaches_a_server(raw):
    core = core_of_one_host()
    try:
        received = coap.read_request(raw)
    except errors.PacketError as error:
        assert error.kind
        return
    if received.request is None:
        assert received.kind
        return
    path = coap.reply_path(received, conftest.CALLER, conftest.SERVICE, None)
    packet = actions.CallerPacket(raw, received.request, path)
    for action in core.handle(packet):
        assert isinstance(action, actions.SendToCaller)
        assert action.response.outcome == requests.Outcome.RENEW_TOKEN
        coap.encode_response(path, action.exchange, action.response)


_CORES: list = []


def core_of_one_host():
    if not _CORES:
        found = conftest.Hosts(conftest.FakeClock())
        _CORES.append(found.add(1))
    return _CORES[0]


@settings(max_examples=2000, deadline=None, derandomize=True, database=None)
@given(raw=strategies.binary(max_size=80))
def test_no_made_up_server_datagram_crashes(raw):
    try:
        coap.read_response(raw)
    except errors.PacketError as error:
        assert error.kind


@settings(max_examples=2000, deadline=None, derandomize=True, database=None)
@given(raw=strategies.binary(max_size=80))
def test_no_made_up_tunnel_or_peer_datagram_crashes(raw):
    codec = wire_peers.Codec(b"k" * 16)
    for read in (tunnel.unwrap, codec.decode):
        with pytest.raises(errors.PacketError):
            read(raw)


@settings(max_examples=2000, deadline=None, derandomize=True, database=None)
@given(body=strategies.binary(max_size=80))
def test_no_authentic_nonsense_of_a_peer_crashes(body):
    codec = wire_peers.Codec(b"k" * 16)
    try:
        codec.decode(codec._tag(body) + body)
    except errors.PacketError as error:
        assert error.kind == "peer_malformed"


@pytest.mark.parametrize(
    ("raw", "kind"),
    [
        (b"\x40\x01", "malformed"),
        (b"\x80\x01\x00\x07", "malformed"),
        (message(mtype=types.NON).encode()[:-1] + b"\xff", "malformed"),
        (b"\x50" + message().encode()[1:] + b"x" * 2000, "oversized"),
        (message(mtype=types.ACK).encode(), "stray"),
        (message(codes.CONTENT).encode(), "stray"),
    ],
)
def test_what_is_dropped_is_counted_by_kind(raw, kind):
    counted = collections.Counter()
    try:
        counted[coap.read_request(raw).kind] += 1
    except errors.PacketError as error:
        counted[error.kind] += 1
    assert counted == {kind: 1}


@pytest.mark.parametrize(
    ("made", "code"),
    [
        (message(hop_limit=1), codes.HOP_LIMIT_REACHED),
        (message(proxy_uri="coap://x/"), codes.PROXYING_NOT_SUPPORTED),
        (message(proxy_scheme="coap"), codes.PROXYING_NOT_SUPPORTED),
        (message(aiocoap.Code(31)), codes.METHOD_NOT_ALLOWED),
    ],
)
def test_what_is_refused_is_answered_as_the_rfc_says(made, code):
    reply = aiocoap.Message.decode(coap.read_request(made.encode()).reply)
    assert (reply.code, reply.mid, reply.token) == (code, 7, b"tt")


def test_ping_and_malformed_confirmable_are_reset():
    for raw in (b"\x40\x00\x00\x07", b"\x41\x01\x00\x07"):
        assert coap.read_request(raw).reply == b"\x70\x00\x00\x07"


def test_request_passes_through_to_the_server_unchanged():
    made = message(codes.POST, if_match=[b"tag"])
    made.payload = b"measured"
    request = coap.read_request(made.encode()).request
    sent = aiocoap.Message.decode(
        coap.encode_request(9, b"abcd", request, 1.5)
    )
    assert sent.payload == b"measured"
    assert sent.opt.uri_path == ("slots",)
    assert sent.opt.if_match == [b"tag"] or sent.opt.if_match == (b"tag",)
    assert not request.idempotent


def test_exchange_tells_requests_with_equal_tokens_apart():
    first = message()
    second = message()
    second.mid = 8
    keys = {
        coap.read_request(each.encode()).request.exchange
        for each in (first, second, first)
    }
    assert len(keys) == 2


def test_tunnel_carries_both_families():
    for one, two in (("127.0.0.1:1", "127.0.0.1:2"), ("[::1]:1", "[::1]:2")):
        ends = addresses.parse(one), addresses.parse(two)
        assert tunnel.unwrap(tunnel.wrap(*ends, b"x")) == (*ends, b"x")
