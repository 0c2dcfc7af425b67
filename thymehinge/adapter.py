"""Connects gateways to a simulator that speaks a line protocol on standard input and output.

Events come in batches between SYNC and FLUSH; each batch is answered by the resulting actions and FINISHED.
Each gateway instance is a separate `thymehinge.decisions.Gateway`.
"""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from thymehinge import interface as api
from thymehinge.decisions import Gateway
from thymehinge.settings import read_settings

RESULTS = {
    "0": api.Result.OK,
    "5": api.Result.ERROR,
    "11": api.Result.REJECTED,
    "110": api.Result.TIMEOUT,
    "111": api.Result.CONNECT_FAILED,
    "104": api.Result.RESET,
    "125": api.Result.CANCELLED,
    "114": api.Result.NOT_SENT,
}
STATES = {
    "Running": api.LifecycleState.RUNNING,
    "Stopping": api.LifecycleState.DRAINING,
    "Deleted": api.LifecycleState.GONE,
}
LIST_KINDS = {
    "diff": api.ListKind.DELTA,
    "snapshot": api.ListKind.SNAPSHOT,
    "disk": api.ListKind.CACHED,
    "error": api.ListKind.FAILED,
}


class WireError(Exception):
    """A line violates the protocol; the message names the protocol message and the field."""


class Fields:
    """The message name and the name=value fields of one line.

    The accessors raise WireError if the field is malformed, or missing without a default.
    """

    def __init__(self, line: str) -> None:
        self.message, _, rest = line.partition(" ")
        self.values: dict[str, str] = {}
        while rest:
            name, separator, rest = rest.partition("=")
            if not separator:
                raise WireError(f"{self.message or 'line'}: field {name!r} has no value")
            if name in ("options", "body_text"):
                self.values[name] = rest
                break
            self.values[name], _, rest = rest.partition(" ")

    def text(self, name: str, default: str | None = None) -> str:
        value = self.values.get(name, default)
        if value is None:
            raise WireError(f"{self.message}: field {name} is missing")
        return value

    def _read(self, convert: Callable[[str], Any], name: str, default: Any) -> Any:
        value = self.values.get(name)
        if value is None:
            if default is None:
                raise WireError(f"{self.message}: field {name} is missing")
            return default
        try:
            return convert(value)
        except (ValueError, KeyError, binascii.Error):
            raise WireError(f"{self.message}: field {name} has a bad value {value[:60]!r}") from None

    def integer(self, name: str, default: int | None = None) -> int:
        return self._read(int, name, default)

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number."""
        return self._read(_finite, name, default)

    def flag(self, name: str) -> bool:
        """Return whether the field is 1; a missing field is False."""
        return self._read(lambda v: {"1": True, "0": False}[v], name, False)

    def choice(self, name: str, choices: dict[str, Any]) -> Any:
        """Return what `choices` holds for the field's value."""
        return self._read(choices.__getitem__, name, None)

    def binary(self, name: str) -> bytes:
        """Return the bytes that the field holds in base64; "-" means none."""
        return self._read(lambda v: b"" if v == "-" else base64.b64decode(v, validate=True), name, None)

    def load_report(self) -> dict[str, float]:
        """Return the load report in `stats`, written as metric:value pairs separated by commas."""
        text = self.values.get("stats", "")
        if text in ("", "-"):
            return {}
        return self._read(
            lambda v: {
                metric: _finite(value) for metric, _, value in (pair.partition(":") for pair in v.split(","))
            },
            "stats",
            None,
        )


def _finite(text: str) -> float:
    """Convert text to a float; raise ValueError for NaN and infinities."""
    value = float(text)
    if value - value != 0:
        raise ValueError(text)
    return value


def read_event(fields: Fields) -> api.Event | None:
    """Convert a line other than TOPOLOGY to an event; return None for an unknown message."""
    match fields.message:
        case "ORDER":
            return api.Request(
                fields.integer("ref"),
                fields.number("time_left_s"),
                fields.text("priority", ""),
                fields.text("tier", ""),
                fields.integer("customer", 0),
                fields.number("weight", 1.0),
                max(1, int(fields.number("set_size", 1))),
                int(fields.number("from_no", 0)),
                fields.flag("is_retry"),
            )
        case "RESULT":
            return api.Outcome(
                fields.integer("ref"),
                fields.integer("seq_no"),
                fields.text("server"),
                fields.choice("disposition", RESULTS),
                fields.number("time_taken_s", 0),
                fields.flag("done_flag"),
                fields.number("billed", 0),
                int(fields.number("fleet_use", 0)),
                fields.load_report(),
            )
        case "STREAMING":
            return api.StreamStarted(
                fields.integer("ref"),
                fields.integer("seq_no"),
                fields.text("server"),
                fields.number("time_taken_s", 0),
            )
        case "CLIENT_GONE":
            return api.ClientGone(fields.integer("ref"))
        case "ELAPSED":
            return api.TimerDue(fields.integer("tag"))
        case "PEER":
            return api.PeerMessage(fields.integer("by"), fields.binary("body"))
        case "SUM":
            return api.CounterResult(
                fields.integer("book"), fields.choice("disposition", RESULTS), fields.number("sum", 0)
            )
        case "HEALTH":
            return api.ProbeResult(
                fields.text("server"),
                fields.choice("disposition", RESULTS),
                fields.number("time_taken_s", 0),
                fields.load_report(),
            )
    return None


