"""Strict RESP2 parser for the commands of clients and the answers of servers.

hiredis is used for packing only. Its parser does not check the two bytes after a bulk string, so a slightly
wrong length yields a different command or value. It also accepts RESP3 types and arrays of any depth, and
allocates memory for whatever count a header claims.
"""

from __future__ import annotations

import re
from collections import deque

MAX_VALUE_BYTES = 64 * 1024  # of a value in a command, by protocol
MAX_ANSWER_VALUE_BYTES = 2 * 1024 * 1024  # of a value in an answer: servers send several hundred thousand
MAX_PARTIAL_COMMAND_BYTES = 2 * MAX_VALUE_BYTES  # of a command whose end has not arrived
MAX_PIECE_BYTES = 16 * 1024  # up to which pieces of data are joined as they arrive
MAX_ARGUMENTS = 64  # of a command, including its name; enough to tell a client what is wrong with it
MAX_LINE_BYTES = 1024  # of an error line
MAX_ELEMENTS = 16  # of an array nested in an answer
HEADER = re.compile(rb"[*$](-1|0|[1-9][0-9]{0,6})\r\n")
PARTIAL_HEADER = re.compile(rb"[*$](?:-1?|0|[1-9][0-9]{0,6})?\r?")


class ProtocolError(Exception):
    """The data is not valid RESP2, or exceeds a limit."""


class IncompleteMessageError(Exception):
    """More data is needed to parse the message: up to the offset `end`, if it is known, else 0."""

    def __init__(self, end: int = 0) -> None:
        super().__init__(end)
        self.end = end


def parse_header(data: bytes, offset: int, type_byte: bytes) -> tuple[int, int]:
    """Return the number in an array or bulk string header, and the offset after the header.

    Raises ProtocolError or IncompleteMessageError, like all parsing functions of this module.
    """
    if data[offset : offset + 1] != type_byte and offset < len(data):
        raise ProtocolError(f"{type_byte.decode()} expected, got {data[offset : offset + 1]!r}")
    found = HEADER.match(data, offset)
    if found is not None:
        return int(found[1]), found.end()
    if offset >= len(data) or PARTIAL_HEADER.fullmatch(data, offset):
        raise IncompleteMessageError
    raise ProtocolError("nonsensical length")


def parse_bulk_string(data: bytes, offset: int, max_size: int = MAX_VALUE_BYTES) -> tuple[bytes | None, int]:
    """Return a bulk string, or None if it is null, and the offset after it."""
    size, offset = parse_header(data, offset, b"$")
    if size < 0:
        return None, offset
    if size > max_size:
        raise ProtocolError("a value is too long")
    end = offset + size + 2
    if not b"\r\n".startswith(data[end - 2 : end]):
        raise ProtocolError("a string does not end where it should")
    if len(data) < end:
        raise IncompleteMessageError(end)
    return data[offset : end - 2], end


def parse_line(data: bytes, offset: int) -> tuple[bytes, int]:
    """Return the rest of a line after its type byte, and the offset after the line."""
    end = data.find(b"\r\n", offset, offset + MAX_LINE_BYTES)
    if end >= 0:
        return data[offset + 1 : end], end + 2
    if len(data) - offset < MAX_LINE_BYTES:
        raise IncompleteMessageError
    raise ProtocolError("a line is too long")


def parse_element(data: bytes, offset: int) -> tuple[bytes | None, int]:
    """Return a bulk string, or None for any other RESP2 type, and the offset after the element."""
    type_byte = data[offset : offset + 1]
    if type_byte in (b":", b"+", b"-"):
        return None, parse_line(data, offset)[1]
    if type_byte != b"*":
        return parse_bulk_string(data, offset)
    count, offset = parse_header(data, offset, b"*")
    if count > MAX_ELEMENTS:
        raise ProtocolError("too many elements")
    for _ in range(count):
        offset = (
            parse_line(data, offset)[1]
            if data[offset : offset + 1] in (b":", b"+")
            else parse_bulk_string(data, offset)[1]
        )
    return None, offset


def parse_answer(data: bytes) -> tuple[bytes | None, bytes | None, int]:
    """Return a server's value or None, its load report or error line, and the offset after the answer."""
    if data.startswith(b"-"):
        text, end = parse_line(data, 0)
        return None, text, end
    count, offset = parse_header(data, 0, b"*")
    if count != 3:
        raise ProtocolError("not an answer")
    value, offset = parse_bulk_string(data, offset, MAX_ANSWER_VALUE_BYTES)
    if value is None:
        raise ProtocolError("an answer without a value")
    _, offset = parse_element(data, offset)
    report, offset = parse_element(data, offset)
    return value, report, offset


