"""Answers of table servers: classification of outcomes, malformed answers and extra data."""

from __future__ import annotations

import asyncio

import pytest
from netkit import (
    CUSTOMER_ID,
    REQUEST_ID,
    WAIT_TIMEOUT,
    GatewayHarness,
    harness_with_server,
    host_list,
    next_item,
    pack_request,
    request_in_flight,
    run_on_uvloop,
    success_reply,
)

from thymehinge import interface as api
from thymehinge.interface import Result
from thymehinge.net import resp, server_connection
from thymehinge.net.resp import MAX_VALUE_BYTES


@pytest.mark.parametrize(
    ("answer", "result", "report"),
    [
        (b"-ERR failed queue=3\r\n", Result.ERROR, {"queue": 3}),
        (b"-ERR failed\r\n", Result.ERROR, {}),
        (b"-BUSY queue=9,util=1\r\n", Result.REJECTED, {"queue": 9, "util": 1}),
        (b"-BUSY\r\n", Result.REJECTED, {}),
        (b"-BUSY\r\nnoise\r\n", Result.ERROR, {}),
        (b":1\r\n", Result.ERROR, {}),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", Result.ERROR, {}),
        (b"*0\r\n", Result.ERROR, {}),
        (b"*1\r\n$1\r\nv\r\n", Result.ERROR, {}),
        (b"-ERR \xff\xfe\r\n", Result.ERROR, {}),
        (b"HTTP/1.1 200 OK\r\n", Result.ERROR, {}),
        (b"*400000000\r\n", Result.ERROR, {}),
        (success_reply(b"x" * 5 * MAX_VALUE_BYTES), Result.OK, {"queue": 1}),
        (success_reply(b"x" * 3 * 2**20), Result.ERROR, {}),
        (success_reply(b"v", b"queue=nan"), Result.OK, {}),
        (success_reply(b"v", b"rubbish"), Result.OK, {}),
        (b"", Result.RESET, {}),
        (success_reply(b"value")[:-9], Result.RESET, {}),
    ],
)
def test_answer_classified_by_protocol(answer, result, report):
    """Guards against reporting an attempt as not executed though it may have run.

    RESET: the server closes the connection after sending `answer`.
    """

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        client.write(pack_request(fields=b"c=lookup,t=village,d=1000"))
        server = await next_item(connections)
        await server.read()
        server.write(answer)
        if result is Result.RESET:
            server.writer.close()
        outcome = await harness.wait_for_event(api.Outcome)
        assert (outcome.result, outcome.load_report) == (result, report)

    run_on_uvloop(test())


VALID_ANSWER = success_reply(b"value", b"queue=2,util=0.61")
MALFORMED_ANSWERS = [
    b"\x10f\xe6\x96\x9cD\r\n",
    b"*3\r\n$3000000000\r\nxxxx",
    b"*3\r\n$7\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$4\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$x\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*2\r\n$5\r\nvalue\r\n$-1\r\n",
    b"%3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"$5\r\nvalue\r\n",
    b"-BUSY\xff\xfe\r\n",
    b"-BUSY \xff\xfe\r\n",
    b"-BUSY queue=-1\r\n",
    b"-" + b"x" * 5000,
]


async def outcome_of_answer(*parts: bytes) -> api.Outcome:
    """Return the outcome that the decision module gets for an answer sent in these parts."""
    harness, connections = await harness_with_server()
    client, server = await request_in_flight(harness, connections)
    for part in parts:
        server.write(part)
        await asyncio.sleep(0)
    outcome = await harness.wait_for_event(api.Outcome)
    client.writer.close()
    server.writer.close()
    return outcome


@pytest.mark.parametrize("malformed", MALFORMED_ANSWERS)
def test_malformed_answer_is_error_and_not_served(malformed):
    """Guards against serving a wrong value and reporting an executed attempt as not executed.

    The answer arrives in two parts, split at each byte in turn.
    """

    async def test() -> None:
        for split in range(1, min(len(malformed), 40)):
            outcome = await outcome_of_answer(malformed[:split], malformed[split:])
            assert outcome.result is Result.ERROR and not outcome.load_report

    run_on_uvloop(test())


