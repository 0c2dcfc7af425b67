"""A customer's quota at one gateway: tokens, waiting, concurrency limits and the hard limit."""

from __future__ import annotations

import dataclasses

import pytest
from quotakit import GatewayGroup, count_sent, send_paced
from rules import HARD, LOOKUP, SOFT, CheckedGateway, make_settings, server_list

from thymehinge import interface as api
from thymehinge.decisions import SlotPool


def test_a_customer_beyond_its_quota_is_limited_to_it():
    checked = CheckedGateway()
    checked.deliver(server_list("s1", "s2"))
    ids = send_paced(checked, 10.0, 0.05)
    assert 40 <= count_sent(checked, ids) <= 8 + 4 * 10 + 1


def test_waiting_requests_are_sent_in_order():
    checked = CheckedGateway()
    checked.deliver(server_list(*[f"s{i}" for i in range(12)]))
    ids = [checked.request() for _ in range(10)]
    assert 7 <= count_sent(checked, ids) < 10
    checked.run(0.6)
    order = [a.request_id for _, a in checked.action_log if isinstance(a, api.Send)]
    assert order == sorted(order) and len(order) == 10


def test_a_request_that_cannot_be_sent_in_time_is_refused_with_retry_after():
    checked = CheckedGateway()
    checked.deliver(server_list("s1", "s2"))
    ids = [checked.request() for _ in range(30)]
    last = checked.final_actions[ids[-1]]
    assert isinstance(last, api.Refuse) and 0 < last.retry_after <= checked.settings.max_retry_after


def test_without_peers_a_customer_starts_with_an_even_share():
    checked = CheckedGateway(make_settings(peers_enabled=False))
    checked.deliver(server_list("s1", "s2"))
    ids = [checked.request(spread=2) for _ in range(8)]
    assert 3 <= count_sent(checked, ids) <= 4


def test_use_beyond_the_quota_is_granted_on_soft_plans_only():
    counts = {}
    for plan in ("hard", "soft"):
        checked = CheckedGateway()
        checked.deliver(server_list("s1", "s2"))
        counts[plan] = count_sent(checked, send_paced(checked, 20.0, 0.05, plan=plan))
    assert counts["soft"] > 1.2 * counts["hard"]


def test_first_tries_wait_longer_than_client_retries():
    """Guards first tries against losing their tokens to retries."""
    checked = CheckedGateway()
    checked.deliver(server_list(*[f"s{i}" for i in range(12)]))
    for _ in range(9):
        checked.request()
    retry = api.Request(500, 3.0, "lookup", "hard", 7, 1.0, 1, 0, True)
    checked.requests[500] = (retry, checked.now)
    checked.deliver(retry)
    assert isinstance(checked.final_actions.get(500), api.Refuse)
    assert checked.request() not in checked.final_actions


def test_a_class_of_lower_value_waits_less_for_tokens():
    """Guards against a long latency target alone winning the customer's tokens."""
    cheap = dataclasses.replace(LOOKUP, name="cheap", value=0.1, latency_target=5.0, timeout=9.0)
    checked = CheckedGateway(make_settings(classes=(LOOKUP, cheap)))
    checked.deliver(server_list(*[f"s{i}" for i in range(12)]))
    for _ in range(9):
        checked.request()
    assert checked.request(cls="cheap") in checked.final_actions
    assert checked.request() not in checked.final_actions


def test_billed_units_are_charged():
    checked = CheckedGateway(make_settings(postpaid=True))
    checked.deliver(server_list("s1", "s2"))
    first = checked.request(units=1.0)
    checked.end_attempt(first, billed_units=8.0)
    assert not checked.attempts.get(checked.request())


def test_a_concurrency_limit_holds():
    plan = api.Plan("open", max_in_flight=2)
    checked = CheckedGateway(make_settings(plans=(HARD, SOFT, plan)))
    checked.deliver(server_list("s1", "s2"))
    ids = [checked.request(plan="open") for _ in range(5)]
    assert count_sent(checked, ids) == 2
    checked.end_attempt(ids[0])
    checked.run(0.1)
    assert count_sent(checked, ids) == 3


def test_requests_that_waited_for_a_server_keep_to_the_hard_limit():
    """Guards against waiting requests that leave in one burst once servers are listed."""
    plan = api.Plan("capped", rate=4.0, burst=100.0, cap_rate=8.0, cap_burst=4.0, cap_slack=1.0)
    slow = dataclasses.replace(LOOKUP, latency_target=20.0, timeout=30.0)
    checked = CheckedGateway(make_settings(classes=(slow,), plans=(plan,)))
    ids = []
    for _ in range(40):
        ids.append(checked.request(plan="capped", time_left=30.0))
        checked.run(0.05)
    checked.deliver(server_list(*[f"s{i}" for i in range(30)]))
    assert 0 < count_sent(checked, ids) <= 4


def test_long_waits_do_not_reserve_the_same_tokens_twice():
    """Guards against a bucket that forgets the reservations of waiting requests."""
    patient = dataclasses.replace(LOOKUP, latency_target=10.0, timeout=20.0)
    plan = api.Plan("small", rate=4.0, burst=4.0, overage_cost=1.0)
    checked = CheckedGateway(make_settings(classes=(patient,), plans=(plan,), gateway_count=1))
    checked.deliver(server_list(*[f"s{i}" for i in range(12)]))
    ids = [checked.request(plan="small", time_left=20.0) for _ in range(60)]
    for step in range(1, 90):
        checked.run(0.1)
        for request in [r for r in checked.attempts if checked.in_flight(r)]:
            checked.end_attempt(request)
        assert count_sent(checked, ids) <= 4 + 4 * 0.1 * step + 1
    assert count_sent(checked, ids) > 20


def test_idle_customers_are_removed():
    """Guards the memory limit; a customer in debt is kept."""
    group = GatewayGroup(2)
    for i in range(50):
        group.members[i % 2].request(customer=i, spread=2, plan=("hard", "capped")[i % 3 == 0], time_left=0.5)
    group.run(1.0)
    first = group.members[0]
    assert first.gateway.quotas and any(d.gateway.owned_quotas for d in group.members)
    for checked in group.members:
        checked.run(40.0)
        assert not checked.gateway.quotas and not checked.gateway.owned_quotas
    first.request(customer=1, spread=2)
    first.run(10.0)
    assert list(first.gateway.quotas) == [1]


def test_waiters_past_their_deadline_do_not_count():
    """Guards later waiters against an expected wait that counts ended requests."""
    slots = SlotPool(1)
    slots.acquire(0.0, (0, 1), 5.0)
    slots.waiters.update({(0, tag): (1.0, 5.0) for tag in range(2, 6)})
    assert slots.expected_wait(2.0, 0.1) == pytest.approx(0.1)
