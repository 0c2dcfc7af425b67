"""UDP datagrams between gateways; the sender is identified by its address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from thymehinge.net.config import Address

MAX_MESSAGE_BYTES = 256  # limit of the protocol


class PeerSocket(asyncio.DatagramProtocol):
    """The socket for messages to and from the other gateways.

    `addresses` has one address for each gateway, including this one at `own_index`. `on_message` is called
    with a sender's index and message.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        broadcast_address: Address | None,
        own_index: int,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        self.addresses, self.broadcast_address, self.on_message = addresses, broadcast_address, on_message
        self.peer_indices = {address: i for i, address in enumerate(addresses) if i != own_index}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        sender = self.peer_indices.get(addr[:2])
        if sender is not None and len(data) <= MAX_MESSAGE_BYTES:
            self.on_message(sender, data)

    def send(self, body: bytes, peer: int | None) -> None:
        """Send a message to the gateway with this index, or to all if it is None.

        Like any datagram it may be lost, and is dropped here if it is too long or has no address.
        """
        if self.transport is None or len(body) > MAX_MESSAGE_BYTES:
            return
        address = (
            self.broadcast_address
            if peer is None
            else self.addresses[peer]
            if peer < len(self.addresses)
            else None
        )
        if address is not None:
            self.transport.sendto(body, address)

    def error_received(self, exc: OSError) -> None:
        """Ignore errors, such as a datagram that a stopped gateway has refused."""
