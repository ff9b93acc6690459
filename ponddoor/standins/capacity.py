"""What a stand-in bears, free of I/O: so many answers a second, a queue, and a fall when pushed further."""

from dataclasses import dataclass, field
from enum import Enum

SECOND = 1_000_000


class Verdict(Enum):
    """What becomes of one who asks."""

    SERVED = "served"
    TURNED_AWAY = "turned-away"
    FALLEN = "fallen"


@dataclass(slots=True)
class Capacity:
    """Over its `answers` a second it slows down, over its `queue` it turns away, which costs a quarter of an
    answer. More than a second's answers turned away within a second push it over, for `fall`."""

    answers: float  # a second; 0: as many as come
    queue: int = 100
    fall: int = 5 * SECOND
    backlog: float = 0.0
    falls: list[int] = field(default_factory=list)  # when it fell
    _last: int = 0
    _away: list[int] = field(default_factory=list)

    def fallen(self, now: int) -> bool:
        return bool(self.falls) and now < self.falls[-1] + self.fall

    def ask(self, now: int) -> tuple[Verdict, int]:
        """What becomes of one who asks now, and how long it takes (us)."""
        if not self.answers:
            return Verdict.SERVED, 0
        if self.fallen(now):
            return Verdict.FALLEN, 0
        self.backlog = max(0.0, self.backlog - (now - self._last) * self.answers / SECOND)
        self._last = now
        if self.backlog < self.queue:
            self.backlog += 1
            return Verdict.SERVED, int(self.backlog * SECOND / self.answers)
        self.backlog += 0.25
        self._away = [*(at for at in self._away if at > now - SECOND), now]
        if len(self._away) > self.answers:
            self.falls.append(now)
            self.backlog, self._away = 0.0, []
            return Verdict.FALLEN, 0
        return Verdict.TURNED_AWAY, 0
