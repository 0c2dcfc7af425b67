"""Server choice and health, admission, timers, and invalid events or settings."""

from __future__ import annotations

import dataclasses
import random

import pytest
from rules import HARD, LOOKUP, CheckedGateway, make_settings, server_list

from thymehinge import Gateway
from thymehinge import interface as api
from thymehinge.decisions import ADMISSION_LIMIT, CustomerQuota, QuotaCodec
from thymehinge.interface import Result


def test_many_gateways_do_not_overload_a_cold_server():
    """Guards against a first request from each of hundreds of gateways, which arrive at the same time."""
    fleet = [
        CheckedGateway(make_settings(gateway_count=300, gateway_index=i, peers_enabled=False), seed=i)
        for i in range(300)
    ]
    rng, cold = random.Random(5), 0
    for checked in fleet:
        checked.deliver(server_list("w1", "w2", "w3"))
    for step in range(400):
        if step == 300:
            for checked in fleet:
                checked.deliver(
                    api.ServerList(
                        api.ListKind.DELTA, 2, (api.Server("c", zone="a", started_at=checked.now),)
                    )
                )
        for checked in fleet:
            checked.run(0.02)
        for checked in rng.sample(fleet, 6):
            request = checked.request(customer=step)
            if checked.in_flight(request):
                cold += checked.attempts[request][0][0] == "c"
                checked.end_attempt(request)
    # For a window of 2 s, 3 times the share of a cold server in 300 requests/s over three servers.
    assert cold <= 2 * 3 * 0.36 * 100


def test_events_are_processed_before_timers_after_a_stall():
    """Guards against taking a stall of the gateway itself for unanswered quota requests."""
    checked = CheckedGateway(make_settings(gateway_count=2))
    checked.deliver(server_list("s1", "s2"))
    tries = (
        checked.gateway.find_quota(checked.now, api.Request(0, 1, "", "hard", key, spread=2))
        for key in range(50)
    )
    key = next(c.key for c in tries if c.owners[0] == 1)
    request = checked.request(customer=key, spread=2)
    checked.run(0.01)
    checked.now += 1.5
    checked.timers.clear()
    checked.deliver(api.TimerDue(checked.gateway.timer_tag))
    assert request not in checked.attempts and request not in checked.final_actions
    denial = QuotaCodec.pack_entry(QuotaCodec.DENY, checked.gateway.jobs[request].tag, key, 0, 1.0, 1.0, 0.0)
    checked.deliver(api.PeerMessage(1, QuotaCodec.encode(9.0, [denial])))
    assert isinstance(checked.final_actions.get(request), api.Refuse)


def test_a_replaced_timer_is_not_set_again():
    """Guards against replaced timers that set themselves again and multiply."""
    checked = CheckedGateway(make_settings(gateway_count=1))
    checked.deliver(server_list("s1", "s2"))
    for step in range(200):
        request = checked.request(customer=step)
        checked.run(0.05)
        checked.end_attempt(request)
    checked.run(4.0)
    checked.action_log.clear()
    checked.run(2.0)
    assert sum(isinstance(a, api.SetTimer) for _, a in checked.action_log) <= 25


def test_a_low_limit_admits_at_random_and_refuses_the_lowest_value_first():
    """Guards against an overload by one request in flight from each of hundreds of gateways."""
    cheap = dataclasses.replace(LOOKUP, name="cheap", value=0.1)
    checked = CheckedGateway(make_settings(classes=(LOOKUP, cheap)))
    checked.deliver(server_list("s1", "s2"))
    kept = {"lookup": 0, "cheap": 0}
    for step in range(200):
        checked.gateway.fleet.limit = 2.0
        for cls in kept:
            request = checked.request(cls=cls, customer=step)
            if checked.in_flight(request):
                kept[cls] += 1
                checked.end_attempt(request)
        checked.run(0.01)
    # 0.75 and 0.25 of 200, within 2.5 standard deviations
    assert 135 < kept["lookup"] < 165 and 35 < kept["cheap"] < 65


