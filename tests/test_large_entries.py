"""Large entries of other writers: memory and time do not follow their form."""

import asyncio
import json
import time
import tracemalloc

from hypothesis import given
from hypothesis import strategies
import pytest

from tests import stored_objects
from tests import test_flow_processes
from tests import test_odd_entries
from tests import test_reported_failures
from vanilladrum.core import position as positions
from vanilladrum.platform import answers
from vanilladrum.platform import connection as connections
from vanilladrum.platform import json_text
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.standins import large_entries
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

# Memory of the smallest machines, and a tenth of it for one answer, in bytes.
MACHINE_BYTES = 100_000_000
ANSWER_BYTES = MACHINE_BYTES // 10
# A host that is silent for two probes of the routers, in seconds, gets no
# more packets.
PROBES_SECONDS = 1.0


@pytest.fixture(
    params=large_entries.FORMS.values(), ids=large_entries.FORMS.keys()
)
def make_entry(request):
    return request.param


def encode_answer(spec):
    """Return a list with an entry between two of servers."""
    return test_odd_entries.encode_list(
        test_odd_entries.encode_object(b'"i-a"', test_odd_entries.GOOD),
        test_odd_entries.encode_object(b'"i-b"', spec),
        test_odd_entries.encode_object(b'"i-c"', test_odd_entries.GOOD),
    )


def read_list(body, kind="servers"):
    outcomes = []
    client = stores.Store(loops.Loop(), test_reported_failures.ANY, 0.3)

    def call(_, path, read, done, **extra):
        answer = connections.Answer(200, body, era=1)
        decoder = objects.decoder(kind)
        done(answers.read_answer("GET", answer, read, False, decoder))

    client._call = call
    client.list(kind, outcomes.append)
    return outcomes[0]


def measure(function, *arguments):
    """Return the result, the peak and the lasting memory in bytes."""
    tracemalloc.start()
    try:
        result = function(*arguments)
        lasting, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return result, peak, lasting


# Five entries of 1 MB took 24 MB each for as long as they were in the store.
def test_memory_of_a_large_entry_does_not_follow_its_form(make_entry):
    body = encode_answer(make_entry(large_entries.MAX_BYTES))
    outcome, peak, lasting = measure(read_list, body)
    assert set(test_odd_entries.servers_of(outcome)) == {"i-a", "i-c"}
    assert [each.name for each in outcome.objects] == ["i-a", "i-b", "i-c"]
    assert peak < ANSWER_BYTES
    assert lasting < 100_000


# An answer with text that is no UTF-8 was split for 3.9 s.
def test_time_for_a_large_entry_does_not_follow_its_form(make_entry):
    body = encode_answer(make_entry(large_entries.MAX_BYTES))
    begin = time.process_time()
    read_list(body)
    assert time.process_time() - begin < PROBES_SECONDS


# Many small entries took as much memory as a few large ones.
def test_entries_that_name_no_server_are_not_kept():
    spec = large_entries.FORMS["empty lists"](1_000)
    mirror = mirrors.Mirror(loops.Loop())

    def receive(count):
        encoded = [
            test_odd_entries.encode_object(b'"i-%08x"' % number, spec)
            for number in range(count)
        ]
        body = test_odd_entries.encode_list(*encoded)
        mirror.replace_all("servers", read_list(body))

    receive(100)
    _, _, lasting_of_few = measure(receive, 100)
    _, peak, lasting = measure(receive, 2_000)
    assert peak < ANSWER_BYTES
    assert lasting - lasting_of_few < 1_000
    assert not mirror.kinds["servers"].relayed


# Evacuations are read by name only.
def test_content_of_an_evacuation_is_not_kept():
    body = encode_answer(large_entries.FORMS["empty lists"](1_000_000))
    mirror = mirrors.Mirror(loops.Loop())
    mirror.replace_all("evacuations", read_list(body, "evacuations"))
    relayed = mirror.kinds["evacuations"].relayed
    assert set(relayed) == {"i-a", "i-b", "i-c"}
    assert sum(map(len, relayed.values())) < 1_000


