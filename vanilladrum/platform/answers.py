"""Reads the store's answers: status, compression, JSON and era."""

from collections.abc import Callable
import zlib

from vanilladrum.core import errors
from vanilladrum.platform import connection as connections
from vanilladrum.platform import partial_json

# Largest size of a decompressed response, in bytes; eight pages of a list.
MAX_DECOMPRESSED_BYTES = 8_000_000
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_TOO_LARGE = 413
# Statuses of a call that the store did not process.
_UNAVAILABLE = (429, 503)
# Errors that content of another form raises.
_UNREADABLE = (
    *partial_json.DECODE_ERRORS,
    KeyError,
    TypeError,
    AttributeError,
    zlib.error,
)
# Converts the decoded JSON document and the era of an answer to its value.
Reader = Callable[[dict, int], object]


def read_answer(
    request_line: str,
    answer: connections.Answer,
    read: Reader,
    allow_not_found: bool,
    decoder: partial_json.Decoder = partial_json.WHOLE,
) -> object:
    """Return the value that an answer contains, or a PlatformError.

    :param request_line: the request, for error messages.
    :param read: called with the document if the status is 200.
    :param allow_not_found: whether ``read`` is also called if the object does
        not exist.
    :param decoder: decodes what is read of the objects.
    """
    status, body, compressed, era = answer
    if status in _UNAVAILABLE:
        return errors.StoreRejectedError(
            f"the store answered {status} to {request_line} and did nothing; "
            "try again later"
        )
    if status == _GONE:
        return errors.HistoryExpiredError(
            f"the store has no history for {request_line}; list the objects "
            "again"
        )
    if status == _TOO_LARGE:
        return errors.AnswerTooLargeError(
            f"the answer to {request_line} is too large for an entry host to "
            "relay; send the request to the store"
        )
    if status == _CONFLICT:
        return errors.ConflictError(
            f"{request_line} was refused: the object has changed; read it and "
            "repeat the change"
        )
    if status == _NOT_FOUND and not allow_not_found:
        return errors.NotServedError(
            f"{request_line} was answered with status 404; an entry host of "
            "an earlier release, or one that has just started, does so"
        )
    if status not in (_OK, _NOT_FOUND):
        return errors.PlatformError(
            f"the store answered {status} to {request_line}; see the store's "
            "documentation of this call"
        )
    try:
        content = _decompress(body) if compressed else body
        document = decoder.loads(content or b"{}")
        if not isinstance(document, dict):
            raise TypeError(f"{type(document).__name__} in place of an object")
        return read(document, era)
    except errors.PlatformError as error:
        return error
    except _UNREADABLE as error:
        return errors.PlatformError(
            f"the store's answer to {request_line} cannot be read "
            f"({error!r}); check for proxies on the path to the store"
        )


def _decompress(body: bytes) -> bytes:
    """Return the decompressed body.

    :raises ValueError: when it is incomplete or exceeds
        MAX_DECOMPRESSED_BYTES.
    """
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(body, MAX_DECOMPRESSED_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError(f"more than {MAX_DECOMPRESSED_BYTES} bytes")
    if not decompressor.eof:
        raise ValueError("the compressed body is incomplete")
    return decompressed
