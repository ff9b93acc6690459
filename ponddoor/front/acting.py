"""Logs which protective mechanisms of the decisions are active: a line when one starts and one when it stops.

The front's process polls this once a second. Reading leaves the decisions as they were."""

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass, field

import structlog

from ponddoor.decide import Front
from ponddoor.fleet.presence import Connectivity, Presence
from ponddoor.interface.events import ServerState

MAX_LOG_LINES = 50  # per poll
log = structlog.get_logger("mechanisms")


@contextlib.contextmanager
def unchanged_decisions(front: Front, now: int) -> Iterator[None]:
    """A context in which the decisions may be read at `now`; afterwards their state is restored.

    Reading refreshes caches and the clock; without this, polling would change later decisions."""
    fleet = front.fleet
    saved = front.now, dict(fleet.synced_since), dict(fleet.synced_cache), front.mean_load_at, front.mean_load
    front.clock(now)
    try:
        yield
    finally:
        now, fleet.synced_since, fleet.synced_cache, front.mean_load_at, front.mean_load = saved
        front.clock(now)


def server_account(front: Front, now: int) -> list[tuple[str, int, int, int, int, float]]:
    """A front's view of each server that is not gone.

    Per server: its id, the number of sessions held there, the kB per second demanded by these, demanded by
    all and idle, and for how many seconds the front will still back off from it."""
    with unchanged_decisions(front, now):
        servers = [s for s in front.servers.values() if s.row.state is not ServerState.GONE]
        idle = front.idle_by_server(servers, 1.0)
        return [
            (
                f"{s.row.server:08x}",
                len(s.sessions),
                round(s.own_demand()),
                round(front.demand(s)),
                round(idle[s.row.server]),
                max(front.setup_backoff_until(s) - now, 0) / 1e6,
            )
            for s in servers
        ]


@dataclass(slots=True)
class DeadFronts:
    """The fronts that a front's failure detector considered dead at the last poll, to detect changes."""

    version: int = -1
    dead: frozenset[int] = frozenset()

    def changes(self, presence: Presence) -> dict[int, bool]:
        """The fronts declared dead (True) or alive again (False) since the last call."""
        if presence.version == self.version:
            return {}
        self.version, before, self.dead = presence.version, self.dead, frozenset(presence.dead_fronts())
        return {front: front in self.dead for front in sorted(self.dead ^ before)}


@dataclass(slots=True)
class ActiveMechanisms:
    """The mechanisms that were active at the last poll: a name and mostly a number, such as `rest 17`."""

    active: set[str] = field(default_factory=set)

    def log_changes(self, front: Front, now: int) -> None:
        with unchanged_decisions(front, now):
            current = self._current(front, now)
        changes = [("acts", mechanism) for mechanism in sorted(current - self.active)]
        changes += [("stops", mechanism) for mechanism in sorted(self.active - current)]
        for event, mechanism in changes[:MAX_LOG_LINES]:
            self._log(front, now, event, mechanism)
        if len(changes) > MAX_LOG_LINES:
            log.info("mechanisms-more", count=len(changes) - MAX_LOG_LINES)
        self.active = current

    def _current(self, front: Front, now: int) -> set[str]:
        active = {f"keeper-given-up {keeper}" for keeper in front.fleet.silent_owners}
        if front.fleet.gossip_enabled:
            connectivity = front.fleet.presence.connectivity(now)
            active |= {f"hears-{connectivity.value}"} if connectivity is not Connectivity.FULL else set()
            active |= {f"keeps {group}" for group in front.fleet.groups if front.fleet.is_synced(group)}
            active |= {f"front-dead {member}" for member in front.fleet.presence.dead_fronts()}
        for number, server in front.servers.items():
            if server.row.state is ServerState.GONE:
                continue
            if front.setup_backoff_until(server) > now:
                active.add(f"rest {number}")
            if front.is_avoided(server):
                active.add(f"avoid {number}")
            if now - server.process_started_at() < front.facts.rules.cold or server.seen_down_at is not None:
                active.add(f"pace {number}")
        return active

    def _log(self, front: Front, now: int, event: str, mechanism: str) -> None:
        name, _, number = mechanism.partition(" ")
        if name == "avoid":  # logged with the evidence it rests on
            view = front.fleet.evidence.summary(now, int(number), front.facts.me)
            log.info(
                f"mechanism-{event}",
                mechanism=name,
                server=int(number),
                against=view.witnesses_against,
                failed=view.failed,
                tries=view.tries,
            )
        elif name in ("keeps", "front-dead", "keeper-given-up"):
            log.info(f"mechanism-{event}", mechanism=name, number=int(number))
        elif number:
            log.info(f"mechanism-{event}", mechanism=name, server=int(number))
        else:
            log.info(f"mechanism-{event}", mechanism=name)
