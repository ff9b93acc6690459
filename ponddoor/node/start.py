"""What a node is told at its start: the environment and the platform's JSON file, checked whole."""

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
_NAME, _LISTEN, _FILE = "BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_CONFIG"


class StartError(Exception):
    """What the node was told can't be used; the text is one line for people."""


class _Limits(msgspec.Struct, frozen=True):
    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class _Allowed(msgspec.Struct, frozen=True):
    idle_ms: float = msgspec.field(default=30_000.0, name="connIdle")


class _Settings(msgspec.Struct, frozen=True):
    permissions: _Allowed = _Allowed()


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
    """One node's place on the platform. `peers` are all fronts' addresses by number, our own among them."""

    name: str
    listen: Address
    socket_limit: int
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
    """The file's path and what it says. Raises StartError."""
    for name in (_NAME, _LISTEN, _FILE):
        if not environment.get(name):
            raise StartError(f"the variable {name} is missing")
    path = Path(environment[_FILE])
    settings = read_settings(path)
    if settings.listen != parse_address(environment[_LISTEN], _LISTEN):
        raise StartError(f"{_LISTEN} is {environment[_LISTEN]}, listen in {path} differs")
    return path, settings


def read_settings(path: Path) -> NodeSettings:
    """What the file says. Raises StartError."""
    try:
        raw = msgspec.json.decode(path.read_bytes(), type=_File)
        facts, _ = site_facts(int(raw.seed, 16), bytes(raw.settings))
        zones, kinds = zone_and_kind_names(bytes(raw.settings))
        idle = ms_to_us(msgspec.json.decode(raw.settings, type=_Settings).permissions.idle_ms)
        known = tuple(board_codec.decode_initial_list(msgspec.json.decode(raw.known)))
        peers = tuple(parse_address(text, "peers") for text in raw.peers)
        if raw.limits.sockets < 64:
            raise StartError(f"sockets is {raw.limits.sockets}, 64 at least are needed")
        return NodeSettings(
            raw.name,
            parse_address(raw.listen, "listen"),
            raw.limits.sockets,
            idle,
            facts,
            zones,
            kinds,
            parse_address(raw.board, "board"),
            known,
            parse_address(raw.peer_listen, "peer_listen") if raw.peer_listen else None,
            peers,
            parse_address(raw.peers_all, "peers_all") if raw.peers_all else None,
        )
    except OSError as problem:
        raise StartError(f"{path}: {problem.strerror}") from None
    except (msgspec.MsgspecError, MalformedError, UnreadableError, ValueError) as problem:
        raise StartError(f"{path}: {' '.join(str(problem).split())[:300]}") from None


def parse_address(text: str, what: str) -> Address:
    """A host and a port. Raises StartError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise StartError(f"{what}: {text!r} is no address")
    return host, int(port)
