"""A quota over several gateways: asks, answers that are lost or late, and what holds without them."""

from __future__ import annotations

import dataclasses
import random

import pytest
from quotakit import Group, ask, asks, homed, sent
from rules import HARD, LOOKUP, Drive, servers, settings

from thymehinge import interface as api
from thymehinge.decisions import Customer, Notes


def test_a_customer_gets_its_quota_through_one_gateway_of_many_and_not_more_through_all():
    """Sets of hundreds: the even slice is under one request, and notes to all peers cost more than asks."""
    for busy in (1, 40):
        group = Group(40)
        for step in range(200):
            group.all[step % busy].request(spread=40)
            group.run(0.05)
        assert 0.75 * (8 + 4 * 10) <= group.sent() <= 8 + 4 * 10


def test_a_lost_answer_is_asked_for_again_and_charged_once():
    group = Group(2)
    group.lost = lambda sender, body: group.all[0].now % 0.4 < 0.2
    for _ in range(100):
        for d in group.all:
            d.request(spread=2)
        group.run(0.1)
    assert 0.7 * (8 + 4 * 10) <= group.sent() <= 1.25 * (8 + 4 * 10)


def test_without_answers_a_gateway_keeps_a_slice_and_no_more():
    d = Drive()
    d.give(servers("s1", "s2"))
    ids = ask(d, 30.0, 0.05, spread=3)
    late = [r for r in ids[300:] if d.sent.get(r)]
    assert 10 <= len(late) <= 1.5 * 4 * 15


@pytest.mark.parametrize("damage", ["cut", "flip", "foreign", "empty", "magic", "long"])
def test_a_bad_message_changes_nothing(damage):
    good = Notes.write(0.0, [Notes.entry(Notes.RETURN, 1, 7, 0, 50.0, 0.0, 1.0)])
    body = {
        "cut": good[:-3],
        "flip": good[:9] + bytes([good[9] ^ 1]) + good[10:],
        "foreign": b"hi there",
        "empty": b"",
        "magic": b"\0" + good[1:],
        "long": good + good,
    }[damage]
    d = Drive(settings(gateway_count=2))
    d.give(servers("s1", "s2"))
    d.give(api.PeerMessage(1, body))
    assert Notes.read(body) is None and d.gateway.fleet.limit >= 4


def test_an_ask_replayed_or_with_absurd_fields_does_no_harm():
    d = Drive(settings(gateway_count=2))
    body = Notes.write(9.0, [Notes.entry(Notes.ASK, 1, 7, 0, 4.0, 0.0, 1.0)])
    for _ in range(5):
        d.give(api.PeerMessage(1, body))
    d.run(1.0)
    assert d.gateway.buckets[7].level >= 8 - 4 - 1
    for plan, units in ((250, 1.0), (0, -500.0)):
        d.give(api.PeerMessage(1, Notes.write(9.0, [Notes.entry(Notes.ASK, 2, 8, plan, units, 0.0, 1.0)])))
    assert 8 not in d.gateway.buckets
    d.give(api.PeerMessage(1, Notes.write(9.0, [Notes.entry(Notes.GRANT, 9, 7, 0, 1.0, 0.0, 1.0)])))


def out_at_once(group: Group, steps: int) -> tuple[int, int]:
    """One customer asks through any gateway, answers take 0.2 s: the most out at once, and how many went."""
    rng, most = random.Random(3), 0
    for _ in range(steps):
        rng.choice(group.all).request(plan="open", spread=len(group.all))
        group.run(0.04, answer=False)
        most = max(most, sum(d.out(r) for d in group.all for r in d.sent))
        for d in group.all:
            for r in [r for r in d.sent if d.out(r) and d.now - d.sent[r][-1][1] >= 0.2]:
                d.end(r)
    return most, group.sent()


def test_a_limit_on_attempts_out_holds_across_forty_gateways_and_is_used():
    """zone+vast, seed 3: each gateway let one out of its own, 1,079 of 3,647 beyond the cap."""
    group = Group(40, plans=(HARD, api.Plan("open", max_in_flight=3)))
    most, went = out_at_once(group, 250)
    assert most == 3
    assert went >= 75  # half of what three at once for 0.2 s could be, messages on their way


