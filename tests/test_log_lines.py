"""Test that the log handler limits its rate and never blocks on its reader."""

from __future__ import annotations

import logging
import os

from currantbarrow.observe.log import BURST_LINES, BoundedHandler


def make_record(number: int, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord("test", level, "", 0, f"line {number}", (), None)


class TestBoundedHandler:
    def test_lines_above_the_rate_limit_are_dropped_and_counted(self) -> None:
        reader, writer = os.pipe()
        handler = BoundedHandler(writer)
        for number in range(BURST_LINES + 50):
            handler.emit(make_record(number))
            os.read(reader, 100) if number < BURST_LINES else None
        assert 0 < handler.left_out <= 50
        os.close(reader)
        os.close(writer)

    def test_full_pipe_neither_blocks_nor_truncates_lines(self) -> None:
        reader, writer = os.pipe()
        handler = BoundedHandler(writer)
        handler.setFormatter(logging.Formatter("%(message)s " + "x" * 200))
        for number in range(BURST_LINES):
            handler.emit(make_record(number))
        assert handler.left_out > 0
        text = os.read(reader, 1 << 20)
        # Not subject to the rate limit, which a fast machine has reached by now.
        handler.emit(make_record(1, logging.WARNING))
        text += os.read(reader, 1 << 20)
        lines = text.decode().splitlines()
        assert all(line.startswith("line ") and line.endswith("x" * 200) for line in lines)
        os.close(reader)
        os.close(writer)

    def test_closed_reader_raises_no_error(self) -> None:
        reader, writer = os.pipe()
        handler = BoundedHandler(writer)
        os.close(reader)
        handler.emit(make_record(1))
        assert handler.left_out == 1
        os.close(writer)
