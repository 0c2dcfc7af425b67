"""Connection pools to table servers."""

from __future__ import annotations

import math
from types import SimpleNamespace

from thymehinge.net.servers import Pool


def idle_connection(pool: Pool, idle_since: float, reusable: bool) -> SimpleNamespace:
    """Return a stand-in for an idle connection, which leaves the pool when it is aborted."""
    connection = SimpleNamespace(
        idle_since=idle_since, reusable=reusable, transport=SimpleNamespace(is_closing=lambda: False)
    )
    connection.abort = lambda: pool.idle.remove(connection)
    pool.idle.append(connection)
    return connection


def test_unused_connection_keeps_its_place_among_idle_ones():
    """Guards against an old connection behind a younger one, which was neither closed nor fit for use."""
    servers = SimpleNamespace(clock=lambda: 10.0, idle_limit=100.0, finish_attempt=lambda *arguments: None)
    pool = Pool(servers, ("127.0.0.1", 1), 0.0)
    idle_connection(pool, idle_since=1.0, reusable=True)
    young = idle_connection(pool, idle_since=9.0, reusable=False)
    ended_attempt = SimpleNamespace(
        deadline=math.inf, start_deadline=math.inf, exchange=SimpleNamespace(is_over=lambda: True)
    )
    pool.waiting.append(ended_attempt)
    pool.send_waiting()
    pool.close_idle(before=5.0)
    assert pool.idle == [young]
