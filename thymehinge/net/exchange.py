"""A client's request, from its parsed and validated command to its single reply."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import hiredis

from thymehinge.interface import Idempotency, Settings
from thymehinge.net.client_memory import REQUEST_OVERHEAD_BYTES

if TYPE_CHECKING:
    from thymehinge.net.client_connection import ClientConnection

MIN_TIMEOUT_LIMIT = 60.0  # seconds; lower bound of the limit on the timeout that a client may set
TIMEOUT_LIMIT_FACTOR = 2.0  # that limit as a multiple of the longest timeout of any class
HEX_ID = re.compile(rb"[0-9a-fA-F]{16}")
WHOLE_NUMBER, DECIMAL_NUMBER = re.compile(rb"[0-9]{1,9}"), re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,6})?")
IDEMPOTENCY_KEY = re.compile(rb"[!-+.-~-]{1,64}")
CUSTOMER_ID_END = 2**33  # valid ids are below this
READ_COMMAND = b"API.READ"
WRITE_COMMAND = b"API.WRITE"
FAILED_REPLY = b"-ERR failed\r\n"
BUSY_REPLY = b"-BUSY\r\n"


class CommandError(Exception):
    """The command is invalid; the message is sent to the client."""


class AcceptedValues:
    """Values that a command may contain: classes with their commands, plans, and ranges of numbers."""

    def __init__(self, settings: Settings) -> None:
        # name on the wire: (name, command, whether an idempotency key is required)
        self.classes = {
            c.name.encode(): (
                c.name,
                READ_COMMAND if c.idempotency is Idempotency.SAFE else WRITE_COMMAND,
                c.idempotency is Idempotency.KEYED,
            )
            for c in settings.classes
        }
        self.plans = {p.name.encode(): p.name for p in settings.plans}
        self.max_units, self.gateway_count = settings.max_units, settings.gateway_count
        self.max_timeout = max(MIN_TIMEOUT_LIMIT, TIMEOUT_LIMIT_FACTOR * settings.longest_timeout)


# c: class, t: plan, d: timeout in ms, k: idempotency key, r: 1 for a retry
FIELD_NAMES = frozenset((b"c", b"t", b"d", b"k", b"r", b"units", b"spread", b"first"))


def parse_fields(text: bytes) -> dict[bytes, bytes]:
    """Parse `name=value` pairs separated by commas.

    Raises CommandError if a name is unknown or repeated, or if a required field is missing.
    """
    fields: dict[bytes, bytes] = {}
    for pair in text.split(b","):
        name, eq, value = pair.partition(b"=")
        if not eq or name not in FIELD_NAMES or name in fields:
            raise CommandError(f"nonsensical or repeated field {name[:16]!r}")
        fields[name] = value
    for name in (b"c", b"t", b"d"):
        if name not in fields:
            raise CommandError(f"field {name.decode()} is missing")
    return fields


def parse_number(
    fields: dict[bytes, bytes], name: bytes, pattern: re.Pattern[bytes], default: bytes
) -> float:
    """Parse a numeric field; CommandError if it does not match the pattern.

    The pattern is needed because `float` and `int` accept forms that table servers reject.
    """
    value = fields.get(name, default)
    if not pattern.fullmatch(value):
        raise CommandError(f"nonsensical {name.decode()}")
    return float(value)


class Exchange:
    """One request from a client's command to its single reply."""

    __slots__ = (
        "arguments",
        "attempts",
        "class_name",
        "connection",
        "customer_id",
        "deadline",
        "done",
        "fields_after_timeout",
        "fields_before_timeout",
        "first_gateway",
        "held_bytes",
        "is_retry",
        "is_safe",
        "plan_name",
        "received_at",
        "reply",
        "request_id",
        "spread",
        "timeout",
        "units",
        "wire_id",  # the id that the client chose, in lower case
    )

    def __init__(self, arguments: list[bytes], accepted: AcceptedValues) -> None:
        """Validate a command, given as its name and arguments; raises CommandError if it is invalid."""
        self.arguments, self.reply, self.done = arguments, None, False
        self.connection: ClientConnection | None = None
        self.attempts: list = []
        self.held_bytes = 0  # in memory for this request, as counted by its connection
        # received_at: arrival of the command's last byte
        self.request_id, self.received_at, self.deadline = 0, 0.0, 0.0
        if len(arguments) != (4 if arguments[0] == READ_COMMAND else 5):
            raise CommandError(f"wrong number of arguments ({len(arguments)})")
        if not (HEX_ID.fullmatch(arguments[1]) and HEX_ID.fullmatch(arguments[2])):
            raise CommandError("customer and id are 16 hexadecimal digits")
        self.customer_id, lower_case_id = int(arguments[1], 16), arguments[2].lower()
        # most clients send it in lower case; then no second copy is kept
        self.wire_id = arguments[2] if arguments[2] == lower_case_id else lower_case_id
        if self.customer_id >= CUSTOMER_ID_END:
            raise CommandError("no such customer")
        fields = parse_fields(arguments[3])
        request_class, plan_name = accepted.classes.get(fields[b"c"]), accepted.plans.get(fields[b"t"])
        if request_class is None or plan_name is None:
            raise CommandError("unknown class or plan")
        (self.class_name, command_name, needs_key), self.plan_name = request_class, plan_name
        self.is_safe = command_name == READ_COMMAND  # whether it may run any number of times
        if arguments[0] != command_name:
            raise CommandError(f"class {self.class_name} has another command")
        if needs_key != (b"k" in fields) or not IDEMPOTENCY_KEY.fullmatch(fields.get(b"k", b"-")):
            raise CommandError("nonsensical k")
        if fields.get(b"r", b"0") not in (b"0", b"1"):
            raise CommandError("nonsensical r")
        self.is_retry = fields.get(b"r") == b"1"
        self.timeout = parse_number(fields, b"d", WHOLE_NUMBER, b"") / 1000
        self.units = parse_number(fields, b"units", DECIMAL_NUMBER, b"1")
        self.spread = int(parse_number(fields, b"spread", WHOLE_NUMBER, b"1"))
        self.first_gateway = int(parse_number(fields, b"first", WHOLE_NUMBER, b"0"))
        if not (0 < self.timeout <= accepted.max_timeout and 0 < self.units <= accepted.max_units):
            raise CommandError("d or units out of range")
        if not (1 <= self.spread <= accepted.gateway_count and self.first_gateway < accepted.gateway_count):
            raise CommandError("spread or first out of range")
        # a comma is added so that d is found also as the first field
        before, _, _ = (b"," + arguments[3]).partition(b",d=")
        self.fields_before_timeout, self.fields_after_timeout = (
            (before + b",d=")[1:],
            arguments[3][len(before) + 2 + len(fields[b"d"]) :],
        )

    def encode_command(self, timeout_ms: int) -> bytes:
        """Encode the command for a table server: unchanged except for the timeout."""
        return hiredis.pack_command(
            (
                *self.arguments[:3],
                b"%b%d%b" % (self.fields_before_timeout, timeout_ms, self.fields_after_timeout),
                *self.arguments[4:],
            )
        )

    def is_over(self) -> bool:
        """Return whether no further attempt may be sent: the request is answered, or its client has closed.

        Abort the connection if its client has closed. Drop the request if a close could not be noticed.
        """
        if not self.done:
            self.connection.abort_if_client_closed()
        if not self.done and self.connection.hides_close():
            self.drop()
        return self.done

    def drop(self) -> None:
        """Refuse the request, or fail it if it may have run, and have the decision module drop it."""
        self.answer(FAILED_REPLY if self.may_have_run() else BUSY_REPLY)
        self.connection.clients.on_client_gone(self)

    def report_late_reply(self) -> None:
        """Have a reply counted that comes after the deadline, which is 0 for a request refused at once."""
        if self.deadline:
            clients = self.connection.clients
            late_by = clients.clock() - self.deadline
            clients.report.record_reply(self.wire_id, self.class_name, len(self.attempts), late_by)

    def is_finished(self) -> bool:
        """Return whether the request is answered, or its client gone, and no attempt is in flight."""
        return self.done and not any(attempt.in_flight for attempt in self.attempts)

    def may_have_run(self) -> bool:
        """Return whether the request may have been executed by an attempt that has ended."""
        return any(attempt.result is not None and not attempt.result.never_ran for attempt in self.attempts)

    def answer(self, reply: bytes) -> None:
        """Set the reply, unless there is one already, and write it once all earlier ones are written.

        A reply that has to wait, and does not fit into the memory for clients, is replaced by a failure.
        """
        if not self.done:
            if self.connection.has_to_wait(self) and not self.connection.clients.memory.admits(len(reply)):
                reply = FAILED_REPLY
            self.done, self.reply = True, reply
            self.report_late_reply()
            self.connection.clients.ids.release(self)
            self.arguments = ()  # no attempt starts after the reply, which may wait for earlier ones
            self.connection.hold_exchange(self, REQUEST_OVERHEAD_BYTES + len(reply))
            self.connection.flush()
