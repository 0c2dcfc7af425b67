"""A quota shared by several gateways: requests to its owner, and answers that are lost or late."""

from __future__ import annotations

import dataclasses
import random

import pytest
from quotakit import GatewayGroup, count_peer_messages, count_sent, customer_owned_by, send_paced
from rules import HARD, LOOKUP, CheckedGateway, make_settings, server_list

from thymehinge import interface as api
from thymehinge.decisions import CustomerQuota, QuotaCodec


def test_quota_holds_through_one_or_many_gateways():
    """Guards large groups of gateways, where the even share is less than one request."""
    for active_count in (1, 40):
        group = GatewayGroup(40)
        for step in range(200):
            group.members[step % active_count].request(spread=40)
            group.run(0.05)
        assert 0.75 * (8 + 4 * 10) <= group.count_sent() <= 8 + 4 * 10


def test_lost_answer_is_requested_again_and_charged_once():
    group = GatewayGroup(2)
    group.is_lost = lambda sender, body: group.members[0].now % 0.4 < 0.2
    for _ in range(100):
        for gateway in group.members:
            gateway.request(spread=2)
        group.run(0.1)
    assert 0.7 * (8 + 4 * 10) <= group.count_sent() <= 1.25 * (8 + 4 * 10)


def test_unanswered_gateway_grants_only_local_share():
    gateway = CheckedGateway()
    gateway.deliver(server_list("s1", "s2"))
    request_ids = send_paced(gateway, 30.0, 0.05, spread=3)
    late_sent = [r for r in request_ids[300:] if gateway.attempts.get(r)]
    assert 10 <= len(late_sent) <= 1.5 * 4 * 15


@pytest.mark.parametrize("damage", ["cut", "flip", "foreign", "empty", "magic", "long"])
def test_malformed_message_is_ignored(damage):
    valid = QuotaCodec.encode(0.0, [QuotaCodec.pack_entry(QuotaCodec.SETTLE, 1, 7, 0, 50.0, 0.0, 1.0)])
    body = {
        "cut": valid[:-3],
        "flip": valid[:9] + bytes([valid[9] ^ 1]) + valid[10:],
        "foreign": b"hi there",
        "empty": b"",
        "magic": b"\0" + valid[1:],
        "long": valid + valid,
    }[damage]
    gateway = CheckedGateway(make_settings(gateway_count=2))
    gateway.deliver(server_list("s1", "s2"))
    gateway.deliver(api.PeerMessage(1, body))
    assert QuotaCodec.decode(body) is None and gateway.wrapped.fleet.limit >= 4


def test_repeated_or_invalid_quota_request_is_harmless():
    gateway = CheckedGateway(make_settings(gateway_count=2))
    body = QuotaCodec.encode(9.0, [QuotaCodec.pack_entry(QuotaCodec.REQUEST, 1, 7, 0, 4.0, 0.0, 1.0)])
    for _ in range(5):
        gateway.deliver(api.PeerMessage(1, body))
    gateway.run(1.0)
    assert gateway.wrapped.owned_quotas[7].level >= 8 - 4 - 1
    for plan, units in ((250, 1.0), (0, -500.0)):
        gateway.deliver(
            api.PeerMessage(
                1,
                QuotaCodec.encode(
                    9.0, [QuotaCodec.pack_entry(QuotaCodec.REQUEST, 2, 8, plan, units, 0.0, 1.0)]
                ),
            )
        )
    assert 8 not in gateway.wrapped.owned_quotas
    gateway.deliver(
        api.PeerMessage(
            1, QuotaCodec.encode(9.0, [QuotaCodec.pack_entry(QuotaCodec.GRANT, 9, 7, 0, 1.0, 0.0, 1.0)])
        )
    )


