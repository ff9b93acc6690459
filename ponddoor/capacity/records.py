"""The form of all measurements: one record for each figure of one run, one JSON object a line.

What is fitted, projected and shown on the page comes from records alone: each names how to get it again."""

import os
import subprocess
from collections.abc import Iterable
from pathlib import Path

import msgspec

MOST_LINE = 10_000  # bytes of one record
MOST_RECORDS = 200_000


class RecordError(Exception):
    """A file of records that can't be used: `str` names the file, the line and what is wrong."""


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One figure of one run.

    `what` is a dotted name (`control.bytes.ping`), `under` the conditions (`calm`, `loss-10`, `roll`), `size`
    is counted in `of` (`fronts`, `sessions`). `how` says what was run: `virtual` (the cores in virtual time),
    `sockets` (processes on loopback), `cores` (a core alone, timed), `trial`. Times are in seconds unless
    `unit` says otherwise."""

    what: str
    under: str
    of: str
    size: float
    repetition: int
    seed: int
    figure: float
    unit: str
    how: str
    commit: str
    cores: int
    command: str


def commit_of(folder: Path) -> str:
    """The commit of the text in a folder, with a plus where it was changed since; `unknown` outside one."""
    asked = ["git", "-C", str(folder), "describe", "--always", "--abbrev=12", "--dirty=+", "--exclude=*"]
    try:
        told = subprocess.run(asked, capture_output=True, text=True, timeout=10, check=False)
    except OSError:
        return "unknown"
    return told.stdout.strip() or "unknown"


def cores() -> int:
    """How many cores this process may use."""
    return len(os.sched_getaffinity(0))


def write(path: Path, records: Iterable[Record]) -> None:
    """Add records to the end of a file. Raises OSError."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as file:
        for record in records:
            file.write(msgspec.json.encode(record) + b"\n")


def read(path: Path) -> list[Record]:
    """All records of a file. Raises RecordError where one line can't be used."""
    found: list[Record] = []
    try:
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                if len(line) > MOST_LINE or number > MOST_RECORDS:
                    told = f"more than {MOST_LINE} bytes a line or {MOST_RECORDS} records"
                    raise RecordError(f"{path}:{number}: {told}")
                if not line.endswith(b"\n"):
                    raise RecordError(f"{path}:{number}: cut short")
                try:
                    found.append(msgspec.json.decode(line, type=Record))
                except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
                    raise RecordError(f"{path}:{number}: {problem}") from None
    except OSError as problem:
        raise RecordError(f"{path}: {problem.strerror or problem}") from None
    return found


def read_folder(folder: Path) -> list[Record]:
    """The records of all `.jsonl` files of a folder, in the order of their names. Raises RecordError."""
    return [record for path in sorted(folder.glob("*.jsonl")) for record in read(path)]
