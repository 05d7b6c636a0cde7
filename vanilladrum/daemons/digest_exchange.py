"""Digests to and from the other entry hosts."""

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import flowhost
from vanilladrum.daemons import known_state
from vanilladrum.daemons import lines
from vanilladrum.wire import datagrams
from vanilladrum.wire import digests
from vanilladrum.wire import loop as loops


class DigestExchange:
    """Tells the others what this host sees, and hears what they see.

    :param leaving: whether this host stops as planned.
    """

    def __init__(
        self,
        loop: loops.Loop,
        at: addresses.Address,
        core: flowhost.FlowHost,
        state: known_state.KnownState,
        log: lines.EventLog,
    ) -> None:
        self.loop = loop
        self.core = core
        self.neighbours = core.neighbours
        self.state = state
        self.log = log
        self.leaving = False
        self.sent = float("-inf")
        self.sent_open: dict[int, int] = {}
        self.socket = datagrams.Datagrams.bind(loop, at, self._received)

    def due(self) -> float:
        """Return when the next digest is to be sent."""
        changed = self.sent_open != self.core.table.open
        cadence = self.neighbours.cadence
        pause = cadence.period if changed else cadence.idle_period
        return self.sent + pause

    def tick(self, now: float) -> None:
        """Send a digest when it is time."""
        if now < self.due():
            return
        self.sent = now
        self.sent_open = dict(self.core.table.open)
        datagram = self._datagram()
        for host in self.neighbours.receivers(now):
            self.socket.send(datagram, host)

    def _datagram(self) -> bytes:
        digest = self.core.make_digest(
            self.leaving,
            self.state.sources.watching and not self.leaving,
            self.state.contact.away,
            self.state.revision,
        )
        return digests.encode(digest)

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()

    def _received(self, datagram: bytes, source: tuple[str, int]) -> None:
        try:
            digest = digests.decode(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        sender = addresses.Address(*source)
        now = self.loop.now()
        if self.neighbours.hear(sender, digest, now):
            self.log.event("entry host heard", peer=sender)
            # It may wait for somebody to follow.
            self.socket.send(self._datagram(), sender)