def test_large_entry_with_all_fields_names_its_server():
    """A later release may write more than is read here."""
    more = {"notes": [{}] * 100_000, "tags": {"a": [[[[[[1]]]]]]}}
    spec = json.dumps(more | stored_objects.SERVER_ENTRY).encode()
    servers = test_odd_entries.servers_of(read_list(encode_answer(spec)))
    assert set(servers) == {"i-a", "i-b", "i-c"}
    assert vars(servers["i-b"]).keys() == vars(servers["i-a"]).keys()


# Followers were woken, and relayed the content, at each change.
def test_change_of_an_entry_without_a_server_is_not_relayed():
    mirror = mirrors.Mirror(loops.Loop())
    good = stored_objects.make_object("i-a", stored_objects.SERVER_ENTRY)
    mirror.replace_all("servers", stores.Listing((good,), 1))
    sent = []
    mirror.handle(
        httpd.Request("/servers", "watch=1&wait-ms=9000", sent.append)
    )
    odd = stored_objects.make_object("i-b", {"rows": []}, 2)
    mirror.apply_changes("servers", stores.Changes((odd,), 2))
    assert not sent
    assert mirror.position("servers") == positions.StorePosition(0, 2)
    # An entry that named a server before is removed at the followers.
    changed = stored_objects.make_object("i-a", {"rows": []}, 3)
    mirror.apply_changes("servers", stores.Changes((changed,), 3))
    (event,) = json.loads(sent[0].body)["events"]
    assert event["deleted"] and event["object"]["meta"]["name"] == "i-a"
    assert json.loads(mirror.kinds["servers"].list_body())["items"] == []


# Brackets and separators within texts, and the window's end, are where parts
# of a document are taken for others.
@given(
    strategies.dictionaries(
        strategies.text(max_size=3), test_reported_failures.JSON_VALUES
    ),
    strategies.sampled_from((8, 64, 16_384)),
    strategies.booleans(),
)
@test_reported_failures.FUZZ_LIMITS
def test_parts_of_any_document_are_found(document, window, ascii_only):
    text = json.dumps(document, ensure_ascii=ascii_only, indent=1)
    encoded = text.encode(errors="surrogatepass")
    window_before, json_text._WINDOW = json_text._WINDOW, window
    try:
        cursor = json_text.Cursor(encoded)
        found = {
            name: cursor.take_value().decode(errors="surrogatepass")
            for name in cursor.members()
        }
        wanted = dict(
            json_text.MemberFinder(("a", "service")).find(
                json_text.Cursor(encoded)
            )
        )
    finally:
        json_text._WINDOW = window_before
    decoded = {name: json.loads(part) for name, part in found.items()}
    # Unlike the values, texts are equal where a number is NaN.
    assert json.dumps(decoded) == json.dumps(document)
    for name in ("a", "service"):
        assert (name in wanted) == (name in document)


@given(strategies.lists(test_reported_failures.JSON_VALUES))
@test_reported_failures.FUZZ_LIMITS
def test_elements_of_any_array_are_found(array):
    cursor = json_text.Cursor(json.dumps(array).encode())
    found = [json.loads(cursor.take_value()) for _ in cursor.elements()]
    assert json.dumps(found) == json.dumps(array)


@pytest.mark.parametrize(
    "text", [b"[", b'{"a":', b'{"a":"', b'{"a":[[[[[[[1]]]]]]', b"{1:2}", b""]
)
def test_document_that_does_not_end_is_an_error(text):
    cursor = json_text.Cursor(text)
    with pytest.raises(ValueError):
        list(cursor.members())


def peak_bytes(host):
    """Return the peak resident memory of a host's process."""
    with open(f"/proc/{host.process.pid}/status") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
    raise ValueError("the process has ended")


# Every process exceeded its memory again and again, also after each start.
async def test_large_entries_end_no_host(cluster):
    forms = list(large_entries.FORMS.values())
    for number, make in enumerate(forms[:6]):
        await cluster.store.put_raw(
            "servers", f"inventory-{number:04x}", make(1_000_000)
        )
        await asyncio.sleep(0.3)
    assert await test_flow_processes.send_requests(cluster, 200) == 200
    for host in cluster.hosts:
        assert peak_bytes(host) < MACHINE_BYTES
        assert await host.stop() == 0
        host.start()
    await cluster.wait_ready()
    assert await test_flow_processes.send_requests(cluster, 200) == 200
    for host in cluster.hosts:
        assert peak_bytes(host) < MACHINE_BYTES
        assert "internal error" not in host.log_path.read_text()
