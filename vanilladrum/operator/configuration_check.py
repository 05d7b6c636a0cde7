"""Reads configuration files, checks them and shows the findings."""

import json
import sys
import typing

import attrs

from vanilladrum.core import errors
from vanilladrum.operator import change
from vanilladrum.operator.checks import differences
from vanilladrum.operator.checks import findings
from vanilladrum.operator.checks import flows
from vanilladrum.operator.checks import requests
from vanilladrum.platform import listing as listings

EXIT_GOOD = 0
EXIT_WARNINGS = 1
EXIT_ERRORS = 2
FLOWS = "flows"
REQUESTS = "requests"
# Some editors write it at the start of a file; JSON does not allow it.
BYTE_ORDER_MARK = "\ufeff"


@attrs.frozen
class Checked:
    """A configuration file after its check.

    :param kind: :data:`FLOWS` or :data:`REQUESTS`.
    :param entries: what is compared with another file; empty after an error.
    :param summary: number of its main entries, for example ``2 services``.
    """

    path: str
    kind: str
    found: list[findings.Finding]
    entries: differences.Entries
    summary: str

    @property
    def errors(self) -> list[findings.Finding]:
        """Return the findings for which entry hosts refuse it."""
        return [
            each
            for each in self.found
            if each.severity is findings.Severity.ERROR
        ]

    @property
    def exit_code(self) -> int:
        """Return the exit code for its findings."""
        if self.errors:
            return EXIT_ERRORS
        return EXIT_WARNINGS if self.found else EXIT_GOOD


def check(path: str, against: str | None, as_json: bool) -> int:
    """Check a file, compare it with another one and show the result.

    :param against: path of the file with the version to compare with.
    :returns: exit code.
    :raises ConfigurationError: if a file cannot be read or, unless ``as_json``
        is set, if a printed configuration is invalid.
    :raises VanilladrumError: if the result cannot be written.
    """
    try:
        checked = check_file(path)
        compared = None
        if against is not None:
            compared = _compare(checked, against)
    except errors.ConfigurationError as error:
        if not as_json:
            raise
        # The message names file and key, and ends with the remedy.
        message, separator, remedy = str(error).rpartition("; ")
        if not separator:
            message, remedy = remedy, ""
        finding = findings.Finding(
            "", message, remedy, findings.Severity.ERROR
        )
        checked = Checked(path, "", [finding], {}, "")
        compared = None
    try:
        if as_json:
            print(json.dumps(_document(checked, against, compared), indent=2))
        else:
            _show(checked, against, compared)
        sys.stdout.flush()
    except OSError as error:
        # Python's exit code for it is 1, which here stands for warnings.
        raise errors.VanilladrumError(
            f"{path}: the result cannot be written ({error}); run the check "
            "again and read all of its output"
        ) from error
    return checked.exit_code


def check_file(path: str) -> Checked:
    """Read a file of either kind and check it.

    :raises ConfigurationError: if it cannot be read, or if it is an invalid
        printed configuration.
    """
    is_json = path.endswith(".json")
    remedy = "name a JSON file" if is_json else "name a printed TOML file"
    # The file is read once only, because it may be a pipe.
    text = change.read_text(path, remedy)
    json_text = text.removeprefix(BYTE_ORDER_MARK)
    # No TOML file begins with a brace.
    is_json = is_json or json_text.lstrip().startswith("{")
    if not is_json:
        fleet = change.check(change.parse_printed(text, path), path)
        servers = sum(len(service.servers) for service in fleet.services)
        return Checked(
            path,
            REQUESTS,
            requests.run(fleet),
            differences.fleet_entries(fleet),
            f"{len(fleet.services)} services, {servers} servers",
        )
    listing = listings.read_listing(_parse_json(json_text, path))
    found = flows.run(listing)
    return Checked(
        path,
        FLOWS,
        found,
        {} if listing.problems else listings.comparable(listing),
        f"{len(listing.routes)} routes, {len(listing.services)} services",
    )


def _parse_json(text: str, path: str) -> typing.Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.ConfigurationError(
            f"{path}: is not valid JSON ({error}); correct it at this place"
        ) from error


def _compare(checked: Checked, against: str) -> list[differences.Difference]:
    """Return what a file changes; nothing if it has errors.

    :raises ConfigurationError: if the other file is invalid or of the other
        kind.
    """
    other = check_file(against)
    if other.errors:
        raise errors.ConfigurationError(f"{against}: {other.errors[0]}")
    if other.kind != checked.kind:
        raise errors.ConfigurationError(
            f"{against}: is a configuration of {other.kind}, {checked.path} "
            f"one of {checked.kind}; name two files of one kind"
        )
    if checked.errors:
        return []
    return differences.compare(other.entries, checked.entries)


def _show(
    checked: Checked,
    against: str | None,
    compared: list[differences.Difference] | None,
) -> None:
    for finding in checked.found:
        if finding.severity is findings.Severity.ERROR:
            # In the form in which the command line prints other errors.
            print(f"vanilladrum: {checked.path}: {finding}", file=sys.stderr)
            continue
        print(f"{checked.path}: warning: {finding}")
    if checked.errors:
        return
    for difference in compared or ():
        print(difference)
    if compared is not None and not compared:
        print(f"no difference from {against}")
    verdict = "good"
    if checked.found:
        verdict = f"{len(checked.found)} warnings"
    print(f"{checked.path}: {checked.summary}: {verdict}")


def _document(
    checked: Checked,
    against: str | None,
    compared: list[differences.Difference] | None,
) -> dict:
    results = {
        EXIT_GOOD: "good",
        EXIT_WARNINGS: "warnings",
        EXIT_ERRORS: "errors",
    }
    return {
        "file": checked.path,
        "kind": checked.kind,
        "result": results[checked.exit_code],
        "findings": [
            {**attrs.asdict(each), "severity": each.severity.value}
            for each in checked.found
        ],
        "against": against,
        "differences": None
        if compared is None
        else [attrs.asdict(each) for each in compared],
    }