def test_partial_answer_fails_before_deadline():
    async def test() -> None:
        outcome = await outcome_of_answer(VALID_ANSWER[:-3])
        assert outcome.result is Result.ERROR and outcome.elapsed < 2.0

    run_on_uvloop(test())


@pytest.mark.parametrize(
    ("answer", "report"),
    [
        (b"*3\r\n$5\r\nvalue\r\n$3\r\n???\r\n$5\r\nnoise\r\n", {}),
        (b"*3\r\n$5\r\nvalue\r\n$-1\r\n$8\r\nqueue=-5\r\n", {}),
        (b"*3\r\n$5\r\nvalue\r\n:12\r\n$11\r\nqueue=1e300\r\n", {}),
        (b"*3\r\n$5\r\nvalue\r\n*2\r\n:1\r\n:2\r\n$7\r\nqueue=2\r\n", {"queue": 2.0}),
        (VALID_ANSWER + VALID_ANSWER, {"queue": 2.0, "util": 0.61}),
        (VALID_ANSWER + b"\x00noise", {"queue": 2.0, "util": 0.61}),
    ],
)
def test_valid_answer_with_extra_data_is_served(answer, report):
    """Guards against reusing a connection with unexpected data and using a malformed load report."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client, server = await request_in_flight(harness, connections)
        server.write(answer)
        assert await client.read() == b"value"
        outcome = await harness.wait_for_event(api.Outcome)
        assert outcome.result is Result.OK and outcome.load_report == report
        if answer.startswith(VALID_ANSWER):
            assert await server.wait_closed()

    run_on_uvloop(test())


def test_duplicate_answer_not_used_for_next_request():
    """Guards against reusing a connection before the data that may follow an answer has been read."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client, server = await request_in_flight(harness, connections)
        server.write(success_reply(b"first"))
        assert await client.read() == b"first"
        client.write(pack_request())
        new_server = await next_item(connections)
        server.write(success_reply(b"first"))
        await new_server.read()
        new_server.write(success_reply(b"second"))
        assert await client.read() == b"second"
        assert await server.wait_closed()

    run_on_uvloop(test())


def test_answer_in_small_pieces_is_parsed_a_few_times(monkeypatch):
    """Guards processor time: an answer in pieces was parsed and copied anew with each of them."""
    calls = []
    parse_answer = resp.parse_answer

    def counting_parse_answer(data: bytes) -> tuple:
        calls.append(len(data))
        return parse_answer(data)

    for module in (resp, server_connection):
        monkeypatch.setattr(module, "parse_answer", counting_parse_answer, raising=False)

    async def test() -> None:
        harness, connections = await harness_with_server()
        client, _ = await request_in_flight(harness, connections)
        (exchange,) = harness.driver.exchanges.values()
        connection = exchange.attempts[0].connection
        answer = success_reply(b"x" * 10**6)
        for start in range(0, len(answer), 1000):
            connection.data_received(answer[start : start + 1000])
        assert await client.read() == b"x" * 10**6
        assert len(calls) <= 10

    run_on_uvloop(test())


def held_bytes(connection: server_connection.ServerConnection) -> int:
    return connection.held_bytes


def test_partial_answers_of_all_servers_are_bounded():
    """Guards the memory limit against answers that keep coming on many connections."""

    async def test() -> None:
        harness = GatewayHarness(limits={"cores": 1.0, "memory_mb": 16, "sockets": 256})
        address, connections = await harness.start_server()
        harness.driver.on_list(host_list(**{f"s{number}": address for number in range(8)}))
        client = await harness.connect_client()
        servers = []
        for number in range(8):
            request_id = b"%016x" % number
            client.write(pack_request().replace(REQUEST_ID, request_id).replace(CUSTOMER_ID, request_id))
            servers.append(await next_item(connections))
            await servers[-1].read()
        attempts = [e.attempts[0] for e in harness.driver.exchanges.values()]
        for server in servers:
            server.write(success_reply(b"x" * 10**6)[:-10])
        async with asyncio.timeout(WAIT_TIMEOUT):
            while all(attempt.in_flight for attempt in attempts):
                held = sum(held_bytes(attempt.connection) for attempt in attempts if attempt.in_flight)
                assert held <= 4 * 2**20 + 2**18  # a quarter of the memory limit and one read
                await asyncio.sleep(0)

    run_on_uvloop(test())
