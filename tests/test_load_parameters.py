"""Parameters of load and warm-up in configurations and settings."""

import copy

import pytest

from tests import stored_objects
from tests import test_platform
from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.platform import objects
from vanilladrum.platform import settings as node_settings

ROUTE = {"target-latency-ms": 427, "priority": 2}
SERVICE = {"warmup-s": 2.0, "warmup-per-s": 30}


def parse_configuration(route, service):
    """Parse a configuration with values added to its first entries."""
    content = copy.deepcopy(stored_objects.CONFIGURATION)
    content["routes"][0] |= route
    content["services"][0] |= service
    return objects.parse_configuration(
        stored_objects.make_object("main", content)
    )


def test_target_priority_and_warm_up_are_parsed():
    parsed = parse_configuration(ROUTE, SERVICE)
    route = parsed.routes[addresses.Address("198.18.0.1", 8080).pack()]
    assert route.target_latency == 0.427 and route.priority == 2
    (warm_up,) = parsed.warm_ups.values()
    assert warm_up.seconds == 2.0 and warm_up.rate == 30


def test_configuration_without_them_is_read_as_before():
    """Deployments that name no target or warm-up must keep working."""
    content = copy.deepcopy(stored_objects.CONFIGURATION)
    for route in content["routes"]:
        route.pop("target-latency-ms", None)
        route.pop("priority", None)
    for service in content["services"]:
        service.pop("warmup-s", None)
        service.pop("warmup-per-s", None)
    parsed = objects.parse_configuration(
        stored_objects.make_object("main", content)
    )
    assert parsed.warm_ups == {}
    for route in parsed.routes.values():
        assert route.target_latency == 0.0 and route.priority == 0


@pytest.mark.parametrize(
    ("route", "service"),
    [
        ({"target-latency-ms": "soon"}, {}),
        ({"target-latency-ms": -1}, {}),
        ({"priority": 1.5}, {}),
        ({"priority": True}, {}),
        ({}, {"warmup-s": None}),
        ({}, {"warmup-s": 2.0, "warmup-per-s": float("nan")}),
        ({}, {"warmup-s": 2.0, "warmup-per-s": -1}),
    ],
)
def test_value_out_of_bounds_is_refused(route, service):
    """An odd value must not replace the configuration in force."""
    with pytest.raises(errors.PlatformError, match="cannot be read"):
        parse_configuration(route, service)


def test_bounds_of_evacuation_and_warm_up_are_optional():
    parsed = node_settings.parse(test_platform.SETTINGS, "file")
    assert parsed.evacuation_limit is None
    assert parsed.warm_up_slack is None
    parsed = node_settings.parse(
        test_platform.SETTINGS
        + "bounds.evacuate-ms=5000\n"
        + "bounds.warmup-overage=1.5\n"
        + "bounds.warmup-slack=5\n",
        "file",
    )
    assert parsed.evacuation_limit == 5.0
    assert (parsed.warm_up_overage, parsed.warm_up_slack) == (1.5, 5.0)


@pytest.mark.parametrize(
    "line", ["bounds.evacuate-ms=soon", "bounds.warmup-slack=-1"]
)
def test_invalid_bound_is_refused(line):
    with pytest.raises(errors.SettingsError, match="file: key"):
        node_settings.parse(test_platform.SETTINGS + line + "\n", "file")
