"""Command-line interface of vanilladrum."""

import asyncio
import gc
import signal
import sys

import aiomisc
import fire
import uvloop

from vanilladrum.core import errors
from vanilladrum.daemons import entry
from vanilladrum.daemons import entry_host as entry_host_daemon
from vanilladrum.daemons import logs
from vanilladrum.daemons import settings as settings_module
from vanilladrum.operator import commands
from vanilladrum.operator import configuration_check
from vanilladrum.operator import in_force
from vanilladrum.operator import report as reports
from vanilladrum.standins import backend
from vanilladrum.standins import fabric
from vanilladrum.standins import flow_load as flow_loads
from vanilladrum.standins import load as loads
from vanilladrum.standins import platform

# Exit code of invalid settings and all errors that are not in EXIT_CODES.
EXIT_SETTINGS = 2
EXIT_CODES = (
    (errors.ConflictError, 3),
    (in_force.NotInForceError, 4),
    (errors.PlatformError, 5),
)
# Garbage collection thresholds: allocations between two passes over the
# youngest generation, and passes between two of each older generation.
GC_YOUNG_THRESHOLD = 50_000
GC_OLDER_THRESHOLD = 50
SHUTDOWN_TIMEOUT_SECONDS = 60
STANDIN_CLASSES = {
    "platform": (platform.PlatformService, platform.PlatformSettings),
    "fabric": (fabric.FabricService, fabric.FabricSettings),
    "backend": (backend.BackendService, backend.BackendSettings),
}


class Commands:
    """Vanilladrum, a layer-4 load balancer."""

    def entry_host(self, settings: str) -> None:
        """Run an entry host for requests until SIGTERM or SIGINT.

        :param settings: path of the TOML settings file.
        """
        host_settings = settings_module.read_entry_host(settings)
        logs.configure(host_settings.log_level, host=host_settings.host.name)
        run_service(entry_host_daemon.EntryHostService(settings=host_settings))

    def flow_host(self) -> None:
        """Run an entry host for flows until SIGTERM.

        The settings are read from the file that the users' platform writes.
        """
        entry.main()

    def standin(self, kind: str, settings: str) -> None:
        """Run a stand-in for an external system.

        :param kind: platform, fabric or backend.
        :param settings: path of the TOML settings file.
        """
        if kind not in STANDIN_CLASSES:
            raise errors.SettingsError(
                f"unknown stand-in {kind!r}; use one of "
                f"{sorted(STANDIN_CLASSES)}"
            )
        service, settings_class = STANDIN_CLASSES[kind]
        standin_settings: object = settings_module.read(
            settings_class, settings
        )
        logs.configure("info", standin=kind)
        run_service(service(settings=standin_settings))

    def print(self, plan: str, platform: str) -> None:
        """Validate a plan and print it as TOML for review.

        The output names the accepted generation as its base.

        :param plan: path of the plan, a Python file.
        :param platform: base URL of the platform's object API.
        """
        uvloop.run(commands.print_plan(plan, platform))

    def diff(self, printed: str, platform: str) -> None:
        """Show how a printed configuration differs from the accepted one.

        :param printed: path of the printed TOML.
        :param platform: base URL of the platform's object API.
        """
        uvloop.run(commands.show_difference(printed, platform))

    def check(
        self, printed: str, against: str | None = None, json: bool = False
    ) -> None:
        """Validate a configuration as entry hosts do, and look for mistakes.

        Exit codes: 0 if it is good, 1 if there are only warnings, 2 if there
        are errors.

        :param printed: path of the printed TOML, or of a JSON file with a
            configuration of the users' platform.
        :param against: path of another version; the differences are shown.
        :param json: whether to print the result as JSON.
        """
        code = configuration_check.check(printed, against, json)
        if code:
            sys.exit(code)

    def apply(
        self, printed: str, platform: str, timeout: float = 30.0
    ) -> None:
        """Apply a printed configuration and wait until it is in force.

        Exit codes: 3 if it was refused because of another change, 4 if it was
        accepted but not in force in time, 5 if the platform was unreachable
        or the outcome is unknown.

        :param printed: path of the printed TOML.
        :param platform: base URL of the platform's object API.
        :param timeout: seconds to wait until it is in force everywhere.
        """
        uvloop.run(commands.apply(printed, platform, timeout))

    def status(self, platform: str) -> None:
        """Show the accepted generation and those in force at the entry hosts.

        :param platform: base URL of the platform's object API.
        """
        uvloop.run(commands.status(platform))

    def report(self, *metrics: str, html: str | None = None) -> None:
        """Show the error-budget burn rates over all entry hosts.

        :param metrics: metrics endpoints, such as 127.0.0.1:7003.
        :param html: path of an HTML page with charts to write.
        """
        uvloop.run(reports.show(metrics, html))

    def rotate_keys(self, platform: str, timeout: float = 30.0) -> None:
        """Add a token key, or activate the key that was added last.

        Run it twice for a complete rotation: the first run distributes the
        key to all entry hosts, the second one makes them seal tokens with it.

        :param platform: base URL of the platform's object API.
        :param timeout: seconds to wait until it is in force everywhere.
        """
        uvloop.run(commands.rotate_keys(platform, timeout))

    def load(self, settings: str, report: str | None = None) -> None:
        """Generate load, check every answer, print a table and a JSON line.

        :param settings: path of the TOML settings file of the run.
        :param report: path of a JSON file to write the full report to.
        """
        load_settings = settings_module.read(loads.LoadSettings, settings)
        outcome = uvloop.run(loads.Load(load_settings).run())
        sys.exit(loads.finish(outcome, report))

    def flow_load(self, settings: str) -> None:
        """Open flows through entry hosts, check every answer, print a table.

        :param settings: path of the TOML settings file of the run.
        """
        load_settings = settings_module.read(
            flow_loads.FlowLoadSettings, settings
        )
        outcome = uvloop.run(flow_loads.FlowLoad(load_settings).run())
        sys.exit(flow_loads.finish(outcome))


def tune_collector() -> None:
    """Make garbage collection rare.

    Requests leave few reference cycles, and each pass takes long. The objects
    that exist at the start are excluded from all passes.
    """
    gc.freeze()
    gc.set_threshold(
        GC_YOUNG_THRESHOLD, GC_OLDER_THRESHOLD, GC_OLDER_THRESHOLD
    )


def run_service(service: aiomisc.Service) -> None:
    """Run a service on uvloop until a signal stops it."""
    tune_collector()
    # The entry point restores this disposition after the first SIGTERM, so a
    # second SIGTERM does not interrupt the planned stop.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    with aiomisc.entrypoint(
        service,
        log_config=False,
        shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        pool_size=2,
    ) as loop:
        loop.run_forever()


def exit_code(error: errors.VanilladrumError) -> int:
    """Return the code of an error in EXIT_CODES, by default EXIT_SETTINGS."""
    for error_class, code in EXIT_CODES:
        if isinstance(error, error_class):
            return code
    return EXIT_SETTINGS


def main() -> None:
    """Run the command line; on an error, print it and exit with its code."""
    try:
        fire.Fire(Commands, name="vanilladrum")
    except errors.VanilladrumError as error:
        print(f"vanilladrum: {error}", file=sys.stderr)
        sys.exit(exit_code(error))
    except (KeyboardInterrupt, asyncio.CancelledError):
        sys.exit(0)


if __name__ == "__main__":
    main()
