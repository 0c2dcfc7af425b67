"""The ids of requests, as chosen by clients: which may not be sent, since they are open or may have run.

Clients choose a new id for each request, for a retry as well. Table servers deduplicate by id, so two open
requests with one id would be dropped or get each other's answer, and an unsafe one that has ended would run a
second time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from thymehinge.net.exchange import CommandError

if TYPE_CHECKING:
    from thymehinge.net.exchange import Exchange

MAX_ENDED_IDS = 65_536  # ids of ended requests that are kept


class RequestIds:
    """Ids of open requests, and for `retention` seconds those of ended requests that must not run again."""

    def __init__(self, retention: float, clock: Callable[[], float]) -> None:
        self.retention, self.clock = retention, clock
        self.open_ids: set[bytes] = set()
        self.ended_ids: dict[bytes, float] = {}  # expiry time by id, oldest first

    def check(self, exchange: Exchange) -> None:
        """Raise CommandError if the id of a new request is open, or may have run and must not run again."""
        if exchange.wire_id in self.open_ids:
            raise CommandError("a request with this id is open")
        if self.ended_ids.get(exchange.wire_id, 0.0) > self.clock():
            raise CommandError("a request with this id may have run")

    def register(self, exchange: Exchange) -> None:
        """Register the id of a request until `release`."""
        self.open_ids.add(exchange.wire_id)

    def release(self, exchange: Exchange) -> None:
        """End an id once its request is done and has no attempt in flight; no effect before or after that."""
        if exchange.wire_id not in self.open_ids or not exchange.is_finished():
            return
        self.open_ids.remove(exchange.wire_id)
        if not exchange.is_safe and exchange.may_have_run():
            self.keep(exchange.wire_id)

    def keep(self, wire_id: bytes) -> None:
        """Keep the id of an ended request, and drop those that have expired or are too many."""
        now = self.clock()
        while self.ended_ids:
            oldest = next(iter(self.ended_ids))
            if self.ended_ids[oldest] > now and len(self.ended_ids) < MAX_ENDED_IDS:
                break
            del self.ended_ids[oldest]
        self.ended_ids[wire_id] = now + self.retention
