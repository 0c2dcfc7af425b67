"""Datagrams between gateways: late, lost, cut off between regions, and bounded by the receiver's intake."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from thymehinge.emulator.clock import Clock

DELAY = 0.002  # s one way at least, within a country
JITTER = 0.003  # s, mean of the exponential delay beyond it
LOSS = 0.005  # of the datagrams: a network that is well
BODY_MOST = 256  # bytes of a datagram, by the protocol


@dataclass(slots=True)
class Traffic:
    """Datagrams since counting began. Each one sent ends as delivered, lost, cut or refused."""

    sent: int = 0
    bytes: int = 0
    delivered: int = 0
    lost: int = 0  # by chance
    cut: int = 0  # between regions that are cut off
    refused: int = 0  # beyond the receiver's intake
    received: Counter[int] = field(default_factory=Counter)  # by receiver, those refused as well
    by_second: Counter[int] = field(default_factory=Counter)  # sent in each second of the clock


class Network:
    """Carries datagrams between gateways, each in a region; one takes `intake` a second, 0: any number."""

    def __init__(
        self,
        clock: Clock,
        regions: Sequence[int],
        intake: float,
        deliver: Callable[[int, int, bytes], None],
        loss: float = LOSS,
    ) -> None:
        if not 0 <= loss <= 1:
            raise ValueError(f"loss {loss!r} is no share from 0 to 1")
        self.clock, self.regions, self.intake, self.loss = clock, regions, intake, loss
        self.deliver = deliver  # to whom, from whom, what
        self.cut_off: set[int] = set()  # regions
        self.traffic = Traffic()
        self.taken = [(0, 0)] * len(regions)  # the last second in which each took something, and how much

    def send(self, sender: int, to: int, body: bytes) -> None:
        if len(body) > BODY_MOST:
            raise ValueError(f"a datagram of {len(body)} bytes; the protocol allows {BODY_MOST}")
        self.traffic.sent += 1
        self.traffic.bytes += len(body)
        self.traffic.by_second[int(self.clock.now)] += 1
        self.clock.after(DELAY + self.clock.rng.exponential(JITTER), self.arrive, sender, to, body)

    def arrive(self, sender: int, to: int, body: bytes) -> None:
        here, there = self.regions[sender], self.regions[to]
        if here != there and (here in self.cut_off or there in self.cut_off):
            self.traffic.cut += 1
        elif self.clock.rng.random() < self.loss:
            self.traffic.lost += 1
        else:
            self.traffic.received[to] += 1
            self.take(sender, to, body)

    def take(self, sender: int, to: int, body: bytes) -> None:
        """Deliver what is within the receiver's intake of this second."""
        second, taken = self.taken[to]
        taken = taken if second == int(self.clock.now) else 0
        if self.intake > 0 and taken >= self.intake:
            self.traffic.refused += 1
            return
        self.taken[to] = int(self.clock.now), taken + 1
        self.traffic.delivered += 1
        self.deliver(to, sender, body)
