"""Write JSON log lines to standard output, bounded in volume and without ever waiting."""

from __future__ import annotations

import logging
import os
import sys
import time

from pythonjsonlogger.msgspec import MsgspecFormatter

__all__ = ["DEBUG_TOPICS", "BoundedHandler", "configure_logging", "logger"]

logger = logging.getLogger("currantbarrow")

DEBUG_TOPICS = ("links", "log", "ownership", "dispatch", "policy", "config")

# A process at the worst load writes some 150 lines a second; beyond this they are counted only.
LINES_PER_S = 300
# What a moment may bring at once, such as the end of a full worker or of many links.
BURST_LINES = 900


class BoundedHandler(logging.Handler):
    """Write lines while the reader takes them and their number stays within bounds.

    What is left out is counted, and the next line that is written tells how many were.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._tokens = float(BURST_LINES)
        self._refilled_s = time.monotonic()
        self._unwritten = b""
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it."""
        if not self._consume_token() and record.levelno < logging.WARNING:
            self.left_out += 1
            return
        if self.left_out:
            record.left_out = self.left_out
        line = self.format(record).encode() + b"\n"
        if self._write(line):
            self.left_out = 0
        else:
            self.left_out += 1

    def _consume_token(self) -> bool:
        now_s = time.monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now_s - self._refilled_s) * LINES_PER_S)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self, line: bytes) -> bool:
        """Write a line whole or not at all; the rest of one that was cut goes first."""
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
                if self._unwritten:
                    return False
            self._unwritten = line[os.write(self._descriptor, line) :]
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more; the counters still tell what happens.
            return False
        return True


def configure_logging(process: str, debug: tuple[str, ...] = ()) -> None:
    """Send log lines to standard output as JSON; debug topics switch on their own loggers."""
    handler = BoundedHandler(sys.stdout.fileno())
    formatter = MsgspecFormatter(
        "{asctime}{levelname}{name}{message}", style="{", static_fields={"process": process}
    )
    handler.setFormatter(formatter)
    logger.handlers[:] = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    for topic in debug:
        logger.getChild(topic).setLevel(logging.DEBUG)
