"""What checks find, and the registry of the checks."""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import typing

import attrs

T = typing.TypeVar("T")


class Severity(enum.Enum):
    """``ERROR``: entry hosts refuse the configuration."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Finding:
    """A fault of a configuration.

    :param key: key of the faulty value; empty if it is not known.
    :param message: what is wrong.
    :param remedy: how to correct it.
    :param check: name of the check that found it.
    """

    key: str
    message: str
    remedy: str
    severity: Severity = Severity.WARNING
    check: str = "valid"

    def __str__(self) -> str:
        where = f"key {self.key!r}: " if self.key else ""
        return f"{where}{self.message}; {self.remedy}"


class Registry(typing.Generic[T]):
    """Checks of one kind of configuration, in order of registration."""

    def __init__(self) -> None:
        self.checks: dict[str, Callable[[T], Iterable[Finding]]] = {}

    def register(
        self, check: Callable[[T], Iterable[Finding]]
    ) -> Callable[[T], Iterable[Finding]]:
        """Add a check; its name is that of the function. A decorator."""
        self.checks[check.__name__] = check
        return check

    def run(self, configuration: T) -> list[Finding]:
        """Return the findings of all checks."""
        found = []
        for name, check in self.checks.items():
            for finding in check(configuration):
                found.append(attrs.evolve(finding, check=name))
        return found
