"""Structured logging: one JSON line per event on standard error."""

import logging
import sys

import structlog


def configure(level: str, **context: object) -> None:
    """Configure structlog and the standard library's logging.

    :param level: name of the lowest level that is logged.
    :param context: fields added to every line.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    structlog.contextvars.bind_contextvars(**context)
    # aiohttp, websockets and aiomisc log through the standard library.
    logging.basicConfig(
        level=logging.WARNING,
        format='{"event": "library", "logger": "%(name)s", '
        '"level": "%(levelname)s"}',
        stream=sys.stderr,
    )
