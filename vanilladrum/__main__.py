"""The command line."""

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
from vanilladrum.operator import change
from vanilladrum.operator import commands
from vanilladrum.operator import report as reports
from vanilladrum.standins import backend
from vanilladrum.standins import fabric
from vanilladrum.standins import flow_load as flow_loads
from vanilladrum.standins import load as loads
from vanilladrum.standins import platform

EXIT_SETTINGS = 2
EXIT_CODES = (
    (errors.ConflictError, 3),
    (change.NotInForceError, 4),
    (errors.PlatformError, 5),
)
COLLECT_EVERY = 50_000
COLLECT_EVERY_OLDER = 50
SHUTDOWN_SECONDS = 60
STANDINS = {
    "platform": (platform.PlatformService, platform.PlatformSettings),
    "fabric": (fabric.FabricService, fabric.FabricSettings),
    "backend": (backend.BackendService, backend.BackendSettings),
}


class Commands:
    """Vanilladrum, a layer-4 load balancer."""

    def entry_host(self, settings: str) -> None:
        """Run an entry host until SIGTERM or SIGINT.

        :param settings: path of its TOML settings.
        """
        found = settings_module.read_entry_host(settings)
        logs.configure(found.log_level, host=found.host.name)
        run_service(entry_host_daemon.EntryHostService(settings=found))

    def flow_host(self) -> None:
        """Run an entry host on the users' platform until SIGTERM.

        It takes its settings from the platform's file.
        """
        entry.main()

    def standin(self, kind: str, settings: str) -> None:
        """Run a stand-in for a system outside.

        :param kind: platform, fabric or backend.
        :param settings: path of its TOML settings.
        """
        if kind not in STANDINS:
            raise errors.SettingsError(
                f"stand-in {kind!r} is not known; use one of "
                f"{sorted(STANDINS)}"
            )
        service, settings_class = STANDINS[kind]
        found: object = settings_module.read(settings_class, settings)
        logs.configure("info", standin=kind)
        run_service(service(settings=found))

    def print(self, plan: str, platform: str) -> None:
        """Print a plan as TOML that builds on what is accepted now.

        :param plan: path of the plan, a Python file.
        :param platform: address of the platform's object API.
        """
        uvloop.run(commands.print_plan(plan, platform))

    def diff(self, printed: str, platform: str) -> None:
        """Show what a printed configuration would change.

        :param printed: path of the printed TOML.
        :param platform: address of the platform's object API.
        """
        uvloop.run(commands.show_difference(printed, platform))

    def check(self, printed: str) -> None:
        """Check a printed configuration as entry hosts will.

        :param printed: path of the printed TOML.
        """
        commands.check(printed)

    def apply(
        self, printed: str, platform: str, timeout: float = 30.0
    ) -> None:
        """Apply a printed configuration and wait until it is in force.

        Exit codes: 3 refused because of another change, 4 accepted but not
        in force in time, 5 platform unreachable or outcome unknown.

        :param printed: path of the printed TOML.
        :param platform: address of the platform's object API.
        :param timeout: seconds to wait until it is in force everywhere.
        """
        uvloop.run(commands.apply(printed, platform, timeout))

    def status(self, platform: str) -> None:
        """Show the accepted generation and what is in force where.

        :param platform: address of the platform's object API.
        """
        uvloop.run(commands.status(platform))

    def report(self, *metrics: str, html: str | None = None) -> None:
        """Show the service-level burn over all entry hosts.

        :param metrics: metrics endpoints, such as 127.0.0.1:7003.
        :param html: path to which a page with plots is written.
        """
        uvloop.run(reports.show(metrics, html))

    def rotate_keys(self, platform: str, timeout: float = 30.0) -> None:
        """Add a token key; run again to seal with it.

        :param platform: address of the platform's object API.
        :param timeout: seconds to wait until it is in force everywhere.
        """
        uvloop.run(commands.rotate_keys(platform, timeout))

    def load(self, settings: str, report: str | None = None) -> None:
        """Drive load, check every answer, print a table and a JSON line.

        :param settings: path of the run's TOML settings.
        :param report: path to which the whole report is written as JSON.
        """
        found = settings_module.read(loads.LoadSettings, settings)
        outcome = uvloop.run(loads.Load(found).run())
        sys.exit(loads.finish(outcome, report))

    def flow_load(self, settings: str) -> None:
        """Open flows at entry hosts, check every answer, print a table.

        :param settings: path of the run's TOML settings.
        """
        found = settings_module.read(flow_loads.FlowLoadSettings, settings)
        outcome = uvloop.run(flow_loads.FlowLoad(found).run())
        sys.exit(flow_loads.finish(outcome))


def tune_collector() -> None:
    """Collect cycles rarely: requests leave few, and each pass is long."""
    gc.freeze()
    gc.set_threshold(COLLECT_EVERY, COLLECT_EVERY_OLDER, COLLECT_EVERY_OLDER)


def run_service(service: aiomisc.Service) -> None:
    """Run a service on uvloop until it is told to stop."""
    tune_collector()
    # The entry point puts this back after the first SIGTERM, so that a
    # second one does not cut a planned stop short.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    with aiomisc.entrypoint(
        service,
        log_config=False,
        shutdown_timeout=SHUTDOWN_SECONDS,
        pool_size=2,
    ) as loop:
        loop.run_forever()


def exit_code(error: errors.VanilladrumError) -> int:
    """Return the exit code of a failed command."""
    for kind, code in EXIT_CODES:
        if isinstance(error, kind):
            return code
    return EXIT_SETTINGS


def main() -> None:
    """Run the command line; exit 2 on refused settings."""
    try:
        fire.Fire(Commands, name="vanilladrum")
    except errors.VanilladrumError as error:
        print(f"vanilladrum: {error}", file=sys.stderr)
        sys.exit(exit_code(error))
    except (KeyboardInterrupt, asyncio.CancelledError):
        sys.exit(0)


if __name__ == "__main__":
    main()
