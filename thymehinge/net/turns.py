"""Turns in which client connections have their commands processed, between polls of the sockets."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from thymehinge.net.fair_queue import FairQueue
from thymehinge.net.intake_report import IntakeReport

if TYPE_CHECKING:
    from thymehinge.net.client_connection import ClientConnection

CONNECTION_TURN = 0.0005  # seconds for which a connection's commands are processed before the next one's
LOOP_TURN = 0.002  # seconds of one event loop turn for processing commands; sockets are polled in between

log = logging.getLogger(__name__)


class TurnScheduler:
    """Gives turns to connections with commands to process, in the order of `FairQueue`.

    `clock` gives the time in seconds; the waits go to `report`.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float], report: IntakeReport
    ) -> None:
        self.loop, self.clock, self.report = loop, clock, report
        self.queue = FairQueue()
        self.is_scheduled = False

    def enqueue(self, connection: ClientConnection) -> None:
        """Have a connection's commands processed when it is its turn."""
        if not connection.queued:
            connection.queued, connection.queued_at = True, self.clock()
            self.queue.add(connection)
            self.schedule()

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended, if it waits for a turn."""
        if connection.queued:
            self.queue.remove(connection)

    def schedule(self) -> None:
        """Have the event loop give turns once it has polled the sockets."""
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self.run)

    def run(self) -> None:
        """Give turns for LOOP_TURN at most; the rest waits until the sockets have been polled."""
        self.is_scheduled = False
        started_at = now = self.clock()
        while self.queue and now < started_at + LOOP_TURN:
            now = self.give_turn(self.queue.pop(), now)
        if self.queue:
            self.schedule()

    def give_turn(self, connection: ClientConnection, started_at: float) -> float:
        """Process a connection's commands for CONNECTION_TURN, and return the time at its end."""
        needs_turn = False
        self.report.record_turn(started_at - connection.queued_at, is_first=connection.used_time is None)
        try:
            needs_turn = connection.process_commands(started_at + CONNECTION_TURN)
        except Exception:
            log.exception("unexpected exception while processing commands")
            connection.abort()
        ended_at = self.clock()
        self.queue.charge(connection, ended_at - started_at)
        if needs_turn:
            connection.queued_at = ended_at
            self.queue.add(connection)
        return ended_at
