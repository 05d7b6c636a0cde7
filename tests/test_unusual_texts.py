"""Texts of other programs that a host accepts, whatever their characters."""

import copy
from urllib import parse

import pytest

from tests import flow_factories
from tests import stored_objects
from tests import test_platform
from tests import test_reported_failures
from vanilladrum.core import errors
from vanilladrum.daemons import flow_metrics
from vanilladrum.platform import health
from vanilladrum.platform import listing as listings
from vanilladrum.platform import objects
from vanilladrum.platform import settings as node_settings
from vanilladrum.platform import store as stores
from vanilladrum.platform import values
from vanilladrum.wire import loop as loops

# A no-break space, text of other scripts, separators, control characters, a
# lone surrogate, an empty and a long text.
UNUSUAL_TEXTS = {
    "no-break space": "houle\u00a0: bouées",
    "ideographic space": "予約\u3000一",
    "direction mark": "\u200fהזמנה",
    "line separator": "a\u2028b",
    "line feed": "a\nb",
    "lone surrogate": "\ud800",
    "empty": "",
    "long": "a" * 10_000,
}


@pytest.fixture(params=UNUSUAL_TEXTS.values(), ids=UNUSUAL_TEXTS.keys())
def text(request):
    return request.param


def parse_content(content):
    return objects.parse_configuration(
        stored_objects.make_object("main", content)
    )


def make_server(**fields):
    return objects.parse_server(
        stored_objects.make_object(
            "i-7f3a91c2", stored_objects.SERVER_ENTRY | fields
        )
    )


# A route's name with a no-break space kept each later version out of force.
def test_name_of_a_route_keeps_no_configuration_out_of_force(text):
    content = copy.deepcopy(stored_objects.CONFIGURATION)
    content["routes"][0]["name"] = text
    parsed = parse_content(content)
    assert parsed.generation == 7 and len(parsed.routes) == 2
    assert not listings.read_listing(content).problems


# The same for a service; its servers must still be found by its name.
def test_name_of_a_service_may_have_any_characters(text):
    content = copy.deepcopy(stored_objects.CONFIGURATION)
    content["routes"][0]["service"] = text
    content["services"][0]["name"] = text
    parsed = parse_content(content)
    server = make_server(service=text)
    assert parsed.health_paths == {text: "/health"}
    host = flow_factories.make_host([server])
    assert host.configure(parsed)
    decision = host.receive(flow_factories.make_packet(), 0.0)
    assert decision.server is server
    host.observer.flow_durations[text] = host.observer.answer_times
    flow_metrics.render(host, {}).encode()


# A release with such a version left its service without servers.
def test_version_of_a_server_keeps_no_server_out_of_use(text):
    assert make_server(version=text).name == "i-7f3a91c2"


# Such a path kept the configuration out of force.
def test_path_of_a_health_check_may_have_any_characters(text):
    content = copy.deepcopy(stored_objects.CONFIGURATION)
    content["services"][0]["health-check-path"] = text
    (path,) = parse_content(content).health_paths.values()
    request = health.make_request(make_server().address, path)
    line = request.partition(b"\r\n")[0].split(b" ")
    assert len(line) == 3 and line[1]


# One value above a bound kept the configuration out of force.
@pytest.mark.parametrize(
    "field", ["priority", "timeout-ms", "target-latency-ms"]
)
def test_value_above_its_bound_is_limited(field):
    content = copy.deepcopy(stored_objects.CONFIGURATION)
    content["routes"][0][field] = 10**400
    (route, _) = parse_content(content).routes.values()
    assert route.priority <= objects.MAX_PRIORITY
    assert route.timeout <= values.MAX_DURATION_MS


def list_pages(names):
    """List a store that sends one object a page; return the outcome.

    :param names: names of the objects, in the order of their bytes.
    """
    outcomes = []
    client = stores.Store(loops.Loop(), test_reported_failures.ANY, 0.3)

    def call(_, path, read, done, **extra):
        query = parse.urlparse(path).query
        after = parse.parse_qs(query, errors="surrogateescape").get("after")
        rest = [each for each in names if not after or each > after[0]]
        document = {
            "items": [
                {"meta": {"name": each, "revision": 3}, "spec": {}}
                for each in rest[:1]
            ],
            "has-more": len(rest) > 1,
            "store-revision": 9,
        }
        assert len(path) < 20_000
        done(read(document, 0))

    client._call = call
    client.list("servers", outcomes.append)
    return outcomes[0]


# A page of one object whose name was refused ended each list of the servers.
@pytest.mark.parametrize(
    "name", ["b" * 300, "b" * 1_000_000, "b\nb", "b\udcf3", "b\ud800"]
)
def test_page_without_a_usable_name_ends_no_list(name):
    outcome = list_pages(["a", name, "c"])
    assert not isinstance(outcome, errors.PlatformError), outcome
    assert {"a", "c"} <= {each.name for each in outcome.objects}


def test_list_that_makes_no_progress_ends():
    assert isinstance(list_pages([7, 8]), errors.PlatformError)


# Such an evacuation was left out as an object without a readable name.
@pytest.mark.parametrize("zone", ["Léon\u00a0Sud", "a\u2028b", "z" * 300])
def test_evacuated_data_centre_may_have_an_unusual_name(zone):
    requested = stored_objects.make_object(zone, {})
    settings = node_settings.parse(
        test_platform.SETTINGS + f"zones.{zone}=r\n", "file"
    )
    assert requested.name in settings.data_centres
