"""Typed errors; each message names the remedy."""


class VanilladrumError(Exception):
    """Base of every error that the package raises on purpose."""


class AddressError(VanilladrumError):
    """A text or byte string is no IP endpoint."""


class SettingsError(VanilladrumError):
    """A settings file is refused; names the file, the key and the remedy."""


class ConfigurationError(VanilladrumError):
    """A configuration is refused; names the key and the remedy."""


class PacketError(VanilladrumError):
    """A datagram is refused.

    :param kind: counter name, such as ``malformed``.
    """

    def __init__(self, kind: str, message: str) -> None:
        super().__init__(message)
        self.kind = kind


class TokenError(VanilladrumError):
    """A connection token is refused.

    :param kind: counter name, such as ``forged``.
    """

    def __init__(self, kind: str, message: str) -> None:
        super().__init__(message)
        self.kind = kind


class PlatformError(VanilladrumError):
    """The platform's object API failed or was unreachable."""


class ConflictError(PlatformError):
    """A conditional update lost against a newer version."""


class StoreRefusedError(PlatformError):
    """The store answered that it did nothing and may be asked again."""


class StoreSilentError(PlatformError):
    """No answer came; a change may have been made or may still be."""


class TooLargeError(PlatformError):
    """An entry host does not pass on so much; ask the store itself."""


class HistoryGoneError(PlatformError):
    """Changes since a revision are not known any more; list again."""


class OutcomeError(VanilladrumError):
    """A request with a final answer was asked for its job."""


class HandOverError(VanilladrumError):
    """A request table could not be handed over."""
