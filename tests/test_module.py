"""The decision module: server selection and health, admission, timers, invalid events and settings."""

from __future__ import annotations

import dataclasses
import random

import pytest
from rules import HARD, LOOKUP, CheckedGateway, make_settings, server_list

from thymehinge import Gateway
from thymehinge import interface as api
from thymehinge.decisions import ADMISSION_LIMIT, CustomerQuota, QuotaCodec
from thymehinge.interface import Result


def test_many_gateways_do_not_overload_cold_server():
    """Guards against hundreds of gateways that each send a first request to a server that just started."""
    gateways = [
        CheckedGateway(make_settings(gateway_count=300, gateway_index=i, peers_enabled=False), seed=i)
        for i in range(300)
    ]
    rng, cold_sends = random.Random(5), 0
    for gateway in gateways:
        gateway.deliver(server_list("w1", "w2", "w3"))
    for step in range(400):
        if step == 300:
            for gateway in gateways:
                gateway.deliver(
                    api.ServerList(
                        api.ListKind.DELTA, 2, (api.Server("c", zone="a", started_at=gateway.now),)
                    )
                )
        for gateway in gateways:
            gateway.run(0.02)
        for gateway in rng.sample(gateways, 6):
            request = gateway.request(customer=step)
            if gateway.in_flight(request):
                cold_sends += gateway.attempts[request][0][0] == "c"
                gateway.end_attempt(request)
    # Budget for 2 s: 3 times the cold capacity, 0.36 of the 100 requests/s that a warm server gets.
    assert cold_sends <= 2 * 3 * 0.36 * 100


def test_events_are_handled_before_timers_after_stall():
    """Guards against counting a stall of the gateway itself as missing answers to quota requests."""
    gateway = CheckedGateway(make_settings(gateway_count=2))
    gateway.deliver(server_list("s1", "s2"))
    quotas = (
        gateway.wrapped.find_quota(gateway.now, api.Request(0, 1, "", "hard", customer, spread=2))
        for customer in range(50)
    )
    customer = next(quota.key for quota in quotas if quota.owners[0] == 1)
    request = gateway.request(customer=customer, spread=2)
    gateway.run(0.01)
    gateway.now += 1.5
    gateway.timers.clear()
    gateway.deliver(api.TimerDue(gateway.wrapped.timer_tag))
    assert request not in gateway.attempts and request not in gateway.final_actions
    denial = QuotaCodec.pack_entry(
        QuotaCodec.DENY, gateway.wrapped.jobs[request].tag, customer, 0, 1.0, 1.0, 0.0
    )
    gateway.deliver(api.PeerMessage(1, QuotaCodec.encode(9.0, [denial])))
    assert isinstance(gateway.final_actions.get(request), api.Refuse)


def test_replaced_timer_is_not_rearmed():
    """Guards against replaced timers that rearm themselves, so that their number grows without bound."""
    gateway = CheckedGateway(make_settings(gateway_count=1))
    gateway.deliver(server_list("s1", "s2"))
    for step in range(200):
        request = gateway.request(customer=step)
        gateway.run(0.05)
        gateway.end_attempt(request)
    gateway.run(4.0)
    gateway.action_log.clear()
    gateway.run(2.0)
    assert sum(isinstance(a, api.SetTimer) for _, a in gateway.action_log) <= 25


def test_low_limit_sheds_lowest_value_first():
    """Guards against overload by hundreds of gateways that each keep one request in flight."""
    low_value_class = dataclasses.replace(LOOKUP, name="cheap", value=0.1)
    gateway = CheckedGateway(make_settings(classes=(LOOKUP, low_value_class)))
    gateway.deliver(server_list("s1", "s2"))
    sent_counts = {"lookup": 0, "cheap": 0}
    for step in range(200):
        gateway.wrapped.fleet.limit = 2.0
        for class_name in sent_counts:
            request = gateway.request(class_name=class_name, customer=step)
            if gateway.in_flight(request):
                sent_counts[class_name] += 1
                gateway.end_attempt(request)
        gateway.run(0.01)
    # Expected: 0.75 and 0.25 of 200 requests; the bounds are 2.5 standard deviations away.
    assert 135 < sent_counts["lookup"] < 165 and 35 < sent_counts["cheap"] < 65


