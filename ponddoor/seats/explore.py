"""Exhaustive check of a small model of the count of seats.

The model has two fronts, two seats unless the caller sets another limit, three viewers, one crash and one
lost message. Searches breadth first through every order in which messages arrive, records become durable,
viewers take seats and give them back, a message is lost and a front crashes. The clock stands still, so no
lease expires: only the order of events is explored. In every state the seats that are granted and not given
back must not exceed the limit."""

import copy
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from ponddoor.seats.core import Effect, Granted, Key, Seats, Send, Timing, Write

KEY: Key = ("t", "e")
NOW_US = 10**9
TIMING = Timing(drift_ratio=0.0, retry_interval=0, surplus_retention=0)


@dataclass(slots=True)
class State:
    """One state of the model.

    By front: its core, its durable records, those that are not durable yet, and how many have become durable
    since it started. `in_flight` are messages with their sender and receiver, `held_seats` maps a seat to its
    front and viewer."""

    cores: list[Seats]
    journals: list[list[Any]]
    pending_records: list[list[Any]]
    durable_counts: list[int]
    in_flight: list[tuple[int, int, Any]] = field(default_factory=list)
    held_seats: dict[str, tuple[int, str]] = field(default_factory=dict)
    viewers_left: tuple[int, ...] = (0, 1, 2)
    crashes_left: int = 1
    losses_left: int = 1
    last_ticket: int = 0

    def fingerprint(self) -> str:
        """Identifies the state: all of it but counters that are only used to make names."""
        cores = [
            (
                core.epoch,
                core.last_durable_record,
                core.last_record,
                _share_values(core),
                _lease_values(core),
                repr(core._delayed_effects),
            )
            for core in self.cores
        ]
        in_flight = sorted(map(repr, self.in_flight))
        return repr(
            (
                cores,
                in_flight,
                self.pending_records,
                sorted(self.held_seats),
                self.viewers_left,
                self.crashes_left,
                self.losses_left,
            )
        )


def _share_values(core: Seats) -> list[Any]:
    return [
        (
            share.count,
            share.request_number,
            share.lowering_request,
            share.accepted_request,
            share.home_epoch,
            sorted(share.seats),
            len(share.waiting),
        )
        for share in core.shares.values()
    ]


def _lease_values(core: Seats) -> list[Any]:
    return [
        sorted(
            (peer, lease.count, lease.epoch, lease.number, lease.record_number)
            for peer, lease in table.leases.items()
        )
        for table in core.lease_tables.values()
    ]


def initial_state(core_class: type[Seats], limit: int) -> State:
    """Two fronts that hold no seats and are past the wait after a start: they may lease seats at once."""
    state = State([], [[], []], [[], []], [0, 0])
    for me in range(2):
        core = core_class(me, 2, {KEY: limit}, TIMING, 1, NOW_US)
        core.no_leases_until = NOW_US
        state.cores.append(core)
        apply_effects(state, me, core.start(NOW_US))
        commit(state, me)
    return state


def apply_effects(state: State, me: int, effects: list[Effect]) -> None:
    for effect in effects:
        if isinstance(effect, Write):
            state.pending_records[me].append(effect.record)
        elif isinstance(effect, Send):
            state.in_flight.append((me, effect.peer, effect.message))
        elif isinstance(effect, Granted):
            state.held_seats[effect.seat] = (me, effect.viewer)


def commit(state: State, me: int) -> None:
    """Makes all pending records of a front durable."""
    state.journals[me] += state.pending_records[me]
    state.durable_counts[me] += len(state.pending_records[me])
    state.pending_records[me] = []
    apply_effects(state, me, state.cores[me].on_durable(NOW_US, state.durable_counts[me]))


def successors(state: State, core_class: type[Seats], limit: int) -> list[State]:
    """All states that can follow a state."""
    states: list[State] = []

    def fork() -> State:
        successor = copy.deepcopy(state)
        states.append(successor)
        return successor

    for index, (sender, peer, message) in enumerate(state.in_flight):
        if (sender, peer, message) in state.in_flight[:index]:
            continue
        arrived = fork()
        del arrived.in_flight[index]
        apply_effects(arrived, peer, arrived.cores[peer].receive(NOW_US, sender, message))
        if state.losses_left:
            lost = fork()
            del lost.in_flight[index]
            lost.losses_left -= 1
    for me in range(2):
        if state.pending_records[me]:
            commit(fork(), me)
        if state.crashes_left:
            crashed = fork()
            crashed.crashes_left -= 1
            crashed.pending_records[me] = []
            core = core_class(me, 2, {KEY: limit}, TIMING, state.cores[me].epoch + 1, NOW_US)
            core.recover(NOW_US, None, copy.deepcopy(crashed.journals[me]))
            crashed.cores[me], crashed.durable_counts[me] = core, 0
            apply_effects(crashed, me, core.start(NOW_US))
    for viewer in state.viewers_left:
        requested = fork()
        requested.viewers_left = tuple(v for v in state.viewers_left if v != viewer)
        requested.last_ticket += 1
        me = viewer % 2
        apply_effects(
            requested, me, requested.cores[me].take(NOW_US, requested.last_ticket, KEY, f"v{viewer}", "s")
        )
    for seat, (me, holder) in state.held_seats.items():
        returned = fork()
        del returned.held_seats[seat]
        apply_effects(returned, me, returned.cores[me].give_back(NOW_US, KEY, seat, holder))
    return states


def explore_states(
    limit: int = 2, max_states: int = 10**9, core_class: type[Seats] = Seats
) -> tuple[int, str]:
    """Visits all states that can be reached, until `max_states` have been found or one exceeds the limit.
    Returns how many were found, and the error's text, which is empty if there was none."""
    first = initial_state(core_class, limit)
    fingerprints, queue = {first.fingerprint()}, deque([first])
    while queue and len(fingerprints) < max_states:
        state = queue.popleft()
        for successor in successors(state, core_class, limit):
            if len(successor.held_seats) > limit:
                return (
                    len(fingerprints),
                    f"{len(successor.held_seats)} seats granted, the limit is {limit}, in state "
                    f"{successor.fingerprint()}",
                )
            fingerprint = successor.fingerprint()
            if fingerprint not in fingerprints:
                fingerprints.add(fingerprint)
                queue.append(successor)
    return len(fingerprints), ""
