"""The sessions that wait for the same paced servers, in order of arrival. Decides nothing."""

import heapq
import itertools
from dataclasses import dataclass, field

from ponddoor.state import Sess


@dataclass(slots=True)
class SetupQueue:
    """Keeps each session at its position until it leaves.

    The head waits for the servers' pace; the others sleep until they are woken."""

    next_try: int = 0  # when the head's servers open
    _waiting: dict[int, Sess] = field(default_factory=dict)  # by request id, in order of arrival
    _by_deadline: list[tuple[int, int]] = field(default_factory=list)  # heap of (deadline, request id)

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def head(self) -> Sess | None:
        """The session that has waited longest."""
        return next(iter(self._waiting.values()), None)

    def join(self, sess: Sess) -> None:
        """Add a session at the end, unless it is here already."""
        if sess.req.req_id not in self._waiting:
            self._waiting[sess.req.req_id] = sess
            heapq.heappush(self._by_deadline, (sess.deadline, sess.req.req_id))

    def leave(self, sess: Sess) -> bool:
        """Remove a session. Returns whether it was the head."""
        was_head = self.head is sess
        self._waiting.pop(sess.req.req_id, None)
        return was_head

    def first_asleep(self, count: int) -> list[Sess]:
        """Those of the first `count` sessions that sleep."""
        return [sess for sess in itertools.islice(self._waiting.values(), count) if sess.asleep]

    def take_expired(self, until: int) -> list[Sess]:
        """The sleeping sessions whose deadline is not after `until`, each returned once."""
        expired = []
        while self._by_deadline and self._by_deadline[0][0] <= until:
            _, req_id = heapq.heappop(self._by_deadline)
            sess = self._waiting.get(req_id)
            if sess is not None and sess.asleep:
                expired.append(sess)
        return expired
