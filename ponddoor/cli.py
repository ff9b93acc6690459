"""The command line.

Exit codes: 0 done; 1 a rule broken, or what was asked did not come about; 2 input that can't be used, with
all its problems on standard error."""

import asyncio
import logging
import signal
import sys
import tempfile
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import click
import msgspec
import structlog

from ponddoor.capacity.commands import capacity as capacity_commands
from ponddoor.capacity.measure_commands import measure as measure_capacity
from ponddoor.config.commands import config as config_commands
from ponddoor.config.commands import raft as raft_commands
from ponddoor.interface.words import KINDS
from ponddoor.node.timeline import command as timeline_command
from ponddoor.settings.sexpr import SettingsError
from ponddoor.soak.commands import soak as soak_command


def log_to(style: str, level: str) -> None:
    """Lines on standard error, as JSON or for people."""
    render: Any = (
        structlog.processors.JSONRenderer()
        if style == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.option(
    "--log", "style", type=click.Choice(["people", "json"]), default="people", help="Form of log lines."
)
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
@click.version_option(package_name="ponddoor")
def main(style: str, log_level: str) -> None:
    """ponddoor places viewing sessions on media servers and shapes them.

    Exit codes: 0 done; 1 a rule broken or not achieved; 2 unusable input."""
    log_to(style, log_level)


def usable(make: Callable[[], Any]) -> Any:
    """What a file says, or its problems on standard error and exit 2."""
    try:
        return make()
    except SettingsError as problem:
        for one in problem.problems:
            click.echo(str(one), err=True)
        sys.exit(2)


def run_until_told(
    work: Callable[[], Coroutine[Any, Any, None]], close: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    async def both() -> None:
        told = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, told.set)
        await work()
        await told.wait()
        await close()

    asyncio.run(both())


SITE = click.argument("site", type=click.Path(dir_okay=False, path_type=Path))
SITE_OPTION = click.option(
    "--site", required=True, type=click.Path(dir_okay=False, path_type=Path), help="The site file."
)
RECORD = click.option("--record", type=click.Path(path_type=Path), help="Write what passes to this file.")


@main.command()
@SITE
@click.option("--json", "as_json", is_flag=True, help="Problems as JSON.")
def check(site: Path, as_json: bool) -> None:
    """Check a site file whole; exit 2 with every problem as FILE:LINE:COLUMN."""
    from ponddoor.settings.site import load

    if as_json:
        try:
            held = load(site)
        except SettingsError as problem:
            rows = [
                {
                    "file": p.place.file,
                    "line": p.place.line,
                    "column": p.place.column,
                    "found": p.found,
                    "expected": p.expected,
                }
                for p in problem.problems
            ]
            click.echo(msgspec.json.encode({"problems": rows}))
            sys.exit(2)
        click.echo(msgspec.json.encode({"problems": [], "site": held.name}))
        return
    held = usable(lambda: load(site))
    click.echo(
        f"{held.name}: {len(held.fronts)} fronts, {len(held.facts.groups)} service groups, "
        f"{len(held.titles.listed)} titles listed"
    )


@main.command()
@SITE_OPTION
@click.option("--me", required=True, type=int, help="Which front of the site this is.")
@click.option("--kept", type=click.Path(path_type=Path), help="Where the last server list is kept.")
@click.option("--seed", type=int, help="Of this front's chance; drawn anew at each start if left out.")
@click.option(
    "--decisions", type=click.Choice(["ponddoor", "random"]), default="ponddoor", help="random: the baseline."
)
@click.option("--log-requests", is_flag=True, help="A line for each answer.")
@click.option(
    "--trace", type=click.Path(path_type=Path), help="Write every event and what followed, for replay."
)
@RECORD
@click.option("--profile", type=click.Path(path_type=Path), hidden=True)
def front(
    site: Path,
    me: int,
    kept: Path | None,
    seed: int | None,
    decisions: str,
    log_requests: bool,
    trace: Path | None,
    record: Path | None,
    profile: Path | None,
) -> None:
    """Run one front. SIGTERM drains, a second one ends it; SIGHUP reads the limits anew."""
    from ponddoor.audit.records import Recorder
    from ponddoor.decide import Front
    from ponddoor.front.process import FrontProcess
    from ponddoor.rehearse.baseline import RandomHolder
    from ponddoor.settings.site import load

    held = usable(lambda: load(site))
    if not 0 <= me < len(held.fronts):
        click.echo(f"{site}: no front {me}: it has 0 to {len(held.fronts) - 1}", err=True)
        sys.exit(2)
    deciding: Any = Front if decisions == "ponddoor" else RandomHolder
    held_kept = kept or site.with_name(f"{site.stem}-{me}.list")

    async def serve() -> None:
        noted = Recorder(record, f"front {me}").note if record is not None else None
        process = FrontProcess(held, me, held_kept, seed, deciding, log_requests, trace, noted)
        try:
            await process.start()
        except OSError as problem:
            click.echo(f"front {me}: {problem}", err=True)
            sys.exit(1)
        await process.run(site)

    if profile is None:
        asyncio.run(serve())
        return
    import cProfile

    with cProfile.Profile() as watch:
        asyncio.run(serve())
    watch.dump_stats(profile)


@main.group()
def standin() -> None:
    """Small stand-ins for what surrounds a front."""


@standin.command()
@SITE_OPTION
@RECORD
@click.option("--number", type=int, required=True, help="Its id in the list.")
@click.option("--zone", required=True)
@click.option("--kind", required=True)
@click.option("--cell", type=int, required=True)
@click.option("--weight", type=float, default=2.0, show_default=True)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, default=0, help="0: any free one.")
@click.option("--control", type=int, default=0, help="Port that takes faults.")
@click.option("--seed", type=int, default=1)
@click.option("--warm", is_flag=True, help="It has run for long.")
@click.option("--work-ms", type=float, help="Every set-up takes so long.")
@click.option(
    "--part",
    type=click.FloatRange(0, 1, min_open=True),
    default=1.0,
    help="Of what it bears, the part that is for who asks here.",
)
def media(
    site: Path,
    record: Path | None,
    number: int,
    zone: str,
    kind: str,
    cell: int,
    weight: float,
    host: str,
    port: int,
    control: int,
    seed: int,
    warm: bool,
    work_ms: float | None,
    part: float,
) -> None:
    """A media server whose link and rack's uplink are shared among its streams."""
    from ponddoor.audit.records import Recorder
    from ponddoor.front.roster import Entry
    from ponddoor.settings.site import load
    from ponddoor.standins.media import MediaServer

    held = usable(lambda: load(site))
    if zone not in held.zones or kind not in held.kinds or not 0 <= cell < held.facts.plant.cells:
        click.echo(
            f"{site}: zones {', '.join(held.zones)}; kinds {', '.join(held.kinds)}; "
            f"cells 0 to {held.facts.plant.cells - 1}",
            err=True,
        )
        sys.exit(2)
    entry = Entry(number, f"{host}:{port}", zone, kind, cell, "ready", weight)
    server = MediaServer(held, entry, Recorder(record, f"media {number}"), seed, warm, part)
    if work_ms is not None:
        server.work_ms = (work_ms, work_ms)

    async def work() -> None:
        got, got_control = await server.start(control)
        click.echo(f"media {number} at {host}:{got}, control {got_control}")

    run_until_told(work, server.close)


