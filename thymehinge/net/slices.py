"""Work in slices, between which the event loop runs everything else that is due."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

SLICE_ENTRIES = 256  # of a server list that are processed in one turn of the event loop


async def run_in_slices(steps: Iterable[None] | None) -> None:
    """Run a generator that yields between its slices; on cancellation, run the rest at once."""
    iterator = iter(steps or ())
    try:
        for _ in iterator:
            await asyncio.sleep(0)
    finally:
        for _ in iterator:
            pass
