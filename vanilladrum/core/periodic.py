"""Periodic work in units that do not depend on each other's success."""

from collections.abc import Callable
from collections.abc import Iterable

# Called with the exception that a unit raised.
ErrorHandler = Callable[[Exception], None]


def run_each(
    units: Iterable[Callable[[], None]], on_error: ErrorHandler
) -> None:
    """Run all units, even if some of them fail.

    >>> run_each([lambda: int("x"), lambda: print("done")], print)
    invalid literal for int() with base 10: 'x'
    done

    :param units: called in this order.
    :param on_error: called with the exception of each unit that fails.
    """
    for unit in units:
        try:
            unit()
        except Exception as error:
            on_error(error)


def raise_again(error: Exception) -> None:
    """Raise the exception of a unit; the remaining units do not run."""
    raise error
