"""Entry point of an entry host on the users' platform.

The socket for callers' packets is bound before the rest of the program is
imported: packets that arrive in between wait in the kernel's receive buffer
instead of being lost.
"""

import json
import signal
import sys

from vanilladrum.core import errors
from vanilladrum.platform import settings as node_settings
from vanilladrum.wire import udp

# Exit status when the settings are invalid or an endpoint cannot be bound.
EXIT_SETTINGS = 2


def main() -> None:
    """Run an entry host; exit with status 2 if it cannot start."""
    # By default the signal ends the process. A reload that is requested before
    # the settings were read has nothing to do.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        settings = node_settings.read(node_settings.path())
        packet_socket = udp.bind(settings.flows)
        # Imported after the socket is bound; see the module docstring.
        from vanilladrum.daemons import flow_host

        flow_host.run(settings, packet_socket)
    except errors.VanilladrumError as error:
        record = {"event": "refused to start", "reason": str(error)}
        print(json.dumps(record), flush=True)
        sys.exit(EXIT_SETTINGS)


if __name__ == "__main__":
    main()
