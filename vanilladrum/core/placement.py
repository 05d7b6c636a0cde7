"""Selection of a service's dispatcher and witness by rendezvous hashing."""

import hashlib

import attrs

from vanilladrum.core import peer_messages
from vanilladrum.core import token as tokens


@attrs.frozen
class DispatcherPair:
    """The two entry hosts that a new token names.

    :param dispatcher: owner of the connection.
    :param witness: None when no other host is available.
    """

    dispatcher: peer_messages.Member
    witness: peer_messages.Member | None

    @property
    def witness_incarnation(self) -> bytes:
        """Return the witness's incarnation, or ``NO_INCARNATION`` if none."""
        if self.witness is None:
            return tokens.NO_INCARNATION
        return self.witness.incarnation


def rendezvous_weight(service: int, incarnation: bytes) -> bytes:
    """Return the rendezvous hashing weight of a host for a service."""
    return hashlib.blake2b(
        service.to_bytes(2, "big") + incarnation, digest_size=8
    ).digest()


def choose_pair(
    service: int, candidates: list[peer_messages.Member]
) -> DispatcherPair | None:
    """Return the two hosts with the highest weights for a service.

    :param service: number of the service.
    :param candidates: hosts that may dispatch.
    :returns: None when there is no such host.
    """
    ranked = sorted(
        candidates,
        key=lambda member: rendezvous_weight(service, member.incarnation),
        reverse=True,
    )
    if not ranked:
        return None
    witness = ranked[1] if len(ranked) > 1 else None
    return DispatcherPair(ranked[0], witness)
