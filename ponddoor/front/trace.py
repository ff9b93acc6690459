"""What a front was told and what it asked for, line by line, and the same again in virtual time.

A trace holds the facts, the moment of the front's birth, and each event with its moment and the actions that
followed. `replay` feeds the events to a fresh front through the same driver; what it asks for is encoded by
the bench's codec and must be the same to the byte."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from ponddoor.decide import Front
from ponddoor.interface import events as ev
from ponddoor.interface.actions import Action
from ponddoor.interface.facts import SiteFacts
from ponddoor.runtime.driver import Driver
from ponddoor.simhost import codec

VERSION = 1
_KINDS = (ev.ServerNews, ev.SessionRequest, ev.HandedOver, ev.Note, ev.Started, ev.Ended, ev.ViewerLeft)
EVENTS: dict[str, type[Any]] = {
    kind.__name__: kind
    for kind in (*_KINDS, ev.Probed, ev.PeerMessage, ev.TimerDue, ev.PlayerHint, ev.ServerHint, ev.NewTerms)
}


class TraceError(Exception):
    """A file that is no trace, or of another version."""


class Tracer:
    """Writes a trace; each line is whole before the next begins."""

    def __init__(self, path: Path, facts: SiteFacts, born: int) -> None:
        self._file = path.open("wb")
        self._write({"version": VERSION, "born": born, "facts": facts})

    def _write(self, row: dict[str, Any]) -> None:
        self._file.write(msgspec.json.encode(row) + b"\n")

    def fed(self, now: int, event: ev.Event, actions: list[Action]) -> None:
        self._write(
            {"now": now, "kind": type(event).__name__, "event": event, "actions": in_bytes(actions).hex()}
        )

    def close(self) -> None:
        self._file.close()


def in_bytes(actions: list[Action]) -> bytes:
    """Actions as the bench's wire has them."""
    return codec.encode_actions(0, actions)


@dataclass(slots=True)
class Replayed:
    """What a replay found: events by kind, and the first difference by its line, if there is one."""

    events: Counter[str] = field(default_factory=Counter)
    same: int = 0
    different: int = 0
    first: str = ""


def replay(path: Path) -> Replayed:
    """Play a trace again in virtual time. Raises TraceError; a last line that was cut off is left out."""
    rows = _rows(path)
    head = next(rows, {})
    if head.get("version") != VERSION:
        raise TraceError(f"{path}: no trace of version {VERSION}")
    facts = msgspec.convert(head["facts"], type=SiteFacts)
    driver, found = Driver(Front(facts, head["born"])), Replayed()
    for number, row in enumerate(rows, 2):
        event = msgspec.convert(row["event"], type=EVENTS[row["kind"]])
        found.events[row["kind"]] += 1
        got = in_bytes(driver.handle(row["now"], event)).hex()
        if got == row["actions"]:
            found.same += 1
            continue
        found.different += 1
        found.first = found.first or f"line {number}, {row['kind']} at {row['now']}"
    return found


def _rows(path: Path) -> Iterator[dict[str, Any]]:
    for line in path.read_bytes().splitlines():
        try:
            yield msgspec.json.decode(line, type=dict[str, Any])
        except msgspec.MsgspecError:
            return
