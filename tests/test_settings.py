"""Validation of settings, plans and configurations, and its errors."""

import pathlib

import conftest
import pytest

from vanilladrum import __main__ as command_line
from vanilladrum.core import document
from vanilladrum.core import errors
from vanilladrum.daemons import settings as host_settings
from vanilladrum.operator import change
from vanilladrum import plan as plans

VALID_SETTINGS = """
[host]
name = "bilbao-1"
number = 1
data_centre = "bilbao"
[listen]
peer = "127.0.0.1:7001"
tunnel = "127.0.0.1:7002"
[platform]
url = "http://127.0.0.1:7003"
[security]
peer_secret = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a"
"""


@pytest.fixture
def write_file(tmp_path):
    """Return a function that writes a text to a file and returns its path."""

    def write_text(text: str) -> str:
        path = tmp_path / "host.toml"
        path.write_text(text, encoding="utf-8")
        return str(path)

    return write_text


def test_valid_settings_are_read(write_file):
    parsed = host_settings.read_entry_host(write_file(VALID_SETTINGS))
    assert parsed.host.name == "bilbao-1"
    assert parsed.listen.tunnel.port == 7002


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('name = "bilbao-1"', 'nmae = "b"', "nmae"),
        ("number = 1", 'number = "1"', "host.number"),
        ("number = 1", "number = 70000", "host.number"),
        ("number = 1", "", "number"),
        ("127.0.0.1:7002", "127.0.0.1:7001", "listen.tunnel"),
        ("127.0.0.1:7002", "127.0.0.1:70002", "listen.tunnel"),
        ("127.0.0.1:7002", "127.0.0.1:0", "listen.tunnel"),
        ("127.0.0.1:7002", "localhost:7002", "listen.tunnel"),
        ('tunnel = "127.0.0.1:7002"', "", "direct"),
        ('peer_secret = "5a', 'peer_secret = "zz', "peer_secret"),
        ("[host]", "[host", "TOML"),
        ("[host]", 'log_level = "loud"\n[host]', "log_level"),
        ("[host]", "[stop]\ndrain = -1.0\n[host]", "stop.drain"),
        ("http://127.0.0.1:7003", "ftp://127.0.0.1:7003", "platform.url"),
        ("http://127.0.0.1:7003", "http://platform:80", "platform.url"),
    ],
)
def test_error_of_invalid_settings_names_file_and_key(
    write_file, old, new, expected, capsys
):
    path = write_file(VALID_SETTINGS.replace(old, new))
    with pytest.raises(errors.SettingsError) as caught:
        host_settings.read_entry_host(path)
    assert path in str(caught.value)
    assert expected in str(caught.value)


def test_command_line_exits_2_with_one_line(write_file, capsys, monkeypatch):
    path = write_file(VALID_SETTINGS.replace("number = 1", "number = 0"))
    monkeypatch.setattr(
        "sys.argv", ["vanilladrum", "entry_host", f"--settings={path}"]
    )
    with pytest.raises(SystemExit) as caught:
        command_line.main()
    assert caught.value.code == 2
    assert capsys.readouterr().err.count("\n") == 1


def plain_fleet() -> dict:
    """Return a valid configuration as a document of plain values."""
    return document.unstructure(conftest.make_fleet())


def test_configuration_is_unchanged_by_printing_and_reading():
    fleet = conftest.make_fleet(3, hedge_ratio=0.25)
    assert document.read_fleet(document.unstructure(fleet), "x") == fleet


@pytest.mark.parametrize(
    ("invalidate", "expected"),
    [
        (lambda f: f["service"][1]["server"][0].update(name="b-1"), "b-1"),
        (lambda f: f.update(data_centres=["oviedo"]), "bilbao"),
        (lambda f: f["service"][1].update(address="127.0.0.1:5683"), "5683"),
        (lambda f: f["service"][0].update(name="No Name"), "No Name"),
        (lambda f: f["service"][0].update(colour="red"), "colour"),
        (lambda f: f["service"][0].update(number="1"), "number"),
        (lambda f: f["service"][0].update(deadline=-1.0), "deadline"),
        (lambda f: f["service"][0].update(deadline=float("nan")), "deadline"),
        (lambda f: f["service"][0].update(policy="best"), "best"),
        (lambda f: f["service"][0]["server"][0].update(slots=0), "slots"),
        (lambda f: f["key"][0].update(secret="xyz"), "secret"),
        (lambda f: f.update(active_key=3), "active key 3"),
        (lambda f: f.update(generation=0), "generation"),
        (lambda f: f.pop("operations"), "operations"),
        (lambda f: f.update(service=7), "service"),
    ],
)
def test_invalid_configuration_is_refused_with_the_key(invalidate, expected):
    plain = plain_fleet()
    invalidate(plain)
    with pytest.raises(errors.ConfigurationError) as caught:
        document.read_fleet(plain, "object.toml")
    assert "object.toml" in str(caught.value)
    assert expected in str(caught.value)


def test_printed_plan_can_be_read_back(write_file):
    plan = plans.Plan(["bilbao"])
    servers = [plans.server("b-1", 1, "bilbao", "127.0.0.1:9001", slots=2)]
    plan.service("bookings", 1, "127.0.0.1:9000", servers, policy="random")
    path = write_file(change.printed(plan, base=4))
    printed = change.read_printed(path)
    assert printed["base"] == 4
    fleet = change.check(printed, path)
    assert fleet.services[0].servers == tuple(servers)
    assert change.difference(printed, printed) == ""


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("service = [", "TOML"),
        ("data_centres = []", "base"),
        ("base = -1", "base"),
        ("base = 0\n# " + "x" * 2_000_000, "split"),
        ('base = 0\ndata_centres = ["a"]\nsrevice = []', "srevice"),
    ],
)
def test_invalid_printed_file_is_refused(write_file, text, expected):
    """Operators edit a printed configuration: mistakes in it are refused."""
    path = write_file(text)
    with pytest.raises(errors.ConfigurationError) as caught:
        change.check(change.read_printed(path), path)
    assert path in str(caught.value)
    assert expected in str(caught.value)


@pytest.mark.parametrize("name", ["cooperativa", "filzwerk"])
def test_example_plans_are_valid(write_file, name):
    folder = pathlib.Path(__file__).parent.parent / "examples"
    plan = plans.load(str(folder / f"{name}.py"))
    path = write_file(change.printed(plan, base=0))
    assert len(change.check(change.read_printed(path), path).services) == 2


@pytest.mark.parametrize("text", ["plan = 3", "1 / 0", "import nothing_such"])
def test_invalid_plan_is_refused(write_file, text):
    """The error message says what the operator has to correct or add."""
    path = write_file(text)
    with pytest.raises(errors.ConfigurationError, match="correct|add"):
        plans.load(path)
