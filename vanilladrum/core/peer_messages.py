"""Message types that entry hosts exchange.

Fields are encoded by position, so their order is part of the wire format.
"""

from collections.abc import Callable
from typing import dataclass_transform
from typing import TypeVar

import attrs

from vanilladrum.core import address as addresses

# Bytes of a host number. An IPv4 address fits, as the number of a host
# without a configured one.
NUMBER_BYTES = 4
# Class attribute with the number of a message type on the wire.
KIND_ATTRIBUTE = "kind"
# Message classes by that number.
KINDS: dict[int, type] = {}
Message = TypeVar("Message", bound=type)


@dataclass_transform(frozen_default=True)
def message(kind: int) -> Callable[[Message], Message]:
    """Return a decorator for message classes.

    It makes a class a frozen attrs class and registers it in ``KINDS``.

    :param kind: number of the message type on the wire.
    """

    def register(cls: Message) -> Message:
        frozen = attrs.frozen(cls)
        setattr(frozen, KIND_ATTRIBUTE, kind)
        KINDS[kind] = frozen
        return frozen

    return register


@attrs.frozen
class Member:
    """Membership entry of one start of an entry host.

    :param number: number of the host, unique in the fleet.
    :param start: start number in 4 bytes, newer at each start; see
        :func:`vanilladrum.core.incarnations.start_from_clock`.
    :param address: endpoint for other entry hosts, UDP and TCP.
    :param data_centre: name of its data centre.
    :param state: see :class:`vanilladrum.core.incarnations.State`.
    :param refutation: incremented when the host refutes a suspicion, so that
        the entry supersedes the suspicion.
    """

    number: int
    start: bytes
    address: addresses.Address
    data_centre: str
    state: int = 0
    refutation: int = 0

    @property
    def incarnation(self) -> bytes:
        """Return the 8 bytes that identify this start: number and start."""
        return self.number.to_bytes(NUMBER_BYTES, "big") + self.start


@message(1)
class Forward:
    """A caller's datagram that is forwarded to the host responsible for it.

    :param raw: the datagram as received.
    :param caller: address of the caller.
    :param service: service address to which the caller sent it.
    :param via: tunnel endpoint of the fabric through which the reply
        returns, None for a direct reply.
    :param hops: number of entry hosts that have forwarded it so far.
    :param owner_lost: whether the owner is lost and the receiver, as its
        witness, must answer for it.
    """

    raw: bytes
    caller: addresses.Address
    service: addresses.Address
    via: addresses.Address | None
    hops: int
    owner_lost: bool


@message(2)
class Record:
    """Asks the witness of an owner to record a request before dispatch.

    :param owner: incarnation that owns the request.
    :param witness: incarnation that records it.
    :param connection: id of the connection, from its token.
    :param exchange: bytes that identify the request in its connection.
    """

    owner: bytes
    witness: bytes
    connection: bytes
    exchange: bytes


@message(3)
class Recorded:
    """The witness's reply to :class:`Record`, with the same identifiers.

    :param fenced: whether the owner is fenced: the request is not recorded
        and the owner must not dispatch it.
    """

    owner: bytes
    connection: bytes
    exchange: bytes
    fenced: bool


@message(4)
class Ping:
    """A liveness probe with the sender's entry and membership updates.

    :param sequence: number that the acknowledgement repeats.
    :param generation: generation of the configuration in force at the sender.
    :param gossip: membership entries that changed recently.
    """

    sequence: int
    sender: Member
    generation: int
    gossip: tuple[Member, ...]


@message(5)
class Ack:
    """Acknowledgement of a ping, with the same fields.

    It carries the sequence of the ping; all else describes its own sender.
    """

    sequence: int
    sender: Member
    generation: int
    gossip: tuple[Member, ...]


@message(6)
class PingRequest:
    """Asks a third host to probe ``target`` on behalf of the sender.

    :param sequence: number of the acknowledgement that the third host relays.
    """

    sequence: int
    sender: Member
    target: Member


@message(7)
class StopCompleted:
    """Reports that a planned stop is complete.

    :param owner: incarnation that has stopped.
    :param successor: incarnation that took over its request table.
    """

    owner: bytes
    successor: bytes


@message(20)
class ConfigurationRequest:
    """Requests the configuration in force, over a bulk connection.

    :param known_generation: generation in force at the requester.
    """

    known_generation: int


@message(21)
class Configuration:
    """The configuration in force, as a CBOR document; empty for none."""

    document: bytes


@message(25)
class MembersRequest:
    """Requests the complete view of a host, over a bulk connection."""

    sender: Member


@message(26)
class Members:
    """The complete view of a host.

    :param members: entries of all known hosts.
    :param successors: pairs of an incarnation that ended and the one that took
        over its request table.
    """

    members: tuple[Member, ...]
    successors: tuple[tuple[bytes, bytes], ...]


@message(22)
class Outcome:
    """The final answer to one request, part of a hand-over.

    :param owner: incarnation that owned the request.
    :param connection: id of the connection, from its token.
    :param exchange: bytes that identify the request in its connection.
    :param outcome: value of the response's outcome.
    :param code: response code.
    :param options: pairs of an option number and its value.
    :param token: connection token of the response.
    """

    owner: bytes
    connection: bytes
    exchange: bytes
    outcome: str
    code: int
    options: tuple[tuple[int, bytes], ...]
    payload: bytes
    token: bytes


@message(23)
class HandOver:
    """Request tables of a host that stops, sent to its successor.

    :param sender: incarnation that stops.
    :param ended: all incarnations of the sender, and the earlier ones of other
        hosts whose request tables it holds.
    :param outcomes: final answers.
    :param records: owner, connection and exchange of each request that the
        sender recorded as a witness.
    :param fenced: owners that must not dispatch any more.
    :param successors: pairs of an incarnation that ended and the one that took
        over its request table.
    """

    sender: bytes
    ended: tuple[bytes, ...]
    outcomes: tuple[Outcome, ...]
    records: tuple[tuple[bytes, bytes, bytes], ...]
    fenced: tuple[bytes, ...]
    successors: tuple[tuple[bytes, bytes], ...]


@message(24)
class HandOverConfirmed:
    """The receiver's confirmation of a :class:`HandOver`.

    :param successor: incarnation that took over the request table.
    """

    successor: bytes
