"""All courses of a small case: an owner, a keeper, one lease, one crash of either, one lost message.

Breadth first over every order in which time passes, questions and lendings arrive, a message is lost and a
front crashes and is back at once. In no state is the owner's part with both."""

import copy
from collections import deque
from dataclasses import dataclass, field

from ponddoor.fleet.shares import Shares

LEASE = 2
TICKS = 6  # of which a lease takes two
GROUP = 0
OWNER, KEEPER = 0, 1


@dataclass(slots=True)
class State:
    """One state of the small world. `flying`: (what, the keeper's life, number)."""

    owner: Shares
    keeper: Shares
    now: int = 0
    incarnation: int = 1
    flying: list[tuple[str, int, int]] = field(default_factory=list)
    crashes: int = 1
    losses: int = 1
    asked: int = 2

    def key(self) -> str:
        """What tells two states apart."""
        lenders = [
            (n, one.number, list(one.requested_at.items()), one.until)
            for n, one in self.keeper._lenders.items()
        ]
        owner = (self.owner._own_share_usable_at, self.owner._lent)
        return repr(
            (
                self.now,
                self.incarnation,
                owner,
                lenders,
                sorted(self.flying),
                self.crashes,
                self.losses,
                self.asked,
            )
        )


def steps(state: State, make: type[Shares]) -> list[State]:
    """Every state that may come next."""
    found: list[State] = []

    def then() -> State:
        found.append(copy.deepcopy(state))
        return found[-1]

    if state.now < TICKS:
        then().now += 1
    if state.asked:
        other = then()
        other.asked -= 1
        other.flying.append(("question", other.incarnation, other.keeper.lease_request(other.now, OWNER)))
    for at, (what, life, number) in enumerate(state.flying):
        other = then()
        del other.flying[at]
        if what == "question" and other.owner.may_lend(other.now, GROUP, KEEPER, life):
            other.owner.lend(other.now, (GROUP,), KEEPER, life)
            other.flying.append(("lending", life, number))
        elif what == "lending":
            other.keeper.accept_lease(other.now, OWNER, life == other.incarnation, number, (GROUP,))
        if state.losses:
            other = then()
            other.losses -= 1
            del other.flying[at]
    if state.crashes:
        other = then()
        other.crashes -= 1
        other.owner = make(2, other.now, LEASE, 0.0)
        other = then()
        other.crashes -= 1
        other.keeper, other.incarnation = make(2, other.now, LEASE, 0.0), other.incarnation + 1
    return found


def explore_all(make: type[Shares] = Shares) -> tuple[int, str]:
    """How many states there are, and what is wrong in the first that breaks the bound."""
    first = State(make(2, -LEASE - 1, LEASE, 0.0), make(2, -LEASE - 1, LEASE, 0.0))
    seen, todo = {first.key()}, deque([first])
    while todo:
        state = todo.popleft()
        if state.owner.may_use_own(state.now, GROUP) and OWNER in state.keeper.lenders_of(state.now, GROUP):
            return len(seen), f"the part is with both: {state.key()}"
        for other in steps(state, make):
            if (key := other.key()) not in seen:
                seen.add(key)
                todo.append(other)
    return len(seen), ""
