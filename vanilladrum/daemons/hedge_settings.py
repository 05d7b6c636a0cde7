"""Settings of hedging, which operators make in the process's environment."""

from collections.abc import Mapping

from vanilladrum.core import errors
from vanilladrum.core.hedging import settings as hedge_settings

# Names of environment variables.
SHARE_VARIABLE = "VANILLADRUM_HEDGE_SHARE"
PERCENTILE_VARIABLE = "VANILLADRUM_HEDGE_PERCENTILE"
FLOOR_VARIABLE = "VANILLADRUM_HEDGE_FLOOR_MS"
SERVICES_VARIABLE = "VANILLADRUM_HEDGE_SERVICES"
MIN_PERCENTILE = 0.5
MAX_PERCENTILE = 0.999
# Callers have given up an opening long before.
MAX_FLOOR_MS = 10_000.0
SECONDS_PER_MS = 0.001


def read(
    environment: Mapping[str, str],
) -> hedge_settings.HedgeSettings | None:
    """Return the settings of hedging, None if it is off.

    If the share is unset or 0, the other variables are not read, so that
    none of them can keep a host without hedging from starting.

    :param environment: values of the environment variables, by name.
    :raises SettingsError: with the variable and the remedy.
    """
    share = _number(environment, SHARE_VARIABLE, 0.0, 0.0, 1.0)
    if not share:
        return None
    percentile = _number(
        environment,
        PERCENTILE_VARIABLE,
        hedge_settings.DEFAULT_PERCENTILE,
        MIN_PERCENTILE,
        MAX_PERCENTILE,
    )
    floor_ms = _number(
        environment,
        FLOOR_VARIABLE,
        hedge_settings.DEFAULT_FLOOR_SECONDS / SECONDS_PER_MS,
        0.0,
        MAX_FLOOR_MS,
    )
    return hedge_settings.HedgeSettings(
        share, percentile, floor_ms * SECONDS_PER_MS, _services(environment)
    )


def _number(
    environment: Mapping[str, str],
    variable: str,
    default: float,
    lowest: float,
    highest: float,
) -> float:
    """Return a number, the default if the variable is unset or empty."""
    value = environment.get(variable, "")
    if not value:
        return default
    remedy = f"use a number from {lowest:g} to {highest:g}, or unset it"
    try:
        number = float(value)
    except ValueError as error:
        raise errors.SettingsError(
            f"variable {variable} is {value!r}; {remedy}"
        ) from error
    # False for a value that is not a number (NaN), too.
    if not lowest <= number <= highest:
        raise errors.SettingsError(f"variable {variable} is {value}; {remedy}")
    return number


def _services(environment: Mapping[str, str]) -> frozenset[str] | None:
    """Return the named services, None if the variable is unset or empty."""
    value = environment.get(SERVICES_VARIABLE, "")
    if not value:
        return None
    names = [name.strip() for name in value.split(",")]
    if not all(names):
        raise errors.SettingsError(
            f"variable {SERVICES_VARIABLE} is {value!r}, which has an empty "
            "name; use names of services separated by commas, or unset it "
            "for all services"
        )
    return frozenset(names)
