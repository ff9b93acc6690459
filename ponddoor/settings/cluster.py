"""A cluster file: who agrees on the configuration, and where. `(cluster NAME (key-file FILE) (member N
...)...)`."""

from dataclasses import dataclass
from pathlib import Path

from ponddoor.settings.check import Form, top_form
from ponddoor.settings.sexpr import Problem, SettingsError, read


@dataclass(frozen=True, slots=True)
class MemberPlace:
    """One member: where its peers and its API are reached, and its generation, raised when its disk is
    replaced."""

    number: int
    peers: tuple[str, int]
    api: tuple[str, int]
    generation: int


@dataclass(frozen=True, slots=True)
class ClusterFile:
    """Everything a cluster file says. `founders` begin the cluster; the others join by `ponddoor raft
    add`."""

    name: str
    key: bytes
    members: dict[int, MemberPlace]
    founders: frozenset[int]


def load_cluster(path: Path) -> ClusterFile:
    """The cluster a file describes. Raises SettingsError with all that is wrong."""
    problems: list[Problem] = []
    top = top_form(read(path), "cluster", str(path), problems)
    name = top.name().text
    key = _key(top, path.parent)
    members: dict[int, MemberPlace] = {}
    founders: set[int] = set()
    for text, held in top.named("member", "member"):
        number = int(text) if text.isdigit() and int(text) < 1000 else -1
        if number < 0:
            held.problem(held.name().place, text, "a number from 0 to 999")
        peers, api = held.address("peers"), held.address("api")
        if peers == api:
            held.problem(held.place, "one address for peers and API", "two")
        members[number] = MemberPlace(number, peers, api, held.whole("generation", 0))
        if held.flag("founder", True):
            founders.add(number)
        held.done(words=1)
    if not members:
        top.problem(top.place, "no member", "(member N (peers ADDRESS) (api ADDRESS)) once at least")
    elif not founders:
        top.problem(top.place, "no founder", "a member without (founder no)")
    top.done(words=1)
    if problems:
        raise SettingsError(sorted(problems, key=lambda p: (p.place.line, p.place.column)))
    return ClusterFile(name, key, members, frozenset(founders))


def _key(top: Form, folder: Path) -> bytes:
    file = top.text("key-file")
    try:
        key = bytes.fromhex((folder / file).read_text().strip())
    except (OSError, ValueError, UnicodeDecodeError):
        key = b""
    if len(key) < 16:
        top.problem(top.place, f"key file {file}", "a readable file with 16 bytes at least in hexadecimal")
    return key
