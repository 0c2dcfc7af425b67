"""Settings, events and actions exchanged between `thymehinge.decisions` and its callers.

A caller passes events to `Gateway.handle` and carries out the actions that it returns. Points in time are
seconds on the caller's clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"  # without side effects; may be repeated at any time
    KEYED = "keyed"  # servers drop duplicates by idempotency key, within the class's deduplication window
    UNSAFE = "unsafe"  # must not be repeated once it may have been executed


class DedupScope(Enum):
    """Set of servers among which duplicates of a keyed request are detected."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """Result of an attempt, a health probe or a counter update."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error; the request may have been executed
    REJECTED = "rejected"  # the server turned the request away without executing it
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # no connection, or the request was never written completely
    RESET = "reset"  # the connection was lost while the attempt was in flight
    CANCELLED = "cancelled"  # the gateway stopped waiting; the request may have been executed
    NOT_SENT = "not_sent"  # dropped by the caller before anything was sent

    @property
    def never_ran(self) -> bool:
        """Whether this result proves that the request was not executed."""
        return self in (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)


class LifecycleState(Enum):
    """State of a server according to service discovery."""

    RUNNING = "running"
    DRAINING = "draining"  # finishes its requests and takes no new ones
    GONE = "gone"


class ListKind(Enum):
    """Contents of a `ServerList`."""

    DELTA = "delta"  # changed entries only
    SNAPSHOT = "snapshot"  # all servers
    CACHED = "cached"  # the last known list, read from disk
    FAILED = "failed"  # fetching the list failed; there are no entries


