"""Starts an entry host on the users' platform.

The socket for packets is bound before the rest of the program is loaded:
what arrives meanwhile waits in the kernel instead of being lost.
"""

import json
import sys

from vanilladrum.core import errors
from vanilladrum.platform import settings as node_settings
from vanilladrum.wire import udp

EXIT_SETTINGS = 2


def main() -> None:
    """Run an entry host; exit 2 on refused settings."""
    try:
        settings = node_settings.read(node_settings.path())
        bound = udp.bind(settings.flows)
        # Loaded late on purpose, see above.
        from vanilladrum.daemons import flow_host

        flow_host.run(settings, bound)
    except errors.VanilladrumError as error:
        line = {"event": "refused to start", "reason": str(error)}
        print(json.dumps(line), flush=True)
        sys.exit(EXIT_SETTINGS)


if __name__ == "__main__":
    main()
