"""Real node processes with thousands of servers: no rule is broken, whatever the list tells."""

import asyncio
from pathlib import Path

import pytest

from ponddoor.soak.plan import Fault, FaultKind, Plan, ServiceClass, draw_many_servers
from ponddoor.soak.run import Outcome, SoakRun

SECONDS = 12.0
MOST_CONNECTS_A_SECOND = 2.5  # to a server that resets them, of one node
SERVED_LESS_AT_MOST = 0.05


def many_servers_plan(servers: int, *kinds: FaultKind, **changes: int) -> Plan:
    """One node, one class, these faults from the second second on."""
    faults = tuple(Fault(kind, 2.0, SECONDS - 4.0, 0) for kind in kinds)
    return Plan(
        seed=1,
        seconds=SECONDS,
        nodes=1,
        servers=servers,
        connections=changes.get("connections", 2),
        interval_ms=changes.get("interval_ms", 200),
        viewers_acknowledge=True,
        servers_acknowledge=False,
        drain_grace_ms=500.0,
        sockets=changes.get("sockets", 672),
        classes=(ServiceClass("gold", 2000.0, "repeatable"),),
        faults=faults,
        kind="many-servers",
        racks=changes.get("racks", servers // 5),
    )


def play(plan: Plan, folder: Path) -> Outcome:
    """Play one plan; every broken rule fails the test."""
    folder.mkdir(exist_ok=True)
    outcome = asyncio.run(SoakRun(plan, folder).play())
    broken = [f"{one.rule}: {one.what}" for one in outcome.violations]
    assert not broken, "\n".join(broken)
    return outcome


def served_share(outcome: Outcome) -> float:
    return outcome.served / outcome.requests


def test_changes_of_a_list_of_thousands_lose_no_set_up(tmp_path: Path) -> None:
    few = play(many_servers_plan(200, "list_changes", "client_leaves"), tmp_path / "few")
    many = play(many_servers_plan(3200, "list_changes", "client_leaves"), tmp_path / "many")
    assert served_share(many) >= served_share(few) - SERVED_LESS_AT_MOST


@pytest.mark.parametrize("kind", ["list_halves", "list_wholes", "servers_replaced"])
def test_large_events_of_the_list_lose_no_set_up(kind: FaultKind, tmp_path: Path) -> None:
    assert served_share(play(many_servers_plan(3200, kind, "client_leaves"), tmp_path)) > 0.5


def test_a_whole_list_of_more_than_a_mebibyte_is_taken(tmp_path: Path) -> None:
    assert served_share(play(many_servers_plan(12_800, "list_wholes"), tmp_path)) > 0.5


def test_servers_that_reset_every_connection_are_not_connected_to_without_pause(tmp_path: Path) -> None:
    outcome = play(many_servers_plan(800, "servers_reset"), tmp_path)
    assert 0 < outcome.connects_to_resetting <= MOST_CONNECTS_A_SECOND


@pytest.mark.parametrize("servers", [1000, 4000])
def test_few_descriptors_and_holders_by_the_thousand_leave_no_set_up_unanswered(
    servers: int, tmp_path: Path
) -> None:
    plan = many_servers_plan(servers, sockets=256, racks=1, connections=8, interval_ms=100)
    assert served_share(play(plan, tmp_path)) > 0.5


@pytest.mark.parametrize("seed", [1, 2])
def test_no_rule_is_broken_under_overlapping_faults_with_many_servers(seed: int, tmp_path: Path) -> None:
    play(draw_many_servers(seed, SECONDS, 3), tmp_path)