def test_low_value_class_is_not_starved():
    """Guards against starvation of classes of low value while higher values are admitted."""
    low_value_class = dataclasses.replace(LOOKUP, name="cheap", value=0.01)
    gateway = CheckedGateway(make_settings(classes=(LOOKUP, low_value_class)))
    fleet = gateway.wrapped.fleet
    fleet.limit = 1.0
    admitted = {0.01: 0, 1.0: 0}
    for _ in range(2000):
        for value in (0.01, 1.0, 1.0, 1.0):
            admitted[value] += fleet.admits(value)
    admitted_ratio = sum(admitted.values()) / 8000
    assert admitted_ratio == pytest.approx(fleet.limit / ADMISSION_LIMIT, abs=0.02)
    assert admitted[0.01] / 2000 >= 0.4 * admitted_ratio


def test_failing_server_is_avoided_then_retried():
    gateway = CheckedGateway()
    gateway.deliver(server_list("bad", "s2", "s3"))
    failing_server_ratios = []
    for phase in range(3):
        request_ids = []
        for step in range(400 if phase == 2 else 60):
            request_ids += [
                gateway.request(customer=10000 * phase + 10 * step + offset) for offset in range(4)
            ]
            gateway.run(0.05)
            for request in [r for r in gateway.attempts if gateway.in_flight(r)]:
                server = gateway.attempts[request][-1][0]
                gateway.end_attempt(request, Result.ERROR if server == "bad" and phase < 2 else Result.OK)
            gateway.run(0.05)
        failing_server_ratios.append(
            sum(gateway.attempts[r][0][0] == "bad" for r in request_ids) / len(request_ids)
        )
    assert failing_server_ratios[1] < 0.15
    assert failing_server_ratios[2] > failing_server_ratios[1]


def test_standing_queue_at_slow_servers_drains():
    """Guards against keeping one request in flight at each slow server, so that none of them recovers."""
    gateway = CheckedGateway(make_settings(hedging_enabled=False))
    gateway.deliver(server_list(*[f"s{i}" for i in range(20)]))
    for step in range(300):
        gateway.request(customer=step)
        for request in [
            r
            for r in gateway.attempts
            if gateway.in_flight(r) and gateway.now - gateway.attempts[r][-1][1] > 2.5
        ]:
            gateway.end_attempt(request)
        gateway.run(0.02)
    assert sum(gateway.in_flight(r) for r in gateway.attempts) <= 5


def test_events_for_unknown_objects_are_ignored():
    gateway = CheckedGateway()
    gateway.deliver(server_list("s1", "s1"))
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
        gateway.deliver(event)
    request = api.Request(1, 1.0, "no such class", "no such plan", 5)
    assert any(isinstance(a, api.Send) for a in gateway.wrapped.handle(gateway.now, request))
    gateway.deliver(api.ServerList(api.ListKind.SNAPSHOT, 4, ()))
    assert gateway.wrapped.handle(gateway.now, api.Outcome(1, 7, "s1", Result.OK, 0.1, False)) is not None


def test_actions_depend_only_on_events_and_seed():
    def run_events(seed: int) -> list:
        gateway, rng = CheckedGateway(seed=seed), random.Random(3)
        gateway.deliver(server_list(*[f"s{i}" for i in range(6)]))
        for _ in range(200):
            gateway.request(customer=rng.randrange(50))
            for request in [r for r in gateway.attempts if gateway.in_flight(r) and rng.random() < 0.3]:
                gateway.end_attempt(request)
            gateway.run(0.02)
        return gateway.action_log

    assert run_events(4) == run_events(4)
    assert run_events(4) != run_events(5)


