"""Which connection is closed where clients hold all descriptors that they may and another one connects."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from thymehinge.net.client_connection import ClientConnection

FIRST_REQUEST_GRACE = 0.2  # seconds in which a new connection is not evicted: its first request is in transit
KEPT_GRACE = 2.0  # seconds after an answer in which a connection is kept while silent ones hold their share
SILENT_SHARE = 1 / 4  # of all connections that those without a request may hold at the cost of kept ones


def choose_evicted(
    silent: Mapping[ClientConnection, None],
    idle: Mapping[ClientConnection, None],
    mid_command: Mapping[ClientConnection, float],
    max_connections: int,
    now: float,
) -> ClientConnection | None:
    """Return the connection to close, or None if none of them may be closed now.

    `silent` are the connections before their first request, `idle` those between requests, and `mid_command`
    those with a partial command, which may be silent too; each begins with the one that has been so longest.

    The first choice is one that has sent nothing within FIRST_REQUEST_GRACE, then the one that is idle for
    longest, then one whose partial command is older than that grace. Connections that have just been used are
    not closed for new ones while many of these say nothing: one of them soon will have used up its grace.
    """
    cutoff = now - FIRST_REQUEST_GRACE
    without_data = [c for c in silent if c not in mid_command]
    overdue = next((c for c in without_data if c.idle_since <= cutoff and not c.has_unread_input()), None)
    if overdue is not None:
        return overdue
    longest_idle = next(iter(idle), None)
    if longest_idle is None:
        return next((c for c in mid_command if not c.pending and c.command_started_at <= cutoff), None)
    many_are_silent = len(without_data) >= SILENT_SHARE * max_connections
    is_kept = many_are_silent and longest_idle.idle_since > now - KEPT_GRACE
    return None if is_kept else longest_idle
