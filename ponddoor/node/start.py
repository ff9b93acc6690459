"""Reads and validates a node's settings: environment variables and the platform's JSON file."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ponddoor.front.roster import ListMessage
from ponddoor.interface.facts import SiteFacts
from ponddoor.node import board_codec
from ponddoor.node.lines import UnreadableError
from ponddoor.platform.facts import MalformedError, ms_to_us, site_facts, zone_and_kind_names

Address = tuple[str, int]
_NAME_VARIABLE = "BALANCER_NAME"
_LISTEN_VARIABLE = "BALANCER_LISTEN"
_FILE_VARIABLE = "BALANCER_CONFIG"


class StartError(Exception):
    """Unusable settings. The text is one line, for the operator."""


class _Limits(msgspec.Struct, frozen=True):
    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class _Permissions(msgspec.Struct, frozen=True):
    idle_ms: float = msgspec.field(default=30_000.0, name="connIdle")


class _Settings(msgspec.Struct, frozen=True):
    permissions: _Permissions = _Permissions()


class _File(msgspec.Struct, frozen=True):
    listen: str
    seed: str
    board: str
    settings: msgspec.Raw
    known: msgspec.Raw = msgspec.Raw(b'{"rev":0,"notices":[]}')
    name: str = ""
    limits: _Limits = _Limits()
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of one node.

    `socket_limit` bounds the node's open sockets, `memory_mb` its resident memory. `board` is the address of
    the notice board, `known_notices` has the server list to start with. `peers` has the addresses of all
    fronts by number, this node's included; messages to all fronts go to `peers_all`."""

    name: str
    listen: Address
    socket_limit: int
    memory_mb: float
    server_idle_timeout_us: int  # servers close a connection that has been idle for this long
    facts: SiteFacts
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    board: Address
    known_notices: tuple[ListMessage, ...]
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None


def read_environment(environment: Mapping[str, str]) -> tuple[Path, NodeSettings]:
    """Return the path of the settings file and its content. Raises StartError."""
    for name in (_NAME_VARIABLE, _LISTEN_VARIABLE, _FILE_VARIABLE):
        if not environment.get(name):
            raise StartError(f"environment variable {name} is not set")
    path = Path(environment[_FILE_VARIABLE])
    settings = read_settings(path)
    if settings.listen != parse_address(environment[_LISTEN_VARIABLE], _LISTEN_VARIABLE):
        raise StartError(
            f"{_LISTEN_VARIABLE} is {environment[_LISTEN_VARIABLE]}, but listen in {path} differs from it"
        )
    return path, settings


def read_settings(path: Path) -> NodeSettings:
    """Read a settings file. Raises StartError."""
    try:
        raw = msgspec.json.decode(path.read_bytes(), type=_File)
        facts, _ = site_facts(int(raw.seed, 16), bytes(raw.settings))
        zones, kinds = zone_and_kind_names(bytes(raw.settings))
        server_idle_timeout = ms_to_us(msgspec.json.decode(raw.settings, type=_Settings).permissions.idle_ms)
        known_notices = tuple(board_codec.decode_initial_list(msgspec.json.decode(raw.known)))
        peers = tuple(parse_address(text, "peers") for text in raw.peers)
        if raw.limits.sockets < 64:
            raise StartError(f"limits.sockets is {raw.limits.sockets}, must be at least 64")
        if not 0 < raw.limits.memory_mb < math.inf:
            raise StartError(f"limits.memory_mb is {raw.limits.memory_mb}, must be positive")
        return NodeSettings(
            raw.name,
            parse_address(raw.listen, "listen"),
            raw.limits.sockets,
            raw.limits.memory_mb,
            server_idle_timeout,
            facts,
            zones,
            kinds,
            parse_address(raw.board, "board"),
            known_notices,
            parse_address(raw.peer_listen, "peer_listen") if raw.peer_listen else None,
            peers,
            parse_address(raw.peers_all, "peers_all") if raw.peers_all else None,
        )
    except OSError as problem:
        raise StartError(f"{path}: {problem.strerror}") from None
    except (msgspec.MsgspecError, MalformedError, UnreadableError, ValueError) as problem:
        raise StartError(f"{path}: {' '.join(str(problem).split())[:300]}") from None


def parse_address(text: str, setting: str) -> Address:
    """Parse `host:port`. `setting` names the source for the error text. Raises StartError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise StartError(f"{setting}: {text!r} is not a valid host:port address")
    return host, int(port)
