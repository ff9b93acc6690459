"""The lines that tell what became of a session, and the command that joins them."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from structlog.testing import capture_logs

from ponddoor.cli import main
from ponddoor.front.pump import SECOND
from ponddoor.node import session_log
from ponddoor.node.session_log import MAX_LINES_PER_SECOND, SessionLog

SESSION = "510a5b97911b1731"


def line(second: int, event: str, **fields: object) -> str:
    at = f"2026-12-04T02:47:{second:02d}.000000Z"
    return json.dumps({"event": event, "timestamp": at, **fields}) + "\n"


def test_lines_are_bounded_each_second_and_the_rest_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    at = [SECOND]
    monkeypatch.setattr(session_log, "clock", lambda: at[0])
    written = SessionLog()
    with capture_logs() as lines:
        for _ in range(MAX_LINES_PER_SECOND + 5):
            written.session_standing(SESSION, 0x2851A7E9, 1)
        at[0] += SECOND
        written.session_standing(SESSION, 0x2851A7E9, 1)
    assert (len(lines), written.lines_dropped) == (MAX_LINES_PER_SECOND + 1, 5)
    assert lines[0]["server"] == "s-2851a7e9" and lines[0]["session"] == SESSION


def test_the_timeline_joins_a_session_with_the_connections_of_its_server(tmp_path: Path) -> None:
    logs = tmp_path / "n2.log"
    logs.write_text(
        line(1, "connection-opened", server="s-2851a7e9", connection=4)
        + "no line of a log\n"
        + line(5, "session-stands", session=SESSION, server="s-2851a7e9", viewer_connection=1)
        + line(6, "connection-opened", server="s-2c7b8df6", connection=5)
        + line(9, "refresh-failed", server="s-2851a7e9", connection=6)
        + line(12, "sessions-lost", server="s-2851a7e9", ids=["0" * 16, SESSION])
        + line(50, "connection-opened", server="s-2851a7e9", connection=9)
    )
    got = CliRunner().invoke(main, ["timeline", SESSION, str(logs)])
    assert got.exit_code == 0
    events = [one.split()[2] for one in got.output.splitlines()]
    assert events == ["connection-opened", "session-stands", "refresh-failed", "sessions-lost"]


@pytest.mark.parametrize(
    ("text", "status"), [("", 1), (json.dumps({"event": "x", "timestamp": "y", "session": SESSION}), 2)]
)
def test_a_log_that_tells_nothing_is_one_line_of_error(text: str, status: int) -> None:
    got = CliRunner().invoke(main, ["timeline", SESSION], input=text)
    assert got.exit_code == status and got.output.count("\n") == 1
