"""Helpers for tests of quotas: paced requests, and gateways that exchange peer messages."""

from __future__ import annotations

from rules import CheckedGateway, make_settings, server_list

from thymehinge import interface as api


def send_paced(gateway: CheckedGateway, seconds: float, interval: float, **request: object) -> list[int]:
    """Send requests at a fixed interval (seconds), answer all their attempts; return the request ids."""
    request_ids, end = [], gateway.now + seconds
    while gateway.now < end:
        request_ids.append(gateway.request(**request))
        for request_id in [r for r in gateway.attempts if gateway.in_flight(r)]:
            gateway.end_attempt(request_id)
        gateway.run(interval)
    return request_ids


def count_sent(gateway: CheckedGateway, request_ids: list[int]) -> int:
    """Count the requests of which at least one attempt was sent."""
    return sum(bool(gateway.attempts.get(request_id)) for request_id in request_ids)


class GatewayGroup:
    """Gateways with three servers whose peer messages arrive after 10 ms, unless `is_lost` drops them."""

    def __init__(self, count: int, **overrides: object) -> None:
        self.members = [
            CheckedGateway(make_settings(gateway_count=count, gateway_index=i, **overrides), seed=i)
            for i in range(count)
        ]
        self.log_positions = [0] * count
        self.is_lost = lambda sender, body: False
        for gateway in self.members:
            gateway.deliver(server_list("s1", "s2", "s3"))

    def run(self, seconds: float, answer: bool = True) -> None:
        """Advance all gateways by this much time; with `answer`, all their attempts succeed."""
        for _ in range(round(seconds / 0.01)):
            messages = []
            for index, gateway in enumerate(self.members):
                messages += [
                    (index, a)
                    for _, a in gateway.action_log[self.log_positions[index] :]
                    if isinstance(a, api.SendToPeer)
                ]
                self.log_positions[index] = len(gateway.action_log)
                gateway.run(0.01)
                for request_id in [r for r in gateway.attempts if answer and gateway.in_flight(r)]:
                    gateway.end_attempt(request_id)
            for sender, action in messages:
                if not self.is_lost(sender, action.body):
                    self.members[action.peer].deliver(api.PeerMessage(sender, action.body))

    def count_sent(self) -> int:
        """Count the requests of which at least one attempt was sent, over all gateways."""
        return sum(bool(attempts) for gateway in self.members for attempts in gateway.attempts.values())


def customer_owned_by(gateway: CheckedGateway, owner: int) -> int:
    """Return the id of a customer that all gateways serve; the gateway of index `owner` owns its quota."""
    settings = gateway.settings
    quotas = (
        gateway.wrapped.find_quota(
            gateway.now, api.Request(0, 1.0, "", "hard", customer, spread=settings.gateway_count)
        )
        for customer in range(1000)
    )
    return next(quota.key for quota in quotas if quota.owners[0] == owner)


def count_peer_messages(gateway: CheckedGateway) -> int:
    """Count the messages that a gateway has sent to its peers."""
    return sum(isinstance(action, api.SendToPeer) for _, action in gateway.action_log)
