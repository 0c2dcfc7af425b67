"""A quota shared by several gateways: quota requests, and answers that are lost or late."""

from __future__ import annotations

import dataclasses
import random

import pytest
from quotakit import GatewayGroup, count_peer_messages, count_sent, customer_owned_by, send_paced
from rules import HARD, LOOKUP, CheckedGateway, make_settings, server_list

from thymehinge import interface as api
from thymehinge.decisions import CustomerQuota, QuotaCodec


def test_a_customer_gets_its_quota_through_one_gateway_and_not_more_through_all():
    """Guards sets of many gateways, where the even share is below one request."""
    for busy in (1, 40):
        group = GatewayGroup(40)
        for step in range(200):
            group.members[step % busy].request(spread=40)
            group.run(0.05)
        assert 0.75 * (8 + 4 * 10) <= group.count_sent() <= 8 + 4 * 10


def test_a_lost_answer_is_requested_again_and_charged_once():
    group = GatewayGroup(2)
    group.is_lost = lambda sender, body: group.members[0].now % 0.4 < 0.2
    for _ in range(100):
        for checked in group.members:
            checked.request(spread=2)
        group.run(0.1)
    assert 0.7 * (8 + 4 * 10) <= group.count_sent() <= 1.25 * (8 + 4 * 10)


def test_without_answers_a_gateway_grants_its_local_share_only():
    checked = CheckedGateway()
    checked.deliver(server_list("s1", "s2"))
    ids = send_paced(checked, 30.0, 0.05, spread=3)
    late = [r for r in ids[300:] if checked.attempts.get(r)]
    assert 10 <= len(late) <= 1.5 * 4 * 15


@pytest.mark.parametrize("damage", ["cut", "flip", "foreign", "empty", "magic", "long"])
def test_a_malformed_message_is_ignored(damage):
    good = QuotaCodec.encode(0.0, [QuotaCodec.pack_entry(QuotaCodec.SETTLE, 1, 7, 0, 50.0, 0.0, 1.0)])
    body = {
        "cut": good[:-3],
        "flip": good[:9] + bytes([good[9] ^ 1]) + good[10:],
        "foreign": b"hi there",
        "empty": b"",
        "magic": b"\0" + good[1:],
        "long": good + good,
    }[damage]
    checked = CheckedGateway(make_settings(gateway_count=2))
    checked.deliver(server_list("s1", "s2"))
    checked.deliver(api.PeerMessage(1, body))
    assert QuotaCodec.decode(body) is None and checked.gateway.fleet.limit >= 4


def test_a_repeated_or_invalid_quota_request_is_harmless():
    checked = CheckedGateway(make_settings(gateway_count=2))
    body = QuotaCodec.encode(9.0, [QuotaCodec.pack_entry(QuotaCodec.REQUEST, 1, 7, 0, 4.0, 0.0, 1.0)])
    for _ in range(5):
        checked.deliver(api.PeerMessage(1, body))
    checked.run(1.0)
    assert checked.gateway.owned_quotas[7].level >= 8 - 4 - 1
    for plan, units in ((250, 1.0), (0, -500.0)):
        checked.deliver(
            api.PeerMessage(
                1,
                QuotaCodec.encode(
                    9.0, [QuotaCodec.pack_entry(QuotaCodec.REQUEST, 2, 8, plan, units, 0.0, 1.0)]
                ),
            )
        )
    assert 8 not in checked.gateway.owned_quotas
    checked.deliver(
        api.PeerMessage(
            1, QuotaCodec.encode(9.0, [QuotaCodec.pack_entry(QuotaCodec.GRANT, 9, 7, 0, 1.0, 0.0, 1.0)])
        )
    )


def drive_concurrency(group: GatewayGroup, steps: int) -> tuple[int, int]:
    """Requests of one customer, answered after 0.2 s: the most in flight at once, and the number sent."""
    rng, peak = random.Random(3), 0
    for _ in range(steps):
        rng.choice(group.members).request(plan="open", spread=len(group.members))
        group.run(0.04, answer=False)
        peak = max(peak, sum(d.in_flight(r) for d in group.members for r in d.attempts))
        for checked in group.members:
            for request in [
                r
                for r in checked.attempts
                if checked.in_flight(r) and checked.now - checked.attempts[r][-1][1] >= 0.2
            ]:
                checked.end_attempt(request)
    return peak, group.count_sent()


def test_a_concurrency_limit_holds_across_forty_gateways_and_is_used():
    """Guards against one request in flight per gateway where the limit is below the number of gateways."""
    group = GatewayGroup(40, plans=(HARD, api.Plan("open", max_in_flight=3)))
    peak, sent_count = drive_concurrency(group, 250)
    assert peak == 3
    assert sent_count >= 75  # half of the most that 3 slots of 0.2 s allow


