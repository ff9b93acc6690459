"""Plays every scenario in `scenarios/`: see tests/conftest.py."""

from collections.abc import Callable
from pathlib import Path

import pytest

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path, play: Callable[[Path], None]) -> None:
    play(path)
