"""Conversion of configurations to plain documents and back.

A plain document consists of dicts, lists, strings and numbers. It is printed,
stored on the platform and read from files.
"""

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

# The platform stores no larger objects.
MAX_DOCUMENT_BYTES = 1_000_000
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
T = typing.TypeVar("T")


def _read_enum(value: object, kind: type[enum.Enum]) -> enum.Enum:
    names = {_enum_text(each): each for each in kind}
    if value in names:
        return names[value]
    raise ValueError(f"{value!r} is not one of {sorted(names)}")


def _enum_text(member: enum.Enum) -> str:
    return member.name.lower()


def _read_exact(value: object, kind: type) -> object:
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is kind:
        return value
    raise ValueError(f"{value!r} is not of type {kind.__name__}")


def _read_address(value: object, _: type) -> addresses.Address:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string such as 127.0.0.1:5683")
    return addresses.parse(value)


_CONVERTER.register_structure_hook(addresses.Address, _read_address)
_CONVERTER.register_unstructure_hook(addresses.Address, str)
for _kind in (bool, int, float, str):
    _CONVERTER.register_structure_hook(_kind, _read_exact)
for _enum in (fleets.Priority, fleets.Affinity, serverstate.ServerState):
    _CONVERTER.register_structure_hook(_enum, _read_enum)
    _CONVERTER.register_unstructure_hook(_enum, _enum_text)
for _class, _renames in (
    (
        fleets.Service,
        {"servers": "server", "routes": "route", "objectives": "objective"},
    ),
    (fleets.Fleet, {"services": "service", "keys": "key"}),
):
    _overrides: dict[str, typing.Any] = {
        name: gen.override(rename=renamed)
        for name, renamed in _renames.items()
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


def unstructure(value: object) -> dict:
    """Convert a configuration or a part of it to a plain document.

    Keys of a service or fleet with their default value are left out.
    """
    return _CONVERTER.unstructure(value)


def structure(
    kind: type[T],
    plain: object,
    where: str,
    error: type[errors.VanilladrumError] = errors.ConfigurationError,
) -> T:
    """Convert a plain document to an object of a class.

    :param kind: class of the result.
    :param plain: document to convert.
    :param where: file or object that error messages name.
    :param error: class of the error that is raised.
    :raises VanilladrumError: of class ``error``; names the key and how to
        correct it.
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
        raise error(f"{where}: {describe_error(problem, kind)}") from problem


def describe_error(problem: BaseException, kind: type) -> str:
    """Return a message on one invalid key, and how to correct it.

    An unknown key takes precedence over other errors of the same object.

    :param problem: error that the converter raised.
    :param kind: not used.
    """
    path: list[str] = []
    while isinstance(problem, cattrs_errors.BaseValidationError):
        cause = _most_specific_error(problem.exceptions)
        for note in getattr(cause, "__notes__", ()):
            if isinstance(note, cattrs_errors.AttributeValidationNote):
                path.append(str(note.name))
            if isinstance(note, cattrs_errors.IterableValidationNote):
                path.append(str(note.index))
        problem = cause
    key = ".".join(path)
    if isinstance(problem, cattrs_errors.ForbiddenExtraKeysError):
        unknown = sorted(problem.extra_fields)
        known = sorted(field.name for field in attrs.fields(problem.cl))
        where = f"key {key!r}: " if key else ""
        return f"{where}unknown keys {unknown}; use {known}"
    if isinstance(problem, KeyError):
        return f"key {key!r} lacks a required value {problem}; add it"
    return f"key {key!r}: {problem}; correct the value"


def _most_specific_error(problems: typing.Sequence) -> BaseException:
    """Return an error on an unknown key if there is one, else the first.

    An unknown key is mostly a misspelt required one, whose absence is
    reported as an error of its own.
    """
    for problem in problems:
        if isinstance(problem, cattrs_errors.ForbiddenExtraKeysError):
            return problem
    return problems[0]


def read_fleet(plain: object, where: str) -> fleets.Fleet:
    """Convert a plain document to a configuration and validate it.

    :param plain: document with all keys of a configuration.
    :param where: file or object that error messages name.
    :raises ConfigurationError: names the key and how to correct it.
    """
    fleet = structure(fleets.Fleet, plain, where)
    try:
        fleets.validate(fleet)
    except errors.ConfigurationError as error:
        raise errors.ConfigurationError(f"{where}: {error}") from error
    return fleet
