"""The decision logic of a gateway: quotas, choice of server, admission, retries and timers.

The module does no I/O and reads no clock: Gateway.handle takes an event and returns actions, all of which
interface.py defines. A request (Job) is first charged to its customer's token bucket (CustomerQuota). One of
the customer's gateways, its owner, keeps the bucket; the others request units from it by datagram
(QuotaCodec). The request is then sent to a server that is expected to answer in time (ServerFleet), or waits
in the ready queue. Once a second a controller adjusts how far customers may exceed their quotas.
"""

from __future__ import annotations

import heapq
import math
import random
import zlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from thymehinge import interface as api
from thymehinge.customers import CustomerTable
from thymehinge.interface import DedupScope, Idempotency, LifecycleState, Result
from thymehinge.quota_messages import ADMISSION_LIMIT, QuotaCodec, QuotaEntry
from thymehinge.timers import MIN_COMPACTED_SIZE, compact

# Quotas and messages between gateways.
# Long enough to smooth single requests, short enough to follow a shift of traffic between gateways.
DEMAND_DECAY_TIME = 3.0  # seconds; time constant of a customer's demand and of its grant ratio
IDLE_DEMAND = 4e-4  # units/s, after some 20 quiet seconds; then customers with a full bucket are removed
MAX_RECORD_UPDATES = 512  # customers' records that the controller updates in one event
PERIODIC_INTERVAL = 0.1  # seconds between runs of run_periodic; short against a latency target
OWNER_CANDIDATES = 3  # gateways that may own a customer's bucket; all gateways derive the same order
PEER_INTAKE_FRACTION = 0.75  # of the messages that a peer accepts, available to quota messages
MAX_BATCH_DELAY = 0.25  # seconds that an entry waits for others to share its message
QUOTA_RETRY_INTERVAL = 0.3  # seconds without an answer before a quota request is repeated, at most
MAX_QUOTA_TRIES = 3  # times that a quota request is sent
UNRANKED_FRACTION = 0.5  # of random admission that ignores value, so that no class is starved
SAFE_OWNER_FILL = 0.5  # last reported fill of the owner's bucket that suffices for a grant without an answer
RELIABLE_ANSWER_RATIO = 0.9  # of quota requests answered, above which a request waits longer for the answer
ANSWER_RATIO_WEIGHT = 0.05  # weight of a new sample in that ratio
MIN_QUOTA_FRACTION = 0.25  # of the latency target that a request may always spend on quota requests
GRANT_RATIO_WEIGHT = 0.3  # weight of an answer in the ratio of quota requests granted
SETTLEMENT_LAG = 0.3  # seconds of refill kept in reserve where units are corrected after the answer
MESSAGE_LAG = 0.05  # seconds of refill kept in reserve otherwise
MAX_DEBT_TIME = 10.0  # seconds of refill that a bucket may owe
OWNER_SKIP_TIME = 2.0  # seconds for which an unresponsive owner is skipped
MAX_OWNER_MISSES = 3  # consecutive unanswered quota requests before an owner is skipped
QUOTA_ANSWER_TTL = 2.0  # seconds that an answer is kept after the wait budget; longer than all tries together
SLOT_LEASE_LATENCIES = 10.0  # typical latencies per unit; expiry reclaims a slot whose release was lost

# Time budget of a request, and the controller.
SERVICE_MARGIN = 1.5  # times the mean latency reserved for service
TARGET_FRACTION = 0.8  # of the latency target, for waiting and service together
RETRY_WAIT_FACTOR = 0.25  # applied to the wait budget of a client's retry
# Refused later, a client would learn too late that it has to try again.
DECISION_FRACTION = 0.45  # of the client's timeout by which a request is sent or refused
RATE_MULTIPLIER_STEP = 0.25  # added each second while latency targets are met
RATE_MULTIPLIER_CUT = 0.5  # factor applied each second while a latency target is missed
MAX_RATE_MULTIPLIER = 8.0
MAX_LATE_RATIO = 0.1  # of a class's answers in a second, above which its latency target is missed

# Choice of server.
MAX_WAIT_FRACTION = (
    0.5  # of the latency target that a server's expected latency may take, before work waits here
)
SAMPLE_SIZE = 16  # servers compared for a request, drawn anew: cost and herding stay those of a small fleet
LARGE_FLEET_SIZE = 256  # servers above which a gateway prefers some: else each request opens a connection
MAX_PREFERRED = 128  # servers preferred in a large fleet
OTHER_SAMPLE_SIZE = 2  # further servers of a large fleet compared with the preferred ones
STALL_THRESHOLD = 0.1  # seconds that a timer may run late before the process counts as stalled
AVERAGE_WEIGHT = 0.2  # weight of a new sample in moving averages

# Congestion control. An answer is slow above SLOW_LATENCY_FACTOR, clamped to the two fractions.
SLOW_MIN_FRACTION = 0.45  # of the latency target
SLOW_MAX_FRACTION = 0.75  # of the latency target
SLOW_LATENCY_FACTOR = 4.0  # times the latency that is typical for the work
SLOW_RATIO_LIMIT = 0.25  # of answers slow, above which the fleet is congested; fewer may be chance
SLOW_RATIO_WEIGHT = 0.1  # weight of a new sample in the slow ratio
SLOW_SERVER_FACTOR = 2.0  # times the typical latency above which a slow server is no sign of congestion
LIMIT_DECREASE = 0.9  # factor on the concurrency limit for each slow answer
MIN_CONCURRENCY_LIMIT = 0.2
ADMISSION_DECREASE = 0.6  # replaces LIMIT_DECREASE below ADMISSION_LIMIT, where answers are few
ADMISSION_INCREASE = 1.1  # factor on the limit for each timely answer below ADMISSION_LIMIT
PEER_LIMIT_WEIGHT = 0.2  # weight of a peer's concurrency limit against the local one
RANKED_REQUESTS = 64  # latest requests among which a request's value is ranked

# Load, health and cold start of servers.
REPORT_DECAY_TIME = 1.0  # seconds; time constant with which a load report fades
REPORT_WEIGHT = 0.5  # weight of a reported request against one of this gateway
MAX_REPORTED_QUEUE = 100.0  # requests; larger reports are capped, as no figure that a server means
LOST_ATTEMPT_LATENCIES = 3.0  # typical latencies; an attempt sent that long before an answered one is lost
FAILURE_BASELINE_FACTOR = 1.5  # times the lower quartile of failure rates; rates up to that are ignored
SLOW_RECOVERY_TIME = 2.0  # seconds; time constant with which the high latency of an idle server fades
FAILURE_DECAY_TIME = 3.0  # seconds; time constant with which a failure rate fades
FAILURE_PENALTY = 20.0  # typical latencies added to the cost of a server that always fails
CROSS_ZONE_PENALTY = 0.1  # added fraction of the expected latency for a server in another zone
SELECTION_JITTER = 0.1  # random fraction added to the cost, against herding
UNTRIED_JITTER = 1.0  # the same for a server without a recent outcome
DELISTED_TTL = 30.0  # seconds that the state of a server missing from a snapshot is kept
MAX_DELISTED = 1024  # servers kept that way
COLD_BUDGET_SAFETY = 0.5  # fraction of a cold server's budget that is used, since capacity is estimated

# Retries and hedged attempts.
RETRY_BUDGET_PER_REQUEST = 0.15  # further attempts earned by a first attempt
MAX_RETRY_BUDGET = 10.0  # further attempts
HEDGE_DELAY_LATENCIES = 4.0  # mean latencies before a hedged attempt
HEDGE_DELAY_FRACTION = 0.4  # of the latency target, at least
LOG_OVERLOADED = "latency target missed; reducing use beyond quotas"
LOG_RECOVERED = "latency targets met; raising use beyond quotas gradually"
DEDUP_WINDOW_FRACTION = 0.9  # of a dedup window that is used; the rest covers the network
GATEWAY_TIMERS = frozenset(("periodic", "watch", "flush"))  # kinds of timers that belong to no request
MAX_PROCESS_STALL = 0.15  # seconds between reading the clock and writing, by the operators' terms


