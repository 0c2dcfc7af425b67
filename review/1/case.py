"""Clients that send hundreds of commands at once take the gateway over its memory limit."""

from __future__ import annotations

import asyncio
import socket
import sys
import threading
import time
from contextlib import suppress
from itertools import count
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    Discovery,
    GatewayProcess,
    Record,
    TableServer,
    encode,
    gateway_config,
    read_message,
    run_case,
    site_settings,
)

MEMORY_MB = 192  # the highest limit of the scored days
SOCKETS = 1024
SERVERS = 9
USUAL_CLIENTS = 10  # each asks 10 times a second, so that they ask for a part of the quotas
USUAL_INTERVAL = 0.1  # seconds
USUAL_TIMEOUT = 1.0  # seconds, of table-view
ANSWER_SLACK = 0.55  # seconds after its time in which an answer still counts, and 50 ms on sockets
BAD_CLIENTS = 20
BAD_COMMANDS = 250  # "hundreds of commands at once"
BODY = b"m" * 64_000  # a value holds 65,536 bytes at most
BAD_AT = 3.0  # seconds after the start
BAD_FOR = 12.0  # seconds that the run goes on


def bad_client(address: tuple[str, int], number: int, ended: threading.Event) -> None:
    """Send BAD_COMMANDS move-submits at once at full speed, and read what comes, until the run ends."""
    with suppress(OSError), socket.create_connection(address) as sock:
        for i in range(BAD_COMMANDS):
            name = b"%016x" % (0x10000 + number * 1000 + i)
            fields = b"c=move-submit,t=club,d=5000,k=%b,units=1,spread=1,first=0" % name
            sock.sendall(encode(b"API.WRITE", name, name, fields, BODY))
        sock.settimeout(0.5)
        while not ended.is_set():
            with suppress(TimeoutError):
                if not sock.recv(65536):
                    return


class UsualClients:
    """Usual clients, each with one request at a time on a connection that it keeps."""

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        self.address, self.record, self.numbers = address, record, count(1)
        self.sent = self.answered = self.lost = 0

    async def run(self, until: float) -> None:
        """Ask until this time of the monotonic clock."""
        connection = None
        while time.monotonic() < until:
            name = b"%016x" % next(self.numbers)
            try:
                connection = connection or await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(USUAL_INTERVAL)
                continue
            fields = b"c=table-view,t=club,d=1000,units=1,spread=1,first=0"
            connection[1].write(encode(b"API.READ", name, name, fields))
            self.sent, sent_at = self.sent + 1, time.monotonic()
            try:
                answer = await asyncio.wait_for(read_message(connection[0]), USUAL_TIMEOUT + ANSWER_SLACK)
                self.answered += 1
                text = str(answer)
            except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
                self.lost += 1
                text = f"NO ANSWER ({type(error).__name__})"
                connection[1].close()
                connection = None
            self.record.line(
                f"usual request {name.decode()}: {text[:40]} after {time.monotonic() - sent_at:.3f}"
            )
            await asyncio.sleep(USUAL_INTERVAL)


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the run; return whether the gateway stayed alive under its limit."""
    servers = [await TableServer(f"s-{i}", record, work=0.1).listen() for i in range(SERVERS)]
    discovery = await Discovery(servers).listen()
    gateway = GatewayProcess(folder, gateway_config(discovery, site_settings(), SOCKETS, MEMORY_MB))
    ended = threading.Event()
    try:
        await gateway.wait_ready()
        host, port = gateway.listen.split(":")
        started_at, peak, killed = time.monotonic(), 0.0, False
        usual = UsualClients((host, int(port)), record)
        until = started_at + BAD_AT + BAD_FOR
        asking = [asyncio.create_task(usual.run(until)) for _ in range(USUAL_CLIENTS)]
        threads = [
            threading.Thread(target=bad_client, args=((host, int(port)), i, ended), daemon=True)
            for i in range(BAD_CLIENTS * trouble)
        ]
        while time.monotonic() < until:
            if threads and time.monotonic() > started_at + BAD_AT:
                record.line(
                    f"{len(threads)} bad clients send {BAD_COMMANDS} commands of {len(BODY)} bytes each"
                )
                for thread in threads:
                    thread.start()
                threads = []
            memory = gateway.memory_mb()
            if memory > peak + 10:
                record.line(f"memory of the gateway: {memory:.0f} MB")
                peak = memory
            if memory > MEMORY_MB and not killed:
                record.line(f"PLATFORM: {memory:.0f} MB are over memory_mb = {MEMORY_MB}: killed")
                gateway.process.kill()
                killed = True
            await asyncio.sleep(0.01)
        await asyncio.gather(*asking)
        crashed = killed or gateway.process.poll() is not None
        record.line(
            f"usual requests: {usual.sent} sent, {usual.answered} answered, {usual.lost} without an answer; "
            f"highest memory {peak:.0f} MB of {MEMORY_MB}; crashed: {crashed}"
        )
        return not crashed
    finally:
        ended.set()
        gateway.end()


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