def measure_concurrency(group: GatewayGroup, steps: int) -> tuple[int, int]:
    """Send requests that are answered after 0.2 s; return the peak in flight and the number sent."""
    rng, peak = random.Random(3), 0
    for _ in range(steps):
        rng.choice(group.members).request(plan="open", spread=len(group.members))
        group.run(0.04, answer=False)
        peak = max(peak, sum(member.in_flight(r) for member in group.members for r in member.attempts))
        for gateway in group.members:
            for request in [
                r
                for r in gateway.attempts
                if gateway.in_flight(r) and gateway.now - gateway.attempts[r][-1][1] >= 0.2
            ]:
                gateway.end_attempt(request)
    return peak, group.count_sent()


def test_concurrency_limit_holds_across_gateways_and_is_used():
    """Guards against one request in flight per gateway where the limit is lower than the gateway count."""
    group = GatewayGroup(40, plans=(HARD, api.Plan("open", max_in_flight=3)))
    peak, sent_count = measure_concurrency(group, 250)
    assert peak == 3
    assert sent_count >= 75  # half of the capacity of 3 slots at 0.2 s per request


def test_leaked_slot_is_reclaimed():
    group = GatewayGroup(40, plans=(HARD, api.Plan("open", max_in_flight=3)))
    group.is_lost = lambda sender, body: any(e[0] == QuotaCodec.SETTLE for e in QuotaCodec.decode(body)[1])
    peak, sent_count = measure_concurrency(group, 250)
    assert peak == 3
    assert sent_count >= 9  # 3 slots, each granted 3 times as leases expire


def test_denial_suppresses_quota_requests_until_refill():
    """Guards the owner against quota requests for a customer that is far beyond its quota."""
    gateway = CheckedGateway(make_settings(gateway_count=2))
    gateway.deliver(server_list("s1", "s2"))
    customer = customer_owned_by(gateway, 1)
    request = gateway.request(customer=customer, spread=2)
    gateway.run(0.05)
    denial = QuotaCodec.pack_entry(
        QuotaCodec.DENY, gateway.wrapped.jobs[request].tag, customer, 0, 1.0, 3.0, 0.0
    )
    gateway.deliver(api.PeerMessage(1, QuotaCodec.encode(9.0, [denial])))
    messages_before = count_peer_messages(gateway)
    for _ in range(20):
        assert isinstance(gateway.final_actions.get(gateway.request(customer=customer, spread=2)), api.Refuse)
        gateway.run(0.05)
    assert count_peer_messages(gateway) == messages_before
    gateway.run(2.0)
    gateway.request(customer=customer, spread=2)
    gateway.run(0.05)
    assert count_peer_messages(gateway) > messages_before


def test_peer_messages_stay_within_receive_limit():
    """Guards against messages that peers drop because they exceed the receive limit."""
    gateway = CheckedGateway(make_settings(gateway_count=12))
    gateway.deliver(server_list("s1", "s2", "s3"))
    for step in range(400):
        gateway.request(customer=step, spread=12)
        gateway.run(0.005)
    assert 40 <= count_peer_messages(gateway) <= 60 * 2


def test_owner_that_answers_occasionally_is_not_skipped():
    gateway = CheckedGateway(make_settings(gateway_count=3))
    gateway.deliver(server_list("s1", "s2"))
    customer = customer_owned_by(gateway, 1)
    for step in range(12):
        gateway.request(customer=customer, spread=3)
        gateway.run(1.5)
        if step % 2:
            gateway.deliver(api.PeerMessage(1, QuotaCodec.encode(9.0, [])))
    assert not gateway.wrapped.skipped_owners
    for _ in range(6):
        gateway.request(customer=customer, spread=3)
        gateway.run(1.5)
    assert 1 in gateway.wrapped.skipped_owners


def test_leaked_slot_does_not_keep_quota_in_memory():
    """Guards against a memory leak at the owner when the release of a slot is lost."""
    gateway = CheckedGateway(make_settings(gateway_count=40, plans=(HARD, api.Plan("open", max_in_flight=3))))
    for tag in range(200):
        entry = QuotaCodec.pack_entry(QuotaCodec.REQUEST, tag, 1000 + tag, 1, 1.0, 0.3, 1.0)
        gateway.deliver(api.PeerMessage(1, QuotaCodec.encode(4.0, [entry])))
        gateway.run(0.01)
    assert len(gateway.wrapped.owned_quotas) == 200
    gateway.run(60.0)
    assert not gateway.wrapped.owned_quotas