def test_no_class_is_starved_while_another_is_admitted():
    """Guards classes of low value against refusal in favour of higher values alone."""
    cheap = dataclasses.replace(LOOKUP, name="cheap", value=0.01)
    checked = CheckedGateway(make_settings(classes=(LOOKUP, cheap)))
    fleet = checked.gateway.fleet
    fleet.limit = 1.0
    admitted = {0.01: 0, 1.0: 0}
    for _ in range(2000):
        for value in (0.01, 1.0, 1.0, 1.0):
            admitted[value] += fleet.admits(value)
    share = sum(admitted.values()) / 8000
    assert share == pytest.approx(fleet.limit / ADMISSION_LIMIT, abs=0.02)
    assert admitted[0.01] / 2000 >= 0.4 * share


def test_failing_servers_are_avoided_and_tried_again():
    checked = CheckedGateway()
    checked.deliver(server_list("bad", "s2", "s3"))
    share = []
    for round_ in range(3):
        ids = []
        for step in range(400 if round_ == 2 else 60):
            ids += [checked.request(customer=10000 * round_ + 10 * step + i) for i in range(4)]
            checked.run(0.05)
            for request in [r for r in checked.attempts if checked.in_flight(r)]:
                server = checked.attempts[request][-1][0]
                checked.end_attempt(request, Result.ERROR if server == "bad" and round_ < 2 else Result.OK)
            checked.run(0.05)
        share.append(sum(checked.attempts[r][0][0] == "bad" for r in ids) / len(ids))
    assert share[1] < 0.15
    assert share[2] > share[1]


def test_a_standing_queue_at_slow_servers_is_drained():
    """Guards against one request kept in flight at each slow server, so that none recovers."""
    checked = CheckedGateway(make_settings(hedging_enabled=False))
    checked.deliver(server_list(*[f"s{i}" for i in range(20)]))
    for step in range(300):
        checked.request(customer=step)
        for request in [
            r
            for r in checked.attempts
            if checked.in_flight(r) and checked.now - checked.attempts[r][-1][1] > 2.5
        ]:
            checked.end_attempt(request)
        checked.run(0.02)
    assert sum(checked.in_flight(r) for r in checked.attempts) <= 5


def test_events_about_unknown_objects_are_ignored():
    checked = CheckedGateway()
    checked.deliver(server_list("s1", "s1"))
    for event in (
        api.Outcome(99, 0, "s9", Result.OK, 0.1, True),
        api.ClientGone(99),
        api.TimerDue(12345),
        api.StreamStarted(99, 0, "s9", 0.1),
        api.CounterResult(1, Result.OK, 3.0),
        api.ProbeResult("s9", Result.OK, 0.1),
        api.ServerList(api.ListKind.FAILED),
        api.PeerMessage(50, QuotaCodec.encode(0.0, [])),
        api.PeerMessage(0, QuotaCodec.encode(0.0, [])),
        api.ServerList(api.ListKind.DELTA, 3, (api.Server("s8", api.LifecycleState.GONE),)),
    ):
        checked.deliver(event)
    request = api.Request(1, 1.0, "no such class", "no such plan", 5)
    assert any(isinstance(a, api.Send) for a in checked.gateway.handle(checked.now, request))
    checked.deliver(api.ServerList(api.ListKind.SNAPSHOT, 4, ()))
    assert checked.gateway.handle(checked.now, api.Outcome(1, 7, "s1", Result.OK, 0.1, False)) is not None


def test_the_same_events_give_the_same_actions():
    def play(seed: int) -> list:
        checked, rng = CheckedGateway(seed=seed), random.Random(3)
        checked.deliver(server_list(*[f"s{i}" for i in range(6)]))
        for _ in range(200):
            checked.request(customer=rng.randrange(50))
            for request in [r for r in checked.attempts if checked.in_flight(r) and rng.random() < 0.3]:
                checked.end_attempt(request)
            checked.run(0.02)
        return checked.action_log

    assert play(4) == play(4)
    assert play(4) != play(5)


