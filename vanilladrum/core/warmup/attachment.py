"""Connects the limit for cold servers with the parts of a host."""

from vanilladrum.core import flowhost
from vanilladrum.core.warmup import budget as budgets
from vanilladrum.core.warmup import preference as preferences


def attach(
    host: flowhost.FlowHost, overage: float, slack: float
) -> budgets.WarmUpBudget:
    """Limit the first packets that cold servers get from all hosts.

    :param overage: factor of the rate that a cold server bears.
    :param slack: requests per second that it may get beyond that.
    :returns: the budget of this host.
    """
    budget = budgets.WarmUpBudget(
        host.data_centre,
        host.neighbours,
        lambda: host.configuration.warm_ups,
        overage,
        slack,
        host.counters,
    )
    host.warm_up = budget
    host.opener.warm_up = budget
    host.balancer.warm_up = preferences.Preference(
        budget, host.failure_detector, host.load
    )
    host.on_data_centre_returned = budget.data_centre_returned
    return budget
