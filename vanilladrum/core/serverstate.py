"""Whether a backend server takes new work."""

import enum


class ServerState(enum.Enum):
    """What a server, or its operator, says of it."""

    ACTIVE = "active"
    LEAVING = "leaving"
