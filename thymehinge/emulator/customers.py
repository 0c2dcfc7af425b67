"""Customers: how popular each is, its quota, its set of gateways, and its use held against the quota."""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy

from thymehinge import interface as api
from thymehinge.emulator.clock import Clock

FOR_EACH_GATEWAY = 50  # customers, where nothing else is said
ZIPF = 0.8  # exponent of popularity by rank: a few customers bring most of the traffic
SPREAD_LEAST = 3  # gateways of a customer's set, lest one restart shuts it out
PART_MOST = 0.25  # of a gateway's traffic that one customer may bring: a larger one has a larger set
SKEW_SHAPE = 4.0  # of the gamma distribution of traffic over gateways: a spread of half the mean
QUOTA_LEAST, PLANS = 1 / 16, 20  # units/s of the smallest plan; each next one has twice as much
QUOTA_ROOM = 1.25  # of its mean demand that a customer's quota holds at least
SHORT, SHORT_ROOM = 0.1, 0.5  # share of the customers who ask for more than their quota, and what it holds
BURST, BURST_LEAST = 4.0, 4.0  # s of the rate, and units, that a full bucket holds
BATCH = 1024  # arrivals drawn at once, for speed


@dataclass(slots=True)
class Meter:
    """A customer's use held against its quota: one exact bucket that sees every unit sent."""

    rate: float
    burst: float
    level: float
    at: float
    used: float = 0.0
    beyond: float = 0.0

    def use(self, now: float, units: float) -> None:
        self.level, self.at = min(self.burst, self.level + self.rate * (now - self.at)), now
        inside = min(units, self.level)
        self.level -= inside
        self.used += units
        self.beyond += units - inside


def plans() -> tuple[api.Plan, ...]:
    """Plans from the smallest quota up, each with twice the rate of the one before."""
    rates = [QUOTA_LEAST * 2**i for i in range(PLANS)]
    return tuple(api.Plan(f"rate{r:g}", r, max(BURST_LEAST, BURST * r), overage_cost=1.0) for r in rates)


class Customers:
    """Poisson arrivals of Zipf-skewed customers: `each` and a mean of `rate` requests/s for every gateway."""

    def __init__(self, clock: Clock, gateways: int, rate: float, each: int = FOR_EACH_GATEWAY) -> None:
        if gateways < 1 or each < 1 or not 0 <= rate < math.inf:
            raise ValueError(f"{gateways} gateways, {rate} requests/s, {each} customers each: no fleet")
        self.clock, self.gateways, self.total = clock, gateways, gateways * rate
        rng, count = clock.rng, each * gateways
        popularity = 1 / numpy.arange(1, count + 1) ** ZIPF
        self.cumulative = numpy.cumsum(popularity / popularity.sum())
        demand = self.total * popularity / popularity.sum()
        spread = numpy.ceil(demand / (PART_MOST * rate)) if rate > 0 else numpy.ones(count)
        self.spread = [int(s) for s in numpy.clip(spread, min(SPREAD_LEAST, gateways), gateways)]
        self.first = [int(f) for f in rng.integers(gateways, size=count)]
        weights = rng.gamma(SKEW_SHAPE, 1 / SKEW_SHAPE, size=gateways)
        self.sets = [  # cumulative weights of each set's gateways
            numpy.cumsum(weights[(f + numpy.arange(s)) % gateways])
            for f, s in zip(self.first, self.spread, strict=True)
        ]
        room = numpy.where(rng.random(count) < SHORT, SHORT_ROOM, QUOTA_ROOM)
        steps = numpy.ceil(numpy.log2(numpy.maximum(demand * room / QUOTA_LEAST, 1.0)))
        offered = plans()
        self.plans = [offered[min(int(step), len(offered) - 1)] for step in steps]
        self.meters = [Meter(p.rate, p.burst, p.burst, clock.now) for p in self.plans]
        self.batch: list[tuple[float, int, float]] = []

    def draw(self) -> tuple[float, int, int]:
        """The next arrival: seconds until it comes, the customer, and the gateway it comes to."""
        if not self.batch:
            rng = self.clock.rng
            gaps = rng.exponential(1 / self.total, BATCH).tolist()
            who = numpy.searchsorted(self.cumulative[:-1], rng.random(BATCH)).tolist()
            self.batch = list(zip(gaps, who, rng.random(BATCH).tolist(), strict=True))
        gap, who, turn = self.batch.pop()
        sums = self.sets[who]
        position = int(numpy.searchsorted(sums[:-1], turn * sums[-1]))
        return gap, who, (self.first[who] + position) % self.gateways
