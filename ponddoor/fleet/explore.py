"""Exhaustive exploration of a small model of share leases: one lender, one borrower, a crash, a lost message.

Breadth-first search over every order in which time passes, lease requests and leases arrive, a message is
lost, and a front crashes and restarts at once. In no state may both the lender and the borrower use the
lender's share."""

import copy
from collections import deque
from dataclasses import dataclass, field

from ponddoor.fleet.shares import Shares

LEASE = 2  # ticks
TICKS = 6
GROUP = 0
LENDER = 0
BORROWER = 1


@dataclass(slots=True)
class State:
    """A state of the model. `in_flight` has (message kind, incarnation of the borrower, request number)."""

    lender: Shares
    borrower: Shares
    now: int = 0
    incarnation: int = 1  # of the borrower
    in_flight: list[tuple[str, int, int]] = field(default_factory=list)
    crashes: int = 1  # that may still happen
    losses: int = 1
    requests: int = 2

    def key(self) -> str:
        """Identifies the state."""
        lenders = [
            (n, lender.number, list(lender.requested_at.items()), lender.until)
            for n, lender in self.borrower._lenders.items()
        ]
        lender = (self.lender._own_share_usable_at, self.lender._lent)
        return repr(
            (
                self.now,
                self.incarnation,
                lender,
                lenders,
                sorted(self.in_flight),
                self.crashes,
                self.losses,
                self.requests,
            )
        )


def steps(state: State, make: type[Shares]) -> list[State]:
    """All successor states."""
    successors: list[State] = []

    def add_copy() -> State:
        successors.append(copy.deepcopy(state))
        return successors[-1]

    if state.now < TICKS:
        add_copy().now += 1
    if state.requests:
        successor = add_copy()
        successor.requests -= 1
        successor.in_flight.append(
            ("question", successor.incarnation, successor.borrower.lease_request(successor.now, LENDER))
        )
    for index, (kind, incarnation, number) in enumerate(state.in_flight):
        successor = add_copy()
        del successor.in_flight[index]
        if kind == "question" and successor.lender.may_lend(successor.now, GROUP, BORROWER, incarnation):
            successor.lender.lend(successor.now, (GROUP,), BORROWER, incarnation)
            successor.in_flight.append(("lending", incarnation, number))
        elif kind == "lending":
            successor.borrower.accept_lease(
                successor.now, LENDER, incarnation == successor.incarnation, number, (GROUP,)
            )
        if state.losses:
            successor = add_copy()
            successor.losses -= 1
            del successor.in_flight[index]
    if state.crashes:
        successor = add_copy()
        successor.crashes -= 1
        successor.lender = make(2, successor.now, LEASE, 0.0)
        successor = add_copy()
        successor.crashes -= 1
        successor.borrower, successor.incarnation = (
            make(2, successor.now, LEASE, 0.0),
            successor.incarnation + 1,
        )
    return successors


def explore_all(make: type[Shares] = Shares) -> tuple[int, str]:
    """Returns how many states were visited, and the first violation found; an empty text if there is none."""
    first = State(make(2, -LEASE - 1, LEASE, 0.0), make(2, -LEASE - 1, LEASE, 0.0))
    seen, queue = {first.key()}, deque([first])
    while queue:
        state = queue.popleft()
        if state.lender.may_use_own(state.now, GROUP) and LENDER in state.borrower.lenders_of(
            state.now, GROUP
        ):
            return len(seen), f"lender and borrower may both use the lender's share: {state.key()}"
        for successor in steps(state, make):
            if (key := successor.key()) not in seen:
                seen.add(key)
                queue.append(successor)
    return len(seen), ""
