"""Runs one gateway on a simulated clock and checks each action: timely answers, safe attempts and refusals.

Servers are not simulated: a test ends the attempts itself.
"""

from __future__ import annotations

from thymehinge import interface as api
from thymehinge.decisions import Gateway
from thymehinge.interface import DedupScope, Idempotency, LifecycleState, Result

LOOKUP = api.RequestClass("lookup", latency_target=1.0, timeout=3.0)
KEYED = api.RequestClass(
    "pay",
    latency_target=1.0,
    timeout=3.0,
    idempotency=Idempotency.KEYED,
    dedup_scope=DedupScope.ZONE,
    dedup_window=2.0,
)
KEYED_ALL = api.RequestClass(
    "post",
    latency_target=1.0,
    timeout=3.0,
    idempotency=Idempotency.KEYED,
    dedup_scope=DedupScope.ALL,
    dedup_window=2.0,
)
UNSAFE = api.RequestClass("once", latency_target=1.0, timeout=3.0, idempotency=Idempotency.UNSAFE)
HARD = api.Plan("hard", rate=4.0, burst=8.0, overage_cost=1.0)
SOFT = api.Plan("soft", rate=4.0, burst=8.0, overage_value=0.3)
CAPPED = api.Plan("capped", rate=4.0, burst=8.0, cap_rate=8.0, cap_burst=16.0, cap_slack=1.0)
ANSWER_GRACE = 0.016  # seconds after a request's deadline in which its answer is accepted


def make_settings(**overrides: object) -> api.Settings:
    """Return the settings of a deployment of three gateways, with some fields overridden."""
    base: dict[str, object] = dict(
        classes=(LOOKUP, KEYED, KEYED_ALL, UNSAFE),
        plans=(HARD, SOFT, CAPPED),
        gateway_index=0,
        gateway_count=3,
        zone="a",
        peers_enabled=True,
        peer_messages_per_s=60.0,
        hedging_enabled=True,
        slow_start_capacity=0.2,
        slow_start_duration=10.0,
        overload_multiple=3.0,
        overload_window=2.0,
        tick=0.001,
        max_units=4.0,
    )
    return api.Settings(**{**base, **overrides})


def server_list(*names: str, **fields: object) -> api.ServerList:
    """Return a snapshot of running servers in zones a and b in turn; `fields` apply to each of them."""
    return api.ServerList(
        api.ListKind.SNAPSHOT,
        1,
        tuple(api.Server(name, zone="ab"[i % 2], cell=i % 2, **fields) for i, name in enumerate(names)),
    )


