"""Which mechanisms act, looked at from outside once a second: a line when one starts, one when it stops."""

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass, field

import structlog

from ponddoor.decide import Front
from ponddoor.fleet.presence import Connectivity, Presence
from ponddoor.interface.events import ServerState

MAX_LOG_LINES = 50  # of one look
log = structlog.get_logger("mechanisms")


@contextlib.contextmanager
def unchanged_decisions(front: Front, now: int) -> Iterator[None]:
    """Guards against a look that changes what is decided: what reading moves is put back behind it."""
    fleet = front.fleet
    kept = front.now, dict(fleet.synced_since), dict(fleet.synced_cache), front.mean_load_at, front.mean_load
    front.clock(now)
    try:
        yield
    finally:
        now, fleet.synced_since, fleet.synced_cache, front.mean_load_at, front.mean_load = kept
        front.clock(now)


def server_account(front: Front, now: int) -> list[tuple[str, int, int, int, int, float]]:
    """What a front believes of each server that has not gone: its id, sessions held there, kB a second that
    these ask, that all ask and that are idle, and for how many seconds it rests."""
    with unchanged_decisions(front, now):
        rows = [s for s in front.servers.values() if s.row.state is not ServerState.GONE]
        idle = front.idle_by_server(rows, 1.0)
        return [
            (
                f"{s.row.server:08x}",
                len(s.sessions),
                round(s.own_demand()),
                round(front.demand(s)),
                round(idle[s.row.server]),
                max(front.setup_backoff_until(s) - now, 0) / 1e6,
            )
            for s in rows
        ]


@dataclass(slots=True)
class DeadFronts:
    """Whom a front took for dead when last looked, to tell from outside when that changes."""

    version: int = -1
    dead: frozenset[int] = frozenset()

    def look(self, presence: Presence) -> dict[int, bool]:
        """Who is taken for dead, or for alive again, since the last look."""
        if presence.version == self.version:
            return {}
        self.version, before, self.dead = presence.version, self.dead, frozenset(presence.dead_fronts())
        return {front: front in self.dead for front in sorted(self.dead ^ before)}


@dataclass(slots=True)
class ActiveMechanisms:
    """What acted when last looked: words such as `rest 17`."""

    now_acting: set[str] = field(default_factory=set)

    def look(self, front: Front, now: int) -> None:
        with unchanged_decisions(front, now):
            acting = self._acting(front, now)
        said = [("acts", word) for word in sorted(acting - self.now_acting)]
        said += [("stops", word) for word in sorted(self.now_acting - acting)]
        for event, word in said[:MAX_LOG_LINES]:
            self._say(front, now, event, word)
        if len(said) > MAX_LOG_LINES:
            log.info("mechanisms-more", count=len(said) - MAX_LOG_LINES)
        self.now_acting = acting

    def _acting(self, front: Front, now: int) -> set[str]:
        acting = {f"keeper-given-up {keeper}" for keeper in front.fleet.silent_owners}
        if front.fleet.gossip_enabled:
            hears = front.fleet.presence.connectivity(now)
            acting |= {f"hears-{hears.value}"} if hears is not Connectivity.FULL else set()
            acting |= {f"keeps {group}" for group in front.fleet.groups if front.fleet.is_synced(group)}
            acting |= {f"front-dead {one}" for one in front.fleet.presence.dead_fronts()}
        for number, server in front.servers.items():
            if server.row.state is ServerState.GONE:
                continue
            if front.setup_backoff_until(server) > now:
                acting.add(f"rest {number}")
            if front.is_avoided(server):
                acting.add(f"avoid {number}")
            if now - server.process_started_at() < front.facts.rules.cold or server.seen_down_at is not None:
                acting.add(f"pace {number}")
        return acting

    def _say(self, front: Front, now: int, event: str, word: str) -> None:
        name, _, server = word.partition(" ")
        if name == "avoid":  # a judgement, with its evidence
            view = front.fleet.evidence.summary(now, int(server), front.facts.me)
            log.info(
                f"mechanism-{event}",
                mechanism=name,
                server=int(server),
                against=view.witnesses_against,
                failed=view.failed,
                tries=view.tries,
            )
        elif name in ("keeps", "front-dead", "keeper-given-up"):
            log.info(f"mechanism-{event}", mechanism=name, number=int(server))
        elif server:
            log.info(f"mechanism-{event}", mechanism=name, server=int(server))
        else:
            log.info(f"mechanism-{event}", mechanism=name)
