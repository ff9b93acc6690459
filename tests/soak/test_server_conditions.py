"""Sessions at servers that can't be heard end in time; those at servers that can be heard are left alone."""

import asyncio
from pathlib import Path

import pytest

from ponddoor.soak.conditions import Condition
from ponddoor.soak.plan import Plan, ServerFault, ServiceClass, draw_server_conditions
from ponddoor.soak.run import SETTLE_S, SoakRun

STRUCK_AT_S = 3.0
SECONDS = 15.0  # what stood as the servers were struck is over 3 s later, and is due 8 s after that
SOUND_SERVERS = 2
MOST_CONNECTS_A_SECOND = 1.0
ENDED_WHILE_MUTE = 3  # sessions at each struck server, at least


def struck_plan(*conditions: Condition, lasting: tuple[float, ...] = ()) -> Plan:
    """One node. Some servers are sound, each of the others is in one of these conditions, for `lasting`
    seconds or to the end."""
    times = lasting or (SECONDS - STRUCK_AT_S,) * len(conditions)
    faults = tuple(
        ServerFault(condition, STRUCK_AT_S, seconds, SOUND_SERVERS + number)
        for number, (condition, seconds) in enumerate(zip(conditions, times, strict=True))
    )
    return Plan(
        seed=1,
        seconds=SECONDS,
        nodes=1,
        servers=SOUND_SERVERS + len(conditions),
        connections=6,
        interval_ms=40.0,
        viewers_acknowledge=True,
        servers_acknowledge=False,
        drain_grace_ms=500.0,
        sockets=256,
        classes=(ServiceClass("gold", 1000.0, "repeatable"),),
        faults=(),
        kind="server-conditions",
        server_faults=faults,
    )


def play(plan: Plan, folder: Path) -> SoakRun:
    """Play one plan; every broken rule fails the test."""
    run = SoakRun(plan, folder)
    outcome = asyncio.run(run.play())
    broken = [f"{one.rule}: {one.what}" for one in outcome.violations]
    assert not broken, "\n".join(broken)
    return run


def unheard(run: SoakRun, server: str) -> int:
    """Sessions at a server that ended with no word of it from there."""
    ended = (one for one in run.oracle.sessions.values() if one.server == server)
    return sum(one.told_node_at > one.ended_at + 1 for one in ended)


def assert_released(folder: Path, *conditions: Condition) -> None:
    run = play(struck_plan(*conditions), folder)
    for server in run.servers[SOUND_SERVERS:]:
        assert unheard(run, server.id) >= ENDED_WHILE_MUTE


def test_sessions_at_a_mute_server_end_whatever_its_connections_do(tmp_path: Path) -> None:
    assert_released(
        tmp_path,
        Condition("stands"),
        Condition("hangs"),
        Condition("runs", "never", "none"),
        Condition("hangs", "reset", after_s=0.0),
        Condition("stands", "reset", after_s=2.0),
        Condition("hangs", "reset", after_s=4.0),
        Condition("hangs", "reset", after_s=6.0),
        Condition("hangs", "closed", after_s=2.0),
        Condition("stands", "closed", after_s=4.0),
    )


@pytest.mark.parametrize("speech", ["rubbish", "pieces"])
def test_bytes_that_are_no_message_keep_no_session(speech: str, tmp_path: Path) -> None:
    assert_released(
        tmp_path,
        Condition("runs", "stay", speech),  # type: ignore[arg-type]
        Condition("runs", "closed", speech, 2.0),  # type: ignore[arg-type]
        Condition("runs", "reset", speech, 1.0),  # type: ignore[arg-type]
    )


def test_a_server_that_sends_rubbish_is_not_connected_to_without_pause(tmp_path: Path) -> None:
    run = play(struck_plan(Condition("runs", "stay", "rubbish")), tmp_path)
    until = run.oracle.ended_at - SETTLE_S
    since = until - (SECONDS - STRUCK_AT_S) + 1.0
    connects = sum(since <= at < until for at in run.servers[SOUND_SERVERS].connects)
    assert 0 < connects <= MOST_CONNECTS_A_SECOND * (until - since)


def test_sessions_at_a_server_that_can_be_heard_are_left_alone(tmp_path: Path) -> None:
    play(
        struck_plan(
            Condition("runs", "reset", after_s=1.0),
            Condition("runs", "closed", after_s=0.5),
            Condition("runs", "reset", after_s=4.0),
        ),
        tmp_path,
    )


@pytest.mark.parametrize("seeds", [(1, 2), (3, 4)])
def test_no_rule_is_broken_under_conditions_of_servers_that_overlap(
    seeds: tuple[int, ...], tmp_path: Path
) -> None:
    async def both() -> list[str]:
        runs = []
        for seed in seeds:
            folder = tmp_path / str(seed)
            folder.mkdir()
            runs.append(SoakRun(draw_server_conditions(seed, 24.0, 3), folder).play())
        outcomes = await asyncio.gather(*runs)
        return [f"{one.rule}: {one.what}" for outcome in outcomes for one in outcome.violations]

    broken = asyncio.run(both())
    assert not broken, "\n".join(broken)
