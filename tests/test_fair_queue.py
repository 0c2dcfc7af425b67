"""Order of connections by the processor time that they have used."""

from __future__ import annotations

import random

import pytest
from hostile_clients import ANSWER_GRACE

from thymehinge.net.fair_queue import MAX_CHARGE, MAX_CREDIT, MIN_FIRST_CHARGE, NEW_FLOW_SHARES, FairQueue

TURN = 0.0005  # seconds
MAX_CONNECTIONS = 341  # of clients, a third of the most descriptors that a gateway has
TURNS = 20_000  # of one random play


class Connection:
    """A connection, without a `used_time` a new one."""

    def __init__(self, used_time: float | None = None) -> None:
        self.used_time = used_time


def flow(queue: FairQueue) -> Connection:
    """Return a connection that has had a turn."""
    return Connection(queue.virtual_time)


def serve(queue: FairQueue, turns: int) -> list[Connection]:
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


def test_kept_connection_is_served_while_others_connect_anew_without_end():
    """Guards against connections that starve because each new one has used less than they have."""
    queue = FairQueue()
    kept = flow(queue)
    queue.add(kept)
    queue.charge(queue.pop(), TURN)
    queue.add(kept)
    for _ in range(72):
        queue.add(Connection())
    turns_before = 0
    while turns_before < 1000 and (served := queue.pop()) is not kept:
        turns_before += 1
        queue.charge(served, TURN / 5)
        queue.add(Connection())
    assert turns_before <= 2


@pytest.mark.parametrize("first_turn", [TURN / 100, TURN])
def test_kept_connection_is_served_while_others_leave_after_their_second_turn(first_turn):
    """Guards against connections that gain a place before older ones by a short first turn."""
    queue = FairQueue()
    kept = flow(queue)
    for _ in range(72):
        queue.add(Connection())
    waits, waited = [], 0
    queue.add(kept)
    for _ in range(5000):
        served = queue.pop()
        if served is kept:
            waits.append(waited)
            waited = 0
            queue.charge(kept, TURN / 2)
            queue.add(kept)
            continue
        waited += 1
        is_first = served.used_time is None
        queue.charge(served, first_turn if is_first else TURN)
        queue.add(served if is_first else Connection())
    assert len(waits) > 5000 / 72 / 2
    assert max(waits) * TURN < ANSWER_GRACE / 2


def test_burst_of_idle_connections_does_not_delay_a_busy_one_for_long():
    """Guards against credits that are bounded for each connection, but not in sum."""
    queue = FairQueue()
    busy, idle = flow(queue), [flow(queue) for _ in range(MAX_CONNECTIONS - 1)]
    queue.add(busy)
    serve(queue, 100)
    assert queue.pop() is busy
    for connection in (*idle, busy):
        queue.add(connection)
    turns = serve(queue, 10_000)
    assert turns.index(busy) * TURN < ANSWER_GRACE


def test_new_connections_are_served_in_order_of_arrival():
    queue = FairQueue()
    connections = [Connection() for _ in range(5)]
    for connection in connections:
        queue.add(connection)
    assert [queue.pop() for _ in connections] == connections


@pytest.mark.parametrize("new_count", [1, 60])
def test_new_connections_together_have_a_fixed_share_beside_the_kept_ones(new_count):
    queue = FairQueue()
    for _ in range(20):
        queue.add(flow(queue))
    for _ in range(new_count):
        queue.add(Connection())
    new_turns = 0
    for _ in range(2000):
        served = queue.pop()
        is_new = served.used_time is None
        new_turns += is_new
        queue.charge(served, TURN)
        queue.add(Connection() if is_new else served)
    assert new_turns == pytest.approx(2000 * NEW_FLOW_SHARES / (NEW_FLOW_SHARES + 1), rel=0.05)


def test_new_connections_do_not_wait_for_all_kept_ones():
    """Guards against a share of the new connections that is too small where few come beside many others."""
    queue = FairQueue()
    for _ in range(250):
        queue.add(flow(queue))
    serve(queue, 1000)
    for _ in range(100):
        queue.add(new := Connection())
        turns = serve(queue, 20)
        assert turns.index(new) <= 4
        queue.remove(new)