def test_reused_tag_is_a_new_quota_request():
    """Guards against repeating an earlier answer, uncharged, to a restarted gateway that reuses the tag."""
    group = GatewayGroup(3)
    owner, requester = group.members[1], group.members[0]
    first = QuotaCodec.pack_entry(QuotaCodec.REQUEST, 77, 7, 0, 1.0, 0.5, 1.0)
    second = QuotaCodec.pack_entry(QuotaCodec.REQUEST, 77, 8, 0, 8.0, 0.5, 1.0)
    for entry in (first, first, second):
        owner.deliver(api.PeerMessage(requester.settings.gateway_index, QuotaCodec.encode(4.0, [entry])))
    assert owner.wrapped.owned_quotas[7].level == pytest.approx(owner.wrapped.owned_quotas[7].capacity - 1.0)
    assert owner.wrapped.owned_quotas[8].level < 0.5


def test_unanswered_request_is_decided_locally():
    """Guards against refusals while the owner of the quota restarts."""
    for time_left in (0.5, 3.0):
        gateway = CheckedGateway(make_settings(gateway_count=3))
        gateway.deliver(server_list("s1", "s2"))
        requests = [api.Request(0, 3.0, "lookup", "hard", customer, 1.0, 3) for customer in range(9)]
        owned_elsewhere = [
            r.customer_id for r in requests if CustomerQuota(HARD, r, gateway.settings, 0.0).owners[0] != 0
        ]
        request = gateway.request(customer=owned_elsewhere[0], spread=3, time_left=time_left)
        gateway.run(0.45 * time_left)
        assert gateway.in_flight(request)


def send_unanswered_request(
    gateway: CheckedGateway, plan: str = "hard", **options: object
) -> tuple[int, int]:
    """Send a request whose owner does not answer; return the customer and the request id."""
    customer = customer_owned_by(gateway, 1)
    request = gateway.request(customer=customer, plan=plan, spread=gateway.settings.gateway_count, **options)
    return customer, request


def test_request_is_decided_locally_when_quota_request_is_delayed():
    """Guards against refusals caused by the pacing of peer messages."""
    gateway = CheckedGateway(make_settings(gateway_count=3))
    gateway.deliver(server_list("s1", "s2"))
    gateway.wrapped.next_message_at = gateway.now + 1.0  # as if pacing delayed the next message
    _, request = send_unanswered_request(gateway, time_left=0.5)
    gateway.run(0.45 * 0.5 + 0.01)
    assert gateway.in_flight(request)


def test_unanswered_request_is_decided_before_latency_target():
    """Guards classes with a short latency target and a long timeout while owners do not answer."""
    short_target_class = dataclasses.replace(LOOKUP, name="quick", latency_target=0.2)
    for answer_ratio in (0.5, 1.0):
        gateway = CheckedGateway(make_settings(gateway_count=3, classes=(short_target_class,)))
        gateway.deliver(server_list("s1", "s2"))
        gateway.wrapped.answer_ratio = answer_ratio
        _, request = send_unanswered_request(gateway, class_name="quick", time_left=3.0)
        gateway.run(0.2)
        assert bool(gateway.in_flight(request)) is (answer_ratio == 0.5)


def test_answer_ratio_follows_answers():
    unanswered, answered = (
        CheckedGateway(make_settings(gateway_count=3)),
        CheckedGateway(make_settings(gateway_count=3)),
    )
    for gateway in (unanswered, answered):
        gateway.deliver(server_list("s1", "s2"))
    for _ in range(40):
        send_unanswered_request(unanswered, time_left=0.5)
        unanswered.run(0.3)
    assert unanswered.wrapped.answer_ratio < 0.3
    answered.wrapped.answer_ratio = 0.3
    for _ in range(40):
        customer, request = send_unanswered_request(answered, time_left=0.5)
        grant = QuotaCodec.pack_entry(
            QuotaCodec.GRANT, answered.wrapped.jobs[request].tag, customer, 0, 1.0, 0.0, 1.0
        )
        answered.deliver(api.PeerMessage(1, QuotaCodec.encode(9.0, [grant])))
        answered.end_attempt(request)
    assert answered.wrapped.answer_ratio > 0.8


