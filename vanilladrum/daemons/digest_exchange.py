"""Exchange of digests with the other entry hosts over UDP."""

from vanilladrum.core import address as addresses
from vanilladrum.core import digest as digest_types
from vanilladrum.core import errors
from vanilladrum.core import flowhost
from vanilladrum.daemons import json_log
from vanilladrum.daemons import state_sync as state_syncs
from vanilladrum.wire import datagrams
from vanilladrum.wire import digests
from vanilladrum.wire import loop as loops


class DigestExchange:
    """Sends this host's digest and receives those of other hosts.

    :param address: address to bind for digests of other entry hosts.
    :param leaving: whether this host is in a planned stop.
    :param last_sent_at: when the last digest was sent, in monotonic seconds.
    :param sent_busy_flows: numbers of busy flows by server tag in the last
        digest.
    :raises SettingsError: when the endpoint cannot be bound.
    """

    def __init__(
        self,
        loop: loops.Loop,
        address: addresses.Address,
        core: flowhost.FlowHost,
        state_sync: state_syncs.StateSync,
        log: json_log.EventLog,
    ) -> None:
        self.loop = loop
        self.core = core
        self.neighbours = core.neighbours
        self.state_sync = state_sync
        self.log = log
        self.leaving = False
        self.last_sent_at = float("-inf")
        self.sent_busy_flows: dict[int, int] = {}
        self.socket = datagrams.DatagramSocket.bind(
            loop, address, self._received
        )

    def next_due(self) -> float:
        """Return when the next digest is due, in monotonic seconds.

        The interval is shorter when the numbers of busy flows have changed
        since the last digest.
        """
        changed = self.sent_busy_flows != self.core.table.busy_counts
        timing = self.neighbours.timing
        interval = timing.period if changed else timing.idle_period
        return self.last_sent_at + interval

    def tick(self, now: float) -> None:
        """Send a digest to the current receivers if one is due."""
        if now < self.next_due():
            return
        self.last_sent_at = now
        self.sent_busy_flows = dict(self.core.table.busy_counts)
        datagram = self._make_datagram()
        for host in self.neighbours.receivers(now):
            self.socket.send(datagram, host)

    def _make_datagram(
        self, receiver: digest_types.Digest | None = None
    ) -> bytes:
        """Return this host's digest.

        :param receiver: digest of the only receiver, None for several.
        """
        digest = self.core.make_digest(
            self.leaving,
            self.state_sync.source_selector.receives_from_store
            and not self.leaving,
            self.state_sync.store_monitor.unreachable,
            self.state_sync.servers_changed_position,
            receiver,
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
        if self.neighbours.receive(sender, digest, now):
            self.log.event("entry host heard", peer=sender)
            # The sender may be waiting for a host that it can follow.
            self.socket.send(self._make_datagram(digest), sender)
