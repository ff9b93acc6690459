"""Makes a failing plan smaller: fewer faults, fewer nodes, while the same rule is broken."""

from collections.abc import Awaitable, Callable

import msgspec

from ponddoor.soak.plan import Plan

Plays = Callable[[Plan], Awaitable[frozenset[str]]]  # the rules that a play breaks


async def minimise(plan: Plan, rules: frozenset[str], plays: Plays, most_plays: int = 12) -> Plan:
    """The smallest plan found that breaks one of `rules`, within `most_plays` plays."""
    best, left = plan, most_plays
    part = max(len(best.faults) // 2, 1)
    while left and best.faults:
        for at in range(0, len(best.faults), part):
            smaller = msgspec.structs.replace(best, faults=best.faults[:at] + best.faults[at + part :])
            left -= 1
            if await plays(smaller) & rules:
                best = smaller
                break
            if not left:
                break
        else:
            if part == 1:
                break
            part = max(part // 2, 1)
    if left and best.nodes > 1:
        fewer = msgspec.structs.replace(best, nodes=max(best.nodes // 2, 1))
        if await plays(fewer) & rules:
            best = fewer
    return best
