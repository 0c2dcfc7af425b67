"""Checks the record of the time that a process has waited for a processor."""

from __future__ import annotations

import os

import pytest
from processor_wait import ProcessorWait, read_processor_wait


def test_wait_is_counted_between_samples():
    record = ProcessorWait(os.getpid())
    record.times, record.waits = [1.0, 2.0, 3.0, 4.0], [0.0, 0.25, 0.25, 1.0]
    assert record.between(1.5, 1.9) == 0.25  # the interval between two samples counts in full
    assert record.between(2.0, 3.0) == 0.0
    assert record.between(0.0, 9.0) == 1.0


def test_wait_of_this_process_is_read_and_does_not_decrease():
    record = ProcessorWait(os.getpid())
    before = read_processor_wait(os.getpid())
    record.sample()
    record.sample()
    assert before <= record.waits[0] <= record.waits[1]


def test_ended_process_adds_no_sample():
    record = ProcessorWait(2**22 + 1)  # above the largest process id of Linux
    record.sample()
    assert record.between(0.0, 1.0) == 0.0
    with pytest.raises(OSError):
        read_processor_wait(2**22 + 1)
