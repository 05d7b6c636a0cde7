"""Tests of package boundaries and of the imports at start-up."""

import pathlib
import subprocess
import sys

import pytest

import vanilladrum

PACKAGE = pathlib.Path(vanilladrum.__file__).parent
PLATFORM_NAMES = (
    "X-Request-Id",
    "datagram-addr",
    "readiness-addr",
    "internal-ports",
    "max-concurrency",
    "path-prefix",
    "store-revision",
    "allow-stale",
    "warmup-left-ms",
    "warmup-per-s",
    "target-latency-ms",
    "evacuate-ms",
    "VANILLADRUM_NODE_FILE",
    "/vanilladrum/ready",
)
# The stand-ins simulate the platform and use the names of its protocol.
PACKAGES_WITH_PLATFORM_NAMES = ("platform", "standins")
SLOW_IMPORTS = ("asyncio", "attr", "uvloop", "logging", "ssl", "aiohttp")


@pytest.mark.parametrize("name", PLATFORM_NAMES)
def test_platform_names_are_confined_to_its_package(name):
    violations = [
        str(path)
        for path in PACKAGE.rglob("*.py")
        if path.relative_to(PACKAGE).parts[0]
        not in PACKAGES_WITH_PLATFORM_NAMES
        and name in path.read_text(encoding="utf-8")
    ]
    assert violations == []


def test_platform_package_does_not_use_decision_modules():
    for path in (PACKAGE / "platform").glob("*.py"):
        text = path.read_text(encoding="utf-8")
        for module in ("flowhost", "watchers", "balance", "failure_detector"):
            assert module not in text, path


def test_start_imports_no_slow_module():
    program = (
        "import sys; sys.path[:0] = {paths!r}; "
        "import vanilladrum.daemons.flow_host; "
        "print(*sys.modules)"
    )
    paths = [path for path in sys.path if path]
    result = subprocess.run(
        [sys.executable, "-S", "-c", program.format(paths=paths)],
        check=True,
        capture_output=True,
        text=True,
    )
    loaded = set(result.stdout.split())
    assert "vanilladrum.daemons.flow_host" in loaded
    assert loaded.isdisjoint(SLOW_IMPORTS)
