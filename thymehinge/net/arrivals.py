"""Arrival times of the bytes of a stream, including bytes left in the kernel while reading is paused."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from collections import deque

TCP_INFO_LAST_DATA = struct.Struct("@52xI")  # tcpi_last_data_recv (ms) in Linux's struct tcp_info
MARK_INTERVAL = 0.01  # seconds; bytes that arrive within it count as arrived at its start
UNREAD_COUNT = struct.Struct("@i")  # result of FIONREAD


def unread_bytes(sock: socket.socket) -> int:
    """Return the number of bytes in the socket's receive buffer, or 0 if the system does not report it."""
    try:
        return UNREAD_COUNT.unpack(fcntl.ioctl(sock, termios.FIONREAD, bytes(UNREAD_COUNT.size)))[0]
    except OSError:
        return 0


def seconds_since_last_data(sock: socket.socket) -> float | None:
    """Return the seconds since data last arrived on a socket, or None if the system does not report it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_DATA.size)
    except OSError:
        return None
    return TCP_INFO_LAST_DATA.unpack(info)[0] / 1000 if len(info) == TCP_INFO_LAST_DATA.size else None


class ArrivalTimes:
    """Earliest possible arrival time, in seconds, of each byte of a stream.

    Positions are byte counts from the start of the stream. While reading is paused, `record_unread` is called
    periodically: bytes that were missing at one call have arrived after it.
    """

    __slots__ = ("counted_at", "marks", "received_bytes")

    def __init__(self) -> None:
        self.received_bytes = 0  # bytes read so far
        self.counted_at = 0.0  # when the unread bytes were last counted
        self.marks: deque[tuple[int, float]] = deque()  # (end position, earliest arrival of that byte)

    def record_read(self, size: int, arrived_at: float) -> None:
        """Record that `size` bytes were read, the last of which arrived at `arrived_at`."""
        self.received_bytes += size
        self.add_mark(self.received_bytes, arrived_at)

    def record_arrived(self, unread: int, arrived_at: float) -> None:
        """Record that `unread` bytes behind those read had arrived at `arrived_at`."""
        self.add_mark(self.received_bytes + unread, arrived_at)

    def discard_read(self) -> None:
        """Discard the arrival times of all bytes read so far."""
        while self.marks and self.marks[0][0] <= self.received_bytes:
            self.marks.popleft()

    def start_pause(self, unread: int, now: float) -> None:
        """Record that reading is paused; `now` is the earliest arrival time of the `unread` bytes."""
        self.counted_at = now
        self.record_unread(unread, now)

    def record_unread(self, unread: int, now: float) -> None:
        """Record the number of unread bytes; new ones have arrived since the previous count."""
        self.add_mark(self.received_bytes + unread, self.counted_at)
        self.counted_at = now

    def add_mark(self, end: int, arrived_at: float) -> None:
        """Add a mark, merged with those that are not MARK_INTERVAL older, which bounds their number."""
        if self.marks and end <= self.marks[-1][0]:
            return
        while self.marks and arrived_at < self.marks[-1][1] + MARK_INTERVAL:
            arrived_at = min(arrived_at, self.marks.pop()[1])
        self.marks.append((end, arrived_at))

    def time_of(self, end: int) -> float:
        """Return the earliest arrival time of the byte that ends at position `end`.

        Positions must not decrease between calls.
        """
        while self.marks[0][0] < end:
            self.marks.popleft()
        return self.marks[0][1]
