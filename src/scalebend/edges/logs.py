"""Configuration of structured logs."""

from __future__ import annotations

import logging
import sys

import msgspec
import structlog

from scalebend.models.settings import LogFormat, Logging
from scalebend.utils.bounded_writer import BoundedWriter


def configure_logs(options: Logging) -> None:
    """Write log lines of the configured level and above to standard error."""
    level = logging.getLevelName(options.level.upper())
    renderer: structlog.types.Processor = structlog.processors.JSONRenderer()
    if options.format is LogFormat.CONSOLE:
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def _encode_line(event: object, **options: object) -> str:
    return msgspec.json.encode(event, enc_hook=str).decode()


def configure_bounded_logs(level_name: str) -> None:
    """Write log lines as JSON to standard output; drop lines instead of blocking."""
    level = logging.getLevelName(level_name.upper())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode_line),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(
            file=BoundedWriter(sys.stdout.fileno())  # type: ignore[arg-type]
        ),
        cache_logger_on_first_use=True,
    )
