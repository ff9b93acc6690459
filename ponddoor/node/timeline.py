"""`ponddoor timeline`: the log lines of several nodes about one session, in order of time."""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import TextIO

import click

# Lines about the session's server are shown from this long before its first line to this long after its last
SERVER_LINES_MARGIN_S = 10.0
SERVER_EVENTS = frozenset(
    (
        "connection-opened",
        "connection-in-use",
        "connection-broke",
        "connection-ended",
        "interval-proven",
        "interval-unknown",
        "refresh-failed",
        "sessions-lost",
        "no-descriptor",
    )
)


class TimelineError(Exception):
    """Unusable log lines. The text is one line, for the operator."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log."""

    node: str
    timestamp: str  # as logged, ISO 8601 in UTC
    event: str
    fields: dict[str, object]

    def mentions(self, session: str) -> bool:
        """Whether the line is about a session."""
        ids = self.fields.get("ids")
        return self.fields.get("session") == session or (isinstance(ids, list) and session in ids)

    def format(self) -> str:
        """Format as a line of the timeline."""
        pairs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.timestamp} {self.node} {self.event} {pairs}".rstrip()


def read_log(node: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of one log. Lines of another form are skipped."""
    for line in lines:
        try:
            fields = json.loads(line)
        except ValueError:
            continue
        if isinstance(fields, dict) and isinstance(fields.get("timestamp"), str) and "event" in fields:
            timestamp, event = str(fields.pop("timestamp")), str(fields.pop("event"))
            fields.pop("level", None)
            yield LogLine(node, timestamp, event, fields)


def timeline(session: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Select the lines about a session, and those about its servers around that time, in order of time.

    Lines about servers are taken only from nodes that mention the session."""
    ordered = sorted(lines, key=lambda line: line.timestamp)
    mentions = [line for line in ordered if line.mentions(session)]
    if not mentions:
        return []
    nodes = {line.node for line in mentions}
    servers = {line.fields["server"] for line in mentions if "server" in line.fields}
    first, last = (
        _seconds(mentions[0].timestamp) - SERVER_LINES_MARGIN_S,
        _seconds(mentions[-1].timestamp) + SERVER_LINES_MARGIN_S,
    )
    return [
        line
        for line in ordered
        if line.mentions(session)
        or (
            line.event in SERVER_EVENTS
            and line.node in nodes
            and line.fields.get("server") in servers
            and first <= _seconds(line.timestamp) <= last
        )
    ]


def _seconds(timestamp: str) -> float:
    try:
        return datetime.fromisoformat(timestamp).timestamp()
    except ValueError:
        raise TimelineError(f"timestamp {timestamp[:40]!r} is not in ISO 8601 format") from None


@click.command(name="timeline")
@click.argument("session")
@click.argument("logs", nargs=-1, type=click.File("r", encoding="utf-8", errors="replace"))
def command(session: str, logs: tuple[TextIO, ...]) -> None:
    """Print the lines of nodes' LOGS about one SESSION in order of time. Without LOGS: standard input."""
    try:
        lines = [line for log_file in logs or (sys.stdin,) for line in read_log(log_file.name, log_file)]
        selected = timeline(session, lines)
    except TimelineError as problem:
        click.echo(f"ponddoor timeline: {problem}", err=True)
        sys.exit(2)
    if not selected:
        click.echo(f"ponddoor timeline: no log line mentions session {session}", err=True)
        sys.exit(1)
    for line in selected:
        click.echo(line.format())