def test_late_grant_does_not_return_used_units():
    """Guards against returning units to the owner that the request used before the grant arrived."""
    gateway = CheckedGateway(make_settings(gateway_count=3))
    gateway.deliver(server_list("s1", "s2"))
    customer, request = send_unanswered_request(gateway, time_left=0.5)
    tag = gateway.wrapped.jobs[request].tag
    gateway.run(0.3)
    gateway.end_attempt(request)
    messages_before = count_peer_messages(gateway)
    gateway.deliver(
        api.PeerMessage(
            1,
            QuotaCodec.encode(
                9.0, [QuotaCodec.pack_entry(QuotaCodec.GRANT, tag, customer, 0, 1.0, 0.0, 1.0)]
            ),
        )
    )
    gateway.run(0.5)
    assert count_peer_messages(gateway) == messages_before
    gateway.run(5.0)
    assert not gateway.wrapped.ungranted_tags


def test_empty_owner_bucket_limits_unanswered_requests_to_local_share():
    """Guards against granting unanswered requests freely when the owner's bucket was reported empty."""
    sent_counts = {}
    for fill in (0.0, 1.0):
        gateway = CheckedGateway(make_settings(gateway_count=3))
        gateway.deliver(server_list(*[f"s{i}" for i in range(12)]))
        customer = customer_owned_by(gateway, 1)
        gateway.wrapped.quotas[customer].owner_fill = fill
        gateway.wrapped.quotas[customer].level = 0.0
        request_ids = [gateway.request(customer=customer, spread=3, time_left=0.5) for _ in range(12)]
        gateway.run(0.3)
        sent_counts[fill] = count_sent(gateway, request_ids)
    assert sent_counts[0.0] == 0 < sent_counts[1.0]


def test_unanswered_gateway_keeps_local_share_of_concurrency_limit():
    """Guards concurrency limits against granting every request that the owner does not answer."""
    plan = api.Plan("open", max_in_flight=3)
    gateway = CheckedGateway(make_settings(gateway_count=3, plans=(HARD, plan)))
    gateway.deliver(server_list(*[f"s{i}" for i in range(12)]))
    customer = customer_owned_by(gateway, 1)
    quota = gateway.wrapped.find_quota(gateway.now, api.Request(0, 1.0, "", "open", customer, spread=3))
    quota.grant_ratio, quota.last_answer_at = 0.0, gateway.now + 10.0
    request_ids = [
        gateway.request(customer=customer, plan="open", spread=3, time_left=0.5) for _ in range(12)
    ]
    gateway.run(0.3)
    assert 1 <= count_sent(gateway, request_ids) <= 2


def test_answer_for_another_customer_is_not_taken():
    """Guards against an owner's answer to the process before this one, which used the same tag."""
    gateway = CheckedGateway(make_settings(gateway_count=2))
    gateway.deliver(server_list("s1", "s2"))
    customer = customer_owned_by(gateway, 1)
    other = customer_owned_by(gateway, 0)
    request = gateway.request(customer=customer, spread=2)
    tag = gateway.wrapped.jobs[request].tag
    grant = QuotaCodec.pack_entry(QuotaCodec.GRANT, tag, other, 0, 1.0, 0.0, 1.0)
    gateway.deliver(api.PeerMessage(1, QuotaCodec.encode(4.0, [grant])))
    assert not gateway.attempts.get(request)
    grant = QuotaCodec.pack_entry(QuotaCodec.GRANT, tag, customer, 0, 1.0, 0.0, 1.0)
    gateway.deliver(api.PeerMessage(1, QuotaCodec.encode(4.0, [grant])))
    assert gateway.attempts.get(request)
