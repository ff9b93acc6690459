"""Tries at the list by a whole fleet, and when all have it again, from the core that comes to it alone."""

from ponddoor.capacity.measure import Figure, Measurement
from ponddoor.front.reconnect import Loss, ReconnectSchedule
from ponddoor.load.coming import GRACE, outage
from ponddoor.rehearse.sums import peak

SECOND = 1_000_000


def play(size: int, under: str, seed: int) -> list[Figure]:
    """A fleet that begins while the list is down, loses it in one moment, or begins with it there."""
    fleet = [ReconnectSchedule(me, size, GRACE, seed * 1_000_003 + me) for me in range(size)]
    if under == "outage":
        tries, back = outage(fleet)
        moments = [at for at in tries if at >= 10 * SECOND]
        return [
            Figure("list.peak", peak(moments, SECOND), "1/s"),
            Figure("list.peak-back", peak(back, SECOND), "1/s"),
            Figure("list.return", back[max(0, -(-size * 99 // 100) - 1)] / SECOND, "s"),
        ]
    moments = [one.lost(0, Loss.BROKEN) if under == "break" else one.start(0) for one in fleet]
    return [
        Figure("list.peak", peak(moments, SECOND), "1/s"),
        Figure("list.return", sorted(moments)[max(0, -(-size * 99 // 100) - 1)] / SECOND, "s"),
    ]


MEASUREMENTS = {
    "coming": Measurement(
        "fronts", (20, 50, 100, 200, 400, 820), ("outage", "break", "start"), "virtual", play, 100_000, 2000
    )
}
