"""Planned restarts: sessions that end while their node is down.

Their server releases them on the next connection that it gets from the node. The new process opens one for a
probe before it is handed its sessions: it drops the release of a session that it does not know yet, takes
the session over a moment later, and its viewer is never released."""

import asyncio
import sys

from standins import SLACK_S, Node, Platform, lane, now, play, site

NODES, SERVERS = 4, 3
SET_UPS_PER_S = 12.0  # over all nodes; DAYS.md: "About 25 set-ups a second reach the busiest front node"
# BENCH-ponddoor.md, `balancer_roll`: over 8 to 30 s, 0.5 to 1 of the fronts, 0.05 to 0.3 of them at once (one
# of four here), seconds down 0.2 to 1.5 (0.7 and the start of the process)
RESTARTS_AT, DOWN_S = (40.0, 46.5, 53.0, 59.5), 0.7
END_AT = 76.0
RELEASE_S, HANDED_OVER_S = 8.0, 0.2
LANES = [
    lane("handover", 1000.0, 3000.0, 3.0, "repeatable"),
    lane("training", 1000.0, 5000.0, 1.0, "repeatable"),
]


def settings(me: int) -> dict[str, object]:
    return site(me, NODES, LANES, {"classTop": [4, 2]})


async def viewers(platform: Platform) -> None:
    while True:
        await asyncio.sleep(platform.rng.expovariate(SET_UPS_PER_S))
        taking = [one for one in platform.nodes if one.taking]
        name = "handover" if platform.rng.random() < 0.35 else "training"
        platform.spawn(platform.ask(platform.rng.choice(taking), name, platform.rng.randrange(1, 9), 4))


async def restart(platform: Platform, node: Node) -> None:
    await platform.terminate_node(node)
    await asyncio.sleep(DOWN_S)
    if not await platform.start_node(node):
        raise RuntimeError("a node did not become ready")
    await platform.hand_over(node)


async def case(platform: Platform) -> list[str]:
    for number in range(SERVERS):
        platform.add_server(cell=number * 4, slots=300, size=40)
    ready = await asyncio.gather(*(platform.start_node(node) for node in platform.nodes))
    if not all(ready):
        raise RuntimeError("a node did not become ready")
    began = now()
    platform.spawn(viewers(platform))
    for number, at in enumerate(RESTARTS_AT if platform.trouble else ()):
        await asyncio.sleep(began + at - now())
        await restart(platform, platform.nodes[number % NODES])
    await asyncio.sleep(began + END_AT - now())
    return never_released(platform)


def never_released(platform: Platform) -> list[str]:
    """Sessions that were over at their server, and whose viewer was not released in time."""
    found = []
    for request in platform.requests.values():
        for session in platform.sessions.get(request.ref, []):
            # What is handed over counts 0.2 s later; a session that ended while its node was down counts from
            # the first hand-over after that
            handed = next((at for at in request.handed_over_at if at > session.over_at), None)
            since = session.over_at if handed is None else handed + HANDED_OVER_S
            limit = since + RELEASE_S + SLACK_S
            if request.answer == "playing" and limit < now() and request.over_at > limit:
                before = (
                    "" if handed is None else f" {handed - session.over_at:.2f} s before it was handed over"
                )
                found.append(
                    f"session {request.ref} of node {request.node} ended at {session.server}{before}; its "
                    f"viewer had not been released {min(request.over_at, now()) - since:.1f} s later"
                )
    return found


if __name__ == "__main__":
    sys.exit(play(lambda: Platform("ends while the node is down", settings, NODES, seed=3), case))
