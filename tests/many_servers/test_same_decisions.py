"""The decisions over random events are, action for action, those recorded before the server table
had indices (commit f396c5c).

The digests cover the text of each action with its class and field names. When SetTimer.due, SendPeerMessage
and FetchServers were renamed, the digests were recorded anew, after a check that with the former names in the
texts all 30 equal those of f396c5c."""

import json
from pathlib import Path

import pytest

from .random_run import RandomRun

RECORDED = Path(__file__).parent / "recorded_runs.json"
# Servers, fronts, and racks: None for racks of five servers
SHAPES: dict[str, tuple[int, int, int | None]] = {
    "alone": (40, 1, None),
    "few": (30, 3, None),
    "one-rack": (24, 8, 1),
    "wide": (200, 200, None),
    "wider": (800, 200, None),
    "large-racks": (160, 40, 8),
}
SEEDS = range(1, 6)


def digests(shape: str) -> list[str]:
    """The digest of the run of each seed."""
    return [RandomRun(seed, *SHAPES[shape]).play() for seed in SEEDS]


@pytest.mark.parametrize("shape", SHAPES)
def test_decisions_over_random_events_equal_the_recorded_ones(shape: str) -> None:
    assert digests(shape) == json.loads(RECORDED.read_text())[shape]
