"""Records the events and actions of a front, and replays them in virtual time.

A trace is a file of JSON lines. The first has the facts and the time at which the front was made, each other
line an event with its time and the resulting actions. `replay` passes the events to a new front through the
same driver. Its actions, encoded by the simulator adapter's codec, must equal the recorded ones byte for
byte."""

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
    """The file is not a trace, or has another version."""


class Tracer:
    """Writes a trace, one line for each event."""

    def __init__(self, path: Path, facts: SiteFacts, born: int) -> None:
        self._file = path.open("wb")
        self._write({"version": VERSION, "born": born, "facts": facts})

    def _write(self, row: dict[str, Any]) -> None:
        self._file.write(msgspec.json.encode(row) + b"\n")

    def write_event(self, now: int, event: ev.Event, actions: list[Action]) -> None:
        self._write(
            {
                "now": now,
                "kind": type(event).__name__,
                "event": event,
                "actions": encode_actions(actions).hex(),
            }
        )

    def close(self) -> None:
        self._file.close()


def encode_actions(actions: list[Action]) -> bytes:
    """Encodes actions in the wire format of the simulator's adapter."""
    return codec.encode_actions(0, actions)


@dataclass(slots=True)
class ReplayResult:
    """The events by kind, how many led to the same or to different actions, and the line of the first
    difference (empty if there is none)."""

    events: Counter[str] = field(default_factory=Counter)
    same: int = 0
    different: int = 0
    first_difference: str = ""


def replay(path: Path) -> ReplayResult:
    """Replays a trace in virtual time. A truncated last line is ignored. Raises TraceError."""
    rows = _rows(path)
    head = next(rows, {})
    if head.get("version") != VERSION:
        raise TraceError(f"{path}: not a trace of version {VERSION}")
    facts = msgspec.convert(head["facts"], type=SiteFacts)
    driver, result = Driver(Front(facts, head["born"])), ReplayResult()
    for number, row in enumerate(rows, 2):
        event = msgspec.convert(row["event"], type=EVENTS[row["kind"]])
        result.events[row["kind"]] += 1
        actions = encode_actions(driver.handle(row["now"], event)).hex()
        if actions == row["actions"]:
            result.same += 1
            continue
        result.different += 1
        result.first_difference = result.first_difference or f"line {number}, {row['kind']} at {row['now']}"
    return result


def _rows(path: Path) -> Iterator[dict[str, Any]]:
    for line in path.read_bytes().splitlines():
        try:
            yield msgspec.json.decode(line, type=dict[str, Any])
        except msgspec.MsgspecError:
            return