def test_the_gateway_subscribes_to_the_server_list_and_again_after_a_failure():
    checked = CheckedGateway(make_settings(watch_required=True))
    checked.deliver(server_list("s1"))
    checked.deliver(api.ServerList(api.ListKind.FAILED))
    checked.run(5.0)
    assert sum(isinstance(a, api.WatchServers) for _, a in checked.action_log) == 2


def test_a_started_stream_has_no_deadline():
    stream = dataclasses.replace(LOOKUP, name="film", streamed=True)
    checked = CheckedGateway(make_settings(classes=(stream,)))
    checked.deliver(server_list("s1"))
    request = checked.request(cls="film", time_left=0.5)
    checked.deliver(api.StreamStarted(request, 0, "s1", 0.1))
    checked.run(2.0)
    assert request not in checked.final_actions


@pytest.mark.parametrize(
    "change",
    [
        dict(gateway_count=0),
        dict(gateway_count=10**40),
        dict(classes=(api.RequestClass("c", latency_target=1.0, timeout=1.0, value=float("inf")),)),
        dict(gateway_index=3),
        dict(classes=()),
        dict(max_attempts=0),
        dict(slow_start_capacity=2.0),
        dict(plans=(api.Plan("p", rate=-1.0),)),
        dict(classes=(api.RequestClass("c", latency_target=0.0, timeout=1.0),)),
    ],
)
def test_invalid_settings_are_named(change):
    name = next(iter(change))
    with pytest.raises(ValueError, match=f"setting {name}"):
        Gateway(make_settings(**change), 1, 0.0)


def test_a_failure_rate_decays_more_slowly_in_a_large_fleet():
    levels = []
    for count in (10, 80):
        checked = CheckedGateway(make_settings(gateway_count=count))
        checked.deliver(server_list(*[f"s{i}" for i in range(count)]))
        request = checked.request()
        bad = checked.gateway.fleet.servers[checked.attempts[request][0][0]]
        checked.end_attempt(request, Result.ERROR)
        checked.now += 6.0
        levels.append(bad.current_failure_rate(checked.now, checked.gateway.fleet.decay_scale))
    assert levels[1] > 2 * levels[0] > 0


def test_the_servers_compared_for_a_request_are_bounded():
    """Guards processor time: comparing every server for each request is too slow in a large fleet."""
    checked = CheckedGateway(make_settings(gateway_count=300))
    checked.deliver(server_list(*[f"s{i}" for i in range(300)]))
    compared: list[str] = []
    original = checked.gateway.fleet.expected_latency
    checked.gateway.fleet.expected_latency = lambda b, now, work: compared.append(b.entry.name) or original(
        b, now, work
    )
    checked.request()
    assert 1 <= len(compared) <= 16


def test_a_lost_attempt_neither_cuts_the_limit_nor_blocks_its_server():
    """Guards against a fleet left idle by a few lost requests while later ones are answered."""
    checked = CheckedGateway(make_settings(hedging_enabled=False))
    checked.deliver(server_list("s1"))
    lost = checked.request(customer=1, plan="soft")
    assert checked.in_flight(lost)
    limit = checked.gateway.fleet.limit
    for i in range(20):
        checked.run(0.05)
        answered = checked.request(customer=2 + i, plan="soft")
        assert checked.in_flight(answered), i
        checked.end_attempt(answered)
    checked.end_attempt(lost, Result.TIMEOUT)
    assert checked.gateway.fleet.limit >= limit


def test_a_request_is_refused_before_half_of_its_timeout():
    """Guards against a refusal that reaches the client too late for a retry."""
    checked = CheckedGateway()
    request = checked.request(time_left=1.0)  # no server is known
    checked.run(0.4)
    assert not checked.final_actions.get(request)
    checked.run(0.1)
    assert isinstance(checked.final_actions[request], api.Refuse)


