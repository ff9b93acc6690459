"""`ponddoor config` and `ponddoor raft`: a client of the administration API, and a member as a process.

Exit codes as everywhere: 0 done; 1 it did not come about; 2 input that can't be used."""

import asyncio
import getpass
import resource
import secrets
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlsplit

import click
import msgspec
import structlog

from ponddoor.config.api import MOST_WATCHERS, Api, stop_serving
from ponddoor.config.followers_commands import followers
from ponddoor.config.machine import Machine, MalformedError, taken_apart
from ponddoor.config.rollout import Rollout, Told, lines, merged, to_json
from ponddoor.raft.core import Members
from ponddoor.raft.member import ClusterMember, ForeignDiskError
from ponddoor.raft.storage import UnknownRecordError
from ponddoor.raft.wire import Identity
from ponddoor.settings.check import TIMES, Form
from ponddoor.settings.cluster import ClusterFile, load_cluster
from ponddoor.settings.sexpr import Atom, Listing, Place, Problem, SettingsError, read
from ponddoor.store.files import DiskError, LockedError
from ponddoor.store.journal import DamagedError
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool, Response
from ponddoor.web.server import Server, ServerLimits

TRIES = 20
PAUSE = 0.3
log = structlog.get_logger("config")
ASK_AGAIN = 0.25  # s, between two rounds over all instances
CONNECTIONS = 2000  # of one instance: each of 820 fronts has a watch, and a report now and then
BESIDE = 64  # descriptors for the journal, the peers and the rest


class Client:
    """Asks members in turn until one answers; follows redirects; a change keeps its key over all tries."""

    def __init__(self, addresses: list[tuple[str, int]]) -> None:
        self.addresses = addresses

    async def call(self, method: str, path: str, body: object = None, **headers: str) -> Response:
        """The final answer. Raises click.ClickException where none comes."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        if method != "GET":
            named.setdefault("Idempotency-Key", secrets.token_hex(12))
        where, last = list(self.addresses), "no member"
        for number in range(TRIES):
            host, port = where[number % len(where)]
            pool = Pool(host, port, 2, 1.0)
            try:
                answer = await pool.request(method, path, body, 10.0, tuple(named.items()))
            except (NotSentError, BrokenError, LateError) as problem:
                last = f"{host}:{port}: {problem}"
                await asyncio.sleep(PAUSE)
                continue
            finally:
                pool.close()
            if answer.status == 307:
                to = urlsplit(answer.headers.get("location", ""))
                leads = (to.hostname or host, to.port or port)
                where = [leads] * len(self.addresses) + self.addresses  # it first, then the others again
                last = "redirected without end"
                continue
            if answer.status in (503, 504):
                last = answer.body.decode(errors="replace")[:200]
                await asyncio.sleep(PAUSE)
                continue
            return answer
        raise click.ClickException(f"no answer from the cluster: {last}")


def _usable(make: Callable[[], Any]) -> Any:
    try:
        return make()
    except SettingsError as problem:
        for one in problem.problems:
            click.echo(str(one), err=True)
        sys.exit(2)


def _client(cluster: Path) -> Client:
    held: ClusterFile = _usable(lambda: load_cluster(cluster))
    return Client([place.api for place in held.members.values()])


def _run(work: Coroutine[Any, Any, Response]) -> Any:
    """The body of an answer; a problem goes to standard error, exit 1, or 2 where the input can't be used."""
    answer = asyncio.run(work)
    if answer.status < 300:
        return answer
    got = msgspec.json.decode(answer.body, type=dict[str, Any])
    click.echo(f"{got.get('title')}{': ' + got['detail'] if got.get('detail') else ''}", err=True)
    for line in got.get("problems", []):
        click.echo(f"  {line}", err=True)
    for key, held in got.get("stale", {}).items():
        click.echo(f"  {key} is at version {held['version']}: {held['text']}", err=True)
    sys.exit(2 if answer.status == 422 else 1)


CLUSTER = click.option(
    "--cluster", required=True, type=click.Path(dir_okay=False, path_type=Path), help="The cluster file."
)
JSON = click.option("--json", "as_json", is_flag=True)
WHO = click.option("--who", default=getpass.getuser, help="Who changes it; the user's name if left out.")
WHY = click.option("--why", required=True, help="Kept with the version.")
DRY = click.option("--dry-run", is_flag=True, help="Check it, change nothing.")


