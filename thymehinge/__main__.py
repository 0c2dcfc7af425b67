"""One real gateway: start, signals and the exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
import time
from contextlib import suppress

import uvloop

from thymehinge.net.config import Address, Config, ConfigError, load
from thymehinge.net.discovery import Discovery
from thymehinge.net.driver import Driver, anchored_clock

BACKLOG = 1024
ACCEPT = 0.45  # s after SIGTERM for which clients still connect, by protocol, and a little more
KILL, KILL_DEADLINE, KILL_MARGIN = 0.7, 3.0, 0.3  # s from SIGTERM to SIGKILL beside the longest deadline
DRAIN_LOOK = 0.01  # s between looks at who is left while draining
SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP  # that a running gateway obeys
START_MOST = 20.0  # s for which a start is tried again: after 30 s without readiness it counts as failed
START_PAUSE = 0.05  # s between two tries of a start
RELOAD_PAUSE = 0.1  # s between two tries of a reload
GIVE_UP_AT = "THYMEHINGE_GIVE_UP_AT"  # variable: when a program that is tried anew gives up (s, monotonic)

log = logging.getLogger(__name__)


def execute_anew(give_up_at: float) -> None:
    """Replace this process by one that starts from nothing, under the same number, if the system lets us."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # its handler does not outlast this
    with suppress(OSError):
        os.execve(sys.executable, sys.orig_argv, {**os.environ, GIVE_UP_AT: str(give_up_at)})


class Program:
    """One gateway from its start to its end."""

    def __init__(self) -> None:
        self.serving = False
        self.reload_due = False  # SIGHUP came before there was anything to reload

    def run(self) -> int:
        """Start, again and again while what fails may pass, and serve; the exit code.

        A loop that could not open its own sockets can't be run again nor closed: a new program tries anew.
        """
        give_up_at = float(os.environ.pop(GIVE_UP_AT, time.monotonic() + START_MOST))
        while True:
            signal.signal(signal.SIGHUP, self.note_reload)
            try:
                self.run_once()
                return 0
            except ConfigError as error:
                if not error.passing or time.monotonic() >= give_up_at:
                    print(f"thymehinge: {error}", file=sys.stderr)
                    return 2
                log.warning("start: %s; trying again", error)
            time.sleep(START_PAUSE)
            execute_anew(give_up_at)

    def run_once(self) -> None:
        """Read the configuration and serve; ConfigError where the start fails."""
        config = load(os.environ)
        runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        try:
            runner.run(self.serve(config))
        except OSError as error:
            if self.serving:
                raise
            raise ConfigError(f"event loop: {error.strerror or error}", error) from None
        finally:
            with suppress(OSError, RuntimeError):  # see `run`
                runner.close()

    def note_reload(self, *_: object) -> None:
        self.reload_due = True

    async def serve(self, config: Config) -> None:
        """Run until SIGTERM, then finish what is held."""
        loop, stop = asyncio.get_running_loop(), asyncio.Event()
        driver = Driver(config, anchored_clock())
        discovery = Discovery(driver.on_list, config.memory)
        await open_sockets(driver, config)
        self.serving = True
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, reload, discovery)
        discovery.move(config.discovery)
        if self.reload_due:
            reload(discovery)
        driver.listening = driver.clock()
        log.info("gateway %s listens at %s:%d", config.name or "without a name", *config.listen)
        gc.collect()
        gc.freeze()  # what the start made stays; a collection then looks at little and pauses little
        await stop.wait()
        await drain(driver)
        discovery.stop()
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # the loop's end takes its handlers away


async def open_sockets(driver: Driver, config: Config) -> None:
    """Listen for peers, then for clients: who has connected must not be turned away by a start that fails."""
    loop = asyncio.get_running_loop()
    try:
        if config.peer_listen is not None:
            datagrams = socket.socket(family(config.peer_listen), socket.SOCK_DGRAM)
            datagrams.bind(config.peer_listen)
            await loop.create_datagram_endpoint(lambda: driver.peers, sock=datagrams)
        listener = socket.create_server(config.listen, family=family(config.listen), backlog=BACKLOG)
        driver.clients.listen(listener)
    except OSError as error:
        raise ConfigError(f"listen or peer_listen: {error.strerror or error}", error) from None


def family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def reload(discovery: Discovery) -> None:
    """Follow the discovery that the file names now; requests, pools and the list stay as they are.

    The environment names the addresses of the start, so it does not win here. Where the file can't be opened
    for a moment it is tried again, lest discovery be left behind.
    """
    try:
        config = load({"EDGE_CONFIG": os.environ["EDGE_CONFIG"]})
    except ConfigError as error:
        log.error("reload: %s; the old configuration stays%s", error, " for now" * error.passing)
        if error.passing:
            asyncio.get_running_loop().call_later(RELOAD_PAUSE, reload, discovery)
        return None
    log.info("reload: discovery at %s", config.discovery)
    return discovery.move(config.discovery)


async def drain(driver: Driver) -> None:
    """Accept on for a moment, then close connections between requests and end before the kill.

    Clients ask on every connection that stays open. What comes now has until the end, and what is still in
    hand then is answered; what comes after that is refused at once, until the last answers have left.
    """
    longest = driver.gateway.settings.longest_timeout
    kill = driver.clock() + min(longest, KILL_DEADLINE) + KILL
    driver.end = kill - KILL_MARGIN
    await asyncio.sleep(ACCEPT)
    while not driver.clients.drain() and driver.clock() < driver.end:
        await asyncio.sleep(DRAIN_LOOK)
    driver.abandon_all()
    while not driver.clients.drain() and driver.clock() < kill - KILL_MARGIN / 3:
        await asyncio.sleep(DRAIN_LOOK)


def main() -> int:
    """Start from the environment; 2 where the configuration is no good."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    return Program().run()


if __name__ == "__main__":
    sys.exit(main())
