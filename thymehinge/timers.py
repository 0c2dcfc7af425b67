"""Heaps of timers from which the timers of ended requests are dropped before they are due."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MIN_COMPACTED_SIZE = 1024  # timers; a smaller heap is left as it is


def compact(timers: list[tuple[Any, ...]], is_stale: Callable[[tuple[Any, ...]], bool]) -> int:
    """Drop stale timers from a heap and return its size at which to do so again.

    That is when the heap has doubled, so that the time for it is in proportion to the timers that were added.
    """
    timers[:] = [timer for timer in timers if not is_stale(timer)]
    heapq.heapify(timers)
    return max(MIN_COMPACTED_SIZE, 2 * len(timers))
