"""The decisions over randomly generated days are, action for action, those recorded before the server table
had indices (commit f396c5c).

The digests cover the text of each action with its class and field names. When SetTimer.due, SendPeerMessage
and FetchServers were renamed, the digests were recorded anew, after a check that with the former names in the
texts all 30 equal those of f396c5c."""

import json
from pathlib import Path

import pytest

from .drawn_day import DrawnDay

RECORDED = Path(__file__).parent / "recorded_days.json"
SHAPES: dict[str, tuple[int, int, int | None]] = {  # servers, fronts, racks where not one of five servers
    "alone": (40, 1, None),
    "few": (30, 3, None),
    "one-rack": (24, 8, 1),
    "wide": (200, 200, None),
    "wider": (800, 200, None),
    "large-racks": (160, 40, 8),
}
SEEDS = range(1, 6)


def digests(shape: str) -> list[str]:
    """Of each seed."""
    return [DrawnDay(seed, *SHAPES[shape]).play() for seed in SEEDS]


@pytest.mark.parametrize("shape", SHAPES)
def test_a_drawn_day_is_decided_as_it_was(shape: str) -> None:
    assert digests(shape) == json.loads(RECORDED.read_text())[shape]
