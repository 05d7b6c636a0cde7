"""Messages between entry hosts."""

from collections.abc import Callable
from typing import dataclass_transform
from typing import TypeVar

import attrs

from vanilladrum.core import address as addresses

# An IPv4 number fits, where hosts have no number of their own.
NUMBER_BYTES = 4
KIND = "kind"
KINDS: dict[int, type] = {}
Message = TypeVar("Message", bound=type)


@dataclass_transform(frozen_default=True)
def message(kind: int) -> Callable[[Message], Message]:
    """Register a message class under its number on the wire."""

    def register(cls: Message) -> Message:
        frozen = attrs.frozen(cls)
        setattr(frozen, KIND, kind)
        KINDS[kind] = frozen
        return frozen

    return register


@attrs.frozen
class Member:
    """What is known of an entry host.

    :param number: number of the host, unique in the fleet.
    :param start: 4 bytes that grow with each start of the host; see
        :func:`vanilladrum.core.starts.first_start`.
    :param address: peer endpoint, UDP and TCP.
    :param data_centre: name of its data centre.
    :param state: see :class:`vanilladrum.core.starts.State`.
    :param refutation: grows when the host refutes a suspicion.
    """

    number: int
    start: bytes
    address: addresses.Address
    data_centre: str
    state: int = 0
    refutation: int = 0

    @property
    def incarnation(self) -> bytes:
        """Return the 8 bytes that name this start of the host."""
        return self.number.to_bytes(NUMBER_BYTES, "big") + self.start


@message(1)
class Forward:
    """A caller's datagram on its way to the host that must treat it.

    :param hops: entry hosts that have forwarded it so far.
    :param judge: whether the receiver is asked as the witness of a lost
        owner.
    """

    raw: bytes
    caller: addresses.Address
    service: addresses.Address
    via: addresses.Address | None
    hops: int
    judge: bool


@message(2)
class Record:
    """An owner asks its witness to record a request before dispatch."""

    owner: bytes
    witness: bytes
    connection: bytes
    exchange: bytes


@message(3)
class Recorded:
    """The witness's reply; ``fenced`` forbids the dispatch."""

    owner: bytes
    connection: bytes
    exchange: bytes
    fenced: bool


@message(4)
class Ping:
    """A liveness probe with the sender's own entry and some gossip.

    :param generation: configuration in force at the sender.
    """

    sequence: int
    sender: Member
    generation: int
    gossip: tuple[Member, ...]


@message(5)
class Ack:
    """The reply to a ping."""

    sequence: int
    sender: Member
    generation: int
    gossip: tuple[Member, ...]


@message(6)
class PingRequest:
    """Asks a third host to probe ``target`` for the sender."""

    sequence: int
    sender: Member
    target: Member


@message(7)
class Closed:
    """Tells that a planned stop has ended and who holds the table."""

    owner: bytes
    holder: bytes


@message(20)
class PullConfiguration:
    """Asks for the configuration in force, over a bulk connection."""

    known_generation: int


@message(21)
class Configuration:
    """The configuration in force, as a CBOR document; empty for none."""

    document: bytes


@message(25)
class PullMembers:
    """Asks for the whole view of a host, over a bulk connection."""

    sender: Member


@message(26)
class Members:
    """The whole view of a host: members and who judges for ended ones."""

    members: tuple[Member, ...]
    heirs: tuple[tuple[bytes, bytes], ...]


@message(22)
class Outcome:
    """The final answer of one request, part of a hand-over."""

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
    """Final answers, records and fences of a host that stops.

    :param records: owner, connection and exchange of recorded requests.
    :param fenced: owners that may not dispatch any more.
    :param heirs: ended incarnations and who holds their tables.
    """

    sender: bytes
    closed: tuple[bytes, ...]
    outcomes: tuple[Outcome, ...]
    records: tuple[tuple[bytes, bytes, bytes], ...]
    fenced: tuple[bytes, ...]
    heirs: tuple[tuple[bytes, bytes], ...]


@message(24)
class HandOverTaken:
    """The heir's confirmation."""

    holder: bytes
