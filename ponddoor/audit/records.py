"""Records of what passed on sockets: one file a process, one JSON object a line, flushed line by line."""

import time
from pathlib import Path
from typing import Any

import msgspec


class Recorder:
    """Writes one process's record, `at` by its own monotonic clock (us); without a file, into `rows`."""

    def __init__(self, path: Path | None, who: str) -> None:
        self._file = path.open("ab", buffering=0) if path is not None else None
        self._who = who
        self.rows: list[dict[str, Any]] = []

    def note(self, what: str, **fields: Any) -> None:
        row = {"at": time.monotonic_ns() // 1000, "who": self._who, "what": what, **fields}
        if self._file is None:
            self.rows.append(row)
        else:
            self._file.write(msgspec.json.encode(row) + b"\n")


def read(folder: Path) -> tuple[list[dict[str, Any]], list[str]]:
    """All rows of a folder's records by time, and what was left out: lines that a kill cut off."""
    rows: list[dict[str, Any]] = []
    left_out: list[str] = []
    for path in sorted(folder.glob("*.rec")):
        for number, line in enumerate(path.read_bytes().split(b"\n"), 1):
            try:
                row = msgspec.json.decode(line, type=dict[str, Any]) if line else None
            except msgspec.MsgspecError:
                left_out.append(f"{path.name}:{number}: cut off")
                continue
            if row is not None and {"at", "who", "what"} <= row.keys():
                rows.append(row)
    return sorted(rows, key=lambda row: int(row["at"])), left_out