@standin.command(name="list")
@SITE_OPTION
@RECORD
@click.option("--control", type=int, default=0, help="Port that takes orders.")
@click.option("--seed", type=int, default=1)
@click.option("--answers", type=float, default=0.0, help="Fronts it can answer a second; 0: all.")
@click.option("--queue", type=int, default=100, help="Fronts that wait before it turns away.")
@click.option("--fall", type=float, default=5.0, help="Seconds that it stays down when pushed over.")
def list_(
    site: Path, record: Path | None, control: int, seed: int, answers: float, queue: int, fall: float
) -> None:
    """The server list, at the site file's address."""
    from ponddoor.audit.records import Recorder
    from ponddoor.settings.site import load
    from ponddoor.standins.capacity import Capacity
    from ponddoor.standins.listing import ServerList

    held = usable(lambda: load(site))
    bears = Capacity(answers, queue, round(fall * 1_000_000))
    server = ServerList(held, Recorder(record, "list"), seed, capacity=bears)

    async def work() -> None:
        got, got_control = await server.start(control_port=control)
        click.echo(f"list at port {got}, control {got_control}")

    run_until_told(work, server.close)


@standin.command()
@SITE_OPTION
@RECORD
@click.option(
    "--day", required=True, type=click.Path(path_type=Path), help="The viewers, as rehearse wrote them."
)
@click.option("--begin", type=float, required=True, help="Moment of the monotonic clock, in seconds.")
@click.option("--out", type=click.Path(path_type=Path), required=True)
@click.option(
    "--front", "fronts", multiple=True, required=True, help="HOST:PORT, one for each front in order."
)
def players(
    site: Path, record: Path | None, day: Path, begin: float, out: Path, fronts: tuple[str, ...]
) -> None:
    """All viewers of a day, as rehearse starts them."""
    from ponddoor.audit.records import Recorder
    from ponddoor.rehearse.day import load_day
    from ponddoor.standins.players import Players

    told = msgspec.json.decode(day.read_bytes(), type=dict[str, Any])
    held = usable(lambda: load_day(Path(told["file"]), told["seed"], told.get("hints"), told.get("shares")))
    addresses = [(host, int(port)) for host, _, port in (text.rpartition(":") for text in fronts)]
    playing = Players(held, Recorder(record, "players"), addresses)
    got = asyncio.run(playing.run(begin))
    beside = out.with_suffix(".new")
    beside.write_bytes(msgspec.json.encode(got))
    beside.replace(out)


