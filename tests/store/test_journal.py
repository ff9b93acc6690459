"""The journal: what was durable is there after any crash, in order; damage is refused."""

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


def filled(files: Any, count: int, segment: int = 200) -> Journal:
    journal = Journal(files, segment_bytes=segment)
    journal.open()
    for number in range(count):
        journal.append(["row", number])
        journal.commit()
    return journal


def rows(files: Any) -> list[int]:
    journal = Journal(files)
    held = journal.open()
    journal.close()
    return [*(held.state or []), *(record[1] for record in held.records)]


def test_records_come_back_in_order_over_segments_and_snapshots(tmp_path: Path) -> None:
    journal = filled(Disk(tmp_path), 20)
    journal.snapshot(list(range(20)))
    journal.append(["row", 20])
    journal.commit()
    journal.close()
    assert rows(Disk(tmp_path)) == list(range(21))
    assert len([name for name in Disk(tmp_path).names() if name.endswith(".log")]) == 1


def test_two_processes_on_one_store_are_refused(tmp_path: Path) -> None:
    journal = filled(Disk(tmp_path), 1)
    with pytest.raises(LockedError):
        Journal(Disk(tmp_path)).open()
    journal.close()
    assert rows(Disk(tmp_path)) == [0]


def test_a_torn_tail_is_dropped_and_told(tmp_path: Path) -> None:
    filled(Disk(tmp_path), 3, 10_000).close()
    path = next(tmp_path.glob("*.log"))
    whole = path.read_bytes()
    for cut in range(1, len(whole) // 3):
        path.write_bytes(whole[:-cut])
        journal = Journal(Disk(tmp_path))
        held = journal.open()
        assert [row[1] for row in held.records] == [0, 1] and len(held.dropped) == 1
        assert journal.append("next") == 3
        journal.close()


def test_damage_in_the_middle_is_refused_and_nothing_is_changed(tmp_path: Path) -> None:
    filled(Disk(tmp_path), 4, 10_000).close()
    path = next(tmp_path.glob("*.log"))
    whole = bytearray(path.read_bytes())
    for at in range(0, len(whole) // 2, 7):
        broken = bytearray(whole)
        broken[at] ^= 0x55
        path.write_bytes(broken)
        with pytest.raises(DamagedError, match="durable"):
            Journal(Disk(tmp_path)).open()
        assert path.read_bytes() == broken


def test_a_snapshot_that_cannot_be_read_is_refused(tmp_path: Path) -> None:
    journal = filled(Disk(tmp_path), 3)
    journal.snapshot([0, 1, 2])
    journal.close()
    path = next(tmp_path.glob("*.snap"))
    path.write_bytes(path.read_bytes()[:-2])
    with pytest.raises(DamagedError):
        Journal(Disk(tmp_path)).open()


def test_a_sync_that_failed_stops_the_store() -> None:
    files = FaultyFiles(Random(1))
    journal = filled(files, 2)
    journal.append(["row", 2])
    files.pending_faults["sync"] = "error"
    with pytest.raises(DiskError):
        journal.commit()
    with pytest.raises(StoppedError):
        journal.append(["row", 3])
    with pytest.raises(StoppedError):
        journal.commit()
    assert journal.durable_number == 2


def test_a_full_disk_keeps_the_records_for_later() -> None:
    files = FaultyFiles(Random(1))
    journal = filled(files, 2)
    files.capacity_bytes = sum(len(file.data) for file in files.files.values()) + 10
    journal.append(["row", 2])
    with pytest.raises(DiskError) as refused:
        journal.commit()
    assert refused.value.full and journal.durable_number == 2
    files.capacity_bytes = 1 << 20
    assert journal.commit() == 3
    journal.close()
    assert rows(files) == [0, 1, 2]


def test_a_record_of_a_newer_version_ends_the_reading(tmp_path: Path) -> None:
    filled(Disk(tmp_path), 1, 10_000).close()
    path = next(tmp_path.glob("*.log"))
    data = bytearray(path.read_bytes())
    data[24] = 9
    path.write_bytes(data)
    assert rows(Disk(tmp_path)) == []


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.integers(0, 10**6),
    st.lists(st.sampled_from(["append", "commit", "snapshot", "full"]), max_size=30),
    st.integers(0, 40),
)
def test_after_a_crash_anywhere_all_that_was_durable_is_there(
    seed: int, steps: list[str], crash_in: int
) -> None:
    files = FaultyFiles(Random(seed))
    number = durable = 0
    for life in range(3):
        journal = Journal(files, segment_bytes=150)
        held = journal.open()
        got = [*(held.state or []), *(record[1] for record in held.records)]
        assert got == list(range(len(got))) and durable <= len(got) <= number, (life, got, durable, number)
        number, files.operations_until_crash = len(got), crash_in if life < 2 else -1
        try:
            for step in steps:
                if step == "append":
                    journal.append(["row", number])
                    number += 1
                elif step == "full":
                    files.pending_faults["append"] = "full"
                elif step == "snapshot" and journal.durable_number == journal.next_number - 1:
                    with contextlib.suppress(DiskError):
                        journal.snapshot(list(range(number)))
                elif step == "commit":
                    try:
                        durable = max(durable, journal.commit())
                    except DiskError as problem:
                        assert problem.full
        except CrashError:
            pass
        files.crash()
