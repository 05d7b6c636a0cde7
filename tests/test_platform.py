"""Decoding of the platform's settings, packets and stored objects."""

import json
import random

from hypothesis import given
from hypothesis import strategies
import pytest

from tests import stored_objects
from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import serverstate
from vanilladrum.platform import objects
from vanilladrum.platform import packet as packets
from vanilladrum.platform import settings as node_settings

SETTINGS = """
node-name=frontend-bilbao-1
zone=bilbao
ip=10.1.0.10
listen-addrs.datagram-addr=10.1.0.10:8172
listen-addrs.readiness-addr=10.1.0.10:8167
internal-ports=7720,7735
seeds=10.1.0.10:8166,10.2.0.40:8166
platform.address=10.200.1.7:8169
bounds.grace-s=6
some.new-field=x
"""
# The header of a first packet and the reset that answers it.
FIRST_PACKET = bytes.fromhex(
    "11223344000000009c4101bb64400007c6120001a1b2c3d50000000040000000"
)
RESET = bytes.fromhex(
    "000000000000000001bb9c41c612000164400007000000000000000001000000"
)


def test_settings_are_parsed_and_unknown_keys_ignored():
    parsed = node_settings.parse(SETTINGS, "file")
    assert parsed.flows == addresses.Address("10.1.0.10", 8172)
    assert parsed.peer == addresses.Address("10.1.0.10", 7720)
    assert parsed.seeds[1] == addresses.Address("10.2.0.40", 7720)
    assert parsed.grace == 6.0


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("zone=", "zone"),
        ("listen-addrs.datagram-addr=nowhere", "listen-addrs.datagram-addr"),
        ("internal-ports=a,b", "internal-ports"),
        ("bounds.grace-s=soon", "bounds.grace-s"),
        ("seeds=10.1.0.10", "seeds"),
    ],
)
def test_invalid_setting_is_refused_with_file_and_key(line, key):
    with pytest.raises(errors.SettingsError, match="file: key") as caught:
        node_settings.parse(SETTINGS + line + "\n", "file")
    assert repr(key) in str(caught.value)


def test_missing_file_and_invalid_metrics_port_are_refused(monkeypatch):
    with pytest.raises(errors.SettingsError, match="cannot be read"):
        node_settings.read("/does/not/exist")
    monkeypatch.setenv(node_settings.METRICS_VARIABLE, "no-port")
    with pytest.raises(errors.SettingsError, match="METRICS_PORT"):
        node_settings.parse(SETTINGS, "file")


def test_forwarded_packet_differs_from_the_received_one_in_its_tag():
    packet = packets.decode(FIRST_PACKET + b"rest")
    assert packet.opens and not packet.closes and packet.copies == 0
    assert packet.service == addresses.Address("198.18.0.1", 443).pack()
    assert packets.caller_address(packet.key) == addresses.Address(
        "100.64.0.7", 40001
    )
    wire_id = packets.wire_id("i-7f3a91c2")
    sent = packets.encode_for_server(packet, wire_id, 0x01020304)
    assert sent[:8] == wire_id
    expected = FIRST_PACKET[:24] + bytes((1, 2, 3, 4)) + FIRST_PACKET[28:]
    assert sent[8:] == expected + b"rest"


def test_reset_has_the_specified_bytes():
    assert packets.make_reset(packets.decode(FIRST_PACKET)) == RESET


def test_reset_of_an_open_flow_has_what_the_caller_expects_next():
    """A caller drops a reset far from its last acknowledgement number."""
    later = FIRST_PACKET[:4] + bytes.fromhex("0000abcd") + FIRST_PACKET[8:28]
    packet = packets.decode(later + bytes((packets.ACK, 0, 0, 0)))
    reset = packets.make_flow_reset(packet.key, packet.acknowledged)
    assert reset == packets.make_reset(packet)
    assert reset == bytes.fromhex("0000abcd") + RESET[4:]


def test_copies_of_a_first_packet_are_counted():
    """A repeated first packet has the number of earlier copies."""
    copy = FIRST_PACKET[:4] + bytes((0, 0, 0, 2)) + FIRST_PACKET[8:]
    assert packets.decode(copy).copies == 2


def test_request_id_is_read_from_the_first_data():
    data = b"GET / HTTP/1.1\r\nX-Request-Id: abc123\r\nA: b\r\n\r\n"
    packet = packets.decode(FIRST_PACKET + data)
    assert packets.request_id(packet) == "abc123"
    assert packets.request_id(packets.decode(FIRST_PACKET)) is None
    assert not packets.decode(FIRST_PACKET).has_data
    assert packet.has_data
    assert packets.format_flow(packet.key) == "100.64.0.7:40001>198.18.0.1:443"


@given(strategies.binary(max_size=120))
def test_any_datagram_is_decoded_or_refused(datagram):
    try:
        packet = packets.decode(datagram)
    except errors.PacketError as error:
        assert error.kind == "short"
        return
    packets.request_id(packet)
    assert len(packets.make_reset(packet)) == packets.HEADER_BYTES


def test_server_entry_is_parsed():
    server = objects.parse_server(
        stored_objects.make_object("i-7f3a91c2", stored_objects.SERVER_ENTRY)
    )
    assert server.state is serverstate.ServerState.ACTIVE
    assert server.slots == 2 and server.warm_up == 1.5
    assert server.address == addresses.Address("10.128.0.9", 8080)
    leaving = objects.parse_server(
        stored_objects.make_object(
            "i-1", stored_objects.SERVER_ENTRY | {"state": "draining"}
        )
    )
    assert leaving.state is serverstate.ServerState.LEAVING


@pytest.mark.parametrize(
    "overrides",
    [
        {"state": "odd"},
        {"address": 7},
        {"address": "host:1"},
        {"max-concurrency": "2"},
        {"born": 1.5},
        {"service": None},
    ],
)
def test_malformed_server_entry_is_refused(overrides):
    with pytest.raises(errors.PlatformError, match="names no server"):
        objects.parse_server(
            stored_objects.make_object(
                "i-7f3a91c2", stored_objects.SERVER_ENTRY | overrides
            )
        )
    for content in (None, "text", 7, []):
        with pytest.raises(errors.PlatformError):
            objects.parse_server(
                stored_objects.make_object("i-7f3a91c2", content)
            )
    with pytest.raises(errors.PlatformError):
        objects.parse_server(
            stored_objects.make_object(
                "no-digits!", stored_objects.SERVER_ENTRY
            )
        )


def test_configuration_is_parsed():
    parsed = objects.parse_configuration(
        stored_objects.make_object("main", stored_objects.CONFIGURATION)
    )
    assert parsed.generation == 7
    first = parsed.routes[addresses.Address("198.18.0.1", 8080).pack()]
    assert first.services == {"huvo11a"} and first.timeout == 0.6
    second = parsed.routes[addresses.Address("198.18.0.1", 8443).pack()]
    rng = random.Random(1)
    chosen = [second.choose(rng) for _ in range(1000)]
    assert 50 < chosen.count("wuno96b") < 150
    assert parsed.health_paths == {"huvo11a": "/health"}


def test_partly_invalid_configuration_is_refused_entirely():
    invalid = json.loads(json.dumps(stored_objects.CONFIGURATION))
    invalid["routes"][1]["path-prefix"] = "/x/"
    with pytest.raises(errors.PlatformError, match="the one in force stays"):
        objects.parse_configuration(
            stored_objects.make_object("main", invalid)
        )
