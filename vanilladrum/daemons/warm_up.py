"""Sets up the limit for cold servers as the settings ask for it."""

from vanilladrum.core import flowhost
from vanilladrum.core.warmup import attachment
from vanilladrum.daemons import json_log
from vanilladrum.platform import settings as node_settings


def set_up(
    core: flowhost.FlowHost,
    settings: node_settings.NodeSettings,
    log: json_log.EventLog,
) -> None:
    """Limit the first packets for cold servers if the settings say so."""
    if settings.warm_up_slack is None:
        return
    budget = attachment.attach(
        core, settings.warm_up_overage, settings.warm_up_slack
    )

    def on_returned(name: str, now: float) -> None:
        budget.data_centre_returned(name, now)
        log.event(
            "data centre warming up",
            data_centre=name,
            servers=core.directory.data_centre_sizes[name],
            seconds=budget.longest_return(),
        )

    core.on_data_centre_returned = on_returned
