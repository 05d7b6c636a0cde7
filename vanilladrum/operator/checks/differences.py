"""Differences of two configurations by meaning."""

from collections.abc import Mapping

import attrs

from vanilladrum.core import document
from vanilladrum.core import fleet as fleets

# Fields of the entries of a configuration, by kind and name of the entry.
Entries = Mapping[tuple[str, str], Mapping[str, object]]


@attrs.frozen
class Difference:
    """An entry that was added, removed or changed.

    :param change: ``added``, ``removed`` or ``changed``.
    :param kind: ``route``, for example.
    :param name: name of the entry; empty if there is only one of the kind.
    :param field: changed field; empty if the entry was added or removed.
    """

    change: str
    kind: str
    name: str
    field: str = ""
    before: object = None
    after: object = None

    def __str__(self) -> str:
        # A terminal shows only printable characters as they are.
        name = self.name if self.name.isprintable() else repr(self.name)
        entry = f"{self.kind} {name}".rstrip()
        if not self.field:
            return f"{entry}: {self.change}"
        return f"{entry}: {self.field}: {self.before} -> {self.after}"


def compare(before: Entries, after: Entries) -> list[Difference]:
    """Return the differences, ordered by kind, name and field."""
    found = []
    for kind, name in sorted(before.keys() | after.keys()):
        old = before.get((kind, name))
        new = after.get((kind, name))
        if old is None:
            found.append(Difference("added", kind, name))
            continue
        if new is None:
            found.append(Difference("removed", kind, name))
            continue
        for field in sorted(old.keys() | new.keys()):
            values = old.get(field), new.get(field)
            if values[0] != values[1]:
                found.append(Difference("changed", kind, name, field, *values))
    return found


def fleet_entries(fleet: fleets.Fleet) -> Entries:
    """Return the entries of a configuration of the request mode.

    Generation, operations and token keys are left out, as in a printed file.
    """
    entries: dict[tuple[str, str], dict[str, object]] = {}
    for data_centre in fleet.data_centres:
        entries["data centre", data_centre] = {}
    for service in fleet.services:
        fields = attrs.asdict(service, recurse=False)
        for name in ("servers", "routes", "objectives"):
            del fields[name]
        entries["service", service.name] = _plain(fields)
        for server in service.servers:
            server_fields = attrs.asdict(server, recurse=False)
            entries["server", server.name] = _plain(
                {"service": service.name, **server_fields}
            )
        # Of two routes with one path the later one is used, of two
        # objectives for one priority the earlier one.
        for route in service.routes:
            entries["route", f"{service.name} {route.path}"] = _plain(
                {"priority": route.priority}
            )
        for objective in reversed(service.objectives):
            label = f"{service.name} {objective.priority.name.lower()}"
            entries["objective", label] = _plain(
                {"latency": objective.latency, "target": objective.target}
            )
    return entries


def _plain(fields: dict[str, object]) -> dict[str, object]:
    return {
        name: document.unstructure(value) for name, value in fields.items()
    }
