"""Runs every scenario in `scenarios/`, and the node as a process."""

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

from .conftest import encode_message, encode_parameter

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
FORBIDDEN_MODULES = (
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


def write_settings(directory: Path, **changes: object) -> dict[str, str]:
    port, board_port = free_ports(2)
    settings = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "seed": "1f",
        "board": f"127.0.0.1:{board_port}",
        "settings": deepcopy(FACTS) | {"localities": ["north"], "skus": ["box"]},
        **changes,
    }
    path = directory / "node.json"
    path.write_text(json.dumps(settings))
    return {"BALANCER_NAME": "n0", "BALANCER_LISTEN": f"127.0.0.1:{port}", "BALANCER_CONFIG": str(path)}


def start_node_process(environment: dict[str, str], *code: str) -> "subprocess.Popen[str]":
    return subprocess.Popen(
        [sys.executable, *(code or ("-m", "ponddoor.node"))],
        text=True,
        env={**os.environ, **environment},
        stderr=subprocess.PIPE,
    )


@pytest.mark.parametrize(
    "changes",
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
def test_invalid_settings_end_the_start_with_one_line_of_error(
    tmp_path: Path, changes: dict[str, object]
) -> None:
    process = start_node_process(write_settings(tmp_path, **changes))
    _, stderr = process.communicate(timeout=20)
    assert process.returncode == 2 and stderr.count("\n") == 1 and stderr.startswith("ponddoor.node: "), (
        stderr
    )


@pytest.mark.parametrize(
    ("section", "changes", "error"),
    [
        ("specifics", {"floorByClass": [9]}, "group talks: floor 9"),
        ("specifics", {"floorByClass": [-1]}, "group talks: floor -1"),
        ("specifics", {"classSeats": [-1]}, "group talks: -1 seats"),
        ("lanes", {"semantics": "twice"}, "unknown semantics 'twice'"),
    ],
)
def test_platform_settings_out_of_range_end_the_start(
    tmp_path: Path, section: str, changes: dict[str, object], error: str
) -> None:
    settings = deepcopy(FACTS) | {"localities": ["north"], "skus": ["box"]}
    (settings[section][0] if section == "lanes" else settings[section]).update(changes)
    process = start_node_process(write_settings(tmp_path, settings=settings))
    _, stderr = process.communicate(timeout=20)
    assert process.returncode == 2 and stderr.count("\n") == 1 and error in stderr, stderr


def test_missing_variable_or_settings_file_ends_the_start(tmp_path: Path) -> None:
    environment = write_settings(tmp_path)
    for changed in (
        {**environment, "BALANCER_LISTEN": ""},
        {**environment, "BALANCER_CONFIG": str(tmp_path / "no")},
    ):
        process = start_node_process(changed)
        _, stderr = process.communicate(timeout=20)
        assert process.returncode == 2 and stderr.count("\n") == 1, stderr


def test_node_handles_signals_and_imports_no_forbidden_module(tmp_path: Path) -> None:
    environment = write_settings(tmp_path)
    code = (
        f"import sys; from ponddoor.node.__main__ import main; status = main(); "
        f"sys.exit(status or 10 * any(name in sys.modules for name in {FORBIDDEN_MODULES!r}))"
    )
    process = start_node_process(environment, "-c", code)
    assert process.stderr is not None
    log_lines = iter(process.stderr.readline, "")
    assert any("node-started" in line for line in log_lines)
    process.send_signal(signal.SIGHUP)
    assert any('"reloaded"' in line for line in log_lines)
    host, _, port = environment["BALANCER_LISTEN"].partition(":")
    with socket.create_connection((host, int(port)), 5) as viewer:
        viewer.sendall(encode_message(52, "0", encode_parameter(143, b"\0")))
        assert viewer.recv(100)[2] == 53
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    process.stderr.close()


def passes_readiness_test(environment: dict[str, str]) -> bool:
    """Whether a node answers a readiness test."""
    host, _, port = environment["BALANCER_LISTEN"].partition(":")
    with socket.create_connection((host, int(port)), 5) as viewer:
        viewer.settimeout(5)
        viewer.sendall(encode_message(52, "0", encode_parameter(143, b"\0")))
        return viewer.recv(100)[2:3] == b"\x35"


MAX_LOG_LINES = 30  # within which an expected log event has to come
FREQUENT_STATE_LOG = (
    "import sys; from ponddoor.node import process; process.STATE_LOG_INTERVAL_US = 100_000; "
    "from ponddoor.node.__main__ import main; sys.exit(main())"
)


def test_node_keeps_running_without_a_free_descriptor(tmp_path: Path) -> None:
    environment = write_settings(tmp_path)
    process = start_node_process(environment, "-c", FREQUENT_STATE_LOG)
    assert process.stderr is not None
    log_lines = iter(process.stderr.readline, "")
    assert any("node-started" in line for line in log_lines)
    used = [int(name) for name in os.listdir(f"/proc/{process.pid}/fd")]
    limits = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (max(used) + 1, limits[1]))
    for _ in range(3):
        assert any('"event": "state"' in line for line in itertools.islice(log_lines, MAX_LOG_LINES))
    process.send_signal(signal.SIGHUP)
    assert any('"reloaded"' in line for line in itertools.islice(log_lines, MAX_LOG_LINES))
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
    assert passes_readiness_test(environment)
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    process.stderr.close()


def test_node_keeps_running_when_its_log_cannot_be_written(tmp_path: Path) -> None:
    environment = write_settings(tmp_path)
    process = start_node_process(environment, "-c", FREQUENT_STATE_LOG)
    assert process.stderr is not None
    assert any("node-started" in line for line in iter(process.stderr.readline, ""))
    process.stderr.close()
    process.send_signal(signal.SIGHUP)
    with pytest.raises(subprocess.TimeoutExpired):
        process.wait(1)
    assert passes_readiness_test(environment)
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
