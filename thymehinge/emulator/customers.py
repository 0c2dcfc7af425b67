"""Simulated customers: popularity, quota, use of the quota, and the set of gateways that they use."""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy

from thymehinge import interface as api
from thymehinge.emulator.clock import Clock

CUSTOMERS_PER_GATEWAY = 50  # default
ZIPF_EXPONENT = 0.8  # of the popularity by rank
MIN_SPREAD = 3  # gateways in a customer's set, so that one restart does not cut the customer off
MAX_CUSTOMER_SHARE = 0.25  # of a gateway's mean traffic, for one customer; larger customers get more gateways
GATEWAY_WEIGHT_SHAPE = 4.0  # of the gamma distribution of traffic over gateways; deviation is half the mean
MIN_QUOTA_RATE, PLAN_COUNT = 1 / 16, 20  # units/s of the smallest plan; rates double from plan to plan
QUOTA_HEADROOM = 1.25  # minimum ratio of a customer's quota to its mean demand
SHORT_QUOTA_SHARE = 0.1  # fraction of the customers, whose mean demand exceeds their quota
SHORT_QUOTA_HEADROOM = 0.5  # minimum ratio for those customers
BURST_SECONDS = 4.0  # burst of a plan, in seconds of its rate
MIN_BURST = 4.0  # units
BATCH_SIZE = 1024  # arrivals drawn at once, for speed


@dataclass(slots=True)
class QuotaMeter:
    """An exact token bucket that records a customer's use within and over its quota, in units."""

    rate: float  # units/s
    burst: float
    tokens: float
    updated_at: float  # seconds, simulated time
    used: float = 0.0
    over_quota: float = 0.0

    def record(self, now: float, units: float) -> None:
        """Take units from the bucket; those that it does not hold count as over the quota."""
        self.tokens, self.updated_at = min(self.burst, self.tokens + self.rate * (now - self.updated_at)), now
        covered = min(units, self.tokens)
        self.tokens -= covered
        self.used += units
        self.over_quota += units - covered


def make_plans() -> tuple[api.Plan, ...]:
    """Return the plans in ascending order, each with twice the rate of the one before."""
    rates = [MIN_QUOTA_RATE * 2**i for i in range(PLAN_COUNT)]
    return tuple(
        api.Plan(f"rate{r:g}", r, max(MIN_BURST, BURST_SECONDS * r), overage_cost=1.0) for r in rates
    )


class Customers:
    """Poisson arrivals from customers of Zipf-distributed popularity.

    Each gateway has `per_gateway` customers and `request_rate` requests/s on average. Raises ValueError for
    an invalid number or rate.
    """

    def __init__(
        self,
        clock: Clock,
        gateways: int,
        request_rate: float,
        per_gateway: int = CUSTOMERS_PER_GATEWAY,
    ) -> None:
        if gateways < 1 or per_gateway < 1 or not 0 <= request_rate < math.inf:
            raise ValueError(
                f"invalid fleet: {gateways} gateways, {request_rate} requests/s, {per_gateway} customers each"
            )
        self.clock, self.gateways, self.total_rate = clock, gateways, gateways * request_rate
        rng, count = clock.rng, per_gateway * gateways
        popularity = 1 / numpy.arange(1, count + 1) ** ZIPF_EXPONENT
        self.cumulative_popularity = numpy.cumsum(popularity / popularity.sum())
        demand = self.total_rate * popularity / popularity.sum()
        spread = (
            numpy.ceil(demand / (MAX_CUSTOMER_SHARE * request_rate))
            if request_rate > 0
            else numpy.ones(count)
        )
        # Gateways in each customer's set, which starts at first_gateway and wraps around.
        self.spread = [int(s) for s in numpy.clip(spread, min(MIN_SPREAD, gateways), gateways)]
        self.first_gateway = [int(f) for f in rng.integers(gateways, size=count)]
        weights = rng.gamma(GATEWAY_WEIGHT_SHAPE, 1 / GATEWAY_WEIGHT_SHAPE, size=gateways)
        self.cumulative_weights = [  # of the gateways in each customer's set
            numpy.cumsum(weights[(f + numpy.arange(s)) % gateways])
            for f, s in zip(self.first_gateway, self.spread, strict=True)
        ]
        headroom = numpy.where(rng.random(count) < SHORT_QUOTA_SHARE, SHORT_QUOTA_HEADROOM, QUOTA_HEADROOM)
        plan_indexes = numpy.ceil(numpy.log2(numpy.maximum(demand * headroom / MIN_QUOTA_RATE, 1.0)))
        plans = make_plans()
        self.plans = [plans[min(int(index), len(plans) - 1)] for index in plan_indexes]
        self.meters = [QuotaMeter(p.rate, p.burst, p.burst, clock.now) for p in self.plans]
        self.arrivals: list[tuple[float, int, float]] = []  # delay (seconds), customer and gateway quantile

    def draw_arrival(self) -> tuple[float, int, int]:
        """Return the next arrival: seconds since the one before, the customer, and the gateway it uses."""
        if not self.arrivals:
            rng = self.clock.rng
            delays = rng.exponential(1 / self.total_rate, BATCH_SIZE).tolist()
            customers = numpy.searchsorted(self.cumulative_popularity[:-1], rng.random(BATCH_SIZE)).tolist()
            self.arrivals = list(zip(delays, customers, rng.random(BATCH_SIZE).tolist(), strict=True))
        delay, customer, quantile = self.arrivals.pop()
        weights = self.cumulative_weights[customer]
        position = int(numpy.searchsorted(weights[:-1], quantile * weights[-1]))
        return delay, customer, (self.first_gateway[customer] + position) % self.gateways
