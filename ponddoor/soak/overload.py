"""Overload of one node in a soak run: a share of a core, usual viewers, and a bad client beside them."""

import asyncio
import signal

from ponddoor.soak.plan import Overload
from ponddoor.soak.processes import NodeProcess
from ponddoor.soak.viewers import RECONNECT_S, ViewerPool

CORE_CYCLE_S = 0.04  # within which a process runs for its share
OTHER_SETUPS_PER_S = 4.0  # to each of the other nodes
TAKE_BACK_SHARE, TAKE_BACK_WITHIN_S = 1 / 3, 1.5  # of usual viewers
BURST_INTERVAL_S = 1.5
BURST_TAKEN_BACK_AFTER_S = 0.7
STALL_INTERVAL_S = 4.0


def set_rates(pools: list[ViewerPool], overload: Overload) -> None:
    """Spread the set-ups of usual viewers over the connections of each node."""
    for number, pool in enumerate(pools):
        rate = overload.setups_per_s if number == overload.node else OTHER_SETUPS_PER_S
        pool.interval_s = pool.plan.connections / rate
        pool.take_back_share, pool.take_back_within_s = TAKE_BACK_SHARE, TAKE_BACK_WITHIN_S


async def share_core(node: NodeProcess, share: float) -> None:
    """Let the node's process run for its share of each cycle."""
    while share < 1:
        node.set_running(True)
        await asyncio.sleep(CORE_CYCLE_S * share)
        node.set_running(False)
        await asyncio.sleep(CORE_CYCLE_S * (1 - share))


async def stand_still(node: NodeProcess, seconds: float) -> None:
    """Stop the node's process for some seconds, again and again."""
    while seconds:
        await asyncio.sleep(STALL_INTERVAL_S - seconds)
        if not node.busy:
            node.send(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            node.send(signal.SIGCONT)
        else:
            await asyncio.sleep(seconds)


async def send_bursts(pool: ViewerPool, count: int) -> None:
    """A bad client: hundreds of set-ups in one write, all taken back, and the same again."""
    while count and not pool.stopping:
        connection = await pool.connect() if pool.may_connect() else None
        if connection is None:
            await asyncio.sleep(RECONNECT_S)
            continue
        connection.by_bad_client = True
        while connection.open and not pool.stopping:
            requests = connection.ask_together(pool.plan.classes[0], count)
            await asyncio.sleep(BURST_TAKEN_BACK_AFTER_S)
            connection.take_back(requests)
            await asyncio.sleep(BURST_INTERVAL_S - BURST_TAKEN_BACK_AFTER_S)
