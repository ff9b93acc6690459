"""`ponddoor timeline`: what the logs of nodes tell of one session, in order of time."""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import TextIO

import click

AROUND_S = 10.0  # lines of its server so long before it stands and after it is over
SERVER_EVENTS = frozenset(
    (
        "connection-opened",
        "connection-in-use",
        "connection-broke",
        "connection-ended",
        "refresh-failed",
        "sessions-lost",
        "no-descriptor",
    )
)


class TimelineError(Exception):
    """Logs that can't be used; the text is one line."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log."""

    node: str
    at: str  # as logged, ISO 8601 in UTC
    event: str
    fields: dict[str, object]

    def names(self, session: str) -> bool:
        """Whether it is about a session."""
        ids = self.fields.get("ids")
        return self.fields.get("session") == session or (isinstance(ids, list) and session in ids)

    def shown(self) -> str:
        """As a line of the timeline."""
        more = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at} {self.node} {self.event} {more}".rstrip()


def read(node: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """The lines of one log that can be read."""
    for line in lines:
        try:
            got = json.loads(line)
        except ValueError:
            continue
        if isinstance(got, dict) and isinstance(got.get("timestamp"), str) and "event" in got:
            at, event = str(got.pop("timestamp")), str(got.pop("event"))
            got.pop("level", None)
            yield LogLine(node, at, event, got)


def timeline(session: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """The lines about a session, and those about its server while it stood there."""
    ordered = sorted(lines, key=lambda one: one.at)
    named = [one for one in ordered if one.names(session)]
    if not named:
        return []
    nodes = {one.node for one in named}
    servers = {one.fields["server"] for one in named if "server" in one.fields}
    first, last = _seconds(named[0].at) - AROUND_S, _seconds(named[-1].at) + AROUND_S
    return [
        one
        for one in ordered
        if one.names(session)
        or (
            one.event in SERVER_EVENTS
            and one.node in nodes
            and one.fields.get("server") in servers
            and first <= _seconds(one.at) <= last
        )
    ]


def _seconds(at: str) -> float:
    try:
        return datetime.fromisoformat(at).timestamp()
    except ValueError:
        raise TimelineError(f"{at[:40]!r} is no time of a log") from None


@click.command(name="timeline")
@click.argument("session")
@click.argument("logs", nargs=-1, type=click.File("r", encoding="utf-8", errors="replace"))
def command(session: str, logs: tuple[TextIO, ...]) -> None:
    """Print what nodes' LOGS tell of one SESSION, in order of time. Without LOGS: standard input."""
    try:
        lines = [line for one in logs or (sys.stdin,) for line in read(one.name, one)]
        found = timeline(session, lines)
    except TimelineError as problem:
        click.echo(f"ponddoor timeline: {problem}", err=True)
        sys.exit(2)
    if not found:
        click.echo(f"ponddoor timeline: no line names session {session}", err=True)
        sys.exit(1)
    for line in found:
        click.echo(line.shown())