@click.group()
def config() -> None:
    """The shared configuration: read, change, compare, roll back."""


@config.command()
@CLUSTER
@click.argument("key", required=False)
def get(cluster: Path, key: str | None) -> None:
    """One key's form, or all of it as a site file."""
    path = "/config/file" if key is None else f"/config/items/{quote(key)}"
    answer = _run(_client(cluster).call("GET", path))
    click.echo(answer.body.decode() if key is None else answer.json()["text"])


@config.command(name="set")
@CLUSTER
@click.argument("key")
@click.argument("text")
@click.option("--at", type=int, help="Only if the key is at this version; 0: only if it is not there.")
@WHO
@WHY
@DRY
def set_(cluster: Path, key: str, text: str, at: int | None, who: str, why: str, dry_run: bool) -> None:
    """Set one key to a form."""
    headers = {} if at is None else {"If_None_Match": "*"} if at == 0 else {"If_Match": f'"v{at}"'}
    path = f"/config/items/{quote(key)}{'?dry-run=1' if dry_run else ''}"
    body = {"text": text, "who": who, "why": why}
    _changed(_run(_client(cluster).call("PUT", path, body, **headers)), dry_run)


@config.command()
@CLUSTER
@click.argument("site", type=click.Path(dir_okay=False, path_type=Path))
@WHO
@WHY
@DRY
def apply(cluster: Path, site: Path, who: str, why: str, dry_run: bool) -> None:
    """Make the configuration what a site file says, in one version: what the file lacks is dropped."""
    client = _client(cluster)
    nodes = _usable(lambda: read(site))
    try:
        wanted = taken_apart(nodes)
    except MalformedError as problem:
        click.echo(f"{site}: {problem}", err=True)
        sys.exit(2)

    async def work() -> Response:
        there: dict[str, int] = {}
        after: Any = ""
        while after is not None:
            page: Any = (await client.call("GET", f"/config?limit=1000&after={quote(after)}")).json()
            there |= {row["key"]: row["version"] for row in page["items"]}
            after = page["next"]
        needs = {key: there.get(key, 0) for key in {*wanted, *there}}
        body = {
            "who": who,
            "why": why,
            "sets": wanted,
            "drops": sorted(set(there) - set(wanted)),
            "needs": needs,
        }
        return await client.call("POST", f"/config{'?dry-run=1' if dry_run else ''}", body)

    _changed(_run(work()), dry_run)


def _changed(answer: Response, dry: bool) -> None:
    got: Any = answer.json()
    if got["why"] == "changes-nothing":
        click.echo(f"nothing to change, version {got['version']}")
    else:
        click.echo(f"{'would be ' if dry else ''}version {got['version']}")


@config.command()
@CLUSTER
@click.argument("old", type=int)
@click.argument("new", type=int)
@JSON
def diff(cluster: Path, old: int, new: int, as_json: bool) -> None:
    """What changed from one version to another."""
    got: Any = _run(_client(cluster).call("GET", f"/config/difference?from={old}&to={new}")).json()
    if as_json:
        click.echo(msgspec.json.encode(got))
        return
    for step in got["steps"]:
        click.echo(f"{step['key']}:")
        for sign, text in (("-", step["before"]), ("+", step["after"])):
            if text is not None:
                click.echo(f"  {sign} {text}")


@config.command()
@CLUSTER
@JSON
def history(cluster: Path, as_json: bool) -> None:
    """Versions, with who changed what, when and why."""
    client, rows, after = _client(cluster), list[dict[str, Any]](), 0
    while after is not None:
        got: Any = _run(client.call("GET", f"/config/history?limit=1000&after={after}")).json()
        rows, after = rows + got["versions"], got["next"]
    if as_json:
        click.echo(msgspec.json.encode(rows))
        return
    for row in rows:
        click.echo(f"{row['version']}  {row['who']}: {row['why']}  ({', '.join(row['keys'])})")


@config.command()
@CLUSTER
@click.argument("version", type=int)
@WHO
@WHY
@DRY
def rollback(cluster: Path, version: int, who: str, why: str, dry_run: bool) -> None:
    """Make things as they were at a version, as a new version."""
    path = f"/config/rollback{'?dry-run=1' if dry_run else ''}"
    _changed(_run(_client(cluster).call("POST", path, {"to": version, "who": who, "why": why})), dry_run)