def test_a_failure_rate_common_to_all_servers_is_ignored():
    """Guards the choice of server against noise: failures that are not due to a server."""
    checked = CheckedGateway()
    checked.deliver(server_list("s1", "s2", "s3", "s4"))
    fleet = checked.gateway.fleet
    for server in fleet.servers.values():
        server.failure_rate, server.failure_rate_at = 0.3, checked.now
    fleet.servers["s1"].failure_rate = 0.9
    fleet.update_estimates(checked.now)
    excess = {
        n: max(0.0, b.current_failure_rate(checked.now, fleet.decay_scale) - fleet.failure_baseline)
        for n, b in fleet.servers.items()
    }
    assert excess["s1"] > 0.4 and excess["s2"] == excess["s3"] == excess["s4"] == 0.0


def test_an_unresponsive_server_gets_one_more_request_to_detect_a_loss():
    """Guards against servers left idle behind one lost request each."""
    checked = CheckedGateway(make_settings(hedging_enabled=False))
    checked.deliver(server_list("s1"))
    unanswered = checked.request(customer=1, plan="soft")
    checked.run(1.4)
    probe = checked.request(customer=2, plan="soft")
    assert checked.in_flight(unanswered) and checked.in_flight(probe)
    fleet = checked.gateway.fleet
    checked.end_attempt(probe)
    assert fleet.load == 0.0 and not fleet.servers["s1"].attempts  # the lost attempt no longer counts


def refused_ratio(slow: tuple[str, ...], latency: float) -> float:
    """Ratio of requests refused, at 10/s over 20 servers of which those in `slow` take `latency` seconds."""
    checked = CheckedGateway(make_settings(gateway_count=40, hedging_enabled=False, cancel_enabled=False))
    checked.deliver(server_list(*[f"s{i}" for i in range(20)]))
    ids = []
    for step in range(600):
        ids.append(checked.request(customer=step))
        checked.run(0.1)
        for request in [r for r in checked.attempts if checked.in_flight(r)]:
            if checked.now - checked.attempts[request][0][1] >= (
                latency if checked.attempts[request][0][0] in slow else 0.15
            ):
                checked.end_attempt(request)
    return sum(isinstance(checked.final_actions.get(r), api.Refuse) for r in ids) / len(ids)


def test_slow_answers_cut_the_limit_only_where_all_servers_are_slow():
    """Guards against refusals where only a few servers are slow."""
    assert refused_ratio(("s3", "s11", "s17"), 0.8) == 0
    assert refused_ratio(tuple(f"s{i}" for i in range(20)), 2.5) > 0.2


def test_a_large_fleet_uses_cold_servers():
    """Guards against cold servers left unused because idle warm ones always look faster."""
    patient = dataclasses.replace(LOOKUP, latency_target=4.0, timeout=9.0)
    cold = tuple(api.Server(f"c{i}", zone="a", started_at=110.0) for i in range(12))
    counts = {}
    for aim in (LOOKUP, patient):
        checked = CheckedGateway(make_settings(gateway_count=40, classes=(aim,), hedging_enabled=False))
        checked.deliver(server_list(*[f"w{i}" for i in range(8)]))
        for step in range(140):
            if step == 100:
                checked.deliver(api.ServerList(api.ListKind.DELTA, 2, cold))
            checked.request(customer=step, time_left=aim.timeout)
            checked.run(0.1)
            for request in [r for r in checked.attempts if checked.in_flight(r)]:
                if checked.now - checked.attempts[request][0][1] >= (
                    0.6 if checked.attempts[request][0][0][0] == "c" else 0.12
                ):
                    checked.end_attempt(request)
        counts[aim.latency_target] = sum(tries[0][0][0] == "c" for tries in checked.attempts.values())
    assert 3 <= counts[4.0] <= 20  # of 40: cold capacity is 12 times 0.2 to 0.5, warm capacity 8
    assert counts[1.0] < counts[4.0]  # a short latency target needs a warm server


