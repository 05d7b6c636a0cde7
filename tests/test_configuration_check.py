"""Tests of the check of a configuration before it is sent."""

import copy
import errno
import io
import json
import os

import hypothesis
from hypothesis import strategies
import pytest

from tests import conftest
from tests import stored_objects
from vanilladrum import __main__ as command_line
from vanilladrum.core import document
from vanilladrum.core import errors
from vanilladrum.operator.checks import differences
from vanilladrum.operator.checks import findings
from vanilladrum.operator.checks import flows
from vanilladrum.operator.checks import requests
from vanilladrum.platform import listing as listings
from vanilladrum.platform import objects

GOOD = {
    **stored_objects.CONFIGURATION,
    "services": [
        {"name": "huvo11a", "health-check-path": "/health"},
        {
            "name": "wuno96b",
            "health-check-path": "/health",
            "warmup-s": 3,
            "warmup-per-s": 4.5,
        },
    ],
}
PRINTED = """\
base = 0
data_centres = ["bilbao"]

[[service]]
name = "bookings"
number = 1
address = "127.0.0.1:5683"

[[service.server]]
name = "b-1"
number = 1
data_centre = "bilbao"
address = "127.0.0.1:9001"
"""
# Highest weights and rates, durations, priorities and versions.
BOUNDS = (10**9, 10**6, 1000, 2**63 - 1)
# Values of any type that JSON has, valid ones among them.
VALUES = strategies.one_of(
    strategies.just(KeyError),
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-2, 2),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=3),
    strategies.sampled_from(
        ("a", "/80/", "٣", "198.18.0.1", "::1", "[::1]", "x y", "\ud800")
    ),
    strategies.just([]),
    strategies.just({}),
    strategies.just(["service"]),
    strategies.just([{"service": "a", "weight": 1}, {"service": "b"}]),
    strategies.text(min_size=257, max_size=257),
)


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a file and returns its path."""

    def write_text(name, content):
        path = tmp_path / name
        if not isinstance(content, str):
            content = json.dumps(content)
        path.write_text(content, encoding="utf-8")
        return str(path)

    return write_text


@pytest.fixture
def run(monkeypatch, capsys):
    """Return a function that runs the command: exit code, stdout, stderr."""

    def run_check(*arguments):
        monkeypatch.setattr("sys.argv", ["vanilladrum", "check", *arguments])
        code = 0
        try:
            command_line.main()
        except SystemExit as stop:
            code = stop.code
        output = capsys.readouterr()
        return code, output.out, output.err

    return run_check


class ClosedPipe(io.StringIO):
    """An output whose reader has ended."""

    def write(self, text):
        raise BrokenPipeError(errno.EPIPE, "Broken pipe")


def changed(path, value):
    """Return the good configuration with one value replaced or removed."""
    content = copy.deepcopy(GOOD)
    change(content, path, value)
    return content


def change(content, path, value):
    """Replace a value, or remove it if the new one is KeyError."""
    *parents, last = [
        int(part) if part.isdigit() else part for part in path.split(".")
    ]
    parent = content
    for part in parents:
        parent = parent[part]
    if value is KeyError:
        del parent[last]
    else:
        # Later changes may be made in the value itself.
        parent[last] = copy.deepcopy(value)


def find(content):
    return flows.run(listings.read_listing(content))


def names(found):
    return [each.check for each in found]


def is_accepted(content):
    entry = objects.StoredObject("main", 1, content)
    try:
        objects.parse_configuration(entry)
    except errors.PlatformError:
        return False
    return True


def value_paths(value, path=""):
    """Return the paths of all values of a document, the root excluded."""
    found = [path] if path else []
    children = []
    if isinstance(value, dict):
        children = list(value.items())
    if isinstance(value, list):
        children = list(enumerate(value))
    for key, child in children:
        found.extend(value_paths(child, f"{path}.{key}".lstrip(".")))
    return found


def assert_agreement(content):
    problems = listings.read_listing(content).problems
    assert is_accepted(content) == (not problems)
    # A problem without a key is one that the listing itself did not find.
    assert all(problem.key for problem in problems)


# Guards against a check that passes what entry hosts refuse, or the reverse.
@hypothesis.settings(max_examples=400, deadline=None)
@hypothesis.given(strategies.data())
def test_check_and_entry_hosts_accept_the_same(data):
    content = copy.deepcopy(GOOD)
    content["routes"][0].update(
        {"type": "safe", "target-latency-ms": 100, "priority": 3}
    )
    for _ in range(data.draw(strategies.integers(1, 3))):
        paths = value_paths(content)
        path = data.draw(strategies.sampled_from(paths))
        change(content, path, data.draw(VALUES))
        if not content:
            break
    assert_agreement(content)


# Guards against a difference in a single field, which random changes may miss.
@pytest.mark.parametrize("path", value_paths(GOOD))
@pytest.mark.parametrize(
    "value",
    [KeyError, None, True, -1, 0, 1.5, float("nan"), "", "a", [], {}]
    + [bound + more for bound in BOUNDS for more in (0, 1)]
    + ["/65535/", "/65536/", "a" * 256, "a" * 257],
    ids=lambda value: repr(value)[:20],
)
def test_each_field_is_checked_as_by_entry_hosts(path, value):
    assert_agreement(changed(path, value))


@pytest.mark.parametrize("content", [None, [], "a", 3])
def test_document_that_is_no_object_is_an_error(content):
    assert [each.severity for each in find(content)] == [
        findings.Severity.ERROR
    ]


def test_good_configuration_has_no_findings():
    assert find(GOOD) == []
    assert find({"meta": {"name": "main"}, "spec": GOOD}) == []


# Guards against errors that do not say which value is wrong.
@pytest.mark.parametrize(
    "path,value,key,message",
    [
        ("version", 0, "version", "an integer that is not 1 to"),
        ("routes.1.timeout-ms", "5", "routes[1].timeout-ms", "str in"),
        ("routes.0.host", "a.b", "routes[0].host", "not an IP address"),
        ("routes.0.host", "::1", "routes[0].host", "no IPv4 endpoint"),
        ("routes.0.path-prefix", "/0/", "routes[0].path-prefix", "port"),
        ("routes.0.path-prefix", "/99999/", "routes[0].path-prefix", ""),
        ("routes.0.name", KeyError, "routes[0].name", "is missing"),
        (
            "routes.1.backends.1.weight",
            -1,
            "routes[1].backends[1].weight",
            "a number that is not 0",
        ),
        ("services.0", 3, "services[0]", "int in place of an object"),
        ("limits", KeyError, "limits", "is missing"),
        ("limits", {}, "limits.idle-timeout-ms", "is missing"),
    ],
)
def test_error_names_key_and_remedy(path, value, key, message):
    (found,) = find(changed(path, value))
    assert found.severity is findings.Severity.ERROR
    assert found.key == key
    assert message in found.message
    assert found.remedy


# Guards against a report of the first error only.
def test_all_errors_are_reported():
    content = changed("version", "7")
    content["routes"][0]["name"] = None
    content["routes"][1]["backends"][0]["weight"] = None
    del content["services"][0]["health-check-path"]
    assert [each.key for each in find(content)] == [
        "version",
        "routes[0].name",
        "routes[1].backends[0].weight",
        "services[0].health-check-path",
    ]


# Each case is a mistake that entry hosts accept.
@pytest.mark.parametrize(
    "path,value,check,key",
    [
        (
            "routes.1.path-prefix",
            "8080",
            "duplicate_address",
            "routes[0].path-prefix",
        ),
        ("routes.1.name", "r-1", "duplicate_name", "routes[1].name"),
        ("routes.1.backends.0.weight", 0, "weight_zero", "routes[1].backends"),
        (
            "routes.1.backends",
            [
                {"service": "wuno96b", "weight": 0},
                {"service": "huvo11a", "weight": 0.0},
            ],
            "weight_zero",
            "routes[1].backends",
        ),
        (
            "routes.1.backends",
            [{"service": "wuno96b", "weight": 1}] * 2,
            "repeated_share",
            "routes[1].backends",
        ),
        (
            "routes.1.service",
            "huvo11a",
            "service_without_route",
            "services[1].name",
        ),
        ("routes.0.service", "other", "unlisted_service", "routes[0]"),
        (
            "routes.0.target-latency-ms",
            601,
            "target_above_timeout",
            "routes[0].target-latency-ms",
        ),
        (
            "limits.idle-timeout-ms",
            599,
            "idle_timeout_below_timeout",
            "limits.idle-timeout-ms",
        ),
        (
            "services.1.warmup-per-s",
            0.0,
            "warm_up_without_rate",
            "services[1].warmup-per-s",
        ),
        (
            "services.1.warmup-per-s",
            KeyError,
            "warm_up_without_rate",
            "services[1].warmup-per-s",
        ),
        (
            "services.1.warmup-s",
            KeyError,
            "rate_without_warm_up",
            "services[1].warmup-s",
        ),
    ],
)
def test_mistake_is_one_warning(path, value, check, key):
    (found,) = find(changed(path, value))
    assert (found.check, found.key) == (check, key)
    assert found.severity is findings.Severity.WARNING
    assert is_accepted(changed(path, value))


# Guards against warnings on limits that are equal, which is allowed.
@pytest.mark.parametrize(
    "path,value",
    [
        ("routes.0.target-latency-ms", 600),
        ("limits.idle-timeout-ms", 600),
        ("services.0.warmup-per-s", 0),
        ("services.0.warmup-s", 0),
    ],
)
def test_limits_at_their_bounds_are_good(path, value):
    assert find(changed(path, value)) == []


# Guards against warnings that only follow from an entry with an error.
def test_errors_hide_warnings():
    found = find(changed("services.0.health-check-path", None))
    assert names(found) == ["valid"]


def compare(before, after):
    return differences.compare(
        listings.comparable(listings.read_listing(before)),
        listings.comparable(listings.read_listing(after)),
    )


# Guards against differences of notation only.
def test_equal_meaning_is_no_difference():
    other = copy.deepcopy(GOOD)
    other["version"] = 8
    other["routes"].reverse()
    other["services"].reverse()
    other["routes"][0]["backends"] = [
        {"service": "wuno96b", "weight": 0.1},
        {"service": "huvo11a", "weight": 0.9},
    ]
    del other["routes"][1]["service"]
    other["routes"][1]["backends"] = [{"service": "huvo11a", "weight": 3}]
    other["routes"][1]["path-prefix"] = "8080"
    other["routes"][1]["target-latency-ms"] = 0
    other["limits"]["idle-timeout-ms"] = 15000.0
    assert compare(GOOD, other) == []


@pytest.mark.parametrize(
    "path,value,expected",
    [
        ("routes.0.timeout-ms", 700, "route r-1: timeout-ms: 600 -> 700"),
        (
            "routes.0.path-prefix",
            "/81/",
            "route r-1: address: 198.18.0.1:8080 -> 198.18.0.1:81",
        ),
        ("routes.0.type", "safe", "route r-1: repeatable: False -> True"),
        (
            "routes.0.service",
            "wuno96b",
            "route r-1: services: {'huvo11a': 1} -> {'wuno96b': 1}",
        ),
        (
            "services.1.warmup-per-s",
            0,
            "service wuno96b: warmup-per-s: 4.5 -> 0",
        ),
        ("limits.idle-timeout-ms", 9, "limits: idle-timeout-ms: 15000 -> 9"),
        ("routes", GOOD["routes"][:1], "route r-2: removed"),
        ("services", GOOD["services"][1:], "service huvo11a: removed"),
    ],
)
def test_difference_names_entry_and_field(path, value, expected):
    other = changed(path, value)
    assert [str(each) for each in compare(GOOD, other)] == [expected]
    # The other direction has the same entries and fields.
    (reverse,) = compare(other, GOOD)
    opposite = {"removed": "added", "changed": "changed"}
    (forward,) = compare(GOOD, other)
    assert reverse.change == opposite[forward.change]


# Guards against a tiny share that is taken for none at all.
def test_smallest_share_differs_from_weight_zero():
    tiny = changed("routes.1.backends.0.weight", 1e-9)
    none = changed("routes.1.backends.0.weight", 0)
    (found,) = compare(tiny, none)
    assert found.field == "services"


# Two routes with one address: their order decides which one is used.
def test_order_is_a_difference_only_of_routes_with_one_address():
    content = changed("routes.1.path-prefix", "/8080/")
    other = copy.deepcopy(content)
    other["routes"].reverse()
    assert [str(each) for each in compare(content, other)] == [
        "route r-1: used: False -> True",
        "route r-2: used: True -> False",
    ]


# Guards against one of two routes with one name missing from a comparison.
def test_routes_with_one_name_are_compared_by_address():
    content = changed("routes.1.name", "r-1")
    other = copy.deepcopy(content)
    other["routes"][0]["timeout-ms"] = 601
    assert [str(each) for each in compare(content, other)] == [
        "route r-1 at 198.18.0.1:8080: timeout-ms: 600 -> 601"
    ]


def fleet_of(**service_fields):
    """Return a configuration of the request mode with other fields."""
    plain = document.unstructure(conftest.make_fleet())
    plain["service"][0].update(service_fields)
    return document.read_fleet(plain, "test")


def test_valid_fleet_without_mistakes_has_no_findings():
    assert requests.run(conftest.make_fleet()) == []


@pytest.mark.parametrize(
    "fields,check,key",
    [
        ({"server": []}, "service_without_server", "service.0.server"),
        (
            {
                "route": [
                    {"path": "/a", "priority": "bulk"},
                    {"path": "/a", "priority": "urgent"},
                ]
            },
            "duplicate_path",
            "service.0.route.0.path",
        ),
        (
            {
                "route": [],
                "objective": [
                    {"priority": "bulk", "latency": 0.1, "target": 0.9}
                ],
            },
            "unused_objective",
            "service.0.objective.0.priority",
        ),
        (
            {
                "objective": [
                    {"priority": "urgent", "latency": 0.1, "target": 0.9},
                    {"priority": "urgent", "latency": 0.2, "target": 0.9},
                ]
            },
            "unused_objective",
            "service.0.objective.1.priority",
        ),
        (
            {
                "deadline": 0.5,
                "objective": [
                    {"priority": "urgent", "latency": 0.6, "target": 0.9}
                ],
            },
            "limit_above_deadline",
            "service.0.objective.0.latency",
        ),
    ],
)
def test_mistake_of_a_fleet_is_one_warning(fields, check, key):
    (found,) = requests.run(fleet_of(**fields))
    assert (found.check, found.key) == (check, key)


def test_fleets_are_compared_by_name_and_field():
    before = differences.fleet_entries(fleet_of())
    again = differences.fleet_entries(fleet_of())
    assert differences.compare(before, again) == []
    after = differences.fleet_entries(fleet_of(aging=0.7))
    (found,) = differences.compare(before, after)
    assert (found.kind, found.field, found.after) == ("service", "aging", 0.7)
    gone = differences.compare(
        before, differences.fleet_entries(fleet_of(server=[]))
    )
    assert {(each.change, each.kind) for each in gone} == {
        ("removed", "server")
    }


# Guards against a comparison of the entry that is not used.
def test_fleets_with_hidden_entries_differ_in_what_is_used():
    def entries(first, second):
        objectives = [
            {"priority": "urgent", "latency": latency, "target": 0.9}
            for latency in (first, second)
        ]
        routes = [
            {"path": "/a", "priority": "bulk" if latency > 1 else "urgent"}
            for latency in (first, second)
        ]
        return differences.fleet_entries(
            fleet_of(objective=objectives, route=routes)
        )

    found = differences.compare(entries(0.5, 2.0), entries(2.0, 0.5))
    assert [(each.kind, each.before, each.after) for each in found] == [
        ("objective", 0.5, 2.0),
        ("route", "bulk", "urgent"),
    ]


def test_summary_of_a_good_printed_file_is_as_before(write, run):
    path = write("printed.toml", PRINTED)
    line = f"{path}: 1 services, 1 servers: good\n"
    assert run(path) == (0, line, "")


def test_invalid_printed_file_is_one_error_line_as_before(write, run):
    path = write("printed.toml", PRINTED.replace("number = 1", "number = 0"))
    code, out, err = run(path)
    assert (code, out) == (2, "")
    assert err == (
        f"vanilladrum: {path}: service 'bookings': number is 0; "
        "use 1 to 65535\n"
    )


@pytest.mark.parametrize("name", ["main.json", "main"])
def test_json_is_recognized_by_name_or_content(write, run, name):
    path = write(name, GOOD)
    assert run(path) == (0, f"{path}: 2 routes, 2 services: good\n", "")


# Guards against reading a file twice, which a pipe does not allow.
@pytest.mark.parametrize("content", [PRINTED, json.dumps(GOOD)])
def test_file_may_be_a_pipe(run, content):
    reading, writing = os.pipe()
    os.write(writing, content.encode())
    os.close(writing)
    code, out, err = run(f"/dev/fd/{reading}")
    os.close(reading)
    assert (code, err) == (0, "")
    assert out.endswith(": good\n")


def test_byte_order_mark_is_allowed_in_json(write, run):
    assert run(write("main", "\ufeff" + json.dumps(GOOD)))[0] == 0


def test_missing_file_is_an_error_with_a_remedy(run, tmp_path):
    for name, kind in (("a.json", "JSON"), ("a.toml", "printed TOML")):
        code, _, err = run(str(tmp_path / name))
        assert code == 2
        assert err.endswith(f"; name a {kind} file\n")


def test_exit_codes_of_warnings_and_errors(write, run):
    path = write("main.json", changed("limits.idle-timeout-ms", 1))
    code, out, err = run(path)
    assert (code, err) == (1, "")
    assert f"{path}: warning: key 'limits.idle-timeout-ms': " in out
    assert out.endswith(f"{path}: 2 routes, 2 services: 2 warnings\n")
    path = write("main.json", changed("version", None))
    assert run(path) == (
        2,
        "",
        f"vanilladrum: {path}: key 'version': NoneType in place of an "
        "integer; correct the value\n",
    )


@pytest.mark.parametrize(
    "content", ["", "{", "[" * 100_000, '{"version": ' + "9" * 5000 + "}"]
)
def test_unreadable_json_is_an_error(write, run, content):
    path = write("main.json", content)
    code, out, err = run(path)
    assert (code, out) == (2, "")
    assert err.startswith(f"vanilladrum: {path}: ")
    assert err.count("\n") == 1
    code, out, err = run(path, "--json")
    assert (code, err) == (2, "")
    assert json.loads(out)["result"] == "errors"


# The exit code was 1, as for warnings, when the reader of the output ended.
@pytest.mark.parametrize("options", [(), ("--json",)])
def test_output_that_cannot_be_written_is_an_error(
    write, run, monkeypatch, options
):
    path = write("main.json", GOOD)
    monkeypatch.setattr("sys.stdout", ClosedPipe())
    code, _, err = run(path, *options)
    assert code == 2
    assert "cannot be written" in err


def test_differences_do_not_change_the_exit_code(write, run):
    old = write("old.json", GOOD)
    new = write("new.json", changed("routes.0.timeout-ms", 700))
    code, out, _ = run(new, "--against", old)
    assert code == 0
    assert out.splitlines()[0] == "route r-1: timeout-ms: 600 -> 700"
    code, out, _ = run(old, "--against", old)
    assert out.splitlines()[0] == f"no difference from {old}"


@pytest.mark.parametrize(
    "other", [PRINTED, changed("version", 0), "{"], ids=("kind", "bad", "")
)
def test_file_that_cannot_be_compared_is_an_error(write, run, other):
    other_path = write("other", other)
    path = write("main.json", GOOD)
    code, _, err = run(path, "--against", other_path)
    assert code == 2
    assert err.startswith(f"vanilladrum: {other_path}: ")


def test_json_output_has_findings_and_differences(write, run):
    old = write("old.json", GOOD)
    new = write("new.json", changed("limits.idle-timeout-ms", 550))
    code, out, err = run(new, "--against", old, "--json")
    assert (code, err) == (1, "")
    result = json.loads(out)
    assert (result["file"], result["kind"]) == (new, "flows")
    assert (result["result"], result["against"]) == ("warnings", old)
    (finding,) = result["findings"]
    assert finding["check"] == "idle_timeout_below_timeout"
    assert finding["severity"] == "warning"
    assert result["differences"] == [
        {
            "change": "changed",
            "kind": "limits",
            "name": "",
            "field": "idle-timeout-ms",
            "before": 15000,
            "after": 550,
        }
    ]


def test_json_output_of_a_printed_file(write, run):
    path = write("printed.toml", PRINTED)
    code, out, _ = run(path, "--against", path, "--json")
    result = json.loads(out)
    assert (code, result["kind"], result["result"]) == (0, "requests", "good")
    assert result["differences"] == []
    path = write("bad.toml", "base = -1")
    code, out, _ = run(path, "--json")
    assert (code, json.loads(out)["findings"][0]["severity"]) == (2, "error")