def test_server_watch_is_renewed_after_failure():
    gateway = CheckedGateway(make_settings(watch_required=True))
    gateway.deliver(server_list("s1"))
    gateway.deliver(api.ServerList(api.ListKind.FAILED))
    gateway.run(5.0)
    assert sum(isinstance(a, api.WatchServers) for _, a in gateway.action_log) == 2


def test_started_stream_has_no_deadline():
    streamed_class = dataclasses.replace(LOOKUP, name="film", streamed=True)
    gateway = CheckedGateway(make_settings(classes=(streamed_class,)))
    gateway.deliver(server_list("s1"))
    request = gateway.request(class_name="film", time_left=0.5)
    gateway.deliver(api.StreamStarted(request, 0, "s1", 0.1))
    gateway.run(2.0)
    assert request not in gateway.final_actions


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
def test_invalid_setting_is_named_in_error(change):
    name = next(iter(change))
    with pytest.raises(ValueError, match=f"setting {name}"):
        Gateway(make_settings(**change), 1, 0.0)


def test_failure_rate_decays_slower_in_large_fleet():
    failure_rates = []
    for size in (10, 80):
        gateway = CheckedGateway(make_settings(gateway_count=size))
        gateway.deliver(server_list(*[f"s{i}" for i in range(size)]))
        request = gateway.request()
        server = gateway.wrapped.fleet.servers[gateway.attempts[request][0][0]]
        gateway.end_attempt(request, Result.ERROR)
        gateway.now += 6.0
        failure_rates.append(server.current_failure_rate(gateway.now, gateway.wrapped.fleet.decay_scale))
    assert failure_rates[1] > 2 * failure_rates[0] > 0


def test_servers_compared_per_request_are_bounded():
    """Guards against a cost per request that grows with the number of servers."""
    gateway = CheckedGateway(make_settings(gateway_count=300))
    gateway.deliver(server_list(*[f"s{i}" for i in range(300)]))
    compared: list[str] = []
    original = gateway.wrapped.fleet.expected_latency
    gateway.wrapped.fleet.expected_latency = lambda server, now, work: compared.append(
        server.entry.name
    ) or original(server, now, work)
    gateway.request()
    assert 1 <= len(compared) <= 16


def test_lost_attempt_does_not_block_server_or_cut_limit():
    """Guards against servers left idle because of a few lost attempts while later ones are answered."""
    gateway = CheckedGateway(make_settings(hedging_enabled=False))
    gateway.deliver(server_list("s1"))
    lost_request = gateway.request(customer=1, plan="soft")
    assert gateway.in_flight(lost_request)
    limit = gateway.wrapped.fleet.limit
    for step in range(20):
        gateway.run(0.05)
        answered_request = gateway.request(customer=2 + step, plan="soft")
        assert gateway.in_flight(answered_request), step
        gateway.end_attempt(answered_request)
    gateway.end_attempt(lost_request, Result.TIMEOUT)
    assert gateway.wrapped.fleet.limit >= limit


def test_request_without_servers_is_refused_by_half_its_timeout():
    """Guards against refusals that reach the client too late for a retry."""
    gateway = CheckedGateway()
    request = gateway.request(time_left=1.0)  # no server is known
    gateway.run(0.4)
    assert not gateway.final_actions.get(request)
    gateway.run(0.1)
    assert isinstance(gateway.final_actions[request], api.Refuse)


def test_common_failure_rate_is_ignored():
    """Guards server selection against failures that are not specific to a server."""
    gateway = CheckedGateway()
    gateway.deliver(server_list("s1", "s2", "s3", "s4"))
    fleet = gateway.wrapped.fleet
    for server in fleet.servers.values():
        server.failure_rate, server.failure_rate_at = 0.3, gateway.now
    fleet.servers["s1"].failure_rate = 0.9
    fleet.update_estimates(gateway.now)
    excess_rates = {
        name: max(0.0, tracked.current_failure_rate(gateway.now, fleet.decay_scale) - fleet.failure_baseline)
        for name, tracked in fleet.servers.items()
    }
    assert excess_rates["s1"] > 0.4 and excess_rates["s2"] == excess_rates["s3"] == excess_rates["s4"] == 0.0