def read_server(fields: Fields) -> api.Server:
    """Convert an ITEM line to an entry of a server list."""
    if fields.message != "ITEM":
        raise WireError(f"{fields.message or 'empty line'}: expected ITEM")
    return api.Server(
        fields.text("server"),
        fields.choice("availability", STATES),
        fields.text("campus", ""),
        fields.integer("pack", 0),
        fields.number("scale", 1.0),
        fields.number("ready_at_s", 0.0),
    )


def format_action(gateway_id: int, action: api.Action) -> str:
    """Format an action as a line for the simulator."""
    prefix, request_id = f"gateway_id={gateway_id}", getattr(action, "request_id", None)
    match action:
        case api.Send():
            return (
                f"DELIVER {prefix} ref={request_id} server={action.server} not_past_s={action.deadline:.6f}"
            )
        case api.Refuse():
            retry_after = f" not_before_for_s={action.retry_after:.6f}" if action.retry_after > 0 else ""
            return f"REFUSE {prefix} ref={request_id}{retry_after}"
        case api.Fail():
            return f"ERROR {prefix} ref={request_id}"
        case api.Cancel():
            return f"DROP_ATTEMPT {prefix} ref={request_id} seq_no={action.attempt}"
        case api.SetTimer():
            return f"DEFER {prefix} moment_s={action.due_at:.6f} tag={action.tag}"
        case api.SendToPeer():
            body = base64.b64encode(action.body).decode() or "-"
            return (
                f"ANNOUNCE {prefix} neighbour_id={'all' if action.peer is None else action.peer} body={body}"
            )
        case api.Probe():
            return f"HEALTH_CHECK {prefix} server={action.server}"
        case api.IncrementCounter():
            return f"INCR {prefix} book={action.counter} ttl_s={action.ttl:.3f} amount={action.amount:g}"
        case api.WatchServers():
            return f"OBSERVE {prefix} enable=1"
        case api.FetchServers():
            return f"REFRESH {prefix}"
        case api.Log():
            return f"LOG {prefix} body_text={' '.join(action.text.split())}"
    raise TypeError(f"unknown action {action!r}")


class Adapter:
    """Holds the gateway instances of one process and dispatches messages to them."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.now: float | None = None

    def dispatch(
        self, gateway_id: int, now: float, event: Callable[[], api.Event] | api.Event
    ) -> Iterable[str]:
        """Pass an event to one instance and return its actions as lines.

        An exception in the instance is reported as one BROKEN line.
        """
        gateway = self.gateways.get(gateway_id)
        if gateway is None:
            return []
        try:
            return [format_action(gateway_id, action) for action in gateway.handle(now, event)]
        except Exception as error:  # the protocol reports any failure of an instance as one line
            text = " ".join(f"{type(error).__name__}: {error}".split())
            return [f"BROKEN gateway_id={gateway_id} body_text={text}"]

    def handle_message(self, fields: Fields, entries: Iterable[Fields]) -> Iterable[str]:
        """Handle one message of a batch and return the lines that answer it.

        Args:
            fields: the message.
            entries: the lines that follow it, from which TOPOLOGY takes its entries.

        Raises:
            WireError: the message or one of its entries violates the protocol.
        """
        if self.now is None:
            raise WireError(f"{fields.message}: received before SYNC")
        gateway_id = fields.integer("gateway_id")
        if fields.message == "POWER_OFF":
            self.gateways.pop(gateway_id, None)
            return []
        if fields.message == "BEGIN":
            try:
                settings = read_settings(json.loads(fields.text("options")))
            except ValueError as error:
                raise WireError(f"BEGIN: field options: {error}") from None
            self.gateways[gateway_id] = Gateway(settings, fields.integer("seed"), self.now)
            return []
        if fields.message == "TOPOLOGY":
            kind, count = fields.choice("how", LIST_KINDS), fields.integer("items", 0)
            servers = tuple(read_server(next(entries)) for _ in range(count))
            return self.dispatch(
                gateway_id, self.now, api.ServerList(kind, fields.integer("index", 0), servers)
            )
        event = read_event(fields)
        return [] if event is None else self.dispatch(gateway_id, self.now, event)


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Answer batches until the input ends.

    Raises:
        WireError: a line violates the protocol; the message names the line number.
    """
    adapter, reply, line_number = Adapter(), [], 0

    def read_lines() -> Iterable[Fields]:
        nonlocal line_number
        for text in source:
            line_number += 1
            if text := text.rstrip("\r\n"):
                yield Fields(text)
        if adapter.now is not None:
            raise WireError("end of input inside a batch")

    stream = read_lines()
    try:
        for fields in stream:
            if fields.message == "SYNC":
                adapter.now, reply = fields.number("t_s"), []
            elif fields.message == "FLUSH":
                adapter.now = None
                sink.write("\n".join([*reply, "FINISHED\n"]))
                sink.flush()
            else:
                reply.extend(adapter.handle_message(fields, stream))
    except RuntimeError:  # next() inside a generator expression reached the end of the input
        raise WireError(
            f"line {line_number}: TOPOLOGY: field items counts more entries than follow"
        ) from None
    except (WireError, ValueError) as error:
        raise WireError(f"line {line_number}: {error}") from None


def main() -> int:
    """Serve standard input and output; return the process exit code."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"thymehinge: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
