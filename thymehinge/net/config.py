"""The configuration of a gateway, from its file and environment variables."""

from __future__ import annotations

import errno
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from thymehinge import interface as api
from thymehinge.net.discovery import HostList, parse_host_list
from thymehinge.settings import get_setting, read_settings

Address = tuple[str, int]
DEFAULT_MEMORY_MB = 192.0  # MiB, if the configuration has no limit: the most on the operators' days

TRANSIENT_ERRORS = frozenset(  # system errors that may go away by themselves
    (
        errno.EADDRINUSE,  # still held by a process that has just been killed
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)


class ConfigError(Exception):
    """The gateway can't start with its configuration; the message names the reason.

    `cause` is the system error behind it, if any; `transient` tells whether a retry may succeed.
    """

    def __init__(self, text: str, cause: OSError | None = None) -> None:
        super().__init__(text)
        self.transient = cause is not None and cause.errno in TRANSIENT_ERRORS


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one gateway; times are in seconds."""

    name: str
    listen: Address
    discovery: str  # host:port
    seed: int
    max_sockets: int  # limit of file descriptors
    memory_bytes: int  # memory limit of the process
    peer_listen: Address | None
    peers: tuple[Address, ...]
    broadcast_address: Address | None
    known_hosts: HostList | None  # used until discovery sends a list
    idle_timeout: float
    connect_timeout: float
    settings: api.Settings


def parse_address(text: Any, name: str) -> Address:
    """Parse `host:port`; raises ValueError with the field's name if it is malformed."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isdecimal() and 0 < int(port) < 65536):
        raise ValueError(f"{name}: not an address of the form host:port: {text!r}")
    return host, int(port)


def load_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration file named by EDGE_CONFIG; raises ConfigError if that fails."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            return parse_config(json.load(file), environ)
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG {path}: {error.strerror or error}", error) from None
    except (ValueError, OverflowError, RecursionError) as error:
        raise ConfigError(f"EDGE_CONFIG {path}: {' '.join(str(error).split())}") from None


def parse_config(raw: Any, environ: Mapping[str, str]) -> Config:
    """Build the configuration from a decoded file; environment variables take precedence.

    Raises ValueError with the name of an invalid field.
    """
    if not isinstance(raw, dict):
        raise ValueError("not an object")
    optional = {name: raw[name] for name in ("peer_listen", "peers_all") if raw.get(name)}
    known_hosts = raw.get("known")
    seed = get_setting(raw, "seed", str, "0")
    max_sockets = get_setting(raw, "limits.sockets", int, 1024)
    if max_sockets < 64:
        raise ValueError(f"limits.sockets: {max_sockets} is below the minimum of 64")
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise ValueError(f"seed: not a hexadecimal number: {seed!r}") from None
    discovery = environ.get("EDGE_DISCOVERY") or get_setting(raw, "discovery", str)
    parse_address(discovery, "discovery")
    settings = get_setting(raw, "settings", dict)
    return Config(
        name=environ.get("EDGE_NAME") or get_setting(raw, "name", str, ""),
        listen=parse_address(environ.get("EDGE_LISTEN") or raw.get("listen"), "listen"),
        discovery=discovery,
        seed=seed_number,
        max_sockets=max_sockets,
        memory_bytes=int(get_positive(raw, "limits.memory_mb", DEFAULT_MEMORY_MB) * 2**20),
        peer_listen=parse_address(optional["peer_listen"], "peer_listen")
        if "peer_listen" in optional
        else None,
        peers=tuple(parse_address(p, "peers") for p in get_setting(raw, "peers", list, [])),
        broadcast_address=parse_address(optional["peers_all"], "peers_all")
        if "peers_all" in optional
        else None,
        known_hosts=None if known_hosts is None else parse_host_list(known_hosts),
        idle_timeout=get_positive(settings, "bounds.conn_idle_s", 15.0),
        connect_timeout=get_positive(settings, "bounds.connect_timeout_s", 0.25),
        settings=read_settings(settings),
    )


def get_positive(raw: dict[str, Any], path: str, default: float) -> float:
    """Return a number at a dotted path; raises ValueError unless it is positive and finite."""
    value = get_setting(raw, path, float, default)
    if not 0 < value < float("inf"):
        raise ValueError(f"setting {path}: not a positive number: {value!r}")
    return value
