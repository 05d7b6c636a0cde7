"""Decoding of malformed, truncated, oversized, looping and forged packets."""

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
from vanilladrum.wire import peer_codec as wire_peers
from vanilladrum.wire import tunnel

PACKETS = 10_000


def message(code=codes.GET, mtype=types.CON, **options) -> aiocoap.Message:
    """Return a message with path ``slots``, message ID 7 and token ``tt``."""
    built = aiocoap.Message(
        code=code, uri_path=["slots"], _mtype=mtype, _mid=7, _token=b"tt"
    )
    for name, value in options.items():
        setattr(built.opt, name, value)
    return built


def mutated_datagram(draw) -> bytes:
    """Return a valid datagram with bytes changed, cut off or appended."""
    raw = bytearray(
        message(echo=draw(strategies.binary(max_size=40))).encode()
    )
    for _ in range(draw(strategies.integers(0, 4))):
        index = draw(strategies.integers(0, len(raw) - 1))
        raw[index] = draw(strategies.integers(0, 255))
    cut = draw(strategies.integers(0, len(raw)))
    return bytes(raw[:cut]) + draw(strategies.binary(max_size=20))


DATAGRAMS = strategies.one_of(
    strategies.binary(max_size=64), strategies.composite(mutated_datagram)()
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
    """Return the core of a network of one host; every call the same one."""
    if not _CORES:
        hosts = conftest.HostNetwork(conftest.FakeClock())
        _CORES.append(hosts.add(1))
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
def test_dropped_datagram_is_counted_by_kind(raw, kind):
    counts = collections.Counter()
    try:
        counts[coap.read_request(raw).kind] += 1
    except errors.PacketError as error:
        counts[error.kind] += 1
    assert counts == {kind: 1}


@pytest.mark.parametrize(
    ("refused", "code"),
    [
        (message(hop_limit=1), codes.HOP_LIMIT_REACHED),
        (message(proxy_uri="coap://x/"), codes.PROXYING_NOT_SUPPORTED),
        (message(proxy_scheme="coap"), codes.PROXYING_NOT_SUPPORTED),
        (message(aiocoap.Code(31)), codes.METHOD_NOT_ALLOWED),
    ],
)
def test_refused_request_is_answered_as_the_rfc_requires(refused, code):
    reply = aiocoap.Message.decode(coap.read_request(refused.encode()).reply)
    assert (reply.code, reply.mid, reply.token) == (code, 7, b"tt")


def test_ping_and_malformed_confirmable_are_reset():
    for raw in (b"\x40\x00\x00\x07", b"\x41\x01\x00\x07"):
        assert coap.read_request(raw).reply == b"\x70\x00\x00\x07"


def test_request_passes_through_to_the_server_unchanged():
    received = message(codes.POST, if_match=[b"tag"])
    received.payload = b"measured"
    request = coap.read_request(received.encode()).request
    sent = aiocoap.Message.decode(
        coap.encode_request(9, b"abcd", request, 1.5)
    )
    assert sent.payload == b"measured"
    assert sent.opt.uri_path == ("slots",)
    assert sent.opt.if_match == [b"tag"] or sent.opt.if_match == (b"tag",)
    assert not request.idempotent


def test_requests_with_equal_tokens_have_distinct_exchanges():
    """The message ID tells them apart; a retransmission has the same one."""
    first = message()
    second = message()
    second.mid = 8
    exchanges = {
        coap.read_request(each.encode()).request.exchange
        for each in (first, second, first)
    }
    assert len(exchanges) == 2


def test_tunnel_carries_ipv4_and_ipv6_addresses():
    for source, target in (
        ("127.0.0.1:1", "127.0.0.1:2"),
        ("[::1]:1", "[::1]:2"),
    ):
        endpoints = addresses.parse(source), addresses.parse(target)
        assert tunnel.unwrap(tunnel.wrap(*endpoints, b"x")) == (
            *endpoints,
            b"x",
        )
