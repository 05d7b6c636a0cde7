"""Whether a backend server accepts new work."""

import enum


class ServerState(enum.Enum):
    """State that a server or its operator has set.

    An ACTIVE server accepts new work. A LEAVING server finishes its open work
    and receives no new work.
    """

    ACTIVE = "active"
    LEAVING = "leaving"