class PieceQueue:
    """Received data in pieces, of which small ones are joined, so that no byte is copied many times."""

    __slots__ = ("pieces", "size")

    def __init__(self) -> None:
        self.pieces: deque[bytes] = deque()
        self.size = 0  # their bytes

    def append(self, data: bytes) -> None:
        if self.pieces and len(self.pieces[-1]) + len(data) <= MAX_PIECE_BYTES:
            self.pieces[-1] += data
        else:
            self.pieces.append(data)
        self.size += len(data)

    def clear(self) -> None:
        self.pieces.clear()
        self.size = 0

    def take(self, before: bytes, min_size: int) -> bytes:
        """Return `before` with the next piece, and more pieces while the result is below `min_size`."""
        taken, size = [before], len(before)
        while self.pieces and (len(taken) == 1 or size < min_size):
            taken.append(self.pieces.popleft())
            size += len(taken[-1])
        self.size -= size - len(before)
        return b"".join(taken)


class AnswerParser:
    """Incremental parser of one answer of a server."""

    __slots__ = ("buffer", "needed_bytes", "pieces")

    def __init__(self) -> None:
        self.buffer, self.pieces = b"", PieceQueue()
        self.needed_bytes = 0  # with fewer, the answer is known to be incomplete

    def feed(self, data: bytes) -> tuple[bytes | None, bytes | None, bool] | None:
        """Add data; return the value, the text and whether nothing follows once the answer is complete.

        Value and text are those of `parse_answer`. Raises ProtocolError if the data is not an answer.
        """
        if self.buffer:
            self.pieces.append(data)
            if self.buffered_bytes() < self.needed_bytes:
                return None
            data = self.pieces.take(self.buffer, self.buffered_bytes())
        self.buffer = data
        try:
            value, text, end = parse_answer(self.buffer)
        except IncompleteMessageError as error:
            self.needed_bytes = error.end
            return None
        is_all_data = end == len(self.buffer)
        self.buffer, self.needed_bytes = b"", 0
        return value, text, is_all_data

    def buffered_bytes(self) -> int:
        """Return the size of the part of an answer that has come."""
        return len(self.buffer) + self.pieces.size


class CommandParser:
    """Incremental parser that splits a client's stream into commands.

    Data behind the buffer is kept in pieces and added when a command needs it.
    """

    __slots__ = ("buffer", "needed_bytes", "offset", "pieces")

    def __init__(self) -> None:
        self.buffer, self.offset, self.pieces = b"", 0, PieceQueue()
        self.needed_bytes = 0  # after the offset; with fewer, the next command is known to be incomplete

    def feed(self, data: bytes) -> None:
        if self.has_unparsed():
            self.pieces.append(data)
        else:
            self.buffer, self.offset = data, 0

    def discard(self) -> None:
        """Discard all data."""
        self.buffer, self.offset, self.needed_bytes = b"", 0, 0
        self.pieces.clear()

    def next_command(self) -> list[bytes] | None:
        """Return the name and arguments of the next command, or None if it is incomplete.

        Raises ProtocolError if the data is not a command; the rest of the stream cannot be parsed then.
        """
        while (arguments := self.parse_buffer()) is None:
            if self.unparsed_bytes() < self.needed_bytes or not self.pieces.size:
                return None
            self.buffer = self.pieces.take(self.buffer[self.offset :], self.needed_bytes)
            self.offset = 0
        return arguments

    def parse_buffer(self) -> list[bytes] | None:
        """Return the next command if the buffer contains it; raises ProtocolError like `next_command`."""
        if len(self.buffer) - self.offset < max(1, self.needed_bytes):
            return None
        data, arguments = self.buffer, []
        try:
            count, offset = parse_header(data, self.offset, b"*")
            if not 0 < count <= MAX_ARGUMENTS:
                raise ProtocolError("nonsensical number of arguments")
            for _ in range(count):
                argument, offset = parse_bulk_string(data, offset)
                if argument is None:
                    raise ProtocolError("a command holds a null")
                arguments.append(argument)
        except IncompleteMessageError as error:
            self.needed_bytes = error.end - self.offset
            if len(data) - self.offset > MAX_PARTIAL_COMMAND_BYTES:
                raise ProtocolError("a command is too long") from None
            return None
        self.needed_bytes = 0
        if offset < len(data):
            self.offset = offset
        else:
            self.buffer, self.offset = b"", 0
        return arguments

    def has_unparsed(self) -> bool:
        """Return whether data is buffered that has not been returned as a command."""
        return self.offset < len(self.buffer) or self.pieces.size > 0

    def buffered_bytes(self) -> int:
        """Return the size of all data, which may include commands that have been returned."""
        return len(self.buffer) + self.pieces.size

    def unparsed_bytes(self) -> int:
        """Return the number of buffered bytes that have not been returned as a command."""
        return len(self.buffer) - self.offset + self.pieces.size
