"""Rules for a single gateway: timely answers, safe retries, server states, cold budgets, caps."""

from __future__ import annotations

import random

import pytest
from rules import CheckedGateway, make_settings, server_list

from thymehinge import interface as api
from thymehinge.interface import LifecycleState, Result

NEVER_RAN_RESULTS = [Result.REJECTED, Result.CONNECT_FAILED]
MAY_HAVE_RUN_RESULTS = [Result.ERROR, Result.RESET, Result.TIMEOUT]


def test_request_without_servers_is_refused():
    gateway = CheckedGateway()
    gateway.request()
    gateway.finish()
    assert isinstance(gateway.final_actions[1], api.Refuse)


def test_unanswered_request_ends_by_its_deadline():
    gateway = CheckedGateway()
    gateway.deliver(server_list("s1"))
    gateway.request(time_left=0.5)
    gateway.finish()
    assert isinstance(gateway.final_actions[1], api.Fail | api.Refuse)
    assert any(isinstance(a, api.Cancel) for _, a in gateway.action_log)


def test_early_timer_is_rearmed():
    """Guards against losing all later timers when the caller rounds the time of a timer down."""
    gateway = CheckedGateway()
    gateway.deliver(server_list("s1"))
    gateway.request(time_left=0.5)
    due_at, tag = min(gateway.timers)
    gateway.timers.clear()
    gateway.now = due_at - 1e-6
    gateway.deliver(api.TimerDue(tag))
    gateway.finish()


@pytest.mark.parametrize("class_name", ["lookup", "pay", "post", "once"])
@pytest.mark.parametrize("result", NEVER_RAN_RESULTS + MAY_HAVE_RUN_RESULTS)
def test_retries_respect_class_idempotency(class_name, result):
    gateway = CheckedGateway()
    gateway.deliver(server_list("s1", "s2", "s3", "s4"))
    gateway.request(class_name=class_name)
    gateway.end_attempt(1, result)
    retried = len(gateway.attempts[1]) == 2
    assert retried == (result in NEVER_RAN_RESULTS or class_name != "once")
    gateway.finish()


def test_keyed_request_is_not_retried_after_dedup_window():
    gateway = CheckedGateway(make_settings(hedging_enabled=False))
    gateway.deliver(server_list("s1", "s2", "s3"))
    gateway.request(class_name="pay")
    gateway.run(1.95)
    gateway.end_attempt(1, Result.RESET)
    assert len(gateway.attempts[1]) == 1 and isinstance(gateway.final_actions[1], api.Fail)


@pytest.mark.parametrize("enabled", [True, False])
def test_hedging_only_when_enabled(enabled):
    gateway = CheckedGateway(make_settings(hedging_enabled=enabled))
    gateway.deliver(server_list("s1", "s2"))
    gateway.request()
    gateway.run(1.0)
    assert gateway.in_flight(1) == (2 if enabled else 1)


@pytest.mark.parametrize("state", [LifecycleState.DRAINING, LifecycleState.GONE])
def test_draining_or_gone_server_gets_no_requests(state):
    gateway = CheckedGateway()
    gateway.deliver(server_list("s1", "s2"))
    gateway.deliver(api.ServerList(api.ListKind.DELTA, 2, (api.Server("s1", state, "a"),)))
    for customer in range(20):
        gateway.request(customer=customer)
    assert {attempt[0] for attempts in gateway.attempts.values() for attempt in attempts} == {"s2"}


def test_snapshot_removes_unlisted_servers():
    gateway = CheckedGateway()
    gateway.deliver(server_list("s1", "s2"))
    gateway.deliver(server_list("s2"))
    for customer in range(10):
        gateway.request(customer=customer)
    assert {attempt[0] for attempts in gateway.attempts.values() for attempt in attempts} == {"s2"}


def cold_send_times(rejects: bool) -> list[float]:
    """Return the times of sends to a cold server that replaces two warm ones; it may reject all requests."""
    gateway = CheckedGateway()
    gateway.deliver(server_list("w1", "w2"))
    send_times = []
    for step in range(400):
        if step == 200:
            gateway.deliver(
                api.ServerList(
                    api.ListKind.SNAPSHOT, 2, (api.Server("cold", zone="a", started_at=gateway.now),)
                )
            )
        gateway.run(0.02)
        request = gateway.request(customer=step)
        if gateway.in_flight(request):
            if gateway.attempts[request][-1][0] == "cold":
                send_times.append(gateway.now)
            gateway.run(0.01)
            gateway.end_attempt(request, Result.REJECTED if rejects and step >= 200 else Result.OK)
    return send_times


@pytest.mark.parametrize("rejects", [True, False])
def test_cold_server_load_stays_within_budget(rejects):
    """The budget is 3 times the cold capacity, 0.36 of the 17 requests/s that a warm server gets, for 2 s."""
    send_times = cold_send_times(rejects)
    start = send_times[0]
    assert send_times and sum(sent_at < start + 2 for sent_at in send_times) <= 3 * 0.36 * 17 * 2


def units_sent_on_capped_plan(gateway: CheckedGateway, seconds: float) -> float:
    """Return the units sent for a customer that sends continuously on a plan with a cap."""
    end = gateway.now + seconds
    while gateway.now < end:
        gateway.request(plan="capped", spread=2)
        for request in [r for r in gateway.attempts if gateway.in_flight(r)]:
            gateway.end_attempt(request)
        gateway.run(0.01)
    return float(sum(bool(attempts) for attempts in gateway.attempts.values()))


def test_cap_holds_without_peer_messages_and_across_restarts():
    """With two gateways for the customer, each may send half of the limit: a burst of 16 plus 8 units/s."""
    total = 0.0
    for incarnation in range(6):
        gateway = CheckedGateway(now=100.0 + incarnation, seed=incarnation)
        gateway.deliver(server_list("s1", "s2"))
        total += units_sent_on_capped_plan(gateway, 1.0)
    assert total <= (16 + 8 * 6) / 2
    assert total > 6


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_under_random_events(seed):
    rng = random.Random(seed)
    gateway = CheckedGateway(
        make_settings(
            hedging_enabled=rng.random() < 0.5,
            max_attempts=rng.choice([1, 2, 4]),
            cancel_enabled=rng.random() < 0.7,
        ),
        seed=seed,
    )
    names = [f"s{index}" for index in range(5)]
    gateway.deliver(server_list(*names))
    for _ in range(400):
        gateway.run(rng.expovariate(60))
        gateway.request(
            rng.choice(["lookup", "pay", "post", "once"]),
            rng.choice(["hard", "soft", "capped", "none"]),
            rng.randrange(6),
            rng.choice([0.01, 0.3, 3.0]),
            rng.choice([1, 2, 4]),
            rng.choice([1, 2, 3]),
        )
        for request in list(gateway.attempts):
            for attempt_index, attempt in enumerate(gateway.attempts[request]):
                if attempt[2] is None and rng.random() < 0.08:
                    gateway.end_attempt(
                        request,
                        rng.choice([Result.OK] * 6 + NEVER_RAN_RESULTS + MAY_HAVE_RUN_RESULTS),
                        attempt_index,
                    )
        if rng.random() < 0.05:
            state = rng.choice(list(LifecycleState))
            index = rng.randrange(len(names))
            gateway.deliver(
                api.ServerList(
                    api.ListKind.DELTA,
                    2,
                    (
                        api.Server(
                            names[index],
                            state,
                            "ab"[index % 2],
                            index % 2,
                            started_at=gateway.now if rng.random() < 0.5 else 0.0,
                        ),
                    ),
                )
            )
    gateway.finish()