def test_a_slot_whose_release_is_lost_is_reclaimed():
    group = GatewayGroup(40, plans=(HARD, api.Plan("open", max_in_flight=3)))
    group.is_lost = lambda sender, body: any(e[0] == QuotaCodec.SETTLE for e in QuotaCodec.decode(body)[1])
    peak, sent_count = drive_concurrency(group, 250)
    assert peak == 3
    assert sent_count >= 9  # the leases expire at least three times


def test_no_quota_request_is_sent_that_the_last_denial_rules_out():
    """Guards an owner against the quota requests of a customer far beyond its quota."""
    checked = CheckedGateway(make_settings(gateway_count=2))
    checked.deliver(server_list("s1", "s2"))
    key = customer_owned_by(checked, 1)
    request = checked.request(customer=key, spread=2)
    checked.run(0.05)
    denial = QuotaCodec.pack_entry(QuotaCodec.DENY, checked.gateway.jobs[request].tag, key, 0, 1.0, 3.0, 0.0)
    checked.deliver(api.PeerMessage(1, QuotaCodec.encode(9.0, [denial])))
    before = count_peer_messages(checked)
    for _ in range(20):
        assert isinstance(checked.final_actions.get(checked.request(customer=key, spread=2)), api.Refuse)
        checked.run(0.05)
    assert count_peer_messages(checked) == before
    checked.run(2.0)
    checked.request(customer=key, spread=2)
    checked.run(0.05)
    assert count_peer_messages(checked) > before


def test_messages_keep_to_the_rate_that_peers_accept():
    """Guards against messages lost to the peers' receive limit."""
    checked = CheckedGateway(make_settings(gateway_count=12))
    checked.deliver(server_list("s1", "s2", "s3"))
    for step in range(400):
        checked.request(customer=step, spread=12)
        checked.run(0.005)
    assert 40 <= count_peer_messages(checked) <= 60 * 2


def test_an_owner_that_answers_occasionally_is_not_skipped():
    checked = CheckedGateway(make_settings(gateway_count=3))
    checked.deliver(server_list("s1", "s2"))
    key = customer_owned_by(checked, 1)
    for step in range(12):
        checked.request(customer=key, spread=3)
        checked.run(1.5)
        if step % 2:
            checked.deliver(api.PeerMessage(1, QuotaCodec.encode(9.0, [])))
    assert not checked.gateway.skipped_owners
    for _ in range(6):
        checked.request(customer=key, spread=3)
        checked.run(1.5)
    assert 1 in checked.gateway.skipped_owners


def test_a_leaked_slot_does_not_keep_its_customer_in_memory():
    """Guards memory at the owner where the release of a slot is lost."""
    checked = CheckedGateway(make_settings(gateway_count=40, plans=(HARD, api.Plan("open", max_in_flight=3))))
    for tag in range(200):
        entry = QuotaCodec.pack_entry(QuotaCodec.REQUEST, tag, 1000 + tag, 1, 1.0, 0.3, 1.0)
        checked.deliver(api.PeerMessage(1, QuotaCodec.encode(4.0, [entry])))
        checked.run(0.01)
    assert len(checked.gateway.owned_quotas) == 200
    checked.run(60.0)
    assert not checked.gateway.owned_quotas


def test_a_tag_reused_after_a_restart_is_a_new_quota_request():
    """Guards against answering another customer's quota request with an earlier answer, uncharged."""
    group = GatewayGroup(3)
    owner, requester = group.members[1], group.members[0]
    first = QuotaCodec.pack_entry(QuotaCodec.REQUEST, 77, 7, 0, 1.0, 0.5, 1.0)
    other = QuotaCodec.pack_entry(QuotaCodec.REQUEST, 77, 8, 0, 8.0, 0.5, 1.0)
    for entry in (first, first, other):
        owner.deliver(api.PeerMessage(requester.settings.gateway_index, QuotaCodec.encode(4.0, [entry])))
    assert owner.gateway.owned_quotas[7].level == pytest.approx(owner.gateway.owned_quotas[7].capacity - 1.0)
    assert owner.gateway.owned_quotas[8].level < 0.5


def test_a_short_request_whose_owner_does_not_answer_is_decided_locally():
    """Guards against refusing requests while their owners restart."""
    for time_left in (0.5, 3.0):
        checked = CheckedGateway(make_settings(gateway_count=3))
        checked.deliver(server_list("s1", "s2"))
        tries = [api.Request(0, 3.0, "lookup", "hard", customer, 1.0, 3) for customer in range(9)]
        owned_elsewhere = [
            t.customer_id for t in tries if CustomerQuota(HARD, t, checked.settings, 0.0).owners[0] != 0
        ]
        request = checked.request(customer=owned_elsewhere[0], spread=3, time_left=time_left)
        checked.run(0.45 * time_left)
        assert checked.in_flight(request)


