"""The gateway program: startup, signals, drain and exit code."""

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

from thymehinge.net.config import Address, Config, ConfigError, load_config
from thymehinge.net.discovery import Discovery
from thymehinge.net.driver import Driver, monotonic_unix_clock

LISTEN_BACKLOG = 1024
DRAIN_ACCEPT_PERIOD = 0.45  # seconds after SIGTERM in which clients may still connect, plus a small margin
KILL_DELAY = 0.7  # seconds from SIGTERM to SIGKILL, in addition to the longest timeout of a request
MAX_KILL_TIMEOUT = 3.0  # seconds; limit up to which that timeout is added
KILL_MARGIN = 0.3  # seconds before SIGKILL by which all requests are answered
DRAIN_POLL_INTERVAL = 0.01  # seconds
HANDLED_SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
STARTUP_TIMEOUT = 20.0  # seconds for which startup is retried; the gateway must be ready within 30 s
STARTUP_RETRY_DELAY = 0.05  # seconds
RELOAD_RETRY_DELAY = 0.1  # seconds
STARTUP_DEADLINE_VARIABLE = "THYMEHINGE_GIVE_UP_AT"  # time of the monotonic clock in seconds

log = logging.getLogger(__name__)


def restart_process(startup_deadline: float) -> None:
    """Restart the program under the same process id; returns only if the system refuses."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a handler would be reset to the default, which terminates
    with suppress(OSError):
        os.execve(
            sys.executable, sys.orig_argv, {**os.environ, STARTUP_DEADLINE_VARIABLE: str(startup_deadline)}
        )


class Program:
    """Runs one gateway from its start to its exit code."""

    def __init__(self) -> None:
        self.serving = False
        self.reload_requested = False  # by a SIGHUP during startup

    def run(self) -> int:
        """Start, retrying after transient errors, serve, and return the exit code.

        A retry replaces the process: an event loop that failed to open its own descriptors can neither be
        used again nor closed.
        """
        startup_deadline = float(
            os.environ.pop(STARTUP_DEADLINE_VARIABLE, time.monotonic() + STARTUP_TIMEOUT)
        )
        while True:
            signal.signal(signal.SIGHUP, self.request_reload)
            try:
                self.run_once()
                return 0
            except ConfigError as error:
                if not error.transient or time.monotonic() >= startup_deadline:
                    print(f"thymehinge: {error}", file=sys.stderr)
                    return 2
                log.warning("start: %s; retrying", error)
            time.sleep(STARTUP_RETRY_DELAY)
            restart_process(startup_deadline)

    def run_once(self) -> None:
        """Read the configuration and serve; raises ConfigError if startup fails."""
        config = load_config(os.environ)
        runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        try:
            runner.run(self.serve(config))
        except OSError as error:
            if self.serving:
                raise
            raise ConfigError(f"event loop: {error.strerror or error}", error) from None
        finally:
            with suppress(OSError, RuntimeError):  # the event loop may not have started, see `run`
                runner.close()

    def request_reload(self, *_: object) -> None:
        self.reload_requested = True

    async def serve(self, config: Config) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        loop, stop = asyncio.get_running_loop(), asyncio.Event()
        driver = Driver(config, monotonic_unix_clock())
        discovery = Discovery(driver.apply_list, config.memory_bytes)
        await open_sockets(driver, config)
        self.serving = True
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, reload_discovery, discovery)
        discovery.set_address(config.discovery)
        if self.reload_requested:
            reload_discovery(discovery)
        driver.listening_since = driver.clock()
        log.info("gateway %s listening on %s:%d", config.name or "(unnamed)", *config.listen)
        gc.collect()
        gc.freeze()  # objects created so far live until the exit; skipping them shortens collections
        await stop.wait()
        await drain(driver)
        discovery.stop()
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)  # closing the loop removes its handlers


async def open_sockets(driver: Driver, config: Config) -> None:
    """Listen for peers, then for clients; raises ConfigError if that fails.

    Listening for clients comes last, so that no client can connect to a gateway whose startup fails.
    """
    loop = asyncio.get_running_loop()
    try:
        if config.peer_listen is not None:
            peer_socket = socket.socket(address_family(config.peer_listen), socket.SOCK_DGRAM)
            peer_socket.bind(config.peer_listen)
            await loop.create_datagram_endpoint(lambda: driver.peers, sock=peer_socket)
        listener = socket.create_server(
            config.listen, family=address_family(config.listen), backlog=LISTEN_BACKLOG
        )
        driver.clients.listen(listener)
    except OSError as error:
        raise ConfigError(f"listen or peer_listen: {error.strerror or error}", error) from None


def address_family(address: Address) -> socket.AddressFamily:
    """Return the socket family of an address: IPv6 if the host contains a colon, else IPv4."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def reload_discovery(discovery: Discovery) -> None:
    """Switch to the discovery address in the configuration file; nothing else is reloaded.

    EDGE_DISCOVERY is ignored, because it holds the address given at startup. If a transient error prevents
    reading the file, the reload is retried.
    """
    try:
        config = load_config({"EDGE_CONFIG": os.environ["EDGE_CONFIG"]})
    except ConfigError as error:
        log.error("reload: %s; the old configuration stays%s", error, " until a retry" * error.transient)
        if error.transient:
            asyncio.get_running_loop().call_later(RELOAD_RETRY_DELAY, reload_discovery, discovery)
        return None
    log.info("reload: discovery at %s", config.discovery)
    return discovery.set_address(config.discovery)


async def drain(driver: Driver) -> None:
    """Finish pending requests and close all client connections before SIGKILL.

    New connections are accepted for a while, and clients may send requests on any open connection. Requests
    that are pending at the drain deadline are answered then; later ones are refused, until the last replies
    have been sent.
    """
    longest_timeout = driver.gateway.settings.longest_timeout
    kill_at = driver.clock() + min(longest_timeout, MAX_KILL_TIMEOUT) + KILL_DELAY
    driver.drain_deadline = kill_at - KILL_MARGIN
    await asyncio.sleep(DRAIN_ACCEPT_PERIOD)
    while not driver.clients.drain() and driver.clock() < driver.drain_deadline:
        await asyncio.sleep(DRAIN_POLL_INTERVAL)
    driver.abandon_all()
    while not driver.clients.drain() and driver.clock() < kill_at - KILL_MARGIN / 3:
        await asyncio.sleep(DRAIN_POLL_INTERVAL)


def main() -> int:
    """Run the gateway; the exit code is 2 if startup fails, for example for an invalid configuration."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    return Program().run()


if __name__ == "__main__":
    sys.exit(main())
