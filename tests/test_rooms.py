"""What belongs in which room, and what a start may load."""

import pathlib
import subprocess
import sys

import pytest

import vanilladrum

PACKAGE = pathlib.Path(vanilladrum.__file__).parent
PLATFORM_WORDS = (
    "X-Request-Id",
    "datagram-addr",
    "readiness-addr",
    "internal-ports",
    "max-concurrency",
    "path-prefix",
    "store-revision",
    "allow-stale",
    "warmup-left-ms",
    "VANILLADRUM_NODE_FILE",
    "/vanilladrum/ready",
)
# Stand-ins play the platform and have to speak as it does.
SPEAKING = ("platform", "standins")
SLOW_TO_LOAD = ("asyncio", "attr", "uvloop", "logging", "ssl", "aiohttp")


@pytest.mark.parametrize("word", PLATFORM_WORDS)
def test_platform_words_stay_in_its_folder(word):
    found = [
        str(path)
        for path in PACKAGE.rglob("*.py")
        if path.relative_to(PACKAGE).parts[0] not in SPEAKING
        and word in path.read_text(encoding="utf-8")
    ]
    assert found == []


def test_platform_folder_asks_no_decision_of_the_core():
    for path in (PACKAGE / "platform").glob("*.py"):
        text = path.read_text(encoding="utf-8")
        for decides in ("flowhost", "watchers", "balance", "evidence"):
            assert decides not in text, path


def test_start_loads_nothing_that_is_slow():
    program = (
        "import sys; sys.path[:0] = {paths!r}; "
        "import vanilladrum.daemons.flow_host; "
        "print(*sys.modules)"
    )
    paths = [path for path in sys.path if path]
    done = subprocess.run(
        [sys.executable, "-S", "-c", program.format(paths=paths)],
        check=True,
        capture_output=True,
        text=True,
    )
    loaded = set(done.stdout.split())
    assert "vanilladrum.daemons.flow_host" in loaded
    assert loaded.isdisjoint(SLOW_TO_LOAD)
