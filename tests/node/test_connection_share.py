"""How many of the requests in hand one connection may have."""

import dataclasses
from typing import Any

import pytest

from .conftest import CAUSES, Harness, session_id, setup_request
from .test_crossings import RawViewer, run_steps, start_node

IN_HAND, SHARE = 40, 10
RELEASE = 12


@pytest.fixture
def harness(tmp_path: Any, monkeypatch: pytest.MonkeyPatch) -> Harness:
    return Harness(tmp_path, monkeypatch)


def test_requests_of_one_connection_beyond_its_share_are_refused_at_once(harness: Harness) -> None:
    """One client that sent at full speed held all requests in hand, and others were answered late."""

    async def steps(harness: Harness) -> None:
        await start_node(harness, "server_count=1")
        limits = harness.node.engine.gate.limits
        harness.node.engine.gate.limits = dataclasses.replace(limits, in_hand=IN_HAND)
        bad, usual = RawViewer(harness), RawViewer(harness)
        bad.send(b"".join(setup_request(str(number)) for number in range(1, SHARE + 4)))
        for number in range(SHARE + 1, SHARE + 4):
            message = await bad.receive()
            cause = message[message.index(b"\x8f\x00\x01") + 3]
            assert (message[0], message[1:9].hex(), cause) == (
                RELEASE,
                session_id(str(number)),
                CAUSES["busy"],
            )
        usual.send(setup_request("99"))
        await harness.step("node", "holds", f"open_requests={SHARE + 1}")

    run_steps(harness, steps)