@config.command()
@CLUSTER
@click.option("--after", type=int, default=0, show_default=True)
@click.option("--count", type=int, help="End after so many versions.")
def watch(cluster: Path, after: int, count: int | None) -> None:
    """Versions as they are committed, a JSON object a line; goes on at another member where one is lost."""
    client = _client(cluster)

    async def follow() -> None:
        seen, shown_, turn = after, 0, 0
        while True:
            host, port = client.addresses[turn % len(client.addresses)]
            turn += 1
            pool = Pool(host, port, 2, 1.0)
            try:
                async for line in pool.stream_lines(f"/config/watch?after={seen}", 10.0):
                    got = msgspec.json.decode(line, type=dict[str, Any])
                    if got.get("version", 0) > seen:
                        seen, shown_ = got["version"], shown_ + 1
                        click.echo(line.decode())
                    if shown_ == count:
                        return
            except (NotSentError, BrokenError, LateError):
                await asyncio.sleep(PAUSE)
            finally:
                pool.close()

    asyncio.run(follow())


@config.command()
@CLUSTER
@click.option("--version", type=click.IntRange(min=1), help="Which version; the newest if left out.")
@click.option(
    "--within", default="9s", show_default=True, help="How long it is waited for: a time with unit."
)
@click.option("--fronts", type=click.IntRange(1, 65_536), help="So many fronts there are, numbered from 0.")
@JSON
def rollout(cluster: Path, version: int | None, within: str, fronts: int | None, as_json: bool) -> None:
    """How many fronts have a version in force, who has not, since when; exit 1 if not all have it in time."""
    held: ClusterFile = _usable(lambda: load_cluster(cluster))
    limit = _time(within)

    async def ask(number: int) -> list[Told] | str:
        """All pages of one instance, or why it can't be asked."""
        pool, pages, after = (
            Pool(*held.members[number].api, 1, 1.0, max_body_bytes=4_000_000),
            list[Told](),
            -1,
        )
        try:
            while True:
                query = f"?after={after}&limit=1000" if after >= 0 else "?limit=1000"
                answer = await pool.request("GET", f"/config/fronts{query}", None, 2.0)
                if answer.status != 200:
                    return f"status {answer.status}"
                page = msgspec.json.decode(answer.body, type=Told)
                pages.append(page)
                if page.next is None or page.next <= after:
                    return pages
                after = page.next
        except (NotSentError, BrokenError, LateError, msgspec.MsgspecError) as problem:
            return str(problem)
        finally:
            pool.close()

    async def ask_all() -> Rollout:
        numbers = sorted(held.members)
        got = await asyncio.gather(*map(ask, numbers))
        told = [page for pages in got if not isinstance(pages, str) for page in pages]
        out = {number: why for number, why in zip(numbers, got, strict=True) if isinstance(why, str)}
        return merged(told, out, version, fronts)

    async def work() -> Rollout:
        loop = asyncio.get_running_loop()
        end = loop.time() + limit
        while True:
            found = await ask_all()
            if found.whole or loop.time() >= end:
                return found
            await asyncio.sleep(min(ASK_AGAIN, max(end - loop.time(), 0)))

    found = asyncio.run(work())
    if as_json:
        click.echo(msgspec.json.encode(to_json(found)))
    else:
        for line in lines(found):
            click.echo(line)
    sys.exit(0 if found.whole else 1)


def _time(text: str) -> float:
    """Seconds of a time with its unit; exit 2 where it is none."""
    problems: list[Problem] = []
    atom = Atom(text, False, Place("--within", 1, 1))
    got = Form(Listing((), atom.place), problems).measure(atom, TIMES, 0, 3_600_000_000)
    if got is None:
        click.echo(f"--within: found {problems[0].found}, expected {problems[0].expected}", err=True)
        sys.exit(2)
    return got / 1e6


config.add_command(followers)


@click.group()
def raft() -> None:
    """The instances that agree on the configuration."""


