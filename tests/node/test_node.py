"""The node: every scenario in `scenarios/`, and its start as a process."""

import itertools
import json
import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from copy import deepcopy
from pathlib import Path

import pytest

from ponddoor.rehearse.run import free_ports
from tests.test_simhost import FACTS

from .conftest import message, parameter

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
FORBIDDEN = (
    "h11",
    "lark",
    "prometheus_client",
    "cryptography",
    "jwt",
    "hdrh",
    "matplotlib",
    "numpy",
    "ponddoor.raft",
    "ponddoor.seats",
    "ponddoor.hints",
    "ponddoor.web.server",
    "ponddoor.config",
    "ponddoor.settings.site",
    "ponddoor.front.follower",
    "ponddoor.front.following",
    "ponddoor.front.taking",
    "click",
)


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path, play_node: Callable[[str], None]) -> None:
    play_node(path.read_text())


def told(folder: Path, **other: object) -> dict[str, str]:
    port, board = free_ports(2)
    file = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "seed": "1f",
        "board": f"127.0.0.1:{board}",
        "settings": deepcopy(FACTS) | {"localities": ["north"], "skus": ["box"]},
        **other,
    }
    path = folder / "node.json"
    path.write_text(json.dumps(file))
    return {"BALANCER_NAME": "n0", "BALANCER_LISTEN": f"127.0.0.1:{port}", "BALANCER_CONFIG": str(path)}


def start(environment: dict[str, str], *code: str) -> "subprocess.Popen[str]":
    return subprocess.Popen(
        [sys.executable, *(code or ("-m", "ponddoor.node"))],
        text=True,
        env={**os.environ, **environment},
        stderr=subprocess.PIPE,
    )


@pytest.mark.parametrize(
    "spoil",
    [
        {"settings": {}},
        {"seed": "x"},
        {"board": "nowhere"},
        {"listen": 5},
        {"known": {"rev": "a"}},
        {"limits": {"sockets": 3}},
        {"peers": ["x"]},
    ],
)
def test_a_start_that_can_not_be(tmp_path: Path, spoil: dict[str, object]) -> None:
    process = start(told(tmp_path, **spoil))
    _, said = process.communicate(timeout=20)
    assert process.returncode == 2 and said.count("\n") == 1 and said.startswith("ponddoor.node: "), said


@pytest.mark.parametrize(
    ("part", "terms", "words"),
    [
        ("specifics", {"floorByClass": [9]}, "group talks: floor 9"),
        ("specifics", {"floorByClass": [-1]}, "group talks: floor -1"),
        ("specifics", {"classSeats": [-1]}, "group talks: -1 seats"),
        ("lanes", {"semantics": "twice"}, "unknown semantics 'twice'"),
    ],
)
def test_terms_that_nobody_can_keep(tmp_path: Path, part: str, terms: dict[str, object], words: str) -> None:
    settings = deepcopy(FACTS) | {"localities": ["north"], "skus": ["box"]}
    (settings[part][0] if part == "lanes" else settings[part]).update(terms)
    process = start(told(tmp_path, settings=settings))
    _, said = process.communicate(timeout=20)
    assert process.returncode == 2 and said.count("\n") == 1 and words in said, said


def test_a_missing_variable_and_a_missing_file(tmp_path: Path) -> None:
    environment = told(tmp_path)
    for wrong in (
        {**environment, "BALANCER_LISTEN": ""},
        {**environment, "BALANCER_CONFIG": str(tmp_path / "no")},
    ):
        process = start(wrong)
        _, said = process.communicate(timeout=20)
        assert process.returncode == 2 and said.count("\n") == 1, said


def test_signals_and_what_is_imported(tmp_path: Path) -> None:
    environment = told(tmp_path)
    code = (
        f"import sys; from ponddoor.node.__main__ import main; got = main(); "
        f"sys.exit(got or 10 * any(name in sys.modules for name in {FORBIDDEN!r}))"
    )
    process = start(environment, "-c", code)
    assert process.stderr is not None
    said = iter(process.stderr.readline, "")
    assert any("node-started" in line for line in said)
    process.send_signal(signal.SIGHUP)
    assert any('"reloaded"' in line for line in said)
    host, _, port = environment["BALANCER_LISTEN"].partition(":")
    with socket.create_connection((host, int(port)), 5) as viewer:
        viewer.sendall(message(52, "0", parameter(143, b"\0")))
        assert viewer.recv(100)[2] == 53
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    process.stderr.close()


def is_served(environment: dict[str, str]) -> bool:
    """Whether a node answers a viewer's test."""
    host, _, port = environment["BALANCER_LISTEN"].partition(":")
    with socket.create_connection((host, int(port)), 5) as viewer:
        viewer.settimeout(5)
        viewer.sendall(message(52, "0", parameter(143, b"\0")))
        return viewer.recv(100)[2:3] == b"\x35"


SOME_LINES = 30  # of the log, within which what is waited for has to come
QUICK_STATE = (
    "import sys; from ponddoor.node import process; process.STATE_LOG_INTERVAL_US = 100_000; "
    "from ponddoor.node.__main__ import main; sys.exit(main())"
)


def test_a_node_without_a_free_descriptor_goes_on(tmp_path: Path) -> None:
    environment = told(tmp_path)
    process = start(environment, "-c", QUICK_STATE)
    assert process.stderr is not None
    said = iter(process.stderr.readline, "")
    assert any("node-started" in line for line in said)
    used = [int(name) for name in os.listdir(f"/proc/{process.pid}/fd")]
    limits = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (max(used) + 1, limits[1]))
    for _ in range(3):
        assert any('"event": "state"' in line for line in itertools.islice(said, SOME_LINES))
    process.send_signal(signal.SIGHUP)
    assert any('"reloaded"' in line for line in itertools.islice(said, SOME_LINES))
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
    assert is_served(environment)
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    process.stderr.close()


def test_a_node_whose_log_can_not_be_written_goes_on(tmp_path: Path) -> None:
    environment = told(tmp_path)
    process = start(environment, "-c", QUICK_STATE)
    assert process.stderr is not None
    assert any("node-started" in line for line in iter(process.stderr.readline, ""))
    process.stderr.close()
    process.send_signal(signal.SIGHUP)
    with pytest.raises(subprocess.TimeoutExpired):
        process.wait(1)
    assert is_served(environment)
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
