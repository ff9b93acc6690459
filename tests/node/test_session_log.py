"""The log lines about a session, and the command `ponddoor timeline`, which collects them."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from structlog.testing import capture_logs

from ponddoor.cli import main
from ponddoor.front.pump import SECOND
from ponddoor.node import session_log
from ponddoor.node.session_log import MAX_LINES_PER_SECOND, ReleaseCopy, SessionLog

SESSION = "510a5b97911b1731"


def line(second: int, event: str, **fields: object) -> str:
    timestamp = f"2026-12-04T02:47:{second:02d}.000000Z"
    return json.dumps({"event": event, "timestamp": timestamp, **fields}) + "\n"


def test_log_lines_per_second_are_limited_and_dropped_ones_are_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = [SECOND]
    monkeypatch.setattr(session_log, "clock", lambda: now[0])
    session_lines = SessionLog()
    with capture_logs() as lines:
        for _ in range(MAX_LINES_PER_SECOND + 5):
            session_lines.session_standing(SESSION, 0x2851A7E9, 1)
        now[0] += SECOND
        session_lines.session_standing(SESSION, 0x2851A7E9, 1)
    assert (len(lines), session_lines.lines_dropped) == (MAX_LINES_PER_SECOND + 1, 5)
    assert lines[0]["server"] == "s-2851a7e9" and lines[0]["session"] == SESSION


def test_the_timeline_has_a_session_and_the_connections_to_its_server(tmp_path: Path) -> None:
    logs = tmp_path / "n2.log"
    logs.write_text(
        line(1, "connection-opened", server="s-2851a7e9", connection=4)
        + "not a log line\n"
        + line(5, "session-stands", session=SESSION, server="s-2851a7e9", viewer_connection=1)
        + line(6, "connection-opened", server="s-2c7b8df6", connection=5)
        + line(9, "refresh-failed", server="s-2851a7e9", connection=6)
        + line(12, "sessions-lost", server="s-2851a7e9", ids=["0" * 16, SESSION])
        + line(50, "connection-opened", server="s-2851a7e9", connection=9)
    )
    result = CliRunner().invoke(main, ["timeline", SESSION, str(logs)])
    assert result.exit_code == 0
    events = [row.split()[2] for row in result.output.splitlines()]
    assert events == ["connection-opened", "session-stands", "refresh-failed", "sessions-lost"]


def test_each_copy_of_a_release_is_logged_with_its_connections_and_the_end_of_its_delivery() -> None:
    session_lines = SessionLog()
    with capture_logs() as lines:
        session_lines.session_released(SESSION, 2, [ReleaseCopy(7, 1_500_000), ReleaseCopy(9, 20_000)])
        session_lines.release_ended(SESSION, "acknowledged", 3, 212_000)
    assert [(line["event"], line["session"]) for line in lines] == [
        ("session-released", SESSION),
        ("release-ended", SESSION),
    ]
    assert (lines[0]["attempt"], lines[0]["viewer_connections"]) == (2, [7, 9])
    assert lines[0]["silent_ms"] == [1500, 20]
    assert (lines[1]["how"], lines[1]["copies"], lines[1]["after_ms"]) == ("acknowledged", 3, 212)


@pytest.mark.parametrize(
    ("text", "status"), [("", 1), (json.dumps({"event": "x", "timestamp": "y", "session": SESSION}), 2)]
)
def test_a_log_without_the_session_or_without_valid_timestamps_gives_one_error_line(
    text: str, status: int
) -> None:
    result = CliRunner().invoke(main, ["timeline", SESSION], input=text)
    assert result.exit_code == status and result.output.count("\n") == 1
