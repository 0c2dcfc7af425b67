"""Simulated datagrams between gateways: latency, loss, partitions, and the receiver's rate limit."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from thymehinge.emulator.clock import Clock

MIN_DELAY = 0.002  # seconds, one way
MEAN_JITTER = 0.003  # seconds; mean of an exponential delay added to MIN_DELAY
LOSS_RATE = 0.005  # fraction of the datagrams, in a healthy network
MAX_DATAGRAM_BYTES = 256  # limit of the protocol


@dataclass(slots=True)
class TrafficCounters:
    """Datagrams since the last reset. Each one is delivered, lost, partitioned or over the limit."""

    sent: int = 0
    bytes_sent: int = 0
    delivered: int = 0
    lost: int = 0  # at random
    partitioned: int = 0  # dropped between partitioned regions
    over_limit: int = 0  # dropped by the receiver's rate limit
    received_by: Counter[int] = field(default_factory=Counter)  # by receiver, including those over the limit
    sent_by_second: Counter[int] = field(default_factory=Counter)  # by second of simulated time


class Network:
    """Carries datagrams between gateways, each of which is in a region.

    A gateway accepts `receive_limit` datagrams per second; 0 means no limit. Raises ValueError for a
    loss rate outside 0 to 1, and for a datagram that is longer than the protocol allows.
    """

    def __init__(
        self,
        clock: Clock,
        regions: Sequence[int],
        receive_limit: float,
        deliver: Callable[[int, int, bytes], None],
        loss_rate: float = LOSS_RATE,
    ) -> None:
        if not 0 <= loss_rate <= 1:
            raise ValueError(f"loss rate {loss_rate!r} is not between 0 and 1")
        self.clock, self.regions, self.receive_limit, self.loss_rate = (
            clock,
            regions,
            receive_limit,
            loss_rate,
        )
        self.deliver = deliver  # called with receiver, sender and body
        self.partitioned_regions: set[int] = set()  # each is cut off from all other regions
        self.traffic = TrafficCounters()
        self.accepted = [(0, 0)] * len(regions)  # by gateway: a second, and the datagrams accepted in it

    def send(self, sender: int, receiver: int, body: bytes) -> None:
        """Count a datagram and schedule its arrival."""
        if len(body) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {len(body)} bytes exceeds the limit of {MAX_DATAGRAM_BYTES}")
        self.traffic.sent += 1
        self.traffic.bytes_sent += len(body)
        self.traffic.sent_by_second[int(self.clock.now)] += 1
        self.clock.call_later(
            MIN_DELAY + self.clock.rng.exponential(MEAN_JITTER), self.arrive, sender, receiver, body
        )

    def arrive(self, sender: int, receiver: int, body: bytes) -> None:
        """Count a datagram as partitioned or lost, or pass it to the receiver."""
        source, target = self.regions[sender], self.regions[receiver]
        if source != target and (source in self.partitioned_regions or target in self.partitioned_regions):
            self.traffic.partitioned += 1
        elif self.clock.rng.random() < self.loss_rate:
            self.traffic.lost += 1
        else:
            self.traffic.received_by[receiver] += 1
            self.accept(sender, receiver, body)

    def accept(self, sender: int, receiver: int, body: bytes) -> None:
        """Deliver a datagram unless the receiver has reached its limit for this second."""
        second, accepted = self.accepted[receiver]
        accepted = accepted if second == int(self.clock.now) else 0
        if self.receive_limit > 0 and accepted >= self.receive_limit:
            self.traffic.over_limit += 1
            return
        self.accepted[receiver] = int(self.clock.now), accepted + 1
        self.traffic.delivered += 1
        self.deliver(receiver, sender, body)
