"""What the operators have set for hedging."""

DEFAULT_PERCENTILE = 0.99
DEFAULT_FLOOR_SECONDS = 0.03


class HedgeSettings:
    """Settings of hedging; without them a host does not hedge.

    :param share: hedges allowed, as a share of the first packets that may be
        hedged; above 0.
    :param percentile: share of a service's openings below which an opening
        does not count as slow.
    :param floor: shortest wait before a hedge, in seconds.
    :param services: services whose first packets may be hedged, None for
        all.
    """

    def __init__(
        self,
        share: float,
        percentile: float = DEFAULT_PERCENTILE,
        floor: float = DEFAULT_FLOOR_SECONDS,
        services: frozenset[str] | None = None,
    ) -> None:
        self.share = share
        self.percentile = percentile
        self.floor = floor
        self.services = services
