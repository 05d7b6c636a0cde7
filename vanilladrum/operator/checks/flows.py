"""Checks of a configuration of flows."""

from collections.abc import Iterator

from vanilladrum.core import address as addresses
from vanilladrum.operator.checks import findings
from vanilladrum.platform import listing as listings

Found = Iterator[findings.Finding]
REGISTRY: findings.Registry[listings.Listing] = findings.Registry()


def run(listing: listings.Listing) -> list[findings.Finding]:
    """Return the errors of a configuration; if there are none, its warnings.

    Entries with an error are not in the listing. Warnings on references
    between entries would be wrong without them.
    """
    if listing.problems:
        return [
            findings.Finding(
                each.key, each.reason, each.remedy, findings.Severity.ERROR
            )
            for each in listing.problems
        ]
    return REGISTRY.run(listing)


@REGISTRY.register
def duplicate_address(listing: listings.Listing) -> Found:
    """Find routes that are hidden by a later one with the same address."""
    later: dict[addresses.Address, listings.ListedRoute] = {}
    for each in reversed(listing.routes):
        hiding = later.setdefault(each.address, each)
        if hiding is each:
            continue
        yield findings.Finding(
            each.key("address"),
            f"route {each.route.name!r} is never used: route "
            f"{hiding.route.name!r} has the address {each.address} too and "
            "comes later",
            "remove one of them or change its address",
        )


@REGISTRY.register
def duplicate_name(listing: listings.Listing) -> Found:
    """Find names of routes or services that occur more than once."""
    named: list[tuple[str, str, listings.ListedEntry]] = [
        ("route", each.route.name, each) for each in listing.routes
    ]
    named.extend(("service", each.name, each) for each in listing.services)
    seen = set()
    for kind, name, entry in named:
        if (kind, name) not in seen:
            seen.add((kind, name))
            continue
        yield findings.Finding(
            entry.key("name"),
            f"another {kind} is named {name!r} as well",
            "use unique names",
        )


@REGISTRY.register
def weight_zero(listing: listings.Listing) -> Found:
    """Find services that get no new flows of a route by their weight."""
    for each in listing.routes:
        shares = each.route.shares
        idle = [share.service for share in shares if not share.weight]
        key = each.key("shares")
        if len(idle) == len(shares):
            yield findings.Finding(
                key,
                f"all weights of route {each.route.name!r} are 0, so that "
                "each of its services gets an equal share",
                "set a weight above 0",
            )
            continue
        for service in idle:
            yield findings.Finding(
                key,
                f"service {service!r} of route {each.route.name!r} has the "
                "weight 0 and gets no new flows",
                "remove it when its open flows have ended, or set a weight",
            )


@REGISTRY.register
def repeated_share(listing: listings.Listing) -> Found:
    """Find services that a route lists twice, maybe with other weights."""
    for each in listing.routes:
        if len(each.route.services) == len(each.route.shares):
            continue
        yield findings.Finding(
            each.key("shares"),
            f"route {each.route.name!r} lists a service more than once",
            "list it once with the sum of its weights",
        )


@REGISTRY.register
def service_without_route(listing: listings.Listing) -> Found:
    """Find services that no route names."""
    routed = {name for each in listing.routes for name in each.route.services}
    for service in listing.services:
        if service.name in routed:
            continue
        yield findings.Finding(
            service.key("name"),
            f"no route leads to service {service.name!r}",
            "add a route or remove the service",
        )


@REGISTRY.register
def unlisted_service(listing: listings.Listing) -> Found:
    """Find routes to services without an entry, hence without checks."""
    listed = {service.name for service in listing.services}
    for each in listing.routes:
        for name in sorted(each.route.services - listed):
            yield findings.Finding(
                each.path,
                f"route {each.route.name!r} leads to service {name!r}, which "
                "is not listed and has no health check",
                "list the service or correct its name",
            )


@REGISTRY.register
def target_above_timeout(listing: listings.Listing) -> Found:
    """Find targets that are later than the end of the request."""
    for each in listing.routes:
        route = each.route
        if route.target_latency <= route.timeout:
            continue
        yield findings.Finding(
            each.key("target_latency"),
            f"the target of route {route.name!r}, {route.target_latency:g} s, "
            f"is above its time limit of {route.timeout:g} s",
            "lower the target or raise the time limit",
        )


@REGISTRY.register
def idle_timeout_below_timeout(listing: listings.Listing) -> Found:
    """Find routes whose flows may be removed while a request waits."""
    for each in listing.routes:
        if listing.idle_timeout >= each.route.timeout:
            continue
        yield findings.Finding(
            listings.IDLE_TIMEOUT_KEY,
            f"idle flows may be removed after {listing.idle_timeout:g} s, "
            f"before the time limit of route {each.route.name!r}, "
            f"{each.route.timeout:g} s",
            "raise the idle timeout or lower the time limit",
        )


@REGISTRY.register
def warm_up_without_rate(listing: listings.Listing) -> Found:
    """Find warm-ups that do not say what a cold server can handle."""
    for service in listing.services:
        warm_up = service.warm_up
        if warm_up is None or not warm_up.seconds or warm_up.rate:
            continue
        yield findings.Finding(
            service.key("rate"),
            f"service {service.name!r} has a warm-up of "
            f"{warm_up.seconds:g} s with a rate that is 0 or missing",
            "set the requests per second that a cold server can handle",
        )


@REGISTRY.register
def rate_without_warm_up(listing: listings.Listing) -> Found:
    """Find warm-up rates that are not used for lack of a warm-up time."""
    for service in listing.services:
        if not service.has_rate:
            continue
        if service.warm_up is not None and service.warm_up.seconds:
            continue
        yield findings.Finding(
            service.key("warm_up"),
            f"service {service.name!r} has a warm-up rate, but a warm-up "
            "time that is 0 or missing",
            "set the time for which a server is cold, or remove the rate",
        )
