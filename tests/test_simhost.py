"""The simulator adapter, with frames that these tests encode themselves."""

import io
import json
import struct
import subprocess
import sys
from typing import Any

import pytest

from ponddoor.platform.facts import MalformedError
from ponddoor.simhost.host import serve

FACTS: dict[str, Any] = {
    "accounts": [],
    "balancers": 1,
    "discovery": "pushed",
    "me": 0,
    "zone": 0,
    "unheard_of": {"x": 1},
    "lanes": [
        {
            "aim": 800.0,
            "deadline": 4000.0,
            "group": "all",
            "memorySpan": 0.0,
            "name": "talks",
            "semantics": "repeatable",
            "value": 1.0,
        }
    ],
    "permissions": {
        "cancelling": True,
        "connectTimeout": 250.0,
        "maxAttempts": 3,
        "maxRetryAfter": 500.0,
        "mayTell": False,
        "probes": False,
        "retryAfter": True,
    },
    "prices": {"crossZone": 0.0, "probe": 0.0, "peer": 0.0, "moves": 0.0},
    "reporting": {"fields": ["x0"], "how": "inline"},
    "safety": {
        "cold": 9000.0,
        "coldFrom": 0.5,
        "drainGrace": 500.0,
        "fall": 1000.0,
        "fallMultiple": 3.0,
        "graceToAnswer": 40.0,
    },
    "specifics": {
        "changeCostsS": 0.5,
        "classSeats": [0],
        "classTop": [2],
        "floorByClass": [0],
        "groups": 2,
        "kbPerWeight": 1000.0,
        "kindStreams": [300],
        "ladderWorth": [0.2, 0.6, 1.0],
        "live": [False],
        "positions": 4,
        "rackKb": 90000.0,
        "rateFactor": [1.0],
        "rungKb": [100.0, 300.0, 900.0],
        "shortfallCost": 6.0,
    },
}
SERVER = 0xABCDEF01


def record(code: int, layout: str = "", *values: Any) -> bytes:
    body = struct.pack(">" + layout, *values)
    return struct.pack(">HI", code, len(body)) + body


def batch(clock_ms: float, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack(">IdI", len(body), clock_ms, len(records)) + body


def boot(settings: dict[str, Any]) -> list[bytes]:
    """The records that start instance 4 with these settings and a list of one server."""
    text = json.dumps(settings).encode()
    row = struct.pack(">IHHHBfd", SERVER, 0, 0, 1, 2, 5.0, 0.0)
    return [
        record(10, "I", 4),
        record(5, f"QI{len(text)}s", 77, len(text), text),
        record(12, f"BI{len(row)}s", 3, 1, row),
        record(13, "BQB", 2, 1, 3),
    ]


def request(req_id: int) -> bytes:
    return record(4, "IHHQQddfffB", req_id, 0, 0, 9, 8, 4000.0, 0.0, 1.0, 1.0, 1.0, 0)


def replies(*batches: bytes) -> list[list[tuple[int, bytes]]]:
    """The records of each reply, as (code, body)."""
    sink, decoded = io.BytesIO(), []
    serve(io.BytesIO(b"".join(batches)), sink)
    data = sink.getvalue()
    while data:
        (size,) = struct.unpack_from(">I", data)
        frame, data, records = data[4 : 4 + size], data[4 + size :], []
        while frame:
            code, length = struct.unpack_from(">HI", frame)
            records.append((code, frame[6 : 6 + length]))
            frame = frame[6 + length :]
        decoded.append(records)
    return decoded


def test_a_request_is_answered_with_a_setup() -> None:
    empty, booted, requested = replies(
        batch(0.0), batch(20000.0, *boot(FACTS)), batch(20010.0, record(10, "I", 4), request(0xFFFFFFF0))
    )
    assert empty == [] and all(code in (15, 5) for code, _ in booted)
    assert [code for code, _ in requested] == [15, 13, 1]
    assert requested[0][1] == struct.pack(">I", 4)
    assert requested[1][1] == struct.pack(">IB", 0xFFFFFFF0, 1)
    assert struct.unpack(">IdI", requested[2][1]) == (0xFFFFFFF0, 360.0, SERVER)


def test_an_instance_killed_and_booted_in_one_batch_has_no_earlier_sessions() -> None:
    reboot = [record(10, "I", 4), record(11), *boot(FACTS)[1:]]
    ended = record(9, "IIHHBdB", 7, SERVER, 301, 0, 0, 5.0, 0)
    decoded = replies(
        batch(0.0, *boot(FACTS), request(7)), batch(10.0, *reboot), batch(20.0, record(10, "I", 4), ended)
    )
    assert decoded[2] == []


def test_a_list_number_that_is_used_again_replaces_the_list() -> None:
    row = struct.pack(">IHHHBfd", 5, 0, 0, 1, 2, 50.0, 0.0)
    second_list = [record(12, f"BI{len(row)}s", 3, 1, row), record(10, "I", 4), record(13, "BQB", 0, 2, 3)]
    decoded = replies(
        batch(0.0, *boot(FACTS)), batch(10.0, *second_list), batch(20.0, record(10, "I", 4), request(7))
    )
    assert decoded[2][-1][1][-4:] == struct.pack(">I", 5)


def test_an_exception_in_the_decisions_is_reported_on_the_wire() -> None:
    unknown_group = record(4, "IHHQQddfffB", 7, 99, 0, 9, 8, 4000.0, 0.0, 1.0, 1.0, 1.0, 0)
    decoded = replies(batch(0.0, *boot(FACTS)), batch(10.0, record(10, "I", 4), unknown_group))
    assert [code for code, _ in decoded[1]] == [15, 10] and b"IndexError" in decoded[1][1][1]


MALFORMED = {
    "a truncated header": b"\0\0",
    "a truncated batch": batch(0.0, record(10, "I", 4))[:-1],
    "an unknown code": batch(0.0, record(10, "I", 4), record(99)),
    "a truncated field": batch(0.0, record(10, "H", 4)),
    "a record longer than its batch": struct.pack(">IdI", 6, 0.0, 1) + struct.pack(">HI", 10, 4),
    "bytes after the last record": struct.pack(">IdI", 3, 0.0, 0) + b"abc",
    "settings without specifics": batch(0.0, *boot({**FACTS, "specifics": {}})),
    "an unknown kind of reporting": batch(0.0, *boot({**FACTS, "reporting": {"fields": [], "how": "?"}})),
    "a top rung that is not a number": batch(
        0.0, *boot(FACTS), record(4, "IHHQQddfffB", 7, 0, 0, 9, 8, 4000.0, 0.0, 1.0, 1.0, float("nan"), 0)
    ),
    "an event before any instance": batch(0.0, record(1, "I", 1)),
    "an event for an instance that is not running": batch(0.0, record(10, "I", 1), record(1, "I", 1)),
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED.keys())
def test_malformed_input_is_rejected(data: bytes) -> None:
    with pytest.raises(MalformedError):
        serve(io.BytesIO(data), io.BytesIO())


def test_malformed_input_ends_the_program_with_one_error_line() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "ponddoor.simhost"],
        input=MALFORMED["an unknown code"],
        capture_output=True,
        check=False,
    )
    assert process.returncode == 2
    assert process.stderr.decode().splitlines() == [
        "ponddoor.simhost: malformed input: unknown event code 99"
    ]