def waiting_request(stage: str) -> tuple[CheckedGateway, int]:
    """A request in the given stage, which would continue within a second."""
    if stage == "quota":  # requested from an owner that has not answered
        checked = CheckedGateway(make_settings(gateway_count=3))
        checked.deliver(server_list("s1", "s2"))
        tries = [api.Request(0, 3.0, "lookup", "hard", customer, 1.0, 3) for customer in range(9)]
        owned_elsewhere = [
            t.customer_id for t in tries if CustomerQuota(HARD, t, checked.settings, 0.0).owners[0] != 0
        ]
        request = checked.request(customer=owned_elsewhere[0], spread=3)
    elif stage == "slot":  # queued for a slot
        checked = CheckedGateway(make_settings(plans=(api.Plan("open", max_in_flight=1),)))
        checked.deliver(server_list("s1", "s2"))
        checked.request(plan="open")
        request = checked.request(plan="open")
    elif stage == "tokens":  # granted, but not available yet
        checked = CheckedGateway()
        checked.deliver(server_list(*[f"s{i}" for i in range(12)]))
        request = [checked.request() for _ in range(9)][-1]
    else:  # for a server, for the first attempt or for a retry
        checked = CheckedGateway()
        checked.deliver(server_list("s1"))
        request = checked.request() if stage == "retry" else 0
        checked.gateway.fleet.servers["s1"].unit_latency = 9.0
        if request:
            checked.end_attempt(request, Result.REJECTED)
        else:
            request = checked.request()
    return checked, request


@pytest.mark.parametrize("stage", ["quota", "slot", "tokens", "ready", "retry"])
def test_a_waiting_request_whose_client_has_gone_is_not_sent(stage):
    """Guards against attempts for a client that has disconnected, in each stage of waiting."""
    for client_leaves in (False, True):
        checked, request = waiting_request(stage)
        assert request not in checked.final_actions and not checked.in_flight(request)
        before = len(checked.attempts.get(request, []))
        if client_leaves:
            checked.deliver(api.ClientGone(request))
        if server := checked.gateway.fleet.servers.get("s1"):
            server.unit_latency = 0.0
        for other in [o for o in checked.attempts if checked.in_flight(o)]:
            checked.end_attempt(other)
        checked.run(0.95)
        assert (len(checked.attempts.get(request, [])) > before) != client_leaves
        assert not client_leaves or (request not in checked.gateway.jobs and not checked.gateway.waiting)


def test_an_answer_within_the_latency_target_of_its_class_is_not_slow():
    """Guards against judging slow classes by the shortest latency target."""
    patient = dataclasses.replace(LOOKUP, name="patient", latency_target=4.0, timeout=9.0)
    checked = CheckedGateway(make_settings(classes=(LOOKUP, patient), gateway_count=1))
    checked.deliver(server_list("s1", "s2", "s3"))
    lowest = checked.gateway.fleet.limit
    for step in range(60):
        request = checked.request(cls="patient", customer=step, time_left=9.0)
        checked.run(1.2)
        checked.end_attempt(request)
        lowest = min(lowest, checked.gateway.fleet.limit)
    assert lowest >= 4.0
    assert refused_ratio(tuple(f"s{i}" for i in range(20)), 2.5) > 0.2  # late answers still cut the limit


def limit_after_messages(limit: float, peer_limit: float, count: int) -> float:
    """A gateway's concurrency limit after `count` messages from a peer with the given limit."""
    checked = CheckedGateway(make_settings(gateway_count=40))
    checked.deliver(server_list("s1", "s2"))
    checked.gateway.fleet.limit = limit
    for _ in range(count):
        checked.deliver(api.PeerMessage(1, QuotaCodec.encode(peer_limit, [])))
    return checked.gateway.fleet.limit


def test_a_peer_whose_limit_is_slightly_low_does_not_keep_the_fleet_low():
    """Guards against gateways that hold each other just below the admission limit."""
    assert limit_after_messages(8.0, 3.9, 10) > 7.0
    assert limit_after_messages(8.0, 1.0, 20) < 2.0  # a congested fleet still lowers the limit
    assert limit_after_messages(1.0, 4.0, 20) > 3.5
