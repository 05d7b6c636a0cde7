"""Memory and time of an entry that names no server, by form and size.

An answer with one such entry is read and given to the mirror, as a host does
that reads the store. The reading is one step of the loop; its processor time
is the stall of the loop on a whole core.
"""

import time
import tracemalloc

import attrs

from vanilladrum.platform import answers
from vanilladrum.platform import connection as connections
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.standins import large_entries
from vanilladrum.wire import loop as loops

SIZES = (1_000, 64_000, large_entries.MAX_BYTES)
# Processor share of the smallest machines, as a fraction of a core.
SMALLEST_SHARE = 1 / 6
_ANSWER = (
    b'{"items": [{"meta": {"name": "i-1", "revision": 3}, "spec": %s}], '
    b'"has-more": false, "store-revision": 9}'
)


@attrs.frozen
class Cost:
    """Cost of an entry, without the text of the answer.

    :param seconds: processor time.
    :param peak: memory while the answer is read, in bytes.
    :param lasting: memory afterwards, in bytes.
    """

    seconds: float
    peak: int
    lasting: int


def read(body: bytes, mirror: mirrors.Mirror) -> None:
    """Read an answer and give it to the mirror."""

    def parse(document: dict, era: int) -> stores.Listing:
        listed = objects.parse_readable(
            objects.parse_object, document["items"], era
        )
        return stores.Listing(listed, 9, era)

    listing = answers.read_answer(
        "GET",
        connections.Answer(200, body),
        parse,
        False,
        objects.decoder(objects.SERVER_KIND),
    )
    mirror.replace_all(objects.SERVER_KIND, listing)


def measure(form: str, size: int) -> Cost:
    """Return the cost of an entry of a form and a size in bytes."""
    body = _ANSWER % large_entries.FORMS[form](size)
    mirror = mirrors.Mirror(loops.Loop())
    begin = time.process_time()
    read(body, mirror)
    seconds = time.process_time() - begin
    tracemalloc.start()
    read(body, mirror)
    lasting, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Cost(seconds, peak, lasting)


def main() -> None:
    """Print the cost of each form and size."""
    print("form, bytes: ms on a core, ms on the smallest machine, peak and "
          "lasting kB")  # fmt: skip
    for form in large_entries.FORMS:
        for size in SIZES:
            cost = measure(form, size)
            print(
                f"{form}, {size}: {cost.seconds * 1000:.1f}, "
                f"{cost.seconds * 1000 / SMALLEST_SHARE:.0f}, "
                f"{cost.peak / 1000:.0f}, {cost.lasting / 1000:.1f}"
            )


if __name__ == "__main__":
    main()
