"""The baseline of a rehearsal: a holder by chance at the lowest rung. It keeps the rules, no more."""

from collections.abc import Iterable

from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface.facts import SiteFacts
from ponddoor.interface.script import Script
from ponddoor.state import SeededRandom


class RandomHolder:
    """Decisions without an account."""

    def __init__(self, facts: SiteFacts, now: int) -> None:
        self.facts, self.now, self.chance = facts, now, SeededRandom(facts.seed)
        self.rows: dict[int, ev.ServerRow] = {}

    def clock(self, now: int) -> None:
        self.now = now

    def observe(self, event: ev.Event) -> None:
        if isinstance(event, ev.ServerNews):
            if event.scope in (ev.NewsScope.FULL, ev.NewsScope.CACHED):
                self.rows = {}
            self.rows |= {row.server: row for row in event.rows}

    def session(self, request: ev.SessionRequest) -> Script:
        group = self.facts.groups[request.service_group]
        deadline, allowed = self.now + request.time_left, self.facts.permissions
        for _ in range(allowed.max_attempts):
            open_now = [
                row.server
                for row in self.rows.values()
                if row.state is ev.ServerState.READY
                and (row.cell - request.home) % self.facts.plant.cells < request.span
            ]
            if not open_now or self.now >= deadline:
                break
            yield act.SetRung(request.req_id, group.floor)
            server = open_now[self.chance.draw(len(open_now))]
            got = yield act.Setup(request.req_id, server, min(group.start_target // 2, deadline - self.now))
            if isinstance(got, ev.Started):
                yield act.Play()
                return
            if isinstance(got, ev.ViewerLeft) or (isinstance(got, ev.Ended) and got.final):
                return
        yield act.BusyReply(request.req_id, allowed.max_come_back // 2)

    def handed_over(self, event: ev.HandedOver) -> Script:
        yield act.Play()

    def upkeep(self) -> Iterable[Script]:
        return [self.watch()] if self.facts.asked_discovery else []

    def watch(self) -> Script:
        while True:
            yield act.Watch(True)
            yield act.Wait(self.now + 5_000_000)
