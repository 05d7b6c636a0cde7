"""Whether a backend server takes new work."""

import enum


class ServerState(enum.Enum):
    """State that a server or its operator has set.

    A LEAVING server finishes its open work and gets no new work.
    """

    ACTIVE = "active"
    LEAVING = "leaving"
