"""The journal: durable records survive any crash, in order; a journal with damaged records is not opened."""

import contextlib
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ponddoor.store.faulty import CrashError, FaultyFiles
from ponddoor.store.files import Disk, DiskError, LockedError
from ponddoor.store.journal import DamagedError, Journal, StoppedError


def journal_with_records(files: Any, count: int, segment_bytes: int = 200) -> Journal:
    """An open journal with records numbered from 0, each in a commit of its own."""
    journal = Journal(files, segment_bytes=segment_bytes)
    journal.open()
    for number in range(count):
        journal.append(["row", number])
        journal.commit()
    return journal


def recovered_rows(files: Any) -> list[int]:
    """The numbers of the rows in the snapshot and in the records after it."""
    journal = Journal(files)
    recovered = journal.open()
    journal.close()
    return [*(recovered.state or []), *(record[1] for record in recovered.records)]


def test_records_are_recovered_in_order_over_segments_and_snapshots(tmp_path: Path) -> None:
    journal = journal_with_records(Disk(tmp_path), 20)
    journal.snapshot(list(range(20)))
    journal.append(["row", 20])
    journal.commit()
    journal.close()
    assert recovered_rows(Disk(tmp_path)) == list(range(21))
    assert len([name for name in Disk(tmp_path).names() if name.endswith(".log")]) == 1


def test_a_second_process_cannot_open_a_journal_in_use(tmp_path: Path) -> None:
    journal = journal_with_records(Disk(tmp_path), 1)
    with pytest.raises(LockedError):
        Journal(Disk(tmp_path)).open()
    journal.close()
    assert recovered_rows(Disk(tmp_path)) == [0]


def test_a_torn_tail_is_dropped_and_reported(tmp_path: Path) -> None:
    journal_with_records(Disk(tmp_path), 3, 10_000).close()
    path = next(tmp_path.glob("*.log"))
    intact = path.read_bytes()
    for cut in range(1, len(intact) // 3):
        path.write_bytes(intact[:-cut])
        journal = Journal(Disk(tmp_path))
        recovered = journal.open()
        assert [row[1] for row in recovered.records] == [0, 1] and len(recovered.dropped) == 1
        assert journal.append("next") == 3
        journal.close()


def test_a_journal_damaged_in_the_middle_is_not_opened_and_not_changed(tmp_path: Path) -> None:
    journal_with_records(Disk(tmp_path), 4, 10_000).close()
    path = next(tmp_path.glob("*.log"))
    intact = bytearray(path.read_bytes())
    for offset in range(0, len(intact) // 2, 7):
        damaged = bytearray(intact)
        damaged[offset] ^= 0x55
        path.write_bytes(damaged)
        with pytest.raises(DamagedError, match="durable"):
            Journal(Disk(tmp_path)).open()
        assert path.read_bytes() == damaged


def test_a_journal_with_an_unreadable_snapshot_is_not_opened(tmp_path: Path) -> None:
    journal = journal_with_records(Disk(tmp_path), 3)
    journal.snapshot([0, 1, 2])
    journal.close()
    path = next(tmp_path.glob("*.snap"))
    path.write_bytes(path.read_bytes()[:-2])
    with pytest.raises(DamagedError):
        Journal(Disk(tmp_path)).open()


def test_a_failed_sync_stops_the_journal() -> None:
    files = FaultyFiles(Random(1))
    journal = journal_with_records(files, 2)
    journal.append(["row", 2])
    files.pending_faults["sync"] = "error"
    with pytest.raises(DiskError):
        journal.commit()
    with pytest.raises(StoppedError):
        journal.append(["row", 3])
    with pytest.raises(StoppedError):
        journal.commit()
    assert journal.durable_number == 2


def test_records_stay_queued_while_the_disk_is_full() -> None:
    files = FaultyFiles(Random(1))
    journal = journal_with_records(files, 2)
    files.capacity_bytes = sum(len(file.data) for file in files.files.values()) + 10
    journal.append(["row", 2])
    with pytest.raises(DiskError) as raised:
        journal.commit()
    assert raised.value.full and journal.durable_number == 2
    files.capacity_bytes = 1 << 20
    assert journal.commit() == 3
    journal.close()
    assert recovered_rows(files) == [0, 1, 2]


def test_recovery_stops_at_a_record_of_a_newer_format_version(tmp_path: Path) -> None:
    journal_with_records(Disk(tmp_path), 1, 10_000).close()
    path = next(tmp_path.glob("*.log"))
    data = bytearray(path.read_bytes())
    data[24] = 9  # the format version
    path.write_bytes(data)
    assert recovered_rows(Disk(tmp_path)) == []


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.integers(0, 10**6),
    st.lists(st.sampled_from(["append", "commit", "snapshot", "full"]), max_size=30),
    st.integers(0, 40),
)
def test_durable_records_survive_a_crash_at_any_operation(
    seed: int, steps: list[str], operations_until_crash: int
) -> None:
    files = FaultyFiles(Random(seed))
    next_row = durable = 0
    for run in range(3):
        journal = Journal(files, segment_bytes=150)
        recovered = journal.open()
        rows = [*(recovered.state or []), *(record[1] for record in recovered.records)]
        assert rows == list(range(len(rows))) and durable <= len(rows) <= next_row, (
            run,
            rows,
            durable,
            next_row,
        )
        next_row, files.operations_until_crash = len(rows), operations_until_crash if run < 2 else -1
        try:
            for step in steps:
                if step == "append":
                    journal.append(["row", next_row])
                    next_row += 1
                elif step == "full":
                    files.pending_faults["append"] = "full"
                elif step == "snapshot" and journal.durable_number == journal.next_number - 1:
                    with contextlib.suppress(DiskError):
                        journal.snapshot(list(range(next_row)))
                elif step == "commit":
                    try:
                        durable = max(durable, journal.commit())
                    except DiskError as error:
                        assert error.full
        except CrashError:
            pass
        files.crash()
