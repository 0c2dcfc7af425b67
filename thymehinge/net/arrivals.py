"""When the bytes of a stream came, also those that lay unread in the kernel while reading was paused."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from collections import deque

LAST_DATA = struct.Struct("@52xI")  # tcpi_last_data_recv in Linux's struct tcp_info: ms since data last came
UNREAD = struct.Struct("@i")


def unread_bytes(sock: socket.socket) -> int:
    """Bytes that have come on a socket and are not read yet; 0 where the system does not tell."""
    try:
        return UNREAD.unpack(fcntl.ioctl(sock, termios.FIONREAD, bytes(UNREAD.size)))[0]
    except OSError:
        return 0


def since_last_data(sock: socket.socket) -> float | None:
    """Seconds since data last came on a socket; None where the system does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA.size)
    except OSError:
        return None
    return LAST_DATA.unpack(info)[0] / 1000 if len(info) == LAST_DATA.size else None


class Arrivals:
    """At which time (s) each byte of a stream can have come at the earliest.

    Bytes are counted from the start of the stream. While reading is paused, `look` is called now and then:
    what was not there at one look has come after it.
    """

    __slots__ = ("looked_at", "marks", "received")

    def __init__(self) -> None:
        self.received = 0  # bytes read so far
        self.looked_at = 0.0  # when the unread bytes were last counted
        self.marks: deque[tuple[int, float]] = deque()  # up to which byte, and when that came at the earliest

    def read(self, size: int, came: float) -> None:
        """So many bytes have been read, the last of which came then."""
        self.received += size
        self.mark(self.received, came)

    def forget_read(self) -> None:
        """Nobody will ask about what has been read so far."""
        while self.marks and self.marks[0][0] <= self.received:
            self.marks.popleft()

    def pause(self, unread: int, now: float) -> None:
        """Reading is paused, with so many bytes unread that have just come."""
        self.looked_at = now
        self.look(unread, now)

    def look(self, unread: int, now: float) -> None:
        """So many bytes lie unread now."""
        self.mark(self.received + unread, self.looked_at)
        self.looked_at = now

    def mark(self, end: int, came: float) -> None:
        if not self.marks or end > self.marks[-1][0]:
            self.marks.append((end, came))

    def of(self, end: int) -> float:
        """When the last of so many bytes came; to be asked for in the order of the stream."""
        while self.marks[0][0] < end:
            self.marks.popleft()
        return self.marks[0][1]
