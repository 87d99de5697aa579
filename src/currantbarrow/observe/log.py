"""Write JSON log lines, for changes of state only."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["DEBUG_TOPICS", "configure_logging", "logger"]

logger = logging.getLogger("currantbarrow")

DEBUG_TOPICS = ("links", "log", "ownership", "dispatch", "policy", "config")


def configure_logging(process: str, debug: tuple[str, ...] = ()) -> None:
    """Send log lines to stderr as JSON; debug topics switch on their own loggers."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        "{asctime}{levelname}{name}{message}", style="{", static_fields={"process": process}
    )
    handler.setFormatter(formatter)
    logger.handlers[:] = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    for topic in debug:
        logger.getChild(topic).setLevel(logging.DEBUG)
