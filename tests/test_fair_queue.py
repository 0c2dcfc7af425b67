"""Order of connections by the processor time that they have used."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from thymehinge.net.fair_queue import MAX_CHARGE, MAX_CREDIT, FairQueue

TURN = 0.0005  # seconds


def flow(queue: FairQueue) -> SimpleNamespace:
    return SimpleNamespace(used_time=queue.virtual_time)


def serve(queue: FairQueue, turns: int) -> list[SimpleNamespace]:
    """Give turns to connections that always have more input; return them in order."""
    served = []
    for _ in range(turns):
        served.append(queue.pop())
        queue.charge(served[-1], TURN)
        queue.add(served[-1])
    return served


def test_connection_that_used_little_comes_first():
    queue = FairQueue()
    light, *heavy = [flow(queue) for _ in range(21)]
    for connection in heavy:
        queue.add(connection)
    serve(queue, 400)
    queue.add(light)
    assert queue.pop() is light


def test_credit_of_idle_connection_is_bounded():
    queue = FairQueue()
    idle, *heavy = [flow(queue) for _ in range(4)]
    for connection in heavy:
        queue.add(connection)
    serve(queue, 30_000)
    queue.add(idle)
    turns = serve(queue, 200)
    first_others = turns.index(next(f for f in turns if f is not idle))
    assert first_others <= MAX_CREDIT / TURN + 2  # equal at both ends
    assert 40 <= turns[first_others:].count(idle) <= 60  # a quarter of the rest


def test_new_connection_has_no_credit():
    queue = FairQueue()
    heavy = flow(queue)
    queue.add(heavy)
    serve(queue, 1000)
    new = flow(queue)
    queue.add(new)
    assert serve(queue, 10).count(new) <= 6


@pytest.mark.parametrize(("duration", "charge"), [(TURN, TURN), (1.0, MAX_CHARGE), (-1.0, 0.0)])
def test_charge_is_the_duration_within_bounds(duration, charge):
    queue = FairQueue()
    connection = flow(queue)
    queue.charge(connection, duration)
    assert connection.used_time == pytest.approx(charge)