def request_unanswered(checked: CheckedGateway, plan: str = "hard", **options: object) -> tuple[int, int]:
    """A request whose owner does not answer; returns its customer and its id."""
    key = customer_owned_by(checked, 1)
    request = checked.request(customer=key, plan=plan, spread=checked.settings.gateway_count, **options)
    return key, request


def test_a_short_request_whose_quota_request_was_delayed_is_decided_locally():
    """Guards against refusals that are due to the pacing of messages."""
    checked = CheckedGateway(make_settings(gateway_count=3))
    checked.deliver(server_list("s1", "s2"))
    checked.gateway.next_message_at = checked.now + 1.0  # messages are paced, and others are queued first
    _, request = request_unanswered(checked, time_left=0.5)
    checked.run(0.45 * 0.5 + 0.01)
    assert checked.in_flight(request)


def test_a_request_is_decided_while_its_latency_target_can_be_met():
    """Guards classes with a short latency target and a long timeout while owners do not answer."""
    quick = dataclasses.replace(LOOKUP, name="quick", latency_target=0.2)
    for answer_ratio in (0.5, 1.0):
        checked = CheckedGateway(make_settings(gateway_count=3, classes=(quick,)))
        checked.deliver(server_list("s1", "s2"))
        checked.gateway.answer_ratio = answer_ratio
        _, request = request_unanswered(checked, cls="quick", time_left=3.0)
        checked.run(0.2)
        assert bool(checked.in_flight(request)) is (answer_ratio == 0.5)


def test_the_answer_ratio_follows_the_answers():
    unanswered, answered = (
        CheckedGateway(make_settings(gateway_count=3)),
        CheckedGateway(make_settings(gateway_count=3)),
    )
    for checked in (unanswered, answered):
        checked.deliver(server_list("s1", "s2"))
    for _ in range(40):
        request_unanswered(unanswered, time_left=0.5)
        unanswered.run(0.3)
    assert unanswered.gateway.answer_ratio < 0.3
    answered.gateway.answer_ratio = 0.3
    for _ in range(40):
        key, request = request_unanswered(answered, time_left=0.5)
        grant = QuotaCodec.pack_entry(
            QuotaCodec.GRANT, answered.gateway.jobs[request].tag, key, 0, 1.0, 0.0, 1.0
        )
        answered.deliver(api.PeerMessage(1, QuotaCodec.encode(9.0, [grant])))
        answered.end_attempt(request)
    assert answered.gateway.answer_ratio > 0.8


def test_a_grant_after_its_units_were_used_returns_none():
    """Guards quotas against returning units that were used without an answer."""
    checked = CheckedGateway(make_settings(gateway_count=3))
    checked.deliver(server_list("s1", "s2"))
    key, request = request_unanswered(checked, time_left=0.5)
    tag = checked.gateway.jobs[request].tag
    checked.run(0.3)
    checked.end_attempt(request)
    before = count_peer_messages(checked)
    checked.deliver(
        api.PeerMessage(
            1, QuotaCodec.encode(9.0, [QuotaCodec.pack_entry(QuotaCodec.GRANT, tag, key, 0, 1.0, 0.0, 1.0)])
        )
    )
    checked.run(0.5)
    assert count_peer_messages(checked) == before
    checked.run(5.0)
    assert not checked.gateway.ungranted_tags


def test_an_empty_bucket_leaves_unanswered_requests_the_local_share():
    """Guards quotas while owners do not answer: an owner whose bucket was empty would grant little."""
    sent_counts = {}
    for fill in (0.0, 1.0):
        checked = CheckedGateway(make_settings(gateway_count=3))
        checked.deliver(server_list(*[f"s{i}" for i in range(12)]))
        key = customer_owned_by(checked, 1)
        checked.gateway.quotas[key].owner_fill = fill
        checked.gateway.quotas[key].level = 0.0
        ids = [checked.request(customer=key, spread=3, time_left=0.5) for _ in range(12)]
        checked.run(0.3)
        sent_counts[fill] = count_sent(checked, ids)
    assert sent_counts[0.0] == 0 < sent_counts[1.0]


def test_without_answers_the_local_share_of_a_concurrency_limit_holds():
    """Guards concurrency limits against granting every unanswered request."""
    plan = api.Plan("open", max_in_flight=3)
    checked = CheckedGateway(make_settings(gateway_count=3, plans=(HARD, plan)))
    checked.deliver(server_list(*[f"s{i}" for i in range(12)]))
    key = customer_owned_by(checked, 1)
    quota = checked.gateway.find_quota(checked.now, api.Request(0, 1.0, "", "open", key, spread=3))
    quota.grant_ratio, quota.last_answer_at = 0.0, checked.now + 10.0
    ids = [checked.request(customer=key, plan="open", spread=3, time_left=0.5) for _ in range(12)]
    checked.run(0.3)
    assert 1 <= count_sent(checked, ids) <= 2
