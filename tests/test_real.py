"""The stand-ins round real gateways: discovery as its page tells it, and a process that leaves nothing."""

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
from netkit import run, soon

from thymehinge.emulator.gateway_process import SETTINGS, GatewayError, GatewayProcess, Prober
from thymehinge.emulator.http_discovery import HostTable, HttpDiscovery
from thymehinge.net.discovery import HostList, follow, read_host

NOWHERE = "127.0.0.1:1"


@pytest.fixture
def discovery():
    with HttpDiscovery(HostTable(5, 1)) as served:
        yield served


def get(discovery: HttpDiscovery, query: str = "") -> tuple[int, Any]:
    connection = HTTPConnection(discovery.address, timeout=20)
    connection.request("GET", f"/discovery/hosts{query}")
    answer = connection.getresponse()
    status, body = answer.status, answer.read()
    connection.close()
    return status, json.loads(body) if status == 200 else body.decode()


def test_discovery_tells_the_whole_list_and_what_changed_since_a_version(discovery):
    status, first = get(discovery)
    assert (status, first["seq"], first["whole"], len(first["hosts"])) == (200, 1, True, 5)
    held = {entry["host"]: entry for entry in first["hosts"]}
    assert discovery.change(40) == 41
    some = get(discovery, "?since=31&timeout_ms=0")[1]
    assert (some["seq"], some["whole"]) == (41, False) and 0 < len(some["hosts"]) <= 10
    for entry in get(discovery, "?since=1&timeout_ms=0")[1]["hosts"]:
        held[entry["host"]] = entry
    now = {entry["host"]: entry for entry in get(discovery)[1]["hosts"]}
    assert {name: entry for name, entry in held.items() if entry["health"] != "Gone"} == now
    assert get(discovery, "?since=99&timeout_ms=20000")[1]["whole"]  # a version that never was
    discovery.resend()
    assert get(discovery, "?since=41&timeout_ms=20000")[1]["whole"]


def test_a_watch_waits_for_news_or_until_its_time_is_up(discovery):
    empty = {"seq": 1, "whole": False, "hosts": []}
    assert get(discovery, "?since=1&timeout_ms=1") == (200, empty)
    with ThreadPoolExecutor() as pool:
        watch = pool.submit(get, discovery, "?since=1&timeout_ms=20000")
        while discovery.counts.watches < 2:
            assert not watch.done()
            time.sleep(0.001)
        discovery.change()
        assert watch.result(20)[1]["seq"] == 2 and len(watch.result()[1]["hosts"]) == 1


@pytest.mark.parametrize(
    ("query", "says"),
    [
        ("?since=1", "timeout_ms"),
        ("?timeout_ms=1", "since"),
        ("?since=-1&timeout_ms=1", "since"),
        ("?since=1&timeout_ms=60001", "60000"),
    ],
)
def test_a_query_that_makes_no_sense_is_turned_away(discovery, query, says):
    status, text = get(discovery, query)
    assert status == 400 and says in text


def test_bytes_are_counted_as_they_go_over_the_wire(discovery):
    call = b"GET /discovery/hosts?since=0&timeout_ms=5 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    host, _, port = discovery.address.rpartition(":")
    with socket.create_connection((host, int(port)), 20) as client, client.makefile("rb") as file:
        client.sendall(call)
        sent = len(file.read())
    counts = discovery.counts
    assert (counts.received, counts.sent, counts.entries, counts.calls) == (len(call), sent, 5, 1)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_gateway_that_follows_has_the_list_after_random_changes(seed):
    """Guards the watch: changes, whole lists in between and several at once come out as one list."""
    draw, held = random.Random(seed), {}
    told: asyncio.Queue[int] = asyncio.Queue()

    def apply(hosts: HostList) -> None:
        if hosts.whole:
            held.clear()
        for server in hosts.servers:
            held[server.name] = server
        told.put_nowait(hosts.version)

    async def test() -> None:
        task = asyncio.create_task(follow(discovery.address, apply, 2**24))
        await soon(told)
        for _ in range(12):
            resent = draw.random() < 0.2
            order = (discovery.resend,) if resent else (discovery.change, draw.randint(1, 9))
            version = await asyncio.to_thread(*order)
            while await soon(told) < version:
                pass
        task.cancel()

    with HttpDiscovery(HostTable(20, seed)) as discovery:
        run(test())
        listed = [read_host(entry)[0] for entry in discovery.table.entries.values()]
    assert {n: s for n, s in held.items() if s.state.name != "GONE"} == {s.name: s for s in listed}


@pytest.mark.parametrize("error", [RuntimeError, KeyboardInterrupt])
def test_a_gateway_is_stopped_and_its_files_are_gone_after_an_exception(discovery, error):
    with pytest.raises(error), GatewayProcess(discovery.address) as gateway:
        folder = Path(gateway.folder.name)
        gateway.ready()
        assert discovery.taken(1, 20) and 0 < gateway.rss() <= gateway.peak()
        prober = Prober(gateway)
        prober.run(0.05)
        assert prober.waits.get_total_count() > 0 < gateway.cpu()
        assert folder.exists() and gateway.descriptors() > 0
        raise error
    assert gateway.process.returncode == 0 and not folder.exists()
    with pytest.raises(ProcessLookupError):
        os.kill(gateway.pid, 0)


def test_a_gateway_that_ends_at_its_start_is_a_clear_error():
    bad = {name: value for name, value in SETTINGS.items() if name != "classes"}
    gateway = GatewayProcess(NOWHERE, settings=bad)
    with pytest.raises(GatewayError, match=r"ended with 2: .*classes"), gateway:
        gateway.ready()
    assert not Path(gateway.folder.name).exists()
