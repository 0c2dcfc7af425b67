"""The log line on what delays or rejects clients' commands."""

from __future__ import annotations

import logging

import pytest
from netkit import REQUEST_ID, harness_with_server, next_item, pack_request, run_on_uvloop

from thymehinge.net.intake_report import NOTABLE_WAIT, REPORT_INTERVAL, IntakeReport


def test_notable_events_are_logged_once_an_interval(caplog: pytest.LogCaptureFixture):
    report = IntakeReport()
    report.record_turn(NOTABLE_WAIT / 2, is_first=False)
    report.record_reply(REQUEST_ID, "lookup", 1, 0.01)
    report.report(100.0, 3)
    assert not caplog.records
    report.record_turn(0.2, is_first=False)
    report.record_reply(REQUEST_ID, "lookup", 2, 0.25)
    report.rejected_ids += 1
    report.report(100.0, 3)
    (record,) = caplog.records
    assert "0.200 s" in record.message and REQUEST_ID.decode() in record.message
    report.rejected_ids += 1
    report.report(100.0 + REPORT_INTERVAL / 2, 0)
    assert len(caplog.records) == 1
    report.report(100.0 + REPORT_INTERVAL, 0)
    assert "ids rejected: 1" in caplog.records[-1].message and "0.200" not in caplog.records[-1].message


def test_first_turns_and_connections_that_still_wait_are_told_apart(caplog: pytest.LogCaptureFixture):
    """Guards against connections that get no turn at all and so appear in no count of turns."""
    report = IntakeReport()
    report.record_turn(0.01, is_first=True)
    report.record_turn(0.02, is_first=False)
    report.accepted_connections += 1
    report.report(100.0, 8, longest_current_wait=NOTABLE_WAIT / 2)
    assert not caplog.records
    report.report(100.0, 8, longest_current_wait=1.5)
    (record,) = caplog.records
    assert "1 first turns, 0.010 s" in record.message and "1 later turns, 0.020 s" in record.message
    assert "8 connections wait, 1.500 s" in record.message and "1 accepted" in record.message


def test_late_reply_and_repeated_id_are_logged(caplog: pytest.LogCaptureFixture):
    async def test() -> None:
        harness, connections = await harness_with_server()
        client, repeating = await harness.connect_client(), await harness.connect_client()
        client.write(pack_request())
        await (await next_item(connections)).read()
        repeating.write(pack_request())
        assert "id is open" in str(await repeating.read())
        harness.clock_offset += 4.0
        (exchange,) = harness.driver.exchanges.values()
        harness.driver.on_deadline(exchange.request_id)
        with caplog.at_level(logging.WARNING):
            harness.driver.clients.sweep()
        assert any(
            REQUEST_ID.decode() in record.message and "ids rejected: 1" in record.message
            for record in caplog.records
        )

    run_on_uvloop(test())