def test_a_slot_whose_release_is_lost_comes_back():
    group = Group(40, plans=(HARD, api.Plan("open", max_in_flight=3)))
    group.lost = lambda sender, body: any(e[0] == Notes.RETURN for e in Notes.read(body)[1])
    most, went = out_at_once(group, 250)
    assert most == 3
    assert went >= 9  # the lease ends three times and more, where it would not at all


def test_nothing_is_asked_that_the_last_refusal_dooms():
    """A customer far beyond its quota flooded its home; lost asks then made two homes of one."""
    d = Drive(settings(gateway_count=2))
    d.give(servers("s1", "s2"))
    key = homed(d, 1)
    r = d.request(customer=key, spread=2)
    d.run(0.05)
    refusal = Notes.entry(Notes.REFUSE, d.gateway.jobs[r].tag, key, 0, 1.0, 3.0, 0.0)
    d.give(api.PeerMessage(1, Notes.write(9.0, [refusal])))
    before = asks(d)
    for _ in range(20):
        assert isinstance(d.final.get(d.request(customer=key, spread=2)), api.Refuse)
        d.run(0.05)
    assert asks(d) == before
    d.run(2.0)
    d.request(customer=key, spread=2)
    d.run(0.05)
    assert asks(d) > before


def test_messages_keep_to_what_peers_take_in():
    """i1a4290: with twelve busy gateways most messages were lost to the intake limit."""
    d = Drive(settings(gateway_count=12))
    d.give(servers("s1", "s2", "s3"))
    for step in range(400):
        d.request(customer=step, spread=12)
        d.run(0.005)
    assert 40 <= asks(d) <= 60 * 2


def test_a_home_that_answers_now_and_then_is_not_passed_over():
    d = Drive(settings(gateway_count=3))
    d.give(servers("s1", "s2"))
    key = homed(d, 1)
    for step in range(12):
        d.request(customer=key, spread=3)
        d.run(1.5)
        if step % 2:
            d.give(api.PeerMessage(1, Notes.write(9.0, [])))
    assert not d.gateway.mute
    for _ in range(6):
        d.request(customer=key, spread=3)
        d.run(1.5)
    assert 1 in d.gateway.mute


def test_a_slot_that_nobody_gives_back_does_not_keep_its_customer():
    """A lost release of a customer that never comes again would hold its bucket at the home for good."""
    d = Drive(settings(gateway_count=40, plans=(HARD, api.Plan("open", max_in_flight=3))))
    for tag in range(200):
        entry = Notes.entry(Notes.ASK, tag, 1000 + tag, 1, 1.0, 0.3, 1.0)
        d.give(api.PeerMessage(1, Notes.write(4.0, [entry])))
        d.run(0.01)
    assert len(d.gateway.buckets) == 200
    d.run(60.0)
    assert not d.gateway.buckets


def test_a_tag_that_a_new_process_uses_again_is_no_second_ask():
    """Guards quotas over a restart: another customer's ask was answered as the old one's, at no charge."""
    group = Group(3)
    home, asker = group.all[1], group.all[0]
    first = Notes.entry(Notes.ASK, 77, 7, 0, 1.0, 0.5, 1.0)
    other = Notes.entry(Notes.ASK, 77, 8, 0, 8.0, 0.5, 1.0)
    for entry in (first, first, other):
        home.give(api.PeerMessage(asker.settings.gateway_index, Notes.write(4.0, [entry])))
    assert home.gateway.buckets[7].level == pytest.approx(home.gateway.buckets[7].most - 1.0)
    assert home.gateway.buckets[8].level < 0.5


def test_a_short_request_whose_home_is_silent_is_decided_and_not_refused_for_that():
    """roll+mass: 1,347 of 8,700 table-views were refused with an ask out, homes being restarted."""
    for time_left in (0.5, 3.0):
        d = Drive(settings(gateway_count=3))
        d.give(servers("s1", "s2"))
        tries = [api.Request(0, 3.0, "lookup", "hard", customer, 1.0, 3) for customer in range(9)]
        away = [t.customer_id for t in tries if Customer(HARD, t, d.settings, 0.0).homes[0] != 0]
        r = d.request(customer=away[0], spread=3, time_left=time_left)
        d.run(0.45 * time_left)
        assert d.out(r)