class LoadReportSource(Enum):
    """How servers report their load."""

    RESPONSES = "responses"  # attached to their responses
    PROBES = "probes"  # in answers to health probes
    NONE = "none"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Service level and retry rules of one class of requests."""

    name: str
    latency_target: float  # seconds; a later response counts as late
    timeout: float  # seconds after which clients of this class give up
    value: float = 1.0  # relative value of a timely response
    late_value: float = 0.0  # the same after the latency target; not used by `Gateway`
    idempotency: Idempotency = Idempotency.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: float = 0.0  # seconds for which servers remember an idempotency key
    streamed: bool = False  # whether responses are streamed; not used by `Gateway`


@dataclass(slots=True, frozen=True)
class Plan:
    """Quota and cap of each customer of a plan, summed over all gateways; 0 means no limit."""

    name: str
    rate: float = 0.0  # units/s at which the quota's token bucket is refilled
    burst: float = 0.0  # units; size of the quota's token bucket
    max_in_flight: int = 0  # concurrent requests
    value_factor: float = 1.0  # relative value of the plan's requests
    overage_value: float = 0.0  # factor on the value of a request beyond the quota
    overage_cost: float = 0.0  # cost of a request beyond the quota, on the scale of `overage_value`
    cap_rate: float = 0.0  # units/s; refill rate of the cap, a second token bucket that limits overage too
    cap_burst: float = 0.0  # units; size of the cap's token bucket
    cap_slack: float = 0.0  # tolerance of the cap; not used by `Gateway`


MAX_GATEWAYS = 10**6  # in one tier


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one gateway, fixed for the lifetime of its `Gateway` object."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateway_index: int = 0  # this gateway's position in the tier, from 0
    gateway_count: int = 1  # gateways in the tier
    zone: str = ""  # this gateway's zone
    cancel_enabled: bool = True  # whether attempts in flight may be cancelled
    probes_enabled: bool = False  # whether health probes may be sent; not used by `Gateway`
    peers_enabled: bool = False  # whether gateways can exchange messages
    hedging_enabled: bool = False  # whether a request may have several attempts in flight
    max_attempts: int = 3  # attempts per request, the first included
    retry_after_enabled: bool = True  # whether refusals may advise a retry delay
    max_retry_after: float = 1.0  # seconds; longest retry delay to advise
    watch_required: bool = False  # whether server list updates have to be subscribed to
    # Seconds without a subscription or a fetch after which the server list counts as outdated; not used by
    # `Gateway`.
    max_list_age: float = 10.0
    postpaid: bool = False  # whether outcomes report the units actually used
    counters_enabled: bool = False  # whether gateways share counters; not used by `Gateway`
    counter_timeout: float = 0.0  # seconds until a counter update times out; not used by `Gateway`
    meter_period: float = 0.0  # seconds between reports of the fleet's use; 0 means none
    max_units: float = 1.0  # units of the largest request
    peer_messages_per_s: float = 0.0  # messages/s that a gateway can receive from its peers
    load_report_source: LoadReportSource = LoadReportSource.RESPONSES  # not used by `Gateway`
    drain_grace: float = 1.0  # seconds from a drain's start until sending must stop; not used by `Gateway`
    slow_start_capacity: float = 1.0  # fraction of its full capacity that a server has when it starts
    slow_start_duration: float = 0.0  # seconds from its start until a server has its full capacity
    overload_multiple: float = 1.0  # load, as a multiple of its capacity, that a starting server withstands
    overload_window: float = 1.0  # seconds over which that load is summed
    tick: float = 0.001  # seconds; resolution of the caller's timers
    cross_zone_price: float = 0.0  # cost of a request to another zone; 0 means free

    @property
    def longest_timeout(self) -> float:
        """Longest timeout of any class, in seconds."""
        return max(request_class.timeout for request_class in self.classes)

    def __post_init__(self) -> None:
        """Validate the values.

        Raises:
            ValueError: a value is out of range; the message names the setting.
        """

        def require(ok: bool, name: str, value: object) -> None:
            if not ok:
                raise ValueError(f"setting {name}: invalid value {value!r}")

        require(bool(self.classes), "classes", self.classes)
        require(1 <= self.gateway_count <= MAX_GATEWAYS, "gateway_count", self.gateway_count)
        require(0 <= self.gateway_index < self.gateway_count, "gateway_index", self.gateway_index)
        require(self.max_attempts >= 1, "max_attempts", self.max_attempts)
        require(0 <= self.slow_start_capacity <= 1, "slow_start_capacity", self.slow_start_capacity)
        for name in (
            "slow_start_duration",
            "overload_multiple",
            "overload_window",
            "tick",
            "drain_grace",
            "meter_period",
            "peer_messages_per_s",
            "max_retry_after",
            "max_list_age",
        ):
            require(0 <= getattr(self, name) < float("inf"), name, getattr(self, name))
        for group, items in (("classes", self.classes), ("plans", self.plans)):
            names = [item.name for item in items]
            require(len(set(names)) == len(names), f"{group}[].name", names)
        for request_class in self.classes:
            require(
                0 < request_class.latency_target < float("inf"),
                f"classes[{request_class.name}].latency_target",
                request_class.latency_target,
            )
            require(
                0 < request_class.timeout < float("inf"),
                f"classes[{request_class.name}].timeout",
                request_class.timeout,
            )
            require(
                0 <= request_class.value < float("inf"),
                f"classes[{request_class.name}].value",
                request_class.value,
            )
            require(
                request_class.dedup_window >= 0,
                f"classes[{request_class.name}].dedup_window",
                request_class.dedup_window,
            )
        for plan in self.plans:
            for name in (
                "rate",
                "burst",
                "max_in_flight",
                "value_factor",
                "overage_value",
                "overage_cost",
                "cap_rate",
                "cap_burst",
                "cap_slack",
            ):
                value = getattr(plan, name)
                require(0 <= value < float("inf"), f"plans[{plan.name}].{name}", value)


# Events: what the caller reports to a gateway.


@dataclass(slots=True, frozen=True)
class Server:
    """One entry of a server list."""

    name: str
    state: LifecycleState = LifecycleState.RUNNING
    zone: str = ""
    cell: int = 0  # number of its cell
    weight: float = 1.0  # relative capacity
    started_at: float = 0.0  # time of its start; 0 means long ago


@dataclass(slots=True, frozen=True)
class ServerList:
    """A snapshot or delta of the server list, or the failure to fetch it, according to `kind`."""

    kind: ListKind
    version: int = 0
    servers: tuple[Server, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request.

    Its customer sends through `spread` gateways, numbered from `first_gateway` on and wrapping around.
    """

    request_id: int
    time_left: float  # seconds until the client gives up
    class_name: str
    plan_name: str
    customer_id: int
    units: float = 1.0  # charged to the customer's quota
    spread: int = 1
    first_gateway: int = 0
    is_retry: bool = False  # whether the client marked it as a retry


