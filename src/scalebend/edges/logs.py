"""Set up structured logs on standard error."""

from __future__ import annotations

import logging
import sys

import structlog

from scalebend.models.settings import LogFormat, Logging


def configure_logs(options: Logging) -> None:
    """Write log lines as JSON or for a console, from a level upwards."""
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