def test_unresponsive_server_gets_second_request():
    """Guards against servers left idle because one lost attempt each still counts as in flight."""
    gateway = CheckedGateway(make_settings(hedging_enabled=False))
    gateway.deliver(server_list("s1"))
    first = gateway.request(customer=1, plan="soft")
    gateway.run(1.4)
    second = gateway.request(customer=2, plan="soft")
    assert gateway.in_flight(first) and gateway.in_flight(second)
    fleet = gateway.wrapped.fleet
    gateway.end_attempt(second)
    assert fleet.load == 0.0 and not fleet.servers["s1"].attempts  # the lost attempt no longer counts


def refused_ratio(slow_servers: tuple[str, ...], latency: float) -> float:
    """Return the ratio of refused requests at 10/s over 20 servers; slow ones take `latency` seconds."""
    gateway = CheckedGateway(make_settings(gateway_count=40, hedging_enabled=False, cancel_enabled=False))
    gateway.deliver(server_list(*[f"s{i}" for i in range(20)]))
    request_ids = []
    for step in range(600):
        request_ids.append(gateway.request(customer=step))
        gateway.run(0.1)
        for request in [r for r in gateway.attempts if gateway.in_flight(r)]:
            if gateway.now - gateway.attempts[request][0][1] >= (
                latency if gateway.attempts[request][0][0] in slow_servers else 0.15
            ):
                gateway.end_attempt(request)
    return sum(isinstance(gateway.final_actions.get(r), api.Refuse) for r in request_ids) / len(request_ids)


def test_limit_is_cut_only_when_all_servers_are_slow():
    """Guards against refusals while only a few servers are slow."""
    assert refused_ratio(("s3", "s11", "s17"), 0.8) == 0
    assert refused_ratio(tuple(f"s{i}" for i in range(20)), 2.5) > 0.2


def test_large_fleet_uses_cold_servers():
    """Guards against cold servers left unused because idle warm ones are always expected to be faster."""
    long_target_class = dataclasses.replace(LOOKUP, latency_target=4.0, timeout=9.0)
    cold_servers = tuple(api.Server(f"c{i}", zone="a", started_at=110.0) for i in range(12))
    cold_sends = {}
    for request_class in (LOOKUP, long_target_class):
        gateway = CheckedGateway(
            make_settings(gateway_count=40, classes=(request_class,), hedging_enabled=False)
        )
        gateway.deliver(server_list(*[f"w{i}" for i in range(8)]))
        for step in range(140):
            if step == 100:
                gateway.deliver(api.ServerList(api.ListKind.DELTA, 2, cold_servers))
            gateway.request(customer=step, time_left=request_class.timeout)
            gateway.run(0.1)
            for request in [r for r in gateway.attempts if gateway.in_flight(r)]:
                if gateway.now - gateway.attempts[request][0][1] >= (
                    0.6 if gateway.attempts[request][0][0][0] == "c" else 0.12
                ):
                    gateway.end_attempt(request)
        cold_sends[request_class.latency_target] = sum(
            attempts[0][0][0] == "c" for attempts in gateway.attempts.values()
        )
    assert 3 <= cold_sends[4.0] <= 20  # of 40; capacity is 12 times 0.2 to 0.5 cold and 8 warm
    assert cold_sends[1.0] < cold_sends[4.0]  # a short latency target needs a warm server