@raft.command()
@CLUSTER
@click.option("--me", required=True, type=int, help="Which member this is.")
@click.option(
    "--folder", required=True, type=click.Path(file_okay=False, path_type=Path), help="Its journal."
)
def serve(cluster: Path, me: int, folder: Path) -> None:
    """Run one member until SIGTERM."""
    held: ClusterFile = _usable(lambda: load_cluster(cluster))
    if me not in held.members:
        click.echo(f"{cluster}: no member {me}: it has {', '.join(map(str, sorted(held.members)))}", err=True)
        sys.exit(2)
    place = held.members[me]
    first = Members(held.founders if me in held.founders else frozenset())
    addresses = {number: one.peers for number, one in held.members.items()}
    identity, machine = Identity(held.name, me, place.generation, held.key), Machine(cluster.parent)
    member = ClusterMember(identity, first, addresses, folder, machine=machine)
    connections = _connections()
    api = Api(member, {number: one.api for number, one in held.members.items()})
    api.most_watchers = min(MOST_WATCHERS, connections // 2)
    bounds = ServerLimits(connections, connections, max_body_bytes=member.limits.entry_bytes)
    web = Server(api.handle, bounds)

    async def work() -> None:
        told = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, told.set)
        try:
            await member.start()
            await web.start(*place.api)
        except (
            LockedError,
            DamagedError,
            DiskError,
            UnknownRecordError,
            ForeignDiskError,
            OSError,
        ) as problem:
            click.echo(f"member {me}: {type(problem).__name__}: {problem}", err=True)
            sys.exit(1)
        while not told.is_set() and not member.failed:
            try:
                async with asyncio.timeout(0.2):
                    await told.wait()
            except TimeoutError:
                continue
        await stop_serving(web, member)
        if member.failed:
            click.echo(f"member {me}: {member.failed}", err=True)
            sys.exit(1)

    asyncio.run(work())


def _connections() -> int:
    """How many connections the descriptors at hand allow; said where they are fewer than wanted, since one
    instance alone may have to serve all fronts."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= CONNECTIONS + BESIDE:
        return CONNECTIONS
    found = max(soft - BESIDE, BESIDE)
    log.warning(
        "few-descriptors",
        at_hand=soft,
        wanted=CONNECTIONS + BESIDE,
        connections=found,
        fronts=min(MOST_WATCHERS, found // 2),
    )
    return found


@raft.command()
@CLUSTER
@JSON
def status(cluster: Path, as_json: bool) -> None:
    """Each member: its role, term, log and what it knows of the others; exit 1 where none leads."""
    held: ClusterFile = _usable(lambda: load_cluster(cluster))

    async def ask(number: int) -> dict[str, Any]:
        pool = Pool(*held.members[number].api, 2, 1.0)
        try:
            return dict((await pool.request("GET", "/cluster", None, 2.0)).json())
        except (NotSentError, BrokenError, LateError) as problem:
            return {"me": number, "role": "unreachable", "why": str(problem)}
        finally:
            pool.close()

    async def ask_all() -> list[dict[str, Any]]:
        return await asyncio.gather(*(ask(number) for number in sorted(held.members)))

    rows = asyncio.run(ask_all())
    if as_json:
        click.echo(msgspec.json.encode(rows))
    else:
        for row in rows:
            told = " ".join(
                f"{name} {row[name]}" for name in ("term", "commit", "last", "version") if name in row
            )
            click.echo(f"member {row['me']}: {row['role']} {told}{row.get('why', '')}")
    sys.exit(0 if any(row["role"] == "leader" for row in rows) else 1)


@raft.command()
@CLUSTER
@click.argument("member", type=int)
@click.option("--voter", is_flag=True, help="Make a learner that has caught up a voter.")
def add(cluster: Path, member: int, voter: bool) -> None:
    """A new member as a learner, or a learner as a voter."""
    body = {"member": member, "what": "voter" if voter else "learner"}
    got: Any = _run(_client(cluster).call("POST", "/cluster/members", body)).json()
    click.echo(f"voters {got['voters']}, learners {got['learners']}")


@raft.command()
@CLUSTER
@click.argument("member", type=int)
def remove(cluster: Path, member: int) -> None:
    """One member less."""
    got: Any = _run(
        _client(cluster).call("POST", "/cluster/members", {"member": member, "what": "remove"})
    ).json()
    click.echo(f"voters {got['voters']}, learners {got['learners']}")


@raft.command()
@CLUSTER
@click.argument("member", type=int)
def transfer(cluster: Path, member: int) -> None:
    """Have another member lead."""
    _run(_client(cluster).call("POST", "/cluster/transfer", {"member": member}))
    click.echo(f"member {member} was asked to lead")
