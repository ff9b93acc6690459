"""`ponddoor soak`: node processes under overlapping faults, many seeds, judged by the oracle.

Exit codes: 0 no rule was broken; 1 a rule was broken; 2 input that can't be used."""

import asyncio
import contextlib
import json
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click
import msgspec

from ponddoor.soak.minimise import minimise
from ponddoor.soak.plan import (
    Fault,
    Plan,
    PlanError,
    check,
    draw,
    draw_crossings,
    draw_links,
    draw_many_servers,
    draw_overload,
    draw_restarts,
    draw_server_conditions,
    draw_server_links,
    draw_shutdown,
    load,
)
from ponddoor.soak.run import Outcome, SoakRun

SHOWN = 5  # violations of a run


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--count", default=1, show_default=True, type=click.IntRange(1, 10_000), help="How many seeds.")
@click.option("--seconds", default=20.0, show_default=True, help="How long a run lasts.")
@click.option(
    "--kind",
    type=click.Choice(
        [
            "mixed",
            "shutdown",
            "crossings",
            "many-servers",
            "server-conditions",
            "restarts",
            "overload",
            "links",
            "server-links",
        ]
    ),
    default="mixed",
    show_default=True,
    help="All faults; terminations alone; ends of connections in the instant of a release; all faults with "
    "hundreds or thousands of servers, and changes of the list; all faults with servers whose process, "
    "connections and speech fail each for itself; all faults with every node ended once or twice; a node "
    "that is asked for more than its share of a core can work off; links to viewers that fail, of which "
    "every kind has some; connections to servers that fail, often two in a row.",
)
@click.option("--nodes", default=0, help="How many nodes; 0: drawn from the seed.")
@click.option("--servers", default=0, help="How many servers of many-servers; 0: drawn from the seed.")
@click.option("--only", default="", help="Play these faults of the seed alone, by number: 0,4,7.")
@click.option("--plan", "plan_file", type=click.Path(dir_okay=False, path_type=Path), help="A plan as JSON.")
@click.option("--show", is_flag=True, help="Print the plan as JSON and play nothing.")
@click.option("--logs", type=click.Path(file_okay=False, path_type=Path), help="Keep the nodes' logs here.")
@click.option("--minimise/--no-minimise", "smaller", default=True, help="Make a failing plan smaller.")
def soak(
    seed: int,
    count: int,
    seconds: float,
    kind: str,
    nodes: int,
    servers: int,
    only: str,
    plan_file: Path | None,
    show: bool,
    logs: Path | None,
    smaller: bool,
) -> None:
    """Play node processes under faults drawn from seeds and judge what passed on the sockets."""
    try:
        drawn = [_drawn(kind, number, seconds, nodes, servers) for number in range(seed, seed + count)]
        plans = _plans(drawn, only, plan_file)
    except PlanError as error:
        click.echo(f"ponddoor soak: {error}", err=True)
        sys.exit(2)
    if show:
        for plan in plans:
            click.echo(msgspec.json.encode(plan).decode())
        return
    try:
        failed = asyncio.run(_until_told(_play_all(plans, logs, smaller)))
    except (KeyboardInterrupt, asyncio.CancelledError):
        click.echo("ponddoor soak: interrupted", err=True)
        sys.exit(1)
    sys.exit(1 if failed else 0)


def _drawn(kind: str, seed: int, seconds: float, nodes: int, servers: int) -> Plan:
    if kind == "many-servers":
        return draw_many_servers(seed, seconds, nodes, servers)
    if kind == "shutdown":
        return draw_shutdown(seed)
    if kind == "server-conditions":
        return draw_server_conditions(seed, seconds, nodes)
    if kind == "restarts":
        return draw_restarts(seed, seconds, nodes)
    if kind == "links":
        return draw_links(seed, seconds, nodes)
    if kind == "server-links":
        return draw_server_links(seed, seconds, nodes)
    if kind == "overload":
        return draw_overload(seed, seconds)
    if kind == "crossings":
        return draw_crossings(seed, seconds)
    return draw(seed, seconds, nodes)


