"""HTTP/1.1 GET requests to one address, one at a time on a kept connection, with h11 as the parser.

A full HTTP client library (TLS, proxies, cookies) would dominate the startup time of a gateway.
"""

from __future__ import annotations

import asyncio

import h11

READ_SIZE = 64 * 1024  # bytes
MAX_HEAD_BYTES = 16 * 1024  # of a response's status line and headers
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one


class HttpError(Exception):
    """A response arrived but is unusable; the message gives the reason."""


class HttpClient:
    """Sends requests to `address` (host:port) and reads response bodies of up to `max_body_bytes`."""

    def __init__(self, address: str, max_body_bytes: int) -> None:
        self.address, self.max_body_bytes = address, max_body_bytes
        host, _, port = address.rpartition(":")
        self.host, self.port = host.strip("[]"), int(port)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def get(self, target: str, timeout: float) -> bytearray:
        """Return the body of a response with status 200.

        `timeout`, in seconds, covers everything from the connect to the last byte. A request that fails on a
        reused connection before any response is sent once more on a new connection.

        Raises TimeoutError if the response is not complete in time, HttpError if it is unusable for another
        reason, and another OSError if there is none.
        """
        is_reused = self.writer is not None
        try:
            async with asyncio.timeout(timeout):
                try:
                    return await self.fetch(target)
                except ConnectionError:
                    if not is_reused:
                        raise
                self.close()
                return await self.fetch(target)
        except BaseException:
            self.close()
            raise

    async def fetch(self, target: str) -> bytearray:
        """Send one request and return the response's body, connecting if necessary.

        Raises ConnectionError only if no part of a response has arrived.
        """
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
            self.connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
        self.writer.write(self.connection.send(request) + self.connection.send(h11.EndOfMessage()))
        try:
            body = await self.read_body()
        except h11.RemoteProtocolError as error:
            raise HttpError(str(error)) from None
        if self.connection.their_state is not h11.DONE or self.connection.trailing_data[0]:
            self.close()
        else:
            self.connection.start_next_cycle()
        return body

    async def read_body(self) -> bytearray:
        """Read a response and return its body; a connection reset does not count as the end of the body."""
        body, has_data, interim_count = bytearray(), False, 0
        while True:
            match self.connection.next_event():
                case h11.NEED_DATA:
                    try:
                        chunk = await self.reader.read(READ_SIZE)
                        if not (chunk or has_data):
                            raise ConnectionError("connection closed without a response")
                    except ConnectionError:
                        if has_data:
                            raise HttpError("connection reset in the middle of a response") from None
                        raise
                    has_data = True
                    self.connection.receive_data(chunk)
                case h11.InformationalResponse():
                    interim_count += 1
                    if interim_count > MAX_INTERIM_RESPONSES:
                        raise HttpError(f"more than {MAX_INTERIM_RESPONSES} interim responses")
                case h11.Response(status_code=status):
                    if status != 200:
                        raise HttpError(f"status {status}")
                case h11.Data(data=data):
                    body += data
                    if len(body) > self.max_body_bytes:
                        raise HttpError(
                            f"body too large: given up after {len(body)} bytes, "
                            f"{self.max_body_bytes} are the most"
                        )
                case h11.EndOfMessage():
                    return body

    def close(self) -> None:
        """Abort the connection, if there is one."""
        if self.writer is not None:
            self.writer.transport.abort()
            self.reader = self.writer = None
