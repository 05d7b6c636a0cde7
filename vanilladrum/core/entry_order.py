"""Order of the entries that a backend server wrote before and after restores.

Within an era the store itself orders the entries. After a restore it has older
ones until the servers write again, and only the servers' own numbers tell.
"""

from vanilladrum.core import backend as backends

# Removed entries that are remembered; more than a large fleet replaces while
# a copy of the store ages.
MAX_REMOVED = 2000


class _KnownEntry:
    """The last entry of a server, or its removal.

    :param era: era in which it was read or removed.
    :param written: start time and sequence number of the entry.
    """

    __slots__ = ("era", "written")

    def __init__(self, era: int, written: tuple[int, int]) -> None:
        self.era = era
        self.written = written


class EntryOrder:
    """Remembers which entries of servers were read in which era."""

    def __init__(self) -> None:
        self._in_use: dict[str, _KnownEntry] = {}
        self._removed: dict[str, _KnownEntry] = {}

    def is_older(self, server: backends.Backend, era: int) -> bool:
        """Return whether a newer entry was read in an earlier era.

        :param era: era in which the entry was read.
        """
        known = self._in_use.get(server.name)
        return (
            known is not None
            and known.era < era
            and _written(server) < known.written
        )

    def is_removed(self, server: backends.Backend, era: int) -> bool:
        """Return whether this entry was removed in an earlier era.

        :param era: era in which the entry was read.
        """
        known = self._removed.get(server.name)
        return (
            known is not None
            and known.era < era
            and _written(server) <= known.written
        )

    def record(self, server: backends.Backend, era: int) -> None:
        """Record an entry that is in use from now on."""
        self._removed.pop(server.name, None)
        self._in_use[server.name] = _KnownEntry(era, _written(server))

    def record_removal(self, name: str, era: int) -> None:
        """Record that the entry of a server was removed.

        :param era: era in which it was removed.
        """
        known = self._in_use.pop(name, None)
        if known is None:
            return
        self._removed[name] = _KnownEntry(era, known.written)
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]


def _written(server: backends.Backend) -> tuple[int, int]:
    return server.started, server.sequence