class SlotPool:
    """A customer's concurrency slots at its owner, leased to gateways; further requests wait in order.

    A holder is the index of a gateway and the tag of its quota request.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.leases: dict[tuple[int, int], float] = {}  # expiry time by holder
        self.waiters: dict[tuple[int, int], tuple[float, float]] = {}  # wait deadline, seconds of lease

    def acquire(self, now: float, holder: tuple[int, int], lease: float) -> None:
        """Lease a slot for `lease` seconds."""
        self.waiters.pop(holder, None)
        self.leases[holder] = now + lease

    def expected_wait(self, now: float, latency: float) -> float:
        """Estimate the seconds until a new waiter gets a slot; 0 where one is free."""
        self.expire(now)
        taken = len(self.leases) + len(self.waiters)
        return latency * (taken + 1 - self.capacity) / self.capacity if taken >= self.capacity else 0.0

    def expire(self, now: float) -> None:
        """Drop expired leases, and waiters past their deadline."""
        self.waiters = {h: (until, lease) for h, (until, lease) in self.waiters.items() if until > now}
        self.leases = {holder: expiry for holder, expiry in self.leases.items() if expiry > now}

    def release(self, holder: tuple[int, int]) -> None:
        """Free a holder's slot or remove it from the waiters."""
        self.leases.pop(holder, None)
        self.waiters.pop(holder, None)

    def grant_waiting(self, now: float) -> Iterator[tuple[int, int]]:
        """Lease free slots to the waiters in order, and yield each new holder."""
        self.expire(now)
        while self.waiters and len(self.leases) < self.capacity:
            holder, (_, lease) = next(iter(self.waiters.items()))
            self.acquire(now, holder, lease)
            yield holder


class CustomerQuota:
    """One customer's token bucket, demand and concurrency slots.

    At the owner the bucket holds the whole quota (`Gateway.owned_quotas`); elsewhere it holds this gateway's
    local share. Requests that wait for tokens are charged in advance, so `level` may be negative. `overage`
    holds the tokens for use beyond the quota, `cap_level` those of the cap on all use.
    """

    def __init__(self, plan: api.Plan, request: api.Request, settings: api.Settings, now: float) -> None:
        self.key, self.plan, self.refilled_at, gateways = (
            request.customer_id,
            plan,
            now,
            settings.gateway_count,
        )
        self.spread = max(1, min(request.spread, gateways))
        offsets = [zlib.crc32(b"%d.%d" % (self.key, i)) % self.spread for i in range(OWNER_CANDIDATES)]
        has_owner = settings.peers_enabled and self.spread > 1 and settings.meter_period <= 0
        self.owners = [(request.first_gateway + offset) % gateways for offset in offsets] if has_owner else []
        self.local_share = 1 / self.spread
        lag = SETTLEMENT_LAG if settings.postpaid else MESSAGE_LAG
        self.capacity = plan.burst - min(plan.burst / 4, plan.rate * lag)
        self.level, self.overage = self.capacity * self.local_share, 0.0
        self.cap_level = 0.0  # not the burst, which an earlier process may have used up
        # Use beyond the quota is allowed up to this multiple of the rate; demand in units/s, moving average.
        self.rate_multiplier, self.demand = 1.0, 0.0
        # What the owner's answers show: ratio of quota requests granted, and the fill of its bucket.
        self.grant_ratio, self.last_answer_at, self.owner_fill = 1.0, now, 1.0
        self.owner_credit = math.inf  # seconds; by its last denial the owner's level is rate * (this + now)
        self.in_flight = 0
        self.slots = SlotPool(plan.max_in_flight)

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last call, and decay the demand."""
        elapsed, self.refilled_at, plan = (
            max(0.0, now - self.refilled_at),
            max(self.refilled_at, now),
            self.plan,
        )
        self.demand *= math.exp(-elapsed / DEMAND_DECAY_TIME)
        self.level = min(self.capacity, self.level + plan.rate * self.local_share * elapsed)
        overage_rate = plan.rate * (self.rate_multiplier - 1)
        self.overage = min(overage_rate, self.overage + overage_rate * self.local_share * elapsed)
        self.cap_level = min(
            plan.cap_burst / self.spread,
            self.cap_level + plan.cap_rate / self.spread * elapsed,
        )

    def is_idle(self) -> bool:
        """Return whether a new instance would have the same state, so that this one can be dropped."""
        if self.demand >= IDLE_DEMAND or self.level < self.capacity * self.local_share:
            return False
        below_cap = self.plan.cap_rate <= 0 or self.cap_level >= self.plan.cap_burst / self.spread
        return below_cap and not self.is_in_use()

    def is_in_use(self) -> bool:
        """Return whether requests of the customer are in flight or hold slots."""
        return bool(self.in_flight) or any(until > self.refilled_at for until in self.slots.leases.values())

    def grant_probability(self, now: float) -> float:
        """Return the probability that the owner grants a request; recovers to 1 as the last answer ages."""
        return 1 - (1 - self.grant_ratio) * math.exp((self.last_answer_at - now) / DEMAND_DECAY_TIME)

    def record_answer(self, now: float, granted: bool) -> None:
        """Update the grant ratio with an answer of the owner."""
        self.grant_ratio, self.last_answer_at = self.grant_probability(now), now
        self.grant_ratio += GRANT_RATIO_WEIGHT * (granted - self.grant_ratio)

    def draw(self, now: float, units: float, max_wait: float) -> tuple[int, float]:
        """Charge a request, in order of arrival; return the kind of answer and the seconds to wait.

        The wait is the time until the tokens are available; longer than `max_wait` is denied.
        """
        self.refill(now)
        plan, wait = self.plan, 0.0
        if plan.rate > 0 and self.level < units:
            if self.overage >= units:
                self.overage -= units
                return QuotaCodec.GRANT_OVERAGE, 0.0
            wait = (units - self.level) / max(plan.rate * self.local_share, 1e-9)
            if wait > max_wait:
                return QuotaCodec.DENY, wait
        self.charge(units)
        return QuotaCodec.GRANT, wait

    def charge(self, units: float) -> None:
        """Take units from the bucket; negative units are returned to it."""
        self.level = min(
            self.capacity, max(self.level - units, -MAX_DEBT_TIME * self.plan.rate - self.capacity)
        )

    def cap_refill_time(self) -> float:
        """Return the seconds that an empty cap takes to reach its present level."""
        return self.cap_level * self.spread / self.plan.cap_rate

    def cap_wait(self, units: float) -> float:
        """Return the seconds until this gateway's part of the cap covers the units; at most 0 if it does."""
        plan = self.plan
        return (units - self.cap_level) * self.spread / plan.cap_rate if plan.cap_rate > 0 else 0.0


class TrackedServer:
    """A listed server with this gateway's load, latency and failure statistics of it.

    Work is counted in requests of mean cost; `load` is the work of the attempts in flight.
    """

    def __init__(self, entry: api.Server, added_at: float) -> None:
        self.entry, self.load = entry, 0.0
        self.attempts: dict[tuple[int, int], Attempt] = {}  # in flight, in order of sending
        self.unit_latency = 0.0  # seconds per unit of work and of load; 0 while unknown
        self.failure_rate, self.failure_rate_at = 0.0, added_at
        self.last_answered_send = -math.inf  # time of the latest send that was answered
        self.reported_queue, self.reported_at, self.last_outcome_at = 0.0, added_at, added_at
        self.cold_sends: deque[tuple[float, float]] = deque()  # time and work of sends during cold start

    def current_failure_rate(self, now: float, decay_scale: float) -> float:
        """Decay the failure rate up to now and return it."""
        self.failure_rate *= math.exp((self.failure_rate_at - now) / FAILURE_DECAY_TIME / decay_scale)
        self.failure_rate_at = now
        return self.failure_rate

    def estimated_load(self, now: float) -> float:
        """Estimate the work in flight from here and, by the last load report, from other gateways."""
        return self.load + self.reported_queue * REPORT_WEIGHT * math.exp(
            (self.reported_at - now) / REPORT_DECAY_TIME
        )