def test_short_first_turn_is_charged_for_opening_and_closing_too():
    """Guards against first turns that cost next to nothing: opening and closing take time outside turns."""
    queue = FairQueue()
    queue.add(new := Connection())
    queue.charge(queue.pop(), TURN / 100)
    assert new.used_time == pytest.approx(MIN_FIRST_CHARGE)
    assert queue.new_used_time == pytest.approx(MIN_FIRST_CHARGE / NEW_FLOW_SHARES)


def test_connection_that_has_ended_is_removed():
    queue = FairQueue()
    kept, ended, new, ended_new = flow(queue), flow(queue), Connection(), Connection()
    for connection in (ended, kept, ended_new, new):
        queue.add(connection)
    for connection in (ended, ended_new, flow(queue), Connection()):
        queue.remove(connection)
    assert len(queue) == 2 and {id(queue.pop()), id(queue.pop())} == {id(kept), id(new)}


class RandomArrivals:
    """Random connections of three kinds, one turn after another.

    Some always have input waiting, others are opened anew for ever and end after some turns, and one uses
    less than its share.
    """

    def __init__(self, seed: int) -> None:
        self.rng, self.queue = random.Random(seed), FairQueue()
        self.heavy = [flow(self.queue) for _ in range(self.rng.randint(0, MAX_CONNECTIONS // 2))]
        self.new_count = self.rng.randint(1, MAX_CONNECTIONS - len(self.heavy) - 1)
        self.max_turns = self.rng.choice((1, 2, 5))  # of a connection that ends
        self.turns_left: dict[Connection, int] = {}
        self.light, self.light_waits, self.light_used = flow(self.queue), False, 0.0
        self.time = self.asked_at = 0.0  # seconds of processor time
        self.waits: list[float] = []
        for connection in self.heavy:
            self.queue.add(connection)
        for _ in range(self.new_count):
            self.open_connection()

    def open_connection(self) -> None:
        connection = Connection()
        self.turns_left[connection] = self.rng.randint(1, self.max_turns)
        self.queue.add(connection)

    def ask(self) -> None:
        """Let the light connection ask for a turn, unless it waits or has used its share."""
        if not self.light_waits and self.light_used <= self.time / (MAX_CONNECTIONS + 1):
            self.light_waits, self.asked_at = True, self.time
            self.queue.add(self.light)

    def serve(self) -> None:
        """Give one turn."""
        connection = self.queue.pop()
        duration = self.rng.uniform(TURN / 50, TURN)
        self.queue.charge(connection, duration)
        if connection is self.light:
            self.light_waits = False
            self.light_used += duration
            self.waits.append(self.time - self.asked_at)
        elif connection not in self.turns_left:
            self.queue.add(connection)
        else:
            self.turns_left[connection] -= 1
            if self.turns_left[connection]:
                self.queue.add(connection)
            else:
                del self.turns_left[connection]
                self.open_connection()
        self.time += duration


@pytest.mark.parametrize("seed", range(20))
def test_no_connection_within_its_share_waits_long_and_work_is_conserved(seed):
    arrivals = RandomArrivals(seed)
    for _ in range(TURNS):
        arrivals.ask()
        assert len(arrivals.queue) == len(arrivals.heavy) + arrivals.new_count + arrivals.light_waits
        arrivals.serve()
    assert arrivals.waits and max(arrivals.waits) < ANSWER_GRACE
    assert not arrivals.light_waits or arrivals.time - arrivals.asked_at < ANSWER_GRACE


@pytest.mark.parametrize(("duration", "charge"), [(TURN, TURN), (1.0, MAX_CHARGE), (-1.0, 0.0)])
def test_charge_is_the_duration_within_bounds(duration, charge):
    queue = FairQueue()
    connection = flow(queue)
    queue.charge(connection, duration)
    assert connection.used_time == pytest.approx(charge)
