"""`ponddoor config` and `ponddoor raft`: a client of the administration API, and a member as a process.

Exit codes as everywhere: 0 done; 1 it did not come about; 2 input that can't be used."""

import asyncio
import getpass
import secrets
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlsplit

import click
import msgspec

from ponddoor.config.api import Api
from ponddoor.config.machine import Machine, MalformedError, taken_apart
from ponddoor.raft.core import Members
from ponddoor.raft.member import ClusterMember, ForeignDiskError
from ponddoor.raft.storage import UnknownRecordError
from ponddoor.raft.wire import Identity
from ponddoor.settings.cluster import ClusterFile, load_cluster
from ponddoor.settings.sexpr import SettingsError, read
from ponddoor.store.files import DiskError, LockedError
from ponddoor.store.journal import DamagedError
from ponddoor.web.client import Answer, BrokenError, LateError, NotSentError, Pool
from ponddoor.web.server import Bounds, Server

TRIES = 20
PAUSE = 0.3


class Client:
    """Asks members in turn until one answers; follows redirects; a change keeps its key over all tries."""

    def __init__(self, addresses: list[tuple[str, int]]) -> None:
        self.addresses = addresses

    async def call(self, method: str, path: str, body: object = None, **headers: str) -> Answer:
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


def _run(work: Coroutine[Any, Any, Answer]) -> Any:
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


CLUSTER = click.option("--cluster", required=True, type=click.Path(dir_okay=False, path_type=Path),
                       help="The cluster file.")  # fmt: skip
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

    async def work() -> Answer:
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


def _changed(answer: Answer, dry: bool) -> None:
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
                async for line in pool.lines(f"/config/watch?after={seen}", 10.0):
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
    api = Api(member, {number: one.api for number, one in held.members.items()})
    web = Server(api.handle, Bounds(connections=2000, per_address=2000))

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
        await web.close()
        await member.stop()
        if member.failed:
            click.echo(f"member {me}: {member.failed}", err=True)
            sys.exit(1)

    asyncio.run(work())


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