def unanswered(d: Drive, plan: str = "hard", **request: object) -> tuple[int, int]:
    """A request whose home does not answer before it has to be decided; its customer and its number."""
    key = homed(d, 1)
    r = d.request(customer=key, plan=plan, spread=d.settings.gateway_count, **request)
    return key, r


def test_a_short_request_whose_ask_left_late_is_decided_here_and_not_refused():
    """roll+mass, seed 62: 0.44 of the table-views were refused with an ask out, and no server was short."""
    d = Drive(settings(gateway_count=3))
    d.give(servers("s1", "s2"))
    d.gateway.next_tell = d.now + 1.0  # what we send is paced: other messages wait before it
    _, r = unanswered(d, time_left=0.5)
    d.run(0.45 * 0.5 + 0.01)
    assert d.out(r)


def test_a_request_is_decided_while_its_aim_can_be_met():
    """A class with a short aim and a long deadline spends it on asks only where they usually are answered."""
    quick = dataclasses.replace(LOOKUP, name="quick", latency_target=0.2)
    for answered_share in (0.5, 1.0):
        d = Drive(settings(gateway_count=3, classes=(quick,)))
        d.give(servers("s1", "s2"))
        d.gateway.answered_share = answered_share
        _, r = unanswered(d, cls="quick", time_left=3.0)
        d.run(0.2)
        assert bool(d.out(r)) is (answered_share == 0.5)


def test_the_share_of_asks_that_are_answered_is_learnt():
    silent, heard = Drive(settings(gateway_count=3)), Drive(settings(gateway_count=3))
    for d in (silent, heard):
        d.give(servers("s1", "s2"))
    for _ in range(40):
        unanswered(silent, time_left=0.5)
        silent.run(0.3)
    assert silent.gateway.answered_share < 0.3
    heard.gateway.answered_share = 0.3
    for _ in range(40):
        key, r = unanswered(heard, time_left=0.5)
        grant = Notes.entry(Notes.GRANT, heard.gateway.jobs[r].tag, key, 0, 1.0, 0.0, 1.0)
        heard.give(api.PeerMessage(1, Notes.write(9.0, [grant])))
        heard.end(r)
    assert heard.gateway.answered_share > 0.8


def test_a_grant_that_comes_after_its_units_were_used_brings_none_back():
    """Guards quotas: units that were used unasked would be given back to the customer's store."""
    d = Drive(settings(gateway_count=3))
    d.give(servers("s1", "s2"))
    key, r = unanswered(d, time_left=0.5)
    tag = d.gateway.jobs[r].tag
    d.run(0.3)
    d.end(r)
    before = asks(d)
    d.give(api.PeerMessage(1, Notes.write(9.0, [Notes.entry(Notes.GRANT, tag, key, 0, 1.0, 0.0, 1.0)])))
    d.run(0.5)
    assert asks(d) == before
    d.run(5.0)
    assert not d.gateway.unasked


def test_an_empty_store_leaves_an_unanswered_request_its_slice_alone():
    """Guards quotas while peers are silent: a home that was empty a moment ago grants little."""
    went = {}
    for fill in (0.0, 1.0):
        d = Drive(settings(gateway_count=3))
        d.give(servers(*[f"s{i}" for i in range(12)]))
        key = homed(d, 1)
        d.gateway.customers[key].fill = fill
        d.gateway.customers[key].level = 0.0
        ids = [d.request(customer=key, spread=3, time_left=0.5) for _ in range(12)]
        d.run(0.3)
        went[fill] = sent(d, ids)
    assert went[0.0] == 0 < went[1.0]


def test_without_answers_no_more_are_out_than_the_slice_of_a_limit():
    """split+mass: each unanswered ask was let through wherever the slice is one slot or more."""
    plan = api.Plan("open", max_in_flight=3)
    d = Drive(settings(gateway_count=3, plans=(HARD, plan)))
    d.give(servers(*[f"s{i}" for i in range(12)]))
    key = homed(d, 1)
    customer = d.gateway.customer(d.now, api.Request(0, 1.0, "", "open", key, spread=3))
    customer.granted, customer.answered_at = 0.0, d.now + 10.0
    ids = [d.request(customer=key, plan="open", spread=3, time_left=0.5) for _ in range(12)]
    d.run(0.3)
    assert 1 <= sent(d, ids) <= 2
