"""Write JSON log lines to standard output, rate limited and without blocking."""

from __future__ import annotations

import logging
import os
import sys
import time

from pythonjsonlogger.msgspec import MsgspecFormatter

__all__ = ["DEBUG_TOPICS", "BoundedHandler", "configure_logging", "logger"]

logger = logging.getLogger("currantbarrow")

DEBUG_TOPICS = ("links", "log", "ownership", "dispatch", "policy", "config")

# A process under the highest load writes about 150 lines/s; lines above the limit are dropped
# and counted.
LINES_PER_S = 300
# Allows the burst that follows the loss of a fully loaded worker or of many links.
BURST_LINES = 900


class BoundedHandler(logging.Handler):
    """Write lines to a non-blocking descriptor, at a rate limited by a token bucket.

    Lines are dropped while the pipe is full or the rate is exceeded; warnings and errors are
    exempt from the rate limit. The next line that is written reports the number of dropped
    lines as `left_out`.
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
        """Write one line, or count it as dropped."""
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
        """Write a line after the rest of a partly written one; return whether it was accepted."""
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
                if self._unwritten:
                    return False
            self._unwritten = line[os.write(self._descriptor, line) :]
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe; the process goes on, observable by its metrics.
            return False
        return True


def configure_logging(process: str, debug: tuple[str, ...] = ()) -> None:
    """Write JSON log lines to standard output; log the given topics at debug level."""
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
