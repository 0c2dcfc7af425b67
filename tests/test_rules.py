"""The five rules that every single gateway must keep."""

from __future__ import annotations

import random

import pytest
from rules import CheckedGateway, make_settings, server_list

from thymehinge import interface as api
from thymehinge.interface import LifecycleState, Result

NEVER_RAN = [Result.REJECTED, Result.CONNECT_FAILED]
MAY_HAVE_RUN = [Result.ERROR, Result.RESET, Result.TIMEOUT]


def test_answered_when_no_server_is_listed():
    checked = CheckedGateway()
    checked.request()
    checked.finish()
    assert isinstance(checked.final_actions[1], api.Refuse)


def test_answered_at_the_deadline_when_the_server_does_not_answer():
    checked = CheckedGateway()
    checked.deliver(server_list("s1"))
    checked.request(time_left=0.5)
    checked.finish()
    assert isinstance(checked.final_actions[1], api.Fail | api.Refuse)
    assert any(isinstance(a, api.Cancel) for _, a in checked.action_log)


def test_a_timer_that_fires_early_is_set_again():
    """Guards against losing all later timers when the caller rounds a timer's time down."""
    checked = CheckedGateway()
    checked.deliver(server_list("s1"))
    checked.request(time_left=0.5)
    at, tag = min(checked.timers)
    checked.timers.clear()
    checked.now = at - 1e-6
    checked.deliver(api.TimerDue(tag))
    checked.finish()


@pytest.mark.parametrize("cls", ["lookup", "pay", "post", "once"])
@pytest.mark.parametrize("result", NEVER_RAN + MAY_HAVE_RUN)
def test_retries_keep_to_the_idempotency_of_the_class(cls, result):
    checked = CheckedGateway()
    checked.deliver(server_list("s1", "s2", "s3", "s4"))
    checked.request(cls=cls)
    checked.end_attempt(1, result)
    again = len(checked.attempts[1]) == 2
    assert again == (result in NEVER_RAN or cls != "once")
    checked.finish()


def test_a_keyed_request_is_not_retried_after_its_dedup_window():
    checked = CheckedGateway(make_settings(hedging_enabled=False))
    checked.deliver(server_list("s1", "s2", "s3"))
    checked.request(cls="pay")
    checked.run(1.95)
    checked.end_attempt(1, Result.RESET)
    assert len(checked.attempts[1]) == 1 and isinstance(checked.final_actions[1], api.Fail)


@pytest.mark.parametrize("enabled", [True, False])
def test_hedged_attempts_only_where_enabled(enabled):
    checked = CheckedGateway(make_settings(hedging_enabled=enabled))
    checked.deliver(server_list("s1", "s2"))
    checked.request()
    checked.run(1.0)
    assert checked.in_flight(1) == (2 if enabled else 1)


@pytest.mark.parametrize("state", [LifecycleState.DRAINING, LifecycleState.GONE])
def test_drains_are_obeyed_at_once(state):
    checked = CheckedGateway()
    checked.deliver(server_list("s1", "s2"))
    checked.deliver(api.ServerList(api.ListKind.DELTA, 2, (api.Server("s1", state, "a"),)))
    for customer in range(20):
        checked.request(customer=customer)
    assert {t[0] for tries in checked.attempts.values() for t in tries} == {"s2"}


def test_a_full_list_removes_the_servers_it_lacks():
    checked = CheckedGateway()
    checked.deliver(server_list("s1", "s2"))
    checked.deliver(server_list("s2"))
    for customer in range(10):
        checked.request(customer=customer)
    assert {t[0] for tries in checked.attempts.values() for t in tries} == {"s2"}


def cold_send_times(rejects: bool) -> list[float]:
    """Times of sends to a cold server that joins, then replaces, warm ones; it may reject all requests."""
    checked = CheckedGateway()
    checked.deliver(server_list("w1", "w2"))
    times = []
    for step in range(400):
        if step == 200:
            checked.deliver(
                api.ServerList(
                    api.ListKind.SNAPSHOT, 2, (api.Server("cold", zone="a", started_at=checked.now),)
                )
            )
        checked.run(0.02)
        request = checked.request(customer=step)
        if checked.in_flight(request):
            if checked.attempts[request][-1][0] == "cold":
                times.append(checked.now)
            checked.run(0.01)
            checked.end_attempt(request, Result.REJECTED if rejects and step >= 200 else Result.OK)
    return times


@pytest.mark.parametrize("rejects", [True, False])
def test_a_cold_server_gets_no_more_than_its_budget(rejects):
    """Warm servers bear some 17 requests/s each; the budget is 3 times what a cold one bears of that."""
    times = cold_send_times(rejects)
    start = times[0]
    assert times and sum(t < start + 2 for t in times) <= 3 * 0.36 * 17 * 2


def hard_limit_units(checked: CheckedGateway, seconds: float) -> float:
    """Units sent for one customer that sends without pause on a plan with a hard limit."""
    until = checked.now + seconds
    while checked.now < until:
        checked.request(plan="capped", spread=2)
        for request in [r for r in checked.attempts if checked.in_flight(r)]:
            checked.end_attempt(request)
        checked.run(0.01)
    return float(sum(bool(tries) for tries in checked.attempts.values()))


def test_the_hard_limit_holds_without_peer_messages_and_through_restarts():
    """Two gateways serve the customer, so this one may send half of its limit: 16 units and 8 units/s."""
    total = 0.0
    for life in range(6):
        checked = CheckedGateway(now=100.0 + life, seed=life)
        checked.deliver(server_list("s1", "s2"))
        total += hard_limit_units(checked, 1.0)
    assert total <= (16 + 8 * 6) / 2
    assert total > 6


@pytest.mark.parametrize("seed", range(12))
def test_random_events_keep_the_rules(seed):
    rng = random.Random(seed)
    checked = CheckedGateway(
        make_settings(
            hedging_enabled=rng.random() < 0.5,
            max_attempts=rng.choice([1, 2, 4]),
            cancel_enabled=rng.random() < 0.7,
        ),
        seed=seed,
    )
    names = [f"s{i}" for i in range(5)]
    checked.deliver(server_list(*names))
    for _ in range(400):
        checked.run(rng.expovariate(60))
        checked.request(
            rng.choice(["lookup", "pay", "post", "once"]),
            rng.choice(["hard", "soft", "capped", "none"]),
            rng.randrange(6),
            rng.choice([0.01, 0.3, 3.0]),
            rng.choice([1, 2, 4]),
            rng.choice([1, 2, 3]),
        )
        for request in list(checked.attempts):
            for number, attempt in enumerate(checked.attempts[request]):
                if attempt[2] is None and rng.random() < 0.08:
                    checked.end_attempt(
                        request, rng.choice([Result.OK] * 6 + NEVER_RAN + MAY_HAVE_RUN), number
                    )
        if rng.random() < 0.05:
            state = rng.choice(list(LifecycleState))
            i = rng.randrange(len(names))
            checked.deliver(
                api.ServerList(
                    api.ListKind.DELTA,
                    2,
                    (
                        api.Server(
                            names[i],
                            state,
                            "ab"[i % 2],
                            i % 2,
                            started_at=checked.now if rng.random() < 0.5 else 0.0,
                        ),
                    ),
                )
            )
    checked.finish()
