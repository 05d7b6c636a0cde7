"""Configurations as plain documents, for printing, storing and reading."""

import enum
import typing

import attrs
import cattrs
from cattrs import errors as cattrs_errors
from cattrs import gen

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import serverstate

MAX_DOCUMENT_BYTES = 1_000_000
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
T = typing.TypeVar("T")


def _read_enum(value: object, kind: type[enum.Enum]) -> enum.Enum:
    names = {_name(each): each for each in kind}
    if value in names:
        return names[value]
    raise ValueError(f"{value!r} is not one of {sorted(names)}")


def _name(member: enum.Enum) -> str:
    return member.name.lower()


def _read_exact(value: object, kind: type) -> object:
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is kind:
        return value
    raise ValueError(f"{value!r} is no {kind.__name__}")


def _read_address(value: object, _: type) -> addresses.Address:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is no text such as 127.0.0.1:5683")
    return addresses.parse(value)


_CONVERTER.register_structure_hook(addresses.Address, _read_address)
_CONVERTER.register_unstructure_hook(addresses.Address, str)
for _kind in (bool, int, float, str):
    _CONVERTER.register_structure_hook(_kind, _read_exact)
for _choice in (fleets.Priority, fleets.Affinity, serverstate.ServerState):
    _CONVERTER.register_structure_hook(_choice, _read_enum)
    _CONVERTER.register_unstructure_hook(_choice, _name)
for _class, _renamed in (
    (
        fleets.Service,
        {"servers": "server", "routes": "route", "objectives": "objective"},
    ),
    (fleets.Fleet, {"services": "service", "keys": "key"}),
):
    _overrides: dict[str, typing.Any] = {
        name: gen.override(rename=renamed)
        for name, renamed in _renamed.items()
    }
    _CONVERTER.register_structure_hook(
        _class,
        gen.make_dict_structure_fn(
            _class, _CONVERTER, _cattrs_forbid_extra_keys=True, **_overrides
        ),
    )
    _CONVERTER.register_unstructure_hook(
        _class,
        gen.make_dict_unstructure_fn(
            _class, _CONVERTER, _cattrs_omit_if_default=True, **_overrides
        ),
    )


def to_plain(value: object) -> dict:
    """Return a configuration as tables, lists, texts and numbers."""
    return _CONVERTER.unstructure(value)


def from_plain(
    kind: type[T],
    plain: object,
    where: str,
    error: type[errors.VanilladrumError] = errors.ConfigurationError,
) -> T:
    """Read a plain document.

    :param where: file or object named in messages.
    :raises VanilladrumError: of the given kind, naming key and remedy.
    """
    try:
        return _CONVERTER.structure(plain, kind)
    except (
        cattrs_errors.BaseValidationError,
        errors.AddressError,
        ValueError,
        TypeError,
        KeyError,
    ) as problem:
        raise error(f"{where}: {explain(problem, kind)}") from problem


def explain(problem: BaseException, kind: type) -> str:
    """Name the first offending key of a structuring error."""
    path: list[str] = []
    while isinstance(problem, cattrs_errors.BaseValidationError):
        inner = _most_telling(problem.exceptions)
        for note in getattr(inner, "__notes__", ()):
            if isinstance(note, cattrs_errors.AttributeValidationNote):
                path.append(str(note.name))
            if isinstance(note, cattrs_errors.IterableValidationNote):
                path.append(str(note.index))
        problem = inner
    key = ".".join(path)
    if isinstance(problem, cattrs_errors.ForbiddenExtraKeysError):
        extra = sorted(problem.extra_fields)
        known = sorted(field.name for field in attrs.fields(problem.cl))
        where = f"key {key!r}: " if key else ""
        return f"{where}unknown keys {extra}; use {known}"
    if isinstance(problem, KeyError):
        return f"key {key!r} lacks a required value {problem}; add it"
    return f"key {key!r}: {problem}; correct the value"


def _most_telling(problems: typing.Sequence) -> BaseException:
    """Prefer an unknown key: it is mostly the misspelt missing one."""
    for problem in problems:
        if isinstance(problem, cattrs_errors.ForbiddenExtraKeysError):
            return problem
    return problems[0]


def read_fleet(plain: object, where: str) -> fleets.Fleet:
    """Read and validate a whole configuration.

    :raises ConfigurationError: naming key and remedy.
    """
    fleet = from_plain(fleets.Fleet, plain, where)
    try:
        fleets.validate(fleet)
    except errors.ConfigurationError as error:
        raise errors.ConfigurationError(f"{where}: {error}") from error
    return fleet
