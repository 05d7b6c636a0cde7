"""Settings of hedging in the environment of the process."""

import subprocess
import sys

import pytest

from tests import test_platform
from vanilladrum.core import errors
from vanilladrum.core import flowhost
from vanilladrum.daemons import flow_host as daemon
from vanilladrum.daemons import hedge_settings
from vanilladrum.platform import settings as node_settings


def test_host_without_a_share_is_a_plain_host(monkeypatch):
    """Share 0 or unset: the same code as before, whatever else is set."""
    settings = node_settings.parse(test_platform.SETTINGS, "file")
    monkeypatch.setenv(hedge_settings.PERCENTILE_VARIABLE, "nonsense")
    for share in (None, "", "0", "0.0"):
        if share is not None:
            monkeypatch.setenv(hedge_settings.SHARE_VARIABLE, share)
        assert type(daemon._make_core(settings)) is flowhost.FlowHost
    monkeypatch.setenv(hedge_settings.SHARE_VARIABLE, "0.02")
    with pytest.raises(errors.SettingsError):
        daemon._make_core(settings)


def test_host_without_a_share_loads_no_module_of_hedging(monkeypatch):
    """Its memory and its start would cost more than before."""
    monkeypatch.delenv(hedge_settings.SHARE_VARIABLE, raising=False)
    program = (
        "import sys; sys.path[:0] = {paths!r}\n"
        "from vanilladrum.daemons import flow_host\n"
        "from vanilladrum.platform import settings\n"
        "flow_host._make_core(settings.parse({text!r}, 'file'))\n"
        "print(*sys.modules)"
    )
    paths = [path for path in sys.path if path]
    result = subprocess.run(
        [
            sys.executable,
            "-c",
            program.format(paths=paths, text=test_platform.SETTINGS),
        ],
        check=True,
        capture_output=True,
        text=True,
    )
    assert "vanilladrum.core.flowhost" in result.stdout
    assert "hedg" not in result.stdout


def test_settings_are_read_with_their_defaults():
    parsed = hedge_settings.read({hedge_settings.SHARE_VARIABLE: "0.02"})
    assert vars(parsed) == {
        "share": 0.02,
        "percentile": 0.99,
        "floor": 0.03,
        "services": None,
    }
    parsed = hedge_settings.read(
        {
            hedge_settings.SHARE_VARIABLE: "1",
            hedge_settings.FLOOR_VARIABLE: "45",
            hedge_settings.SERVICES_VARIABLE: "maps, bookings",
        }
    )
    assert parsed.floor == pytest.approx(0.045)
    assert parsed.services == {"maps", "bookings"}


@pytest.mark.parametrize(
    ("variable", "value", "remedy"),
    [
        (hedge_settings.SHARE_VARIABLE, "5 %", "0 to 1"),
        (hedge_settings.SHARE_VARIABLE, "1.01", "0 to 1"),
        (hedge_settings.SHARE_VARIABLE, "-0.1", "0 to 1"),
        (hedge_settings.SHARE_VARIABLE, "nan", "0 to 1"),
        (hedge_settings.PERCENTILE_VARIABLE, "0.4", "0.5 to 0.999"),
        (hedge_settings.PERCENTILE_VARIABLE, "99", "0.5 to 0.999"),
        (hedge_settings.FLOOR_VARIABLE, "-1", "0 to 10000"),
        (hedge_settings.FLOOR_VARIABLE, "inf", "0 to 10000"),
        (hedge_settings.SERVICES_VARIABLE, "maps,,b", "separated by commas"),
    ],
)
def test_invalid_setting_is_refused_with_variable_and_remedy(
    variable, value, remedy
):
    environment = {hedge_settings.SHARE_VARIABLE: "0.1", variable: value}
    with pytest.raises(errors.SettingsError) as caught:
        hedge_settings.read(environment)
    assert variable in str(caught.value)
    assert remedy in str(caught.value)