class CheckedGateway:
    """A gateway with a simulated clock and timers; raises AssertionError if an action breaks a rule."""

    def __init__(self, settings: api.Settings | None = None, seed: int = 1, now: float = 100.0) -> None:
        self.settings, self.now = settings or make_settings(), now
        self.wrapped = Gateway(self.settings, seed, now)
        self.requests: dict[int, tuple[api.Request, float]] = {}  # request id -> request, time received
        self.attempts: dict[int, list[list]] = {}  # request id -> [server, time sent, result or None, Server]
        self.final_actions: dict[int, api.Action] = {}
        self.answered_at: dict[int, float] = {}
        self.listed: dict[str, api.Server] = {}
        self.out_of_service: set[str] = set()
        self.timers: list[tuple[float, int]] = []
        self.action_log: list[tuple[float, api.Action]] = []
        self.last_request_id = 0

    def deliver(self, event: api.Event) -> list[api.Action]:
        """Pass an event to the gateway, check the actions and return them."""
        if isinstance(event, api.ServerList) and event.kind is not api.ListKind.FAILED:
            if event.kind is not api.ListKind.DELTA:
                self.out_of_service |= self.listed.keys()
            for entry in event.servers:
                self.listed[entry.name] = entry
                (
                    self.out_of_service.discard
                    if entry.state is LifecycleState.RUNNING
                    else self.out_of_service.add
                )(entry.name)
        actions = self.wrapped.handle(self.now, event)
        for action in actions:
            self.check_action(action)
        return actions

    def check_action(self, action: api.Action) -> None:
        """Record an action and check it against the rules."""
        self.action_log.append((self.now, action))
        if isinstance(action, api.SetTimer):
            self.timers.append((action.due_at, action.tag))
        if not isinstance(action, api.Send | api.Refuse | api.Fail):
            return
        request, _ = self.requests[action.request_id]
        assert action.request_id not in self.final_actions, f"action after the final answer: {action}"
        attempts = self.attempts.setdefault(action.request_id, [])
        may_have_run = [attempt for attempt in attempts if attempt[2] is None or not attempt[2].never_ran]
        request_class = next(c for c in self.settings.classes if c.name == request.class_name)
        if isinstance(action, api.Send):
            assert action.server in self.listed and action.server not in self.out_of_service, (
                f"sent to a server that is not in service: {action}"
            )
            assert len(attempts) < self.settings.max_attempts
            if not self.settings.hedging_enabled:
                assert all(attempt[2] is not None for attempt in attempts), (
                    f"two attempts in flight without hedging: {action}"
                )
            assert request_class.idempotency is not Idempotency.UNSAFE or not may_have_run
            if request_class.idempotency is Idempotency.KEYED:
                entry = self.listed[action.server]
                for _, sent_at, _, earlier_entry in may_have_run:
                    assert self.now - sent_at <= request_class.dedup_window
                    assert request_class.dedup_scope is DedupScope.ALL or (
                        entry.zone == earlier_entry.zone
                        if request_class.dedup_scope is DedupScope.ZONE
                        else entry.cell == earlier_entry.cell
                    )
            attempts.append([action.server, self.now, None, self.listed[action.server]])
            return
        if isinstance(action, api.Refuse) and may_have_run:
            assert request_class.idempotency is Idempotency.SAFE or (
                request_class.idempotency is Idempotency.KEYED and request_class.dedup_scope is DedupScope.ALL
            ), action
        self.record_answer(action.request_id, action)

    def record_answer(self, request_id: int, action: object) -> None:
        """Record a request's final answer and check that it is in time."""
        request, received_at = self.requests[request_id]
        assert self.now <= received_at + request.time_left + ANSWER_GRACE, f"late answer to {request}"
        self.final_actions[request_id] = action
        self.answered_at[request_id] = self.now

    def request(
        self,
        class_name: str = "lookup",
        plan: str = "hard",
        customer: int = 7,
        time_left: float = 3.0,
        units: float = 1.0,
        spread: int = 1,
    ) -> int:
        """Deliver a new request and return its id."""
        self.last_request_id += 1
        request = api.Request(self.last_request_id, time_left, class_name, plan, customer, units, spread, 0)
        self.requests[self.last_request_id] = (request, self.now)
        self.deliver(request)
        return self.last_request_id

    def end_attempt(
        self, request_id: int, result: Result = Result.OK, attempt: int = -1, **outcome_fields: object
    ) -> list[api.Action]:
        """End an attempt of a request, by default the last one; return the gateway's actions."""
        attempts = self.attempts[request_id]
        attempt %= len(attempts)
        attempts[attempt][2] = result
        final = request_id in self.final_actions or result is Result.OK
        if result is Result.OK and request_id not in self.final_actions:
            self.record_answer(request_id, "served")
        return self.deliver(
            api.Outcome(
                request_id,
                attempt,
                attempts[attempt][0],
                result,
                self.now - attempts[attempt][1],
                final,
                **outcome_fields,
            )
        )

    def in_flight(self, request_id: int) -> int:
        """Count the attempts of a request that have not ended."""
        return sum(attempt[2] is None for attempt in self.attempts.get(request_id, []))

    def run(self, seconds: float) -> None:
        """Advance the clock and fire the timers that come due."""
        end = self.now + seconds
        while self.timers and min(self.timers)[0] <= end:
            due_at, tag = min(self.timers)
            self.timers.remove((due_at, tag))
            self.now = max(self.now, due_at)
            self.deliver(api.TimerDue(tag))
        self.now = end

    def finish(self) -> None:
        """Run past every deadline and check that each request has had its answer."""
        self.run(max((request.time_left for request, _ in self.requests.values()), default=0) + 1)
        missing = self.requests.keys() - self.final_actions.keys()
        assert not missing, f"requests without a final answer: {sorted(missing)}"
