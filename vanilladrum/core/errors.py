"""Exceptions of the package; each message says how to correct the cause."""


class VanilladrumError(Exception):
    """Base class of all errors that the package raises itself."""


class AddressError(VanilladrumError):
    """A text or byte string is not a valid IP endpoint."""


class SettingsError(VanilladrumError):
    """A settings file is invalid; the message names file, key and remedy."""


class ConfigurationError(VanilladrumError):
    """A configuration is invalid; the message names the key and remedy."""


class PacketError(VanilladrumError):
    """A received datagram is rejected.

    :param kind: counter name, such as ``malformed``.
    """

    def __init__(self, kind: str, message: str) -> None:
        super().__init__(message)
        self.kind = kind


class TokenError(VanilladrumError):
    """A connection token is rejected.

    :param kind: counter name, such as ``forged``.
    """

    def __init__(self, kind: str, message: str) -> None:
        super().__init__(message)
        self.kind = kind


class PlatformError(VanilladrumError):
    """A call of the platform's object API failed or got no answer."""


class ConflictError(PlatformError):
    """A conditional update was rejected because of a newer version."""


class StoreRejectedError(PlatformError):
    """The store refused a call without performing it; it may be repeated."""


class StoreTimeoutError(PlatformError):
    """The store did not answer.

    A requested change may have been made or may yet be made.
    """


class AnswerTooLargeError(PlatformError):
    """An answer is too large for an entry host to relay.

    The request is to be sent to the store itself.
    """


class NotServedError(PlatformError):
    """The called host does not have what was requested (status 404)."""


class HistoryExpiredError(PlatformError):
    """The changes since a revision are not available any more.

    All objects are to be listed again.
    """


class RequestCompletedError(VanilladrumError):
    """The job of a request was read although its response is final."""


class HandOverError(VanilladrumError):
    """A request table could not be transferred to another host."""