@dataclass(slots=True, frozen=True)
class Outcome:
    """The end of an attempt."""

    request_id: int
    attempt: int  # index among the request's attempts, from 0
    server: str
    result: Result
    elapsed: float  # seconds since the attempt was started
    final: bool = False  # whether the request has ended as well
    billed_units: float = 0.0  # units that the request really used; 0 if not reported
    fleet_use: int = 0  # 1 + use by all gateways in percent of the plan's rate; 0 if not reported
    load_report: dict[str, float] = field(default_factory=dict)  # the server's load by metric


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """A streamed response has begun; deadlines and cancellation no longer apply to the attempt."""

    request_id: int
    attempt: int  # index among the request's attempts, from 0
    server: str
    elapsed: float  # seconds since the attempt was started


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client disconnected; its request needs no answer."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerDue:
    """A timer set with `SetTimer` has expired."""

    tag: int


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int  # index of the gateway
    body: bytes


@dataclass(slots=True, frozen=True)
class CounterResult:
    """The answer to an `IncrementCounter`."""

    counter: int  # number of the counter
    result: Result
    total: float = 0.0  # value after the update


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """The answer to a `Probe`."""

    server: str
    result: Result
    elapsed: float  # seconds since the probe was sent
    load_report: dict[str, float] = field(default_factory=dict)  # the server's load by metric


Event = (
    ServerList
    | Request
    | Outcome
    | StreamStarted
    | ClientGone
    | TimerDue
    | PeerMessage
    | CounterResult
    | ProbeResult
)


# Actions: what the caller has to do, in the order in which they are returned. `Gateway` returns no Probe,
# IncrementCounter or FetchServers.


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt of a request."""

    request_id: int
    server: str
    deadline: float  # time at which the attempt ends with `Result.TIMEOUT`
    start_deadline: float = math.inf  # time after which an attempt still waiting for a connection is dropped


@dataclass(slots=True, frozen=True)
class Refuse:
    """Answer the client that the request was refused and that a retry is harmless."""

    request_id: int
    retry_after: float = 0.0  # seconds that the client is advised to wait; 0 means no advice


@dataclass(slots=True, frozen=True)
class Fail:
    """Answer the client that the request failed; it may have been executed."""

    request_id: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt; its outcome is still reported."""

    request_id: int
    attempt: int  # index among the request's attempts, from 0


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver a `TimerDue` with this tag at `due_at` or shortly after."""

    due_at: float
    tag: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health probe to a server."""

    server: str


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a message to another gateway."""

    body: bytes
    peer: int | None = None  # index of the gateway; None means all


@dataclass(slots=True, frozen=True)
class IncrementCounter:
    """Add to a counter that all gateways share."""

    counter: int  # number of the counter
    amount: float
    ttl: float  # seconds after which the counter expires


@dataclass(slots=True, frozen=True)
class WatchServers:
    """Subscribe to server list updates."""


@dataclass(slots=True, frozen=True)
class FetchServers:
    """Fetch a snapshot of the server list once."""


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the operator's log."""

    text: str


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | SetTimer
    | Probe
    | SendToPeer
    | IncrementCounter
    | WatchServers
    | FetchServers
    | Log
)
