"""All courses of a small case: two fronts, two seats, three viewers, one crash, one lost message.

Breadth first over every order in which messages arrive, writes become durable, viewers ask and give back, one
message is lost and one front crashes. Time stands still but for the steps, so leases don't lapse: what is
explored is the order of things. In every state the seats granted and not given back never exceed the
limit."""

import copy
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from ponddoor.seats.core import Effect, Granted, Key, Seats, Send, Timing, Write

KEY: Key = ("t", "e")
NOW = 10**9
TIMING = Timing(drift_ratio=0.0, retry_interval=0, surplus_retention=0)


@dataclass(slots=True)
class State:
    """One state of the small world. A front's journal: its durable records, and those that are not yet."""

    cores: list[Seats]
    journals: list[list[Any]]
    pending: list[list[Any]]
    numbers: list[int]
    flying: list[tuple[int, int, Any]] = field(default_factory=list)
    running: dict[str, tuple[int, str]] = field(default_factory=dict)  # seat: (front, viewer)
    to_ask: tuple[int, ...] = (0, 1, 2)
    crashes: int = 1
    losses: int = 1
    tickets: int = 0

    def key(self) -> str:
        """What tells two states apart: all but counters that only name things."""
        cores = [
            (c.epoch, c.last_durable_record, c.last_record, _shares(c), _lent(c), repr(c._delayed_effects))
            for c in self.cores
        ]
        flying = sorted(map(repr, self.flying))
        return repr(
            (cores, flying, self.pending, sorted(self.running), self.to_ask, self.crashes, self.losses)
        )


def _shares(core: Seats) -> list[Any]:
    return [
        (
            s.count,
            s.request_number,
            s.lowering_request,
            s.accepted_request,
            s.home_epoch,
            sorted(s.seats),
            len(s.waiting),
        )
        for s in core.shares.values()
    ]


def _lent(core: Seats) -> list[Any]:
    return [
        sorted(
            (peer, lent.count, lent.epoch, lent.number, lent.record_number)
            for peer, lent in table.leases.items()
        )
        for table in core.lease_tables.values()
    ]


def first_state(make: type[Seats], limit: int) -> State:
    """Two fronts that have run for long and hold nothing."""
    state = State([], [[], []], [[], []], [0, 0])
    for me in range(2):
        core = make(me, 2, {KEY: limit}, TIMING, 1, NOW)
        core.no_leases_until = NOW
        state.cores.append(core)
        carry_out(state, me, core.start(NOW))
        commit(state, me)
    return state


def carry_out(state: State, me: int, effects: list[Effect]) -> None:
    for effect in effects:
        if isinstance(effect, Write):
            state.pending[me].append(effect.record)
        elif isinstance(effect, Send):
            state.flying.append((me, effect.peer, effect.message))
        elif isinstance(effect, Granted):
            state.running[effect.seat] = (me, effect.viewer)


def commit(state: State, me: int) -> None:
    state.journals[me] += state.pending[me]
    state.numbers[me] += len(state.pending[me])
    state.pending[me] = []
    carry_out(state, me, state.cores[me].on_durable(NOW, state.numbers[me]))


def steps(state: State, make: type[Seats], limit: int) -> list[State]:
    """All states that can follow."""
    out: list[State] = []

    def fork() -> State:
        made = copy.deepcopy(state)
        out.append(made)
        return made

    for at, (sender, peer, message) in enumerate(state.flying):
        if (sender, peer, message) in state.flying[:at]:
            continue
        arrived = fork()
        del arrived.flying[at]
        carry_out(arrived, peer, arrived.cores[peer].receive(NOW, sender, message))
        if state.losses:
            lost = fork()
            del lost.flying[at]
            lost.losses -= 1
    for me in range(2):
        if state.pending[me]:
            commit(fork(), me)
        if state.crashes:
            crashed = fork()
            crashed.crashes -= 1
            crashed.pending[me] = []
            core = make(me, 2, {KEY: limit}, TIMING, state.cores[me].epoch + 1, NOW)
            core.recover(NOW, None, copy.deepcopy(crashed.journals[me]))
            crashed.cores[me], crashed.numbers[me] = core, 0
            carry_out(crashed, me, core.start(NOW))
    for viewer in state.to_ask:
        asked = fork()
        asked.to_ask = tuple(v for v in state.to_ask if v != viewer)
        asked.tickets += 1
        me = viewer % 2
        carry_out(asked, me, asked.cores[me].take(NOW, asked.tickets, KEY, f"v{viewer}", "s"))
    for seat, (me, who) in state.running.items():
        back = fork()
        del back.running[seat]
        carry_out(back, me, back.cores[me].give_back(NOW, KEY, seat, who))
    return out


def explore_all(limit: int = 2, most: int = 10**9, make: type[Seats] = Seats) -> tuple[int, str]:
    """The number of states reached, and what is wrong in one of them; at most so many are visited."""
    first = first_state(make, limit)
    seen, todo = {first.key()}, deque([first])
    while todo and len(seen) < most:
        state = todo.popleft()
        for following in steps(state, make, limit):
            if len(following.running) > limit:
                return len(seen), f"{len(following.running)} seats of {limit}: {following.key()}"
            name = following.key()
            if name not in seen:
                seen.add(name)
                todo.append(following)
    return len(seen), ""