@standin.command()
@SITE_OPTION
@click.option("--day", required=True, type=click.Path(path_type=Path), help="The day, as rehearse wrote it.")
@click.option("--first", type=int, required=True, help="Number of the first front of this process.")
@click.option("--count", type=int, required=True, help="How many.")
@click.option("--control", type=int, required=True, help="Port that takes orders and tells.")
@click.option("--until", type=float, required=True, help="When it ends, by the monotonic clock.")
@click.option("--out", type=click.Path(path_type=Path), help="Where it writes at its end what it would tell.")
@click.option("--without", type=click.Choice(KINDS), help="A kind of word that they leave out.", hidden=True)
def hollow(
    site: Path,
    day: Path,
    first: int,
    count: int,
    control: int,
    until: float,
    out: Path | None,
    without: str | None,
) -> None:
    """Fronts without viewers, many in one process, as rehearse starts them."""
    from ponddoor.rehearse.day import load_day
    from ponddoor.rehearse.hollow_following import followers_in
    from ponddoor.rehearse.hollow_process import HollowProcess
    from ponddoor.settings.site import load

    told = msgspec.json.decode(day.read_bytes(), type=dict[str, Any])
    held = usable(lambda: load(site))
    played = usable(lambda: load_day(Path(told["file"]), told["seed"], told.get("hints"), told.get("shares")))
    if not played.fronts <= first <= first + count <= len(held.fronts):
        click.echo(f"{site}: no hollow fronts {first} to {first + count - 1}", err=True)
        sys.exit(2)
    followers = followers_in(site.parent, f"hollow-{first}") if played.instances is not None else None
    process = HollowProcess(held, played, tuple(range(first, first + count)), until, followers)
    process.without = without or ""
    try:
        asyncio.run(process.run(control, out))
    except OSError as problem:
        click.echo(f"hollow fronts from {first}: {problem}", err=True)
        sys.exit(1)


