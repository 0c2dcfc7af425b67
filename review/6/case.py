"""Bad clients open connections again and again; the usual clients on kept connections have to be answered."""

import asyncio
import random
import socket
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit2

PROCESSES, THREADS = 12, 6  # of bad clients; each thread is one client
FLOOD_AT, FLOOD_TIME, END = 4.0, 12.0, 21.0  # seconds
USUAL_CLIENTS, THINK_TIME = 8, 0.05  # one connection each; seconds from an answer to the next request
SERVICE_TIME = 0.03


def send_nonsense(port: int, seed: int, seconds: float) -> None:
    """Send requests of a class that does not exist until the gateway closes, then connect again at once."""
    rng, end = random.Random(seed), time.monotonic() + seconds
    connections: list[list[int]] = []  # of each: commands sent, bytes of answers read

    def requests() -> bytes:
        return b"".join(
            kit2.pack(
                b"API.READ",
                b"%016x" % rng.getrandbits(32),
                b"%016x" % rng.getrandbits(64),
                b"c=no,t=club,d=900",
            )
            for _ in range(8)
        )

    def client() -> None:
        while time.monotonic() < end:
            with suppress(OSError), socket.create_connection((kit2.HOST, port), 2.0) as sock:
                sock.settimeout(2.0)
                counts = [0, 0]
                connections.append(counts)
                while time.monotonic() < end:
                    sock.sendall(requests())
                    counts[0] += 8
                    answer = sock.recv(65536)
                    counts[1] += len(answer)
                    if not answer:
                        break

    threads = [threading.Thread(target=client) for _ in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(
        f"bad clients {seed}: {len(connections)} connections, {sum(c[0] for c in connections)} commands, "
        f"{sum(c[1] for c in connections)} bytes of answers read"
    )


async def usual_client(case: kit2.Case, port: int, until: float) -> None:
    """Send one request at a time on a kept connection."""
    pool = kit2.Pool(case, port)
    while case.now() < until:
        await pool.ask(**kit2.random_request(case))
        await asyncio.sleep(THINK_TIME)
    pool.close()


async def play(case: kit2.Case) -> None:
    """Let the usual clients work all the time, with the bad ones from FLOOD_AT on."""
    discovery = kit2.Discovery(case)
    await discovery.start()
    for index in range(9):
        server = kit2.TableServer(case, f"s{index}")
        server.service = {spec["name"]: SERVICE_TIME for spec in kit2.CLASSES}
        await server.start()
        discovery.set(server)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    gateway = kit2.GatewayProcess(case, "n0", discovery.address, limits=limits)
    gateway.start()
    await gateway.ready()
    end = case.now() + END
    clients = [asyncio.ensure_future(usual_client(case, gateway.port, end)) for _ in range(USUAL_CLIENTS)]
    await asyncio.sleep(FLOOD_AT)
    if case.trouble:
        case.log(f"{PROCESSES * THREADS} bad clients begin, for {FLOOD_TIME} s")
        for seed in range(PROCESSES):
            words = [sys.executable, __file__, str(gateway.port), str(seed), str(FLOOD_TIME)]
            case.start_clients(words)
    await asyncio.gather(*clients)
    if gateway.process.poll() is not None:
        case.fail("the gateway has ended")
    kit2.judge(case, discovery.told)
    text = kit2.summary(case)
    case.log(text)
    print(text)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        send_nonsense(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))
    else:
        kit2.run_case(__file__, play)
