"""HTTP/1.1 calls to one address, one at a time on a kept connection; h11 reads and writes the messages.

A whole HTTP client (TLS, proxies, cookies) would take most of a gateway's start, and many start at once.
"""

from __future__ import annotations

import asyncio

import h11

PIECE = 64 * 1024  # bytes read at once
HEAD_MOST = 16 * 1024  # bytes of an answer's head
INTERIM_MOST = 16  # 1xx answers ahead of the final one


class HttpError(Exception):
    """An answer came that can't be used; the text tells why."""


class HttpClient:
    """Calls to `address` (host:port); an answer's body holds `size_most` bytes at most."""

    def __init__(self, address: str, size_most: int) -> None:
        self.address, self.size_most = address, size_most
        host, _, port = address.rpartition(":")
        self.host, self.port = host.strip("[]"), int(port)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def get(self, target: str, budget: float) -> bytearray:
        """The body of an answer 200, within the budget (s), from the connect to the last byte.

        HttpError for any other answer, and for one that does not come whole; OSError (TimeoutError is one)
        where nothing came in time. A kept connection that turns out closed is opened anew once.
        """
        kept = self.writer is not None
        try:
            async with asyncio.timeout(budget):
                try:
                    return await self.call(target)
                except ConnectionError:
                    if not kept:
                        raise
                self.close()
                return await self.call(target)
        except BaseException:
            self.close()
            raise

    async def call(self, target: str) -> bytearray:
        """One call; ConnectionError only where nothing of an answer has come."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
            self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_MOST)
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
        self.writer.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))
        try:
            body = await self.answer()
        except h11.RemoteProtocolError as error:
            raise HttpError(str(error)) from None
        if self.http.their_state is not h11.DONE or self.http.trailing_data[0]:
            self.close()
        else:
            self.http.start_next_cycle()
        return body

    async def answer(self) -> bytearray:
        """The body of the answer, read to its end; a reset is no end."""
        body, begun, interim = bytearray(), False, 0
        while True:
            match self.http.next_event():
                case h11.NEED_DATA:
                    try:
                        piece = await self.reader.read(PIECE)
                        if not (piece or begun):
                            raise ConnectionError("closed without an answer")
                    except ConnectionError:
                        if begun:
                            raise HttpError("reset in the middle of an answer") from None
                        raise
                    begun = True
                    self.http.receive_data(piece)
                case h11.InformationalResponse():
                    interim += 1
                    if interim > INTERIM_MOST:
                        raise HttpError(f"more than {INTERIM_MOST} answers ahead of the final one")
                case h11.Response(status_code=status):
                    if status != 200:
                        raise HttpError(f"status {status}")
                case h11.Data(data=data):
                    body += data
                    if len(body) > self.size_most:
                        raise HttpError(f"given up after {len(body)} bytes, {self.size_most} are the most")
                case h11.EndOfMessage():
                    return body

    def close(self) -> None:
        """Close the connection, if there is one, whatever is on its way."""
        if self.writer is not None:
            self.writer.transport.abort()
            self.reader = self.writer = None