def _plans(drawn: list[Plan], only: str, plan_file: Path | None) -> list[Plan]:
    if plan_file is not None:
        return [_chosen(load(plan_file), only)]
    plans = [_chosen(plan, only) for plan in drawn]
    for plan in plans:
        check(plan, f"seed {plan.seed}")
    return plans


def _chosen(plan: Plan, only: str) -> Plan:
    if not only:
        return plan
    try:
        faults = tuple(plan.faults[int(number)] for number in only.split(","))
    except (ValueError, IndexError):
        raise PlanError(f"--only {only}: numbers from 0 to {len(plan.faults) - 1} are wanted") from None
    return msgspec.structs.replace(plan, faults=faults)


async def _until_told(work: Coroutine[Any, Any, int]) -> int:
    """SIGTERM ends the work as an interrupt does: what was started is ended first."""
    task = asyncio.create_task(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


async def _play_all(plans: list[Plan], logs: Path | None, smaller: bool) -> int:
    failed = 0
    rules = Counter[str]()
    for plan in plans:
        outcome = await _play(plan, logs)
        broken = frozenset(one.rule for one in outcome.violations)
        click.echo(_line(plan, outcome))
        for one in outcome.violations[:SHOWN]:
            click.echo(f"    {one.rule}: {one.what}")
        if broken:
            failed += 1
            rules.update(broken)
            await _report(plan, broken, smaller)
    said = ", ".join(f"{rule} in {number}" for rule, number in sorted(rules.items())) or "none"
    click.echo(f"{len(plans)} runs, {failed} with a broken rule; rules broken: {said}")
    return failed


async def _play(plan: Plan, logs: Path | None) -> Outcome:
    with contextlib.ExitStack() as stack:
        if logs is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="ponddoor-soak-")))
        else:
            folder = logs / f"seed-{plan.seed}"
            folder.mkdir(parents=True, exist_ok=True)
        return await SoakRun(plan, folder).play()


async def _report(plan: Plan, broken: frozenset[str], smaller: bool) -> None:
    async def plays(candidate: Plan) -> frozenset[str]:
        return frozenset(one.rule for one in (await _play(candidate, None)).violations)

    found = await minimise(plan, broken, plays) if smaller else plan
    click.echo(f"    again: {command(plan, found)}")


def command(plan: Plan, smaller: Plan) -> str:
    """One line that plays a plan, or a smaller one made of it, again."""
    kept = ",".join(str(_place(plan.faults, fault)) for fault in smaller.faults)
    only = f" --only {kept}" if len(smaller.faults) < len(plan.faults) and kept else ""
    drawn = f"--seed {plan.seed} --seconds {plan.seconds:g}"
    drawn += f" --kind {plan.kind}" if plan.kind != "mixed" else ""
    drawn += f" --nodes {smaller.nodes}" if plan.kind not in ("shutdown", "crossings", "overload") else ""
    drawn += f" --servers {smaller.servers}" if plan.racks else ""
    return f"ponddoor soak {drawn}{only}"


def _place(faults: tuple[Fault, ...], fault: Fault) -> int:
    return next(number for number, one in enumerate(faults) if one is fault or one == fault)


def _line(plan: Plan, outcome: Outcome) -> str:
    row = {
        "seed": plan.seed,
        "nodes": plan.nodes,
        "requests": outcome.requests,
        "served": outcome.served,
        "refused": outcome.refused,
        "processes": outcome.lives,
        "exited_before_kill": outcome.exited,
        "late_s": round(outcome.worst_lag_s, 3),
        "crossings": outcome.crossings,
        "longest_turn_s": round(outcome.longest_turn_s, 3),
        "cpu_s": round(outcome.cpu_s, 2),
        "connects_to_resetting": round(outcome.connects_to_resetting, 2),
        "usual": outcome.usual,
        "usual_served": outcome.usual_served,
        "cut_for_unknown": outcome.cut_for_unknown,
        "violations": len(outcome.violations),
    }
    return json.dumps(row)