def waiting_request(stage: str) -> tuple[CheckedGateway, int]:
    """Return a gateway and the id of its request, which waits in this stage and is due within a second."""
    if stage == "quota":  # the owner has not answered the quota request
        gateway = CheckedGateway(make_settings(gateway_count=3))
        gateway.deliver(server_list("s1", "s2"))
        requests = [api.Request(0, 3.0, "lookup", "hard", customer, 1.0, 3) for customer in range(9)]
        owned_elsewhere = [
            r.customer_id for r in requests if CustomerQuota(HARD, r, gateway.settings, 0.0).owners[0] != 0
        ]
        request = gateway.request(customer=owned_elsewhere[0], spread=3)
    elif stage == "slot":  # queued for a slot
        gateway = CheckedGateway(make_settings(plans=(api.Plan("open", max_in_flight=1),)))
        gateway.deliver(server_list("s1", "s2"))
        gateway.request(plan="open")
        request = gateway.request(plan="open")
    elif stage == "tokens":  # granted, but not refilled yet
        gateway = CheckedGateway()
        gateway.deliver(server_list(*[f"s{i}" for i in range(12)]))
        request = [gateway.request() for _ in range(9)][-1]
    else:  # waits for a server, for its first attempt or for a retry
        gateway = CheckedGateway()
        gateway.deliver(server_list("s1"))
        request = gateway.request() if stage == "retry" else 0
        gateway.wrapped.fleet.servers["s1"].unit_latency = 9.0
        if request:
            gateway.end_attempt(request, Result.REJECTED)
        else:
            request = gateway.request()
    return gateway, request


@pytest.mark.parametrize("stage", ["quota", "slot", "tokens", "ready", "retry"])
def test_waiting_request_is_dropped_when_client_disconnects(stage):
    """Guards each stage of waiting against attempts for a client that has disconnected."""
    for client_leaves in (False, True):
        gateway, request = waiting_request(stage)
        assert request not in gateway.final_actions and not gateway.in_flight(request)
        attempts_before = len(gateway.attempts.get(request, []))
        if client_leaves:
            gateway.deliver(api.ClientGone(request))
        if server := gateway.wrapped.fleet.servers.get("s1"):
            server.unit_latency = 0.0
        for other_request in [r for r in gateway.attempts if gateway.in_flight(r)]:
            gateway.end_attempt(other_request)
        gateway.run(0.95)
        assert (len(gateway.attempts.get(request, [])) > attempts_before) != client_leaves
        assert not client_leaves or (request not in gateway.wrapped.jobs and not gateway.wrapped.waiting)


def test_answer_within_class_latency_target_is_not_slow():
    """Guards against judging all classes by the shortest latency target."""
    long_target_class = dataclasses.replace(LOOKUP, name="patient", latency_target=4.0, timeout=9.0)
    gateway = CheckedGateway(make_settings(classes=(LOOKUP, long_target_class), gateway_count=1))
    gateway.deliver(server_list("s1", "s2", "s3"))
    lowest_limit = gateway.wrapped.fleet.limit
    for step in range(60):
        request = gateway.request(class_name="patient", customer=step, time_left=9.0)
        gateway.run(1.2)
        gateway.end_attempt(request)
        lowest_limit = min(lowest_limit, gateway.wrapped.fleet.limit)
    assert lowest_limit >= 4.0
    assert refused_ratio(tuple(f"s{i}" for i in range(20)), 2.5) > 0.2  # late answers still cut the limit


def limit_after_messages(limit: float, peer_limit: float, count: int) -> float:
    """Return a gateway's concurrency limit after `count` messages from a peer that reports `peer_limit`."""
    gateway = CheckedGateway(make_settings(gateway_count=40))
    gateway.deliver(server_list("s1", "s2"))
    gateway.wrapped.fleet.limit = limit
    for _ in range(count):
        gateway.deliver(api.PeerMessage(1, QuotaCodec.encode(peer_limit, [])))
    return gateway.wrapped.fleet.limit


def test_slightly_lower_peer_limit_does_not_hold_limit_down():
    """Guards against gateways that hold each other's limit just below the admission limit."""
    assert limit_after_messages(8.0, 3.9, 10) > 7.0
    assert limit_after_messages(8.0, 1.0, 20) < 2.0  # a congested fleet still lowers the limit
    assert limit_after_messages(1.0, 4.0, 20) > 3.5