class ServerFleet:
    """The listed servers: choice by expected latency and failures, cold start, congestion control."""

    def __init__(self, settings: api.Settings, rng: random.Random, now: float) -> None:
        self.settings, self.rng = settings, rng
        self.servers: dict[str, TrackedServer] = {}
        self.delisted: dict[str, tuple[float, TrackedServer]] = {}  # with expiry time
        self.preferred: dict[str, TrackedServer] = {}  # of a large fleet, least recently answered first
        self.min_latency_target = min(cls.latency_target for cls in settings.classes)
        self.typical_latency = self.min_latency_target / 6  # median of the servers' unit latencies
        # Adaptive concurrency limit, work in flight, factor on decay times, moving average of slow answers.
        self.limit, self.load, self.decay_scale, self.slow_ratio = ADMISSION_LIMIT, 0.0, 1.0, 0.0
        self.recent_values: deque[float] = deque(maxlen=RANKED_REQUESTS)
        # Work/s sent to a warm server, moving average; work sent to all warm servers since warm_rate_at.
        self.warm_work_rate, self.warm_work_sent, self.warm_rate_at = 0.0, 0.0, now
        self.failure_baseline = 0.0  # failure rates up to it are ignored in the choice of a server

    def apply_list(self, now: float, event: api.ServerList) -> None:
        """Apply a server list; a server missing for a short time, and not restarted, keeps its state."""
        was_empty = not self.servers
        if event.kind in (api.ListKind.SNAPSHOT, api.ListKind.CACHED):
            listed = {s.name for s in event.servers}
            until = now + max(DELISTED_TTL, self.settings.overload_window)
            for name in [n for n in self.servers if n not in listed]:
                self.delisted[name] = until, self.servers.pop(name)
            self.expire_delisted(now)
        for entry in event.servers:
            until, known = self.delisted.pop(entry.name, (now, None))
            if known and until > now and known.entry.started_at == entry.started_at:
                self.servers[entry.name] = known  # not restarted: no new cold budget
            old = self.servers.get(entry.name)
            if entry.state is LifecycleState.GONE:
                self.servers.pop(entry.name, None)
            elif old is None or entry.started_at > old.entry.started_at:
                self.servers[entry.name] = TrackedServer(entry, now)
            else:
                old.entry = entry
        compared = min(len(self.servers), LARGE_FLEET_SIZE)
        self.decay_scale = max(1.0, compared / SAMPLE_SIZE)  # larger fleets use each server less often
        self.preferred = {
            name: server
            for name, server in self.preferred.items()
            if self.servers.get(name) is server and server.entry.state is LifecycleState.RUNNING
        }
        if was_empty:
            self.limit = max(
                ADMISSION_LIMIT, len(self.servers) * min(1.0, ADMISSION_LIMIT / self.settings.gateway_count)
            )

    def expire_delisted(self, now: float) -> None:
        """Drop delisted servers that have expired, and the oldest above MAX_DELISTED."""
        kept = [(name, item) for name, item in self.delisted.items() if item[0] > now]
        self.delisted = dict(kept[-MAX_DELISTED:])

    def capacity(self, server: TrackedServer, now: float) -> float:
        """Return the fraction of full capacity a server has reached since its cold start; 1 when warm."""
        settings, started = self.settings, server.entry.started_at
        if started <= 0 or settings.slow_start_duration <= 0 or now - started >= settings.slow_start_duration:
            return 1.0
        return max(
            settings.slow_start_capacity
            + (1 - settings.slow_start_capacity) * max(0.0, now - started) / settings.slow_start_duration,
            0.01,
        )

    def expected_latency(self, server: TrackedServer, now: float, work: float) -> float:
        """Estimate the seconds until a server answers, raised by the age of its oldest attempt in flight."""
        unit_latency = (server.unit_latency or self.typical_latency) / self.capacity(server, now)
        if server.unit_latency > self.typical_latency and not server.attempts:  # old measurements fade
            unit_latency = self.typical_latency + (unit_latency - self.typical_latency) * math.exp(
                (server.last_outcome_at - now) / (SLOW_RECOVERY_TIME * self.decay_scale)
            )
        wait = unit_latency * (server.estimated_load(now) + work)
        latest = next(reversed(server.attempts.values()), None)
        # After a long silence one more attempt shows whether the earlier ones are queued or lost.
        if latest is None or now - latest.sent_at > HEDGE_DELAY_LATENCIES * self.typical_latency:
            return wait
        return max(wait, 0.7 * (now - next(iter(server.attempts.values())).sent_at))

    def cold_budget(self, capacity: float) -> float:
        """Return the work that this gateway may send to a cold server in one `overload_window`."""
        settings = self.settings
        return (
            COLD_BUDGET_SAFETY
            * settings.overload_multiple
            * capacity
            * settings.overload_window
            * self.warm_work_rate
        )

    def within_cold_budget(self, server: TrackedServer, now: float, work: float, capacity: float) -> bool:
        """Return whether a cold server may get this work now.

        Where the budget is below one request, gateways take turns: a hash selects those that may send one.
        """
        settings = self.settings
        while server.cold_sends and server.cold_sends[0][0] <= now - settings.overload_window:
            server.cold_sends.popleft()
        budget = self.cold_budget(capacity)
        spent = sum(sent_work for _, sent_work in server.cold_sends)
        if spent or server.attempts or budget >= work:
            return spent + work <= budget
        turn = zlib.crc32(
            b"%s %d %d"
            % (server.entry.name.encode(), now // settings.overload_window, settings.gateway_index)
        )
        return turn < budget / work * 2**32

    def sample_servers(self, eligible: list[TrackedServer]) -> list[TrackedServer]:
        """Return a random sample to compare for a request; in a large fleet mostly of preferred servers."""
        if len(eligible) <= SAMPLE_SIZE:
            return eligible
        if len(self.servers) <= LARGE_FLEET_SIZE or len(self.preferred) < MAX_PREFERRED:
            return self.rng.sample(eligible, SAMPLE_SIZE)
        known = list(self.preferred.values())
        if len(eligible) < len(self.servers):
            allowed = set(map(id, eligible))
            known = [server for server in known if id(server) in allowed]
        return self.rng.sample(known, min(SAMPLE_SIZE, len(known))) + self.rng.sample(
            eligible, OTHER_SAMPLE_SIZE
        )

    def update_preferred(self, server: TrackedServer, good: bool) -> None:
        """In a large fleet, prefer a server after a good answer, and no longer after a failure."""
        name = server.entry.name
        self.preferred.pop(name, None)
        if good and len(self.servers) > LARGE_FLEET_SIZE and self.servers.get(name) is server:
            self.preferred[name] = server
            if len(self.preferred) > MAX_PREFERRED:
                del self.preferred[next(iter(self.preferred))]

    def start_deadline(self, server: TrackedServer, now: float) -> float:
        """Return the latest start of an attempt: for a cold server, within one window of its budget.

        What is decided in two windows may still start in the same one.
        """
        return now + self.settings.overload_window if self.capacity(server, now) < 1 else math.inf

    def choose_server(
        self, now: float, work: float, latency_target: float, eligible: list[TrackedServer]
    ) -> TrackedServer | None:
        """Return the cheapest sampled server that is expected to answer in time, or None.

        The cost is the expected latency plus a penalty for failures. A cold server whose cold budget is
        below one request is compared as if it were warm, and against the request's own latency target:
        otherwise idle warm servers would always win in a large fleet, where a gateway's own requests show
        little of a server's load. The turns of `within_cold_budget` keep the cold server's share down there.
        """
        max_wait = max(
            MAX_WAIT_FRACTION * self.min_latency_target, SERVICE_MARGIN * self.typical_latency * work
        )
        best, best_cost = None, math.inf
        if self.load > 0 and self.load + work > max(self.limit, ADMISSION_LIMIT):
            return None
        for server in self.sample_servers(eligible):
            capacity = self.capacity(server, now)
            cold = capacity < 1
            if server.entry.state is not LifecycleState.RUNNING or (
                cold and not self.within_cold_budget(server, now, work, capacity)
            ):
                continue
            wait = self.expected_latency(server, now, work)
            has_turn = cold and self.cold_budget(capacity) < work
            if wait > (MAX_WAIT_FRACTION * latency_target if has_turn else max_wait):
                continue
            wait *= capacity if has_turn else 1.0
            remote = server.entry.zone != self.settings.zone and self.settings.cross_zone_price > 0
            jitter = (
                SELECTION_JITTER
                if has_turn or now - server.last_outcome_at < SLOW_RECOVERY_TIME
                else UNTRIED_JITTER
            )
            cost = wait * (1 + CROSS_ZONE_PENALTY * remote) * (1 + jitter * self.rng.random())
            cost += (
                FAILURE_PENALTY
                * max(0.0, server.current_failure_rate(now, self.decay_scale) - self.failure_baseline)
                * self.typical_latency
            )
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def record_send(self, server: TrackedServer, now: float, attempt: Attempt) -> None:
        """Add a new attempt to the load, and to a cold server's budget."""
        work = attempt.work
        server.load, self.load, server.attempts[attempt.key] = server.load + work, self.load + work, attempt
        if self.capacity(server, now) < 1:
            server.cold_sends.append((now, work))
        else:
            self.warm_work_sent += work

    def record_outcome(
        self, server: TrackedServer, now: float, attempt: Attempt, result: Result, elapsed: float
    ) -> bool:
        """Update statistics and the concurrency limit with the end of an attempt.

        Return true for a good answer of a warm and healthy server, whose latency is representative.
        """
        work, lost_earlier = attempt.work, attempt.sent_at <= self.lost_cutoff(server)
        self.release_attempt(attempt)
        server.last_outcome_at = now
        if result not in (Result.CANCELLED, Result.NOT_SENT, Result.REJECTED):
            self.update_preferred(server, result is Result.OK)
        if result.never_ran and self.capacity(server, attempt.sent_at) >= 1:
            self.warm_work_sent -= work  # work that never ran does not show what a server can bear
        if result in (Result.OK, Result.ERROR, Result.REJECTED):
            server.last_answered_send = max(server.last_answered_send, attempt.sent_at)
            for lost in [
                other for other in server.attempts.values() if other.sent_at <= self.lost_cutoff(server)
            ]:
                self.release_attempt(lost)
        latency_target, slow_latency = (
            attempt.latency_target,
            SLOW_LATENCY_FACTOR * self.typical_latency * work,
        )
        unanswered = result in (Result.TIMEOUT, Result.CANCELLED) and not lost_earlier
        slow = elapsed > min(
            max(SLOW_MIN_FRACTION * latency_target, slow_latency), SLOW_MAX_FRACTION * latency_target
        )
        slow_by_itself = (
            self.capacity(server, now) < 1 or server.unit_latency > SLOW_SERVER_FACTOR * self.typical_latency
        )
        # A lost or reset attempt is no sign of congestion.
        if not slow_by_itself and (result is Result.OK or unanswered):
            self.slow_ratio += SLOW_RATIO_WEIGHT * (slow - self.slow_ratio)
        if slow and (result is Result.OK or unanswered):
            if not slow_by_itself and self.slow_ratio > SLOW_RATIO_LIMIT:
                decrease = LIMIT_DECREASE if self.limit > ADMISSION_LIMIT else ADMISSION_DECREASE
                self.limit = max(MIN_CONCURRENCY_LIMIT, self.limit * decrease)
        elif result is Result.OK and self.limit < ADMISSION_LIMIT:
            self.limit *= ADMISSION_INCREASE
        elif result is Result.OK and self.load > self.limit / 2:
            self.limit += 1 / self.limit
        if result is Result.OK or unanswered:
            sample = elapsed / max(attempt.load_at_send, 1.0) * self.capacity(server, attempt.sent_at)
            old = server.unit_latency or self.typical_latency
            if result is Result.OK or sample > old:
                server.unit_latency = old + AVERAGE_WEIGHT * (min(sample, 4 * old) - old)
        if result not in (Result.CANCELLED, Result.NOT_SENT):
            failure = {Result.OK: 0.0, Result.REJECTED: 0.5}.get(result, 1.0)
            server.failure_rate = server.current_failure_rate(now, self.decay_scale) + AVERAGE_WEIGHT * (
                failure - server.failure_rate
            )
        healthy = (
            server.failure_rate < MAX_LATE_RATIO
            and self.capacity(server, now) >= 1
            and server.unit_latency < 3 * self.typical_latency
        )
        return result is Result.OK and healthy

    def lost_cutoff(self, server: TrackedServer) -> float:
        """Return the cutoff: unanswered attempts sent up to it are lost, as later ones have been answered."""
        return server.last_answered_send - LOST_ATTEMPT_LATENCIES * self.typical_latency

    def release_attempt(self, attempt: Attempt) -> None:
        """Remove an ended or lost attempt from the load."""
        server = attempt.server
        server.attempts.pop(attempt.key, None)
        server.load = max(0.0, server.load - attempt.work) if server.attempts else 0.0
        self.load = max(0.0, self.load - attempt.work)
        attempt.work = 0.0

    def admits(self, value: float) -> bool:
        """Decide whether to admit a request: at random while the concurrency limit is too low to be enforced.

        The lowest values are refused first, but UNRANKED_FRACTION of the decisions ignore the value.
        """
        self.recent_values.append(value)
        if self.limit >= ADMISSION_LIMIT:
            return True
        if self.rng.random() < UNRANKED_FRACTION:
            return self.rng.random() < self.limit / ADMISSION_LIMIT
        rank = sum(v < value for v in self.recent_values) + self.rng.random() * self.recent_values.count(
            value
        )
        return rank >= (1 - self.limit / ADMISSION_LIMIT) * len(self.recent_values)

    def record_load_report(self, server: TrackedServer, now: float, load_report: dict[str, float]) -> None:
        """Store a server's reported queue length, or its requests in flight less those from here."""
        value = load_report.get("queue", load_report.get("inflight", -math.inf))
        if value >= 0:
            queue = max(0.0, value - ("queue" not in load_report) * len(server.attempts))
            server.reported_queue, server.reported_at = min(queue, MAX_REPORTED_QUEUE), now

    def update_estimates(self, now: float) -> None:
        """Update the typical latency, the failure baseline and the work rate of warm servers."""
        self.expire_delisted(now)
        warm = [server for server in self.servers.values() if self.capacity(server, now) >= 1]
        if latencies := sorted(server.unit_latency for server in warm if server.unit_latency):
            self.typical_latency = latencies[len(latencies) // 2]
        failure_rates = sorted(s.current_failure_rate(now, self.decay_scale) for s in self.servers.values())
        self.failure_baseline = (
            FAILURE_BASELINE_FACTOR * failure_rates[len(failure_rates) // 4] if failure_rates else 0.0
        )
        if warm:
            rate = self.warm_work_sent / len(warm) / max(now - self.warm_rate_at, 1e-3)
            self.warm_work_rate += AVERAGE_WEIGHT * (rate - self.warm_work_rate)
        self.warm_work_sent, self.warm_rate_at = 0.0, now


class ClassStats:
    """Mean latency and units of a request class, and counters since the controller last ran.

    The latency runs from the first attempt; waiting for tokens or a server is left out.
    """

    def __init__(self, spec: api.RequestClass) -> None:
        self.spec, self.latency, self.units = spec, spec.latency_target / 6, 0.0
        self.total_answers = self.interval_answers = self.interval_late = self.interval_shed = 0

    def record_latency(self, latency: float) -> None:
        """Count an answer and update the mean latency; `latency` is in seconds."""
        self.total_answers, self.interval_answers = self.total_answers + 1, self.interval_answers + 1
        self.interval_late += latency > self.spec.latency_target
        self.latency += max(AVERAGE_WEIGHT / 4, 1 / (self.total_answers + 1)) * (latency - self.latency)

    def close_interval(self) -> bool:
        """Reset the interval counters; true where the latency target was missed or requests were shed."""
        missed = self.interval_shed > 0 or self.interval_late > MAX_LATE_RATIO * max(self.interval_answers, 5)
        self.interval_answers = self.interval_late = self.interval_shed = 0
        return missed


@dataclass(slots=True)
class Attempt:
    """One attempt of a request; zone and cell are those listed for its server when it was sent."""

    server: TrackedServer
    key: tuple[int, int]  # the request's id and the attempt's index
    sent_at: float
    work: float  # 0 once removed from the load
    load_at_send: float  # the server's estimated load, this attempt included
    latency_target: float  # seconds
    zone: str
    cell: int
    in_flight: bool = True
    may_have_run: bool = True


class Job:
    """A request until it has its final answer and all its attempts have ended."""

    def __init__(
        self, request: api.Request, stats: ClassStats, quota: CustomerQuota, now: float, sequence: int
    ) -> None:
        self.request, self.stats, self.quota, self.sequence = request, stats, quota, sequence
        self.units = max(0.0, request.units)
        self.target_at, self.deadline = now + stats.spec.latency_target, now + max(0.0, request.time_left)
        self.attempts: list[Attempt] = []
        # Stages: "quota" (requested from the owner), "slot" (queued there for a slot), "tokens" (granted, not
        # yet available), "ready" (waits for a server), "" (sent).
        self.stage, self.value = "", 0.0
        # Quota requests made; index of the owner (-1: not requested from one); tag of the quota requests.
        self.quota_tries, self.owner, self.tag = 0, -1, sequence & 0xFFFF
        self.done = self.streaming = self.within_quota = False

    @property
    def attempts_in_flight(self) -> int:
        return sum(attempt.in_flight for attempt in self.attempts)

    @property
    def may_have_run(self) -> bool:
        return any(attempt.may_have_run for attempt in self.attempts)

    def retry_is_harmless(self) -> bool:
        """Return whether the client may retry: a second execution is impossible or harmless."""
        spec = self.stats.spec
        harmless = spec.idempotency is Idempotency.SAFE or (
            spec.idempotency is Idempotency.KEYED and spec.dedup_scope is DedupScope.ALL
        )
        return harmless or not self.may_have_run

    def start_deadline(self) -> float:
        """Return the latest start of a further attempt: the end of the dedup window, less a safety margin."""
        spec, sent_times = self.stats.spec, [a.sent_at for a in self.attempts if a.may_have_run]
        if not sent_times or spec.idempotency is not Idempotency.KEYED:
            return math.inf
        return min(sent_times) + min(
            DEDUP_WINDOW_FRACTION * spec.dedup_window, spec.dedup_window - MAX_PROCESS_STALL
        )

    def eligible(self, fleet: ServerFleet, now: float) -> list[TrackedServer]:
        """Return the servers that the class allows for an attempt, less those tried where others remain."""
        servers = list(fleet.servers.values())
        if not self.attempts:
            return servers
        spec, possibly_run = self.stats.spec, [a for a in self.attempts if a.may_have_run]
        tried = [attempt.server.entry.name for attempt in self.attempts]
        if possibly_run and spec.idempotency is Idempotency.UNSAFE:
            return []
        if possibly_run and spec.idempotency is Idempotency.KEYED:
            if now > self.start_deadline():
                return []
            if spec.dedup_scope is DedupScope.ZONE:
                servers = [s for s in servers if all(s.entry.zone == a.zone for a in possibly_run)]
            elif spec.dedup_scope is DedupScope.CELL:
                servers = [s for s in servers if all(s.entry.cell == a.cell for a in possibly_run)]
        return [s for s in servers if s.entry.name not in tried] or servers


class Gateway:
    """One gateway: pass each event to `handle` in order, and carry out the actions that it returns."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.fleet = ServerFleet(settings, self.rng, now)
        self.classes = {cls.name: ClassStats(cls) for cls in settings.classes}
        self.plan_indexes = {plan.name: index for index, plan in enumerate(settings.plans)}
        self.quotas: CustomerTable[CustomerQuota] = CustomerTable()
        # Since when the use of caps is known; a customer without a record may have used up all before.
        self.cap_known_since = now
        self.jobs: dict[int, Job] = {}
        self.waiting: dict[int, Job] = {}  # by tag, for an owner's answer or for a slot
        self.ready_queue: list[tuple[float, int, Job]] = []  # heap, highest value first
        self.retry_budget, self.overloaded, self.watching = MAX_RETRY_BUDGET / 2, False, False
        self.actions: list[api.Action] = []
        # Heap of due time, sequence number, kind and argument; timers may outlive the requests they refer to.
        self.timers: list[tuple[float, int, str, int]] = []
        self.compact_timers_at = MIN_COMPACTED_SIZE  # number of timers
        self.sequence, self.armed_at, self.timer_tag = self.rng.getrandbits(16), math.inf, 0
        self.message_gap, self.next_message_at = (
            1 / PEER_INTAKE_FRACTION / max(settings.peer_messages_per_s, 1.0),
            now,
        )
        # Of the customers whose owner this gateway is.
        self.owned_quotas: CustomerTable[CustomerQuota] = CustomerTable()
        # Answers given, by sender and tag, for repeated quota requests: kind, wait, quota, expiry time.
        self.quota_answers: dict[tuple[int, int], tuple[int, float, CustomerQuota, float]] = {}
        self.answer_ratio = 1.0  # of quota requests answered in time, moving average
        self.ungranted_tags: dict[int, float] = {}  # expiry time by tag of units used without an answer
        # Until when an owner is skipped; consecutive quota requests that it has left unanswered.
        self.skipped_owners, self.owner_misses = {}, {}
        self.next_control_at = now + 1.0
        # Customers whose records are yet to be updated after a run of the controller.
        self.records_to_update: deque[tuple[CustomerTable[CustomerQuota], int]] = deque()
        self.outbox: dict[int, list[bytes]] = {}  # packed entries by peer
        self.schedule(
            now + PERIODIC_INTERVAL * (settings.gateway_index + 1) / settings.gateway_count, "periodic"
        )

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Process an event and all timers that are due; return the actions in order."""
        self.actions = []
        if self.settings.watch_required and not self.watching:
            self.watching = True
            self.actions.append(api.WatchServers())
        match event:
            case api.Request():
                self.on_request(now, event)
            case api.Outcome():
                self.on_outcome(now, event)
            case api.TimerDue() if event.tag == self.timer_tag:  # earlier tags belong to replaced timers
                self.armed_at = math.inf
            case api.ServerList():
                self.fleet.apply_list(now, event)
                if event.kind is api.ListKind.FAILED:
                    self.schedule(now + 1.0, "watch")
                self.dispatch_ready(now)
            case api.StreamStarted() if event.request_id in self.jobs:
                self.jobs[event.request_id].streaming = True
            case api.ClientGone() if event.request_id in self.jobs:
                self.close(now, self.jobs[event.request_id])
            case api.PeerMessage():
                self.on_peer_message(now, event)
            case api.ProbeResult() if event.server in self.fleet.servers:
                self.fleet.record_load_report(self.fleet.servers[event.server], now, event.load_report)
        self.run_due_timers(now)
        return self.actions

    # Timers.

    def schedule(self, due_at: float, kind: str, argument: int = 0) -> None:
        """Add a timer; `argument` is a request's id or a peer's index, according to its kind."""
        self.sequence += 1
        heapq.heappush(self.timers, (due_at, self.sequence, kind, argument))
        if len(self.timers) >= self.compact_timers_at:
            self.compact_timers_at = compact(self.timers, self.is_stale_timer)

    def is_stale_timer(self, timer: tuple[float, int, str, int]) -> bool:
        """Return whether a timer refers to a request that has ended."""
        _, _, kind, argument = timer
        if kind in GATEWAY_TIMERS:
            return False
        job = self.jobs.get(argument)
        return job is None or job.done

    def run_due_timers(self, now: float) -> None:
        """Run the timers that are due, and set the caller's timer to the next one.

        After a stall of this process only "deadline" and "send_by" run at once; the others are postponed
        until the events that came in meanwhile have been processed.
        """
        while self.timers and self.timers[0][0] <= now:
            due_at, _, kind, argument = heapq.heappop(self.timers)
            if now - due_at > STALL_THRESHOLD and kind not in ("deadline", "send_by"):
                self.schedule(now + self.settings.tick, kind, argument)
            elif kind == "periodic":
                self.run_periodic(now)
            elif kind == "watch":  # the next event subscribes again
                self.watching = False
            elif kind == "flush":
                self.flush_entries(now, argument)
            elif (job := self.jobs.get(argument)) is not None and not job.done:
                if kind == job.stage == "quota":
                    self.request_quota(now, job)
                elif kind == "quota_timeout" and job.stage == "quota":
                    self.on_quota_timeout(now, job)
                elif kind == job.stage == "tokens":
                    self.on_quota_answer(now, job, QuotaCodec.GRANT, 0.0)
                elif kind == job.stage == "slot":
                    self.reject(now, job, refuse=True)
                elif kind == "deadline" and not job.streaming:
                    self.reject(now, job, refuse=not job.attempts)
                elif job.stage and (kind == "send_by" or (kind == "decide_by" and not job.may_have_run)):
                    job.stats.interval_shed += job.stage == "ready"
                    self.reject(now, job, refuse=True)
                elif kind == "hedge" and job.attempts_in_flight == 1 and not job.streaming:
                    self.hedge(now, job)
        if self.timers and self.timers[0][0] < self.armed_at:
            self.armed_at, self.timer_tag = self.timers[0][0], self.timer_tag + 1
            self.actions.append(api.SetTimer(self.armed_at, self.timer_tag))

    # Requests: admission, wait budget and ready queue.

    def on_request(self, now: float, request: api.Request) -> None:
        """Admit or refuse a new request, set its timers and charge it to its customer's quota."""
        if request.request_id in self.jobs:
            return
        stats, self.sequence = (
            self.classes.get(request.class_name) or next(iter(self.classes.values())),
            self.sequence + 1,
        )
        quota = self.find_quota(now, request)
        job = self.jobs[request.request_id] = Job(request, stats, quota, now, self.sequence)
        stats.units += (AVERAGE_WEIGHT / 4 if stats.units else 1.0) * (job.units - stats.units)
        self.schedule(max(now, job.deadline - 2 * self.settings.tick), "deadline", job.request.request_id)
        # Before "decide_by": the timers run in this order where both are due at the same time.
        self.schedule(now + self.quota_timeout(job), "quota_timeout", job.request.request_id)
        self.schedule(
            now + DECISION_FRACTION * max(0.0, request.time_left), "decide_by", job.request.request_id
        )
        job.value = (
            stats.spec.value * quota.plan.value_factor**0.5 * job.units / max(self.expected_work(job), 1e-6)
        )
        if not self.fleet.admits(job.value):
            stats.interval_shed += 1
            return self.reject(now, job, refuse=True, retry_after=self.settings.max_retry_after)
        quota.refill(now)
        quota.demand += job.units / DEMAND_DECAY_TIME
        self.request_quota(now, job)

    def find_quota(self, now: float, request: api.Request) -> CustomerQuota:
        """Return the quota of the request's customer, created where it is new or its plan has changed.

        A plan that is not configured has no limits.
        """
        quota = self.quotas.use(request.customer_id)
        if quota is None or quota.plan.name != request.plan_name:
            plan = (
                self.settings.plans[self.plan_indexes[request.plan_name]]
                if request.plan_name in self.plan_indexes
                else api.Plan(request.plan_name)
            )
            quota = CustomerQuota(plan, request, self.settings, now)
            evicted = self.quotas.insert(quota)
            if evicted is not None and evicted.plan.cap_rate > 0:
                evicted.refill(now)
                self.cap_known_since = max(self.cap_known_since, now - evicted.cap_refill_time())
            quota.cap_level = plan.cap_rate / quota.spread * (now - self.cap_known_since)
        return quota

    def wait_budget(self, job: Job) -> float:
        """Return the seconds that a request may wait for tokens and still be served in time.

        The time is reduced for classes of lower value and for retries of the client.
        """
        spec, max_value = job.stats.spec, max(stats.spec.value for stats in self.classes.values())
        fraction = spec.value / max(max_value, 1e-9) * (RETRY_WAIT_FACTOR if job.request.is_retry else 1.0)
        budget = min(TARGET_FRACTION * spec.latency_target, DECISION_FRACTION * job.request.time_left)
        return max(0.0, budget - SERVICE_MARGIN * job.stats.latency) * fraction

    def expected_work(self, job: Job) -> float:
        """Estimate the cost in requests of mean cost, from the latency of the class and the units."""
        answers = sum(stats.total_answers for stats in self.classes.values())
        latency = sum(s.latency * s.total_answers for s in self.classes.values()) / max(1, answers)
        class_factor = job.stats.latency / latency if job.stats.total_answers and latency > 0 else 1.0
        return class_factor * (job.units / job.stats.units if job.stats.units > 0 else 1.0)

    def enqueue_ready(self, now: float, job: Job) -> None:
        """Queue a request for a server until it could no longer be served in time."""
        job.stage = "ready"
        heapq.heappush(self.ready_queue, (-job.value, job.sequence, job))
        self.schedule(min(job.target_at, job.deadline) - job.stats.latency, "send_by", job.request.request_id)

    def dispatch_ready(self, now: float) -> None:
        """Send queued requests, highest value first; stops once three find no server."""
        blocked: list[tuple[float, int, Job]] = []
        while self.ready_queue and len(blocked) < 3:
            item = heapq.heappop(self.ready_queue)
            if item[2].stage == "ready" and not self.send(now, item[2]):
                blocked.append(item)
        for item in blocked:
            heapq.heappush(self.ready_queue, item)

    # Quota requests between gateways.

    def request_quota(self, now: float, job: Job) -> None:
        """Charge a request to its bucket here, or request the units from the owner.

        The request is denied at once where the cap, or the owner's last denial, shows that the tokens would
        come too late, so that a customer far beyond its quota does not flood its owner.
        """
        quota, job.stage, job.quota_tries, budget = (
            job.quota,
            "quota",
            job.quota_tries + 1,
            self.wait_budget(job),
        )
        wait = max(
            quota.cap_wait(job.units),
            job.units / max(quota.plan.rate, 1e-9) - quota.owner_credit - now,
        )
        if wait > budget:
            return self.on_quota_answer(now, job, QuotaCodec.DENY, wait)
        if not quota.owners:
            return self.on_quota_answer(now, job, *quota.draw(now, job.units, budget))
        if job.quota_tries > (MAX_QUOTA_TRIES if quota.grant_probability(now) > 0.5 else 2):
            return self.on_quota_timeout(now, job)
        job.owner = next((o for o in quota.owners if now >= self.skipped_owners.get(o, now)), quota.owners[0])
        if job.owner == self.settings.gateway_index:
            bucket = self.owned_quota(now, quota.key, quota.plan, quota.owner_fill)
            kind, wait = self.grant_quota(now, job.owner, job.tag, bucket, job.units, budget)
            if kind != QuotaCodec.QUEUED:
                return self.on_quota_answer(now, job, kind, wait)
            self.waiting[job.tag] = job
            return self.wait_for_slot(now, job)
        self.waiting[job.tag] = job
        self.queue_entry(now, job.owner, QuotaCodec.REQUEST, job.tag, quota, job.units, budget)
        timeout = min(QUOTA_RETRY_INTERVAL, DECISION_FRACTION * job.request.time_left / (MAX_QUOTA_TRIES + 1))
        self.schedule(now + timeout + 2 * (self.next_message_at - now), "quota", job.request.request_id)

    def quota_timeout(self, job: Job) -> float:
        """Return the seconds that a request may spend on quota requests.

        Where they are usually answered, the time until it must be decided; else less, so that it can still
        meet its latency target.
        """
        spec, timeout = job.stats.spec, DECISION_FRACTION * max(0.0, job.request.time_left)
        if self.answer_ratio >= RELIABLE_ANSWER_RATIO:
            return timeout
        return min(
            timeout,
            max(
                TARGET_FRACTION * spec.latency_target - SERVICE_MARGIN * job.stats.latency,
                MIN_QUOTA_FRACTION * spec.latency_target,
            ),
        )

    def on_quota_timeout(self, now: float, job: Job) -> None:
        """Decide without the owner's answer: at random by its earlier answers, else by the local share."""
        quota = job.quota
        self.answer_ratio -= ANSWER_RATIO_WEIGHT * self.answer_ratio
        grant_probability = quota.grant_probability(now) ** 3 * (
            min(1.0, quota.owner_fill / SAFE_OWNER_FILL) if quota.plan.rate > 0 else 1.0
        )
        if job.quota_tries > 1:  # a single quota request may have been lost
            self.owner_misses[job.owner] = self.owner_misses.get(job.owner, 0) + 1
            if self.owner_misses[job.owner] >= MAX_OWNER_MISSES:
                self.skipped_owners[job.owner] = now + OWNER_SKIP_TIME
        quota.record_answer(now, False)
        self.waiting.pop(job.tag, None)
        if self.rng.random() >= grant_probability and not self.draw_local_share(now, quota, job.units):
            return self.on_quota_answer(now, job, QuotaCodec.DENY, 0.0)
        self.ungranted_tags[job.tag] = now + QUOTA_ANSWER_TTL
        self.queue_entry(now, job.owner, QuotaCodec.USED_UNGRANTED, job.tag, quota, job.units, 0.0)
        return self.on_quota_answer(now, job, QuotaCodec.GRANT, 0.0)

    def draw_local_share(self, now: float, quota: CustomerQuota, units: float) -> bool:
        """Charge a request to this gateway's local share; false where the share does not cover it."""
        if (
            quota.plan.max_in_flight > 0
            and quota.in_flight + self.rng.random() >= quota.plan.max_in_flight * quota.local_share
        ):
            return False
        return quota.draw(now, units, 0.0)[0] == QuotaCodec.GRANT

    def queue_entry(
        self, now: float, peer: int, kind: int, tag: int, quota: CustomerQuota, units: float, wait: float
    ) -> None:
        """Queue an entry for a peer. Messages are paced to what peers accept; pending entries share one."""
        fill = (
            quota.level / max(quota.plan.burst, 1e-9) if quota.key in self.owned_quotas else quota.owner_fill
        )
        entry = QuotaCodec.pack_entry(
            kind, tag, quota.key, self.plan_indexes.get(quota.plan.name, 255), units, wait, fill
        )
        self.outbox.setdefault(peer, []).append(entry)
        if len(self.outbox[peer]) == 1:
            self.next_message_at = max(
                now, min(self.next_message_at + self.message_gap, now + MAX_BATCH_DELAY)
            )
            self.schedule(self.next_message_at, "flush", peer)

    def flush_entries(self, now: float, peer: int) -> None:
        """Send a peer's queued entries."""
        entries = self.outbox.pop(peer, [])
        for start in range(0, len(entries), QuotaCodec.MAX_ENTRIES):
            self.actions.append(
                api.SendToPeer(
                    QuotaCodec.encode(self.fleet.limit, entries[start : start + QuotaCodec.MAX_ENTRIES]), peer
                )
            )

    def owned_quota(self, now: float, key: int, plan: api.Plan, fill: float) -> CustomerQuota:
        """Return a customer's bucket that this gateway owns; a new one starts at `fill` of its capacity."""
        quota = self.owned_quotas.use(key)
        if quota is None:
            quota = CustomerQuota(plan, api.Request(0, 0.0, "", plan.name, key), self.settings, now)
            self.owned_quotas.insert(quota)
            quota.level = quota.capacity * fill
        quota.demand += 1 / DEMAND_DECAY_TIME
        return quota

    def grant_quota(
        self, now: float, sender: int, tag: int, quota: CustomerQuota, units: float, max_wait: float
    ) -> tuple[int, float]:
        """Answer a quota request from an owned bucket, leasing a slot where the plan limits concurrency."""
        plan, slots, holder, lease = (
            quota.plan,
            quota.slots,
            (sender, tag),
            SLOT_LEASE_LATENCIES * self.fleet.typical_latency * max(1.0, units),
        )
        slot_wait = slots.expected_wait(now, self.fleet.typical_latency) if plan.max_in_flight > 0 else 0.0
        if slot_wait > max_wait:
            return QuotaCodec.DENY, slot_wait
        kind, wait = quota.draw(now, units, max_wait)
        if plan.max_in_flight <= 0 or kind == QuotaCodec.DENY:
            return kind, wait
        if slot_wait > 0:
            slots.waiters[holder] = now + max_wait, lease
            return QuotaCodec.QUEUED, 0.0
        slots.acquire(now, holder, wait + lease)
        return kind, wait

    def wait_for_slot(self, now: float, job: Job) -> None:
        """Wait for a slot at the owner until the wait budget is spent."""
        job.stage = "slot"
        self.schedule(now + self.wait_budget(job), "slot", job.request.request_id)

    def release_slot(self, now: float, quota: CustomerQuota, holder: tuple[int, int]) -> None:
        """Release a slot, or remove a waiter, at the owner, and grant free slots to the next waiters."""
        quota.slots.release(holder)
        for sender, tag in quota.slots.grant_waiting(now):
            if sender != self.settings.gateway_index:
                self.quota_answers[sender, tag] = (QuotaCodec.GRANT, 0.0, quota, now + QUOTA_ANSWER_TTL)
                self.queue_entry(now, sender, QuotaCodec.GRANT, tag, quota, 0.0, 0.0)
            elif (job := self.waiting.get(tag)) is not None and job.stage == "slot":
                self.on_quota_answer(now, job, QuotaCodec.GRANT, 0.0)

    def on_quota_answer(self, now: float, job: Job, kind: int, wait: float) -> None:
        """Refuse a denied request; send a granted one once its tokens are available."""
        if kind == QuotaCodec.DENY:
            return self.reject(now, job, refuse=True, retry_after=wait)
        job.stage, job.within_quota = "tokens", kind == QuotaCodec.GRANT
        if wait > 0:
            return self.schedule(now + wait, "tokens", job.request.request_id)
        job.value *= 1.0 if job.within_quota else job.quota.plan.overage_value
        if not self.send(now, job):
            self.enqueue_ready(now, job)

    def on_peer_message(self, now: float, event: api.PeerMessage) -> None:
        """Process a peer's entries; its concurrency limit adjusts the local one where either is low.

        That way the gateways of a congested fleet converge on one rate of random admission.
        """
        message = QuotaCodec.decode(event.body)
        if (
            message
            and event.sender != self.settings.gateway_index
            and 0 <= event.sender < self.settings.gateway_count
        ):
            self.owner_misses.pop(event.sender, None)
            own_limit, peer_limit = min(self.fleet.limit, ADMISSION_LIMIT), message[0]
            if min(own_limit, peer_limit) < ADMISSION_LIMIT:
                self.fleet.limit += (
                    PEER_LIMIT_WEIGHT * (peer_limit - own_limit) * self.fleet.limit / own_limit
                )
            for entry in message[1]:
                self.on_quota_entry(now, event.sender, entry)

    def on_quota_entry(self, now: float, sender: int, entry: QuotaEntry) -> None:
        """Process a peer's quota request, an owner's answer, or a report of units used or returned."""
        kind, tag, key, plan_index, units, wait, fill = entry
        job = self.waiting.get(tag)
        if job is not None and job.quota.key != key:  # an answer to an earlier process with the same tag
            job = None
        if kind == QuotaCodec.REQUEST and plan_index < len(self.settings.plans) and units >= 0:
            previous = self.quota_answers.get((sender, tag))  # of another customer where a peer has restarted
            if previous is not None and previous[2].key == key and previous[3] > now:
                units = 0.0  # so that the peer cannot return the units twice
            else:
                quota, until = (
                    self.owned_quota(now, key, self.settings.plans[plan_index], fill),
                    now + wait + QUOTA_ANSWER_TTL,
                )
                self.quota_answers[sender, tag] = (
                    *self.grant_quota(now, sender, tag, quota, units, wait),
                    quota,
                    until,
                )
            kind, wait, quota, _ = self.quota_answers[sender, tag]
            self.queue_entry(now, sender, kind, tag, quota, units, wait)
        elif kind in (QuotaCodec.SETTLE, QuotaCodec.USED_UNGRANTED) and key in self.owned_quotas:
            quota = self.owned_quotas[key]
            if (
                kind == QuotaCodec.SETTLE
                or self.quota_answers.get((sender, tag), (QuotaCodec.DENY,))[0] != QuotaCodec.GRANT
            ):
                quota.charge(units)
            if kind == QuotaCodec.SETTLE:
                self.release_slot(now, quota, (sender, tag))
            elif quota.plan.max_in_flight > 0:
                quota.slots.acquire(
                    now, (sender, tag), SLOT_LEASE_LATENCIES * self.fleet.typical_latency * max(1.0, units)
                )
        elif kind == QuotaCodec.QUEUED and job is not None and job.stage == "quota":
            self.wait_for_slot(now, job)
        elif kind in (QuotaCodec.GRANT, QuotaCodec.GRANT_OVERAGE, QuotaCodec.DENY) and key in self.quotas:
            quota = self.quotas[key]
            quota.owner_fill = fill
            if kind == QuotaCodec.DENY and quota.plan.rate > 0:
                quota.owner_credit = units / quota.plan.rate - wait - now
            if job and job.stage in ("quota", "slot"):
                self.answer_ratio += ANSWER_RATIO_WEIGHT * (1 - self.answer_ratio)
                quota.record_answer(now, kind != QuotaCodec.DENY)
                self.on_quota_answer(now, job, kind, wait)
            elif job is None and kind == QuotaCodec.GRANT and units > 0 and tag not in self.ungranted_tags:
                self.queue_entry(now, sender, QuotaCodec.SETTLE, tag, quota, -units, 0.0)

    def adjust_charge(self, now: float, job: Job, units: float) -> None:
        """Charge further units (negative: return some) to the request's bucket, here or at the owner.

        Release the slot of a request that is done. The owner is not notified of less than half a unit.
        """
        quota = job.quota
        if not quota.owners:
            quota.charge(units)
        elif job.owner == self.settings.gateway_index and quota.key in self.owned_quotas:
            self.owned_quotas[quota.key].charge(units)
            if job.done:
                self.release_slot(now, self.owned_quotas[quota.key], (job.owner, job.tag))
        elif abs(units) >= 0.5 or (job.done and quota.plan.max_in_flight > 0):
            self.queue_entry(now, job.owner, QuotaCodec.SETTLE, job.tag, quota, units, 0.0)

    # Attempts.

    def send(self, now: float, job: Job, hedged: bool = False) -> bool:
        """Start an attempt; false where the customer's limits or the servers do not allow one now.

        The limits are checked here so that requests that waited for a server do not leave in one burst.
        """
        spec, work, quota, first = job.stats.spec, self.expected_work(job), job.quota, not job.attempts
        if first:
            quota.refill(now)
            max_in_flight = quota.plan.max_in_flight
            full = (
                max_in_flight > 0
                and not quota.owners
                and quota.in_flight >= max(1, round(max_in_flight * quota.local_share))
            )
            if full or quota.cap_wait(job.units) > 0:
                return False
        server = self.fleet.choose_server(now, work, spec.latency_target, job.eligible(self.fleet, now))
        if server is None:
            return False
        quota.cap_level -= job.units * first
        quota.in_flight += first
        key, load = (job.request.request_id, len(job.attempts)), server.estimated_load(now) + work
        start_deadline = min(job.start_deadline(), self.fleet.start_deadline(server, now))
        attempt = Attempt(
            server, key, now, work, load, spec.latency_target, server.entry.zone, server.entry.cell
        )
        self.fleet.record_send(server, now, attempt)
        job.attempts.append(attempt)
        job.stage = ""
        if first:
            self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_PER_REQUEST)
        if self.settings.hedging_enabled and not hedged and spec.idempotency is not Idempotency.UNSAFE:
            self.schedule(
                now
                + max(HEDGE_DELAY_LATENCIES * job.stats.latency, HEDGE_DELAY_FRACTION * spec.latency_target),
                "hedge",
                job.request.request_id,
            )
        self.actions.append(api.Send(job.request.request_id, server.entry.name, job.deadline, start_deadline))
        return True

    def hedge(self, now: float, job: Job) -> None:
        """Send a hedged attempt where the retry budget allows it and no request waits for a server."""
        allowed = (
            self.retry_budget >= 1 and len(job.attempts) < self.settings.max_attempts and not self.ready_queue
        )
        self.retry_budget -= allowed and now < job.target_at and self.send(now, job, hedged=True)

    def on_outcome(self, now: float, outcome: api.Outcome) -> None:
        """Process the end of an attempt; close its request or retry it."""
        job = self.jobs.get(outcome.request_id)
        if (
            job is None
            or not 0 <= outcome.attempt < len(job.attempts)
            or not job.attempts[outcome.attempt].in_flight
        ):
            return
        attempt = job.attempts[outcome.attempt]
        attempt.in_flight, attempt.may_have_run = False, not outcome.result.never_ran
        representative = self.fleet.record_outcome(
            attempt.server, now, attempt, outcome.result, outcome.elapsed
        )
        self.fleet.record_load_report(attempt.server, now, outcome.load_report)
        if representative:
            job.stats.record_latency(now - job.attempts[0].sent_at)
        if (
            outcome.result is Result.OK
            and job.within_quota
            and self.settings.postpaid
            and outcome.billed_units > 0
        ):
            self.adjust_charge(now, job, outcome.billed_units - job.units)
        if outcome.fleet_use > 0:
            self.on_fleet_use(now, job.quota, outcome.fleet_use)
        if not job.done and (outcome.final or outcome.result is Result.OK):
            self.close(now, job)
        elif not job.done and not job.attempts_in_flight:
            self.retry(now, job, outcome.result)
        elif not job.attempts_in_flight:
            self.jobs.pop(outcome.request_id, None)
        self.dispatch_ready(now)

    def retry(self, now: float, job: Job, result: Result) -> None:
        """Start another attempt after a failed one, or reject the request."""
        cost = 0.25 if result.never_ran else 1.0
        too_late = now >= job.deadline - 4 * self.settings.tick or self.retry_budget < cost
        if too_late or len(job.attempts) >= self.settings.max_attempts or not job.eligible(self.fleet, now):
            return self.reject(now, job, refuse=True)
        self.retry_budget -= cost
        if not self.send(now, job):
            self.enqueue_ready(now, job)

    def reject(self, now: float, job: Job, refuse: bool, retry_after: float = 0.0) -> None:
        """Give the final answer without a result: a refusal where a retry is harmless, else a failure."""
        if refuse and job.retry_is_harmless():
            advised_wait = (
                min(retry_after, self.settings.max_retry_after) if self.settings.retry_after_enabled else 0.0
            )
            self.actions.append(api.Refuse(job.request.request_id, advised_wait))
        else:
            self.actions.append(api.Fail(job.request.request_id))
        self.close(now, job)

    def close(self, now: float, job: Job) -> None:
        """End a request: cancel its attempts, and return the units of one that was never sent."""
        if job.done:
            return
        job.done = True
        if job.stage in ("ready", "tokens") and not job.attempts and job.within_quota:
            self.adjust_charge(now, job, -job.units)
        elif job.owner >= 0 and job.quota.plan.max_in_flight > 0:
            self.adjust_charge(now, job, 0.0)
        job.quota.in_flight -= bool(job.attempts)
        job.stage = ""
        self.waiting.pop(job.tag, None)
        if self.settings.cancel_enabled and not job.streaming:
            self.actions.extend(
                api.Cancel(job.request.request_id, a.key[1]) for a in job.attempts if a.in_flight
            )
        if not job.attempts_in_flight:
            self.jobs.pop(job.request.request_id, None)

    # Periodic work.

    def on_fleet_use(self, now: float, quota: CustomerQuota, fleet_use: int) -> None:
        """Set the local share to this gateway's part of the customer's use through all gateways.

        `fleet_use` is that use in percent of the plan's rate, plus 1.
        """
        if self.settings.meter_period > 0 and quota.plan.rate > 0:
            quota.refill(now)
            total_rate, own_rate = (fleet_use - 1) / 100 * quota.plan.rate, quota.demand
            quota.local_share = (
                max(1 / quota.spread, min(1.0, own_rate / max(own_rate, total_rate)))
                if own_rate > 0
                else 1 / quota.spread
            )

    def run_periodic(self, now: float) -> None:
        """Dispatch the ready queue and, once a second, run the controller."""
        self.schedule(now + PERIODIC_INTERVAL, "periodic")
        if now >= self.next_control_at:
            self.next_control_at = now + 1.0
            self.run_controller(now)
        else:
            self.update_records(now)
        self.dispatch_ready(now)

    def run_controller(self, now: float) -> None:
        """Cut use beyond quotas while a class misses its latency target, else raise it gradually.

        Also drop expired records and idle customers.
        """
        self.fleet.update_estimates(now)
        missed = any([stats.close_interval() for stats in self.classes.values()])
        if missed != self.overloaded:
            self.overloaded = missed
            self.actions.append(api.Log(LOG_OVERLOADED if missed else LOG_RECOVERED))
        self.ungranted_tags = {tag: until for tag, until in self.ungranted_tags.items() if until > now}
        self.quota_answers = {holder: a for holder, a in self.quota_answers.items() if a[3] > now}
        if not self.records_to_update:  # very many are not all updated every second
            for table in (self.quotas, self.owned_quotas):
                self.records_to_update.extend((table, key) for key in table)
        self.update_records(now)

    def update_records(self, now: float) -> None:
        """Update customers' records after a run of the controller, MAX_RECORD_UPDATES in one event.

        Adjust how far the customers may exceed their quotas, and drop the records of idle ones.
        """
        for _ in range(min(MAX_RECORD_UPDATES, len(self.records_to_update))):
            table, key = self.records_to_update.popleft()
            quota = table.get(key)
            if quota is None:
                continue
            quota.refill(now)
            if self.overloaded:
                quota.rate_multiplier = max(1.0, quota.rate_multiplier * RATE_MULTIPLIER_CUT)
            elif quota.plan.overage_value > quota.plan.overage_cost:
                quota.rate_multiplier = min(MAX_RATE_MULTIPLIER, quota.rate_multiplier + RATE_MULTIPLIER_STEP)
            if quota.is_idle():
                del table[key]