@main.command()
@click.argument("day", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--seed", type=int, multiple=True, help="Play with this seed; may be given several times.")
@click.option(
    "--baseline/--no-baseline", default=True, help="Play the same day by a random holder at the lowest rung."
)
@click.option(
    "--keep", type=click.Path(file_okay=False, path_type=Path), help="Keep records and logs in this folder."
)
@click.option("--trace", is_flag=True, help="Have the fronts write traces (with --keep).")
@click.option(
    "--hints/--no-hints", default=None, help="Whether hints are sent and taken; else as the site says."
)
@click.option("--json", "as_json", is_flag=True, help="The result as JSON.")
@click.option("--fronts", type=click.IntRange(1, 300), help="So many fronts, whatever the day says.")
@click.option("--hollow", type=click.IntRange(0, 2000), help="So many hollow fronts, whatever the day says.")
@click.option(
    "--each",
    type=click.FloatRange(0, 1000, min_open=True),
    help="So many viewers a second at every front, whatever the day says.",
)
@click.option(
    "--records",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Add a day's figures of hollow fronts and of the configuration to this file.",
)
@click.option(
    "--tree",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Also play the nodes of another work tree.",
)
@click.option("--follow/--no-follow", default=None, help="Whether fronts follow the instances; else as told.")
@click.option("--beside", is_flag=True, help="Play it first with fronts that do not follow.")
def rehearse(
    day: Path,
    seed: tuple[int, ...],
    baseline: bool,
    keep: Path | None,
    trace: bool,
    hints: bool | None,
    as_json: bool,
    fronts: int | None,
    hollow: int | None,
    each: float | None,
    records: Path | None,
    tree: Path | None,
    follow: bool | None,
    beside: bool,
) -> None:
    """Play a day on loopback to its table; exit 1 if a rule is broken."""
    from ponddoor.capacity.records import commit_of, cores
    from ponddoor.capacity.records import write as write_records
    from ponddoor.rehearse.day import load_day
    from ponddoor.rehearse.hollow_run import HollowRehearsal
    from ponddoor.rehearse.nodes import NodeRehearsal
    from ponddoor.rehearse.reckoning import TooLargeError
    from ponddoor.rehearse.report import as_dict, table
    from ponddoor.rehearse.run import Rehearsal, RehearsalError

    results = []
    with tempfile.TemporaryDirectory(prefix="ponddoor-") as spare:
        for number in seed or (None,):
            counts = {"fronts": fronts or None, "hollow": hollow, "each": each}
            shares = {name: count for name, count in counts.items() if count is not None} or None
            held = usable(partial(load_day, day, number, hints, shares))
            if held.instances is not None and follow is not None:
                held = replace(held, instances=replace(held.instances, follow=follow))
            runs = ("ponddoor", "random") if baseline and not held.hollow else ("ponddoor",)
            if held.shell == "node":  # these play their own decisions, alone or beside another tree's
                runs = ("ponddoor", "other-tree") if tree else ("ponddoor",)
            sides = [(decisions, held, decisions) for decisions in runs]
            if beside and held.instances is not None and held.instances.follow:
                without = replace(held, instances=replace(held.instances, follow=False))
                sides.insert(0, ("ponddoor", without, "no-follow"))
            for decisions, held, side in sides:
                folder = (keep or Path(spare)) / f"{held.name}-{held.seed}-{side}"
                folder.mkdir(parents=True, exist_ok=True)
                (folder / "day.json").write_bytes(
                    msgspec.json.encode(
                        {"file": str(day.resolve()), "seed": held.seed, "hints": hints, "shares": shares}
                    )
                )
                label = f"{held.name}, seed {held.seed}, {side}"
                with click.progressbar(length=1000, label=label, file=sys.stderr, show_eta=False) as bar:

                    def move(part: float, bar: Any = bar) -> None:
                        bar.update(round(part * 1000) - bar.pos)

                    played = NodeRehearsal if held.shell == "node" else Rehearsal
                    played = HollowRehearsal if held.hollow else played
                    playing = played(held, folder, decisions, move, trace)
                    if isinstance(playing, NodeRehearsal) and decisions == "other-tree":
                        playing.tree = tree
                    try:
                        results.append(asyncio.run(playing.play()))
                    except RehearsalError as problem:
                        click.echo(f"\n{problem}", err=True)
                        sys.exit(1)
                    except TooLargeError as problem:
                        click.echo(f"\n{problem}", err=True)
                        sys.exit(2)
                    except asyncio.CancelledError:
                        click.echo("\ninterrupted: what was started is ended", err=True)
                        sys.exit(130)
                    if records is not None and isinstance(playing, HollowRehearsal):
                        again = " ".join(["ponddoor", *sys.argv[1:]])
                        run = commit_of(Path(__file__).parent), again, len(results) - 1
                        write_records(records, playing.records(*run))
                    if (config := results[-1].config) is not None:
                        same = [result.config.under for result in results if result.config is not None]
                        if beside and len(results) > 1 and (before := results[-2].config) is not None:
                            config.beside(before)
                        if records is not None:
                            told = " ".join(["ponddoor", *sys.argv[1:]]), held.seed, same.count(same[-1]) - 1
                            commit = commit_of(Path(__file__).parent)
                            write_records(records, config.records(*told, commit, cores()))
    click.echo(msgspec.json.encode([as_dict(result) for result in results]) if as_json else table(results))
    if any(result.breaches for result in results if result.decisions == "ponddoor"):
        sys.exit(1)


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@SITE_OPTION
@click.option(
    "--slack-ms",
    type=float,
    default=150.0,
    show_default=True,
    help="How far two records of a moment may lie apart.",
)
@click.option("--json", "as_json", is_flag=True)
def audit(folder: Path, site: Path, slack_ms: float, as_json: bool) -> None:
    """Check the six rules from the records in a folder; exit 1 if one is broken."""
    from ponddoor.audit.records import read
    from ponddoor.audit.rules import RULES
    from ponddoor.audit.rules import audit as judge
    from ponddoor.settings.site import load

    held = usable(lambda: load(site))
    rows, left_out = read(folder)
    breaches = judge(rows, held.facts, round(slack_ms * 1000))
    if as_json:
        click.echo(msgspec.json.encode({"rows": len(rows), "left_out": left_out, "breaches": breaches}))
    else:
        for rule in RULES:
            mine = [breach for breach in breaches if breach.rule == rule]
            click.echo(f"{rule}: {f'{len(mine)} broken' if mine else 'kept'}")
        for breach in breaches:
            click.echo(str(breach))
        click.echo(f"{len(rows)} records read, {len(left_out)} cut off")
    sys.exit(1 if breaches else 0)


def asked_of(front: str, path: str, status: int) -> dict[str, Any]:
    """What a front at HOST:PORT answers; where it does not, the command ends with this status."""
    from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool

    async def ask() -> dict[str, Any]:
        host, _, port = front.rpartition(":")
        pool = Pool(host, int(port), 1, 2.0)
        try:
            got: dict[str, Any] = (await pool.request("GET", path)).json()
            return got
        finally:
            pool.close()

    try:
        return asyncio.run(ask())
    except (NotSentError, BrokenError, LateError, ValueError) as problem:
        click.echo(f"{front}: {problem}", err=True)
        sys.exit(status)


@main.group()
def fleet() -> None:
    """The fleet: what a front believes of it, and the simulation of its cores."""


@fleet.command(name="show")
@click.argument("fronts", metavar="HOST:PORT [HOST:PORT]", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True)
def fleet_show(fronts: tuple[str, ...], as_json: bool) -> None:
    """What a front believes of fronts, servers, parts and counts; of two, where they differ (exit 1). The
    addresses are those of the metrics."""
    from ponddoor.fleet.shown import differences

    views = [asked_of(front, "/fleet", 2) for front in fronts]
    if as_json:
        click.echo(msgspec.json.encode(views))
        return
    for view in views:
        click.echo(
            f"front {view['me']}: hears {view['hears']}, {view['reach']:.0%} of its pings answered, "
            f"{view['live']} of {len(view['fronts']) + 1} fronts live"
        )
        for front, row in view["fronts"].items():
            if row["stands"] != "alive":
                click.echo(
                    f"  front {front} {row['stands']}, accused by {row['accused_by']}, "
                    f"heard {row['heard_ms_ago']} ms ago"
                )
        for group, row in view["groups"].items():
            whole = "whole" if row["whole"] else "not whole"
            click.echo(
                f"  group {group}: kept by {row['keepers']}, {whole} here, "
                f"{row['lent_to_us']} parts lent to it"
            )
        for server, row in view["servers"].items():
            asked = row["asked_by_others"]
            bad = f", {row['against']} fronts against, {row['failed']} of {row['tries']} tries failed"
            bounds = f"{asked['least']:g} to {asked['most']:g}, {asked['oldest_ms']} ms old"
            click.echo(
                f"  server {server}: others ask {asked['likely']:g} kB/s ({bounds})"
                f"{bad if row['tries'] else ''}"
            )
    found = differences(views[0], views[1]) if len(views) > 1 else []
    for line in found:
        click.echo(line)
    sys.exit(1 if found else 0)


@fleet.command(name="simulate")
@click.option("--first", type=int, default=0, show_default=True, help="The first seed.")
@click.option("--count", type=int, default=100, show_default=True)
@click.option("--without", type=str, help="Take a guard out, by its name.")
def fleet_simulate(first: int, count: int, without: str | None) -> None:
    """Play schedules of the fleet's cores from their seeds; exit 1, the seed and its least form where one
    fails."""
    from ponddoor.fleet.mutants import MUTANTS
    from ponddoor.fleet.simulation import drawn, explore, shrunk
    from ponddoor.fleet.view import Fleet

    if without is not None and without not in MUTANTS:
        click.echo(f"one of: {', '.join(MUTANTS)}", err=True)
        sys.exit(2)
    make, shape = MUTANTS[without] if without is not None else (Fleet, drawn)
    ran, problem = explore(first, count, make, shape)
    click.echo(f"{ran} schedules; {problem or 'every bound held'}")
    if problem:
        click.echo(f"least: {shrunk(shape(first + ran - 1), make)}")
    sys.exit(1 if problem else 0)


@fleet.command(name="measure")
@click.option("--fronts", type=int, multiple=True, default=(10, 30, 100), show_default=True)
@click.option("--loss", type=float, multiple=True, default=(0.0, 0.1, 0.5, 1.0), show_default=True)
@click.option("--seconds", type=int, default=10, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def fleet_measure(
    fronts: tuple[int, ...], loss: tuple[float, ...], seconds: int, seed: int, as_json: bool
) -> None:
    """Words over the fleet's size and parts in use over loss, of the cores in virtual time."""
    from ponddoor.fleet.measure import table
    from ponddoor.load.measure import shown

    for name, found in table(fronts, loss, seconds, seed).items():
        click.echo(shown({"": name, **found}, as_json))


@main.group()
def seats() -> None:
    """Seats: what a front holds, and the simulation of their count."""


@seats.command(name="show")
@click.argument("front", metavar="HOST:PORT")
@click.option("--json", "as_json", is_flag=True)
def seats_show(front: str, as_json: bool) -> None:
    """Each entitlement as one front sees it: held, lent, lapsing."""
    got = asked_of(front, "/seats", 1)
    if as_json or "seats" not in got:
        click.echo(msgspec.json.encode(got))
        sys.exit(0 if "seats" in got else 1)
    for row in got["seats"]:
        lent = ", ".join(f"{count} to {peer}" for peer, count in row["lent"].items()) or "nothing"
        click.echo(
            f"{row['tenant']} {row['entitlement']}: limit {row['limit']}, held {row['held']} of a share of "
            f"{row['share']} that ends in {row['share_ends_in_ms']} ms, {row['waiting']} waiting, lent {lent}"
        )


@seats.command()
@click.option("--first", type=int, default=0, show_default=True, help="The first seed.")
@click.option("--count", type=int, default=1000, show_default=True)
@click.option("--without", type=str, help="Take a guard out, by its name.")
def simulate(first: int, count: int, without: str | None) -> None:
    """Play schedules of the count from their seeds; exit 1 and the seed where one fails."""
    from ponddoor.seats.core import Seats
    from ponddoor.seats.mutants import MUTANTS
    from ponddoor.seats.simulation import random_schedule, run_schedules

    if without is not None and without not in MUTANTS:
        click.echo(f"one of: {', '.join(MUTANTS)}", err=True)
        sys.exit(2)
    make, shape = MUTANTS[without] if without is not None else (Seats, random_schedule)
    ran, problem = run_schedules(first, count, make, shape)
    click.echo(f"{ran} schedules; {problem or 'the limit held, every seat came back'}")
    sys.exit(1 if problem else 0)


@seats.command()
@click.option("--count", type=int, default=5000, show_default=True, help="Grants a round.")
@click.option("--records", type=int, default=1_000_000, show_default=True, help="Of the journal to recover.")
@click.option("--json", "as_json", is_flag=True)
def measure(count: int, records: int, as_json: bool) -> None:
    """Grants with and without a sync, recovery, and messages as fronts grow (virtual time)."""
    from ponddoor.load.measure import shown
    from ponddoor.seats.measure import measure_grants, measure_recovery, measure_shifting_load

    result: dict[str, Any] = {"grants": measure_grants(count), "recovery": measure_recovery(records)}
    for fronts in (1, 3, 20, 50, 250):
        result[f"{fronts} fronts"] = measure_shifting_load(fronts, 200, 60, 40)
    click.echo(shown(result, as_json))


@main.command()
@click.argument(
    "traces", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
def replay(traces: tuple[Path, ...]) -> None:
    """Play traces again in virtual time; exit 1 if a decision differs by a byte."""
    from ponddoor.front.trace import TraceError
    from ponddoor.front.trace import replay as play

    different = 0
    for path in traces:
        try:
            found = play(path)
        except (TraceError, msgspec.MsgspecError, KeyError) as problem:
            click.echo(f"{path}: {problem}", err=True)
            sys.exit(2)
        different += found.different
        kinds = ", ".join(f"{count} {kind}" for kind, count in sorted(found.events.items()))
        click.echo(
            f"{path.name}: {found.same} the same, {found.different} different "
            f"{found.first_difference} ({kinds})"
        )
    sys.exit(1 if different else 0)


@main.group()
def hints() -> None:
    """What hints of players and servers bring and cost."""


@hints.command()
@click.argument("days", nargs=-1, required=True, type=click.Path(dir_okay=False, path_type=Path))
@click.option("--seeds", type=int, default=10, show_default=True, help="Seeds 1 to this.")
@click.option("--jobs", type=int, default=1, show_default=True, help="Pairs at once.")
@click.option("--share", "shares", multiple=True, help="NAME=VALUE of heed, liars, weak or malformed.")
@click.option(
    "--against",
    type=click.Choice(["off", "truth"]),
    default="off",
    show_default=True,
    help="The other of a pair: without hints, or with hints where who would lie tells the truth.",
)
@click.option("--out", required=True, type=click.Path(path_type=Path), help="A line of JSON a pair is added.")
def pairs(
    days: tuple[Path, ...], seeds: int, jobs: int, shares: tuple[str, ...], against: str, out: Path
) -> None:
    """Play each day with hints and without at the same time; exit 1 if a rule is broken."""
    from ponddoor.rehearse.pairs import play_pairs

    told: dict[str, float] = {}
    for text in shares:
        name, _, value = text.partition("=")
        if name not in ("heed", "liars", "weak", "malformed") or not value.replace(".", "", 1).isdigit():
            click.echo(f"{text}: one of heed, liars, weak or malformed, = and a share", err=True)
            sys.exit(2)
        told[name] = float(value)
    broken = asyncio.run(
        play_pairs(list(days), seeds, jobs, told, out, lambda line: click.echo(line), against)
    )
    sys.exit(1 if broken else 0)


@hints.command(name="measure")
@click.option("--seconds", type=float, default=3.0, show_default=True)
@click.option("--rounds", type=int, default=7, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def hints_measure(seconds: float, rounds: int, as_json: bool) -> None:
    """What a hint costs alone, and set-ups with hints and without on one front, in turn."""
    from ponddoor.load.hints import alone, beside
    from ponddoor.load.measure import shown

    click.echo(shown({**alone(), **asyncio.run(beside(seconds, rounds))}, as_json))


@hints.command()
@click.argument("results", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--to", "picture", required=True, type=click.Path(path_type=Path), help="The picture to write.")
def plot(results: tuple[Path, ...], picture: Path) -> None:
    """Plot pairs, each a point, and print the medians of their differences."""
    from ponddoor.rehearse.pairs import plotted

    click.echo(plotted(list(results), picture))


@main.group()
def load() -> None:
    """Drive a front, and measure it in one run beside a bare relay."""


@load.command(name="run")
@SITE_OPTION
@click.option("--rate", type=float, required=True, help="Requests a second, open loop.")
@click.option("--seconds", type=float, default=10.0, show_default=True)
@click.option("--seed", type=int, default=1)
@click.option("--json", "as_json", is_flag=True)
def load_run(site: Path, rate: float, seconds: float, seed: int, as_json: bool) -> None:
    """Send requests to the fronts of a site that run already; sessions end as soon as they play."""
    from ponddoor.load.generator import Generator
    from ponddoor.load.measure import shown
    from ponddoor.settings.site import load as load_site

    held = usable(lambda: load_site(site))
    titles = sorted(held.titles.listed) or ["title"]
    made = Generator(
        [place.viewers for place in held.fronts],
        list(held.group_names()),
        titles,
        [tenant.name for tenant in held.facts.tenants],
        seed=seed,
    )
    click.echo(shown(asyncio.run(made.open_loop(rate, seconds)).as_dict(), as_json))


@load.command()
@click.option("--port", type=int, required=True)
@click.argument("servers", nargs=-1, required=True)
def relay(port: int, servers: tuple[str, ...]) -> None:
    """The bare relay, before media servers HOST:PORT."""
    from ponddoor.load.relay import Relay
    from ponddoor.web.server import Server, ServerLimits

    made = Relay([(host, int(at)) for host, _, at in (text.rpartition(":") for text in servers)])
    web = Server(made.handle, ServerLimits(max_connections=50_000, max_connections_per_address=50_000))

    async def work() -> None:
        await web.start("127.0.0.1", port)

    run_until_told(work, web.close)


@load.command()
@click.option("--seconds", type=float, default=5.0, show_default=True)
@click.option("--rounds", type=int, default=5, show_default=True)
@click.option("--servers", type=int, default=8, show_default=True)
@click.option("--in-hand", type=int, default=32, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def compare(seconds: float, rounds: int, servers: int, in_hand: int, as_json: bool) -> None:
    """A front beside the bare relay, each on one core, in turn."""
    from ponddoor.load.measure import beside_relay, shown

    click.echo(shown(asyncio.run(beside_relay(seconds, rounds, servers, in_hand)), as_json))


@load.command()
@click.option("--seconds", type=float, default=10.0, show_default=True)
@click.option("--servers", type=int, default=8, show_default=True)
@click.option("--in-hand", type=int, default=32, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def split(seconds: float, servers: int, in_hand: int, as_json: bool) -> None:
    """Where a front's CPU time goes: HTTP, decisions, the rest."""
    from ponddoor.load.measure import shown, split_cpu

    click.echo(shown(asyncio.run(split_cpu(seconds, servers, in_hand)), as_json))


@load.command(name="held")
@click.option("--count", type=int, default=10_000, show_default=True)
@click.option("--seconds", type=float, default=30.0, show_default=True)
@click.option("--servers", type=int, default=15, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def held_(count: int, seconds: float, servers: int, as_json: bool) -> None:
    """Many sessions held by one front: memory, lag of its loop, CPU."""
    from ponddoor.load.measure import held, shown

    click.echo(shown(asyncio.run(held(count, seconds, servers)), as_json))


@load.command()
@click.option("--fronts", type=int, multiple=True, default=(20, 100, 300, 1000, 5000), show_default=True)
@click.option("--seed", type=int, multiple=True, default=(1, 2, 3), show_default=True)
@click.option("--to", "picture", type=click.Path(path_type=Path), help="A picture of the tries to write.")
@click.option("--json", "as_json", is_flag=True)
def coming(fronts: tuple[int, ...], seed: tuple[int, ...], picture: Path | None, as_json: bool) -> None:
    """Whole fleets that come to the list, in virtual time, beside tries in step."""
    from ponddoor.load.coming import plot as draw
    from ponddoor.load.coming import table
    from ponddoor.load.measure import shown

    if picture is not None:
        draw(fronts, seed[0], picture)
    for name, found in table(fronts, seed).items():
        click.echo(shown({"": name, **found}, as_json))


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the shell's completion script: eval it in the shell's start file."""
    from click.shell_completion import get_completion_class

    made = get_completion_class(shell)
    if made is not None:
        click.echo(made(main, {}, "ponddoor", "_PONDDOOR_COMPLETE").source())


capacity_commands.add_command(measure_capacity)
main.add_command(capacity_commands)
main.add_command(config_commands)
main.add_command(raft_commands)
main.add_command(soak_command)
main.add_command(timeline_command)


if __name__ == "__main__":
    main()
