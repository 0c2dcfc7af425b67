"""Tests of the fake discovery against its protocol, and of the start and stop of gateway processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

import pytest
from netkit import next_item, run_on_uvloop

from thymehinge.emulator.gateway_process import DEFAULT_SETTINGS, GatewayError, GatewayProcess, Prober
from thymehinge.emulator.http_discovery import HostTable, HttpDiscovery
from thymehinge.net.discovery import HostList, parse_host, watch_hosts

UNREACHABLE = "127.0.0.1:1"


@pytest.fixture
def discovery():
    with HttpDiscovery(HostTable(5, 1)) as running:
        yield running


def get(discovery: HttpDiscovery, query: str = "") -> tuple[int, Any]:
    connection = HTTPConnection(discovery.address, timeout=20)
    connection.request("GET", f"/discovery/hosts{query}")
    answer = connection.getresponse()
    status, body = answer.status, answer.read()
    connection.close()
    return status, json.loads(body) if status == 200 else body.decode()


def test_discovery_serves_snapshots_and_changes_since_version(discovery):
    status, initial = get(discovery)
    assert (status, initial["seq"], initial["whole"], len(initial["hosts"])) == (200, 1, True, 5)
    entries = {entry["host"]: entry for entry in initial["hosts"]}
    assert discovery.apply_changes(40) == 41
    delta = get(discovery, "?since=31&timeout_ms=0")[1]
    assert (delta["seq"], delta["whole"]) == (41, False) and 0 < len(delta["hosts"]) <= 10
    for entry in get(discovery, "?since=1&timeout_ms=0")[1]["hosts"]:
        entries[entry["host"]] = entry
    snapshot = {entry["host"]: entry for entry in get(discovery)[1]["hosts"]}
    assert {name: entry for name, entry in entries.items() if entry["health"] != "Gone"} == snapshot
    assert get(discovery, "?since=99&timeout_ms=20000")[1]["whole"]  # a version that does not exist yet
    discovery.send_snapshot()
    assert get(discovery, "?since=41&timeout_ms=20000")[1]["whole"]


def test_watch_waits_for_new_version_or_timeout(discovery):
    empty = {"seq": 1, "whole": False, "hosts": []}
    assert get(discovery, "?since=1&timeout_ms=1") == (200, empty)
    with ThreadPoolExecutor() as pool:
        watch = pool.submit(get, discovery, "?since=1&timeout_ms=20000")
        while discovery.counts.watches < 2:
            assert not watch.done()
            time.sleep(0.001)
        discovery.apply_changes()
        assert watch.result(20)[1]["seq"] == 2 and len(watch.result()[1]["hosts"]) == 1


@pytest.mark.parametrize(
    ("query", "message"),
    [
        ("?since=1", "timeout_ms"),
        ("?timeout_ms=1", "since"),
        ("?since=-1&timeout_ms=1", "since"),
        ("?since=1&timeout_ms=60001", "60000"),
    ],
)
def test_invalid_query_is_rejected(discovery, query, message):
    status, text = get(discovery, query)
    assert status == 400 and message in text


def test_counted_bytes_equal_bytes_on_wire(discovery):
    call = b"GET /discovery/hosts?since=0&timeout_ms=5 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    host, _, port = discovery.address.rpartition(":")
    with socket.create_connection((host, int(port)), 20) as client, client.makefile("rb") as file:
        client.sendall(call)
        response_bytes = len(file.read())
    counts = discovery.counts
    assert (counts.bytes_received, counts.bytes_sent, counts.entries_sent, counts.calls) == (
        len(call),
        response_bytes,
        5,
        1,
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_watching_client_has_list_after_random_changes(seed):
    """Guards against a list that diverges when deltas, snapshots and several changes at once are mixed."""
    rng, servers = random.Random(seed), {}
    applied_versions: asyncio.Queue[int] = asyncio.Queue()

    def apply_list(hosts: HostList) -> None:
        if hosts.is_snapshot:
            servers.clear()
        for server in hosts.servers:
            servers[server.name] = server
        applied_versions.put_nowait(hosts.version)

    async def test() -> None:
        task = asyncio.create_task(watch_hosts(discovery.address, apply_list, 2**24))
        await next_item(applied_versions)
        for _ in range(12):
            as_snapshot = rng.random() < 0.2
            update = (
                (discovery.send_snapshot,) if as_snapshot else (discovery.apply_changes, rng.randint(1, 9))
            )
            version = await asyncio.to_thread(*update)
            while await next_item(applied_versions) < version:
                pass
        task.cancel()

    with HttpDiscovery(HostTable(20, seed)) as discovery:
        run_on_uvloop(test())
        listed = [parse_host(entry)[0] for entry in discovery.table.entries.values()]
    assert {n: s for n, s in servers.items() if s.state.name != "GONE"} == {s.name: s for s in listed}


@pytest.mark.parametrize("error", [RuntimeError, KeyboardInterrupt])
def test_gateway_is_stopped_and_files_removed_after_exception(discovery, error):
    with pytest.raises(error), GatewayProcess(discovery.address) as gateway:
        directory = Path(gateway.directory.name)
        gateway.wait_ready()
        assert discovery.wait_acknowledged(1, 20) and 0 < gateway.rss() <= gateway.peak_rss()
        prober = Prober(gateway)
        prober.run(0.05)
        assert prober.latencies.get_total_count() > 0 < gateway.cpu_time()
        assert directory.exists() and gateway.descriptor_count() > 0
        raise error
    assert gateway.process.returncode == 0 and not directory.exists()
    with pytest.raises(ProcessLookupError):
        os.kill(gateway.pid, 0)


def test_gateway_that_exits_at_startup_raises_with_log_line():
    invalid = {name: value for name, value in DEFAULT_SETTINGS.items() if name != "classes"}
    gateway = GatewayProcess(UNREACHABLE, settings=invalid)
    with pytest.raises(GatewayError, match=r"exited with 2: .*classes"), gateway:
        gateway.wait_ready()
    assert not Path(gateway.directory.name).exists()
