"""The intervals of time for which it is not proven that every end of a session at one server was received.

Does no I/O; times are in microseconds. A server says the end of a session on a connection that is open then,
and once more on the next connection to be opened. So each connection is owed the ends since the opening of
the connection before it, its interval, and no later connection is owed them:

    event on a connection                              its interval
    a message within PROMPT_MESSAGE_US of its opening  proven
    any message, if nothing was suspected from 8 s     proven
      before the opening on
    the answer to the first sign of life that was      proven
      requested on it, within PROMPT_SIGN_US
    a later one, or any of these messages after a      late: proven once a later connection is, or by a second
      silence of a doubted server                        late answer; enough to keep the sessions
    any other message                                  stays unproven: what was said before may be lost
    its end without a proof                            unknown for good
    a connect that is not accepted                     no interval: the server has opened no connection

The sessions that stood in an interval which is still unproven after LEASE_DURATION_US are over.

Source: the platform's protocol page ("sends its release on the next connection to be opened as well"; "if no
release could be sent, within 8 s of its end")."""

from dataclasses import dataclass, field

from ponddoor.obligations.lease import LEASE_DURATION_US, SECOND

# From the opening of a connection. What loses its first words for longer loses such a message too.
PROMPT_MESSAGE_US = SECOND // 10
# An interval that is not proven so long after its beginning is worth the request for a sign of life
SIGN_DUE_AFTER_US = LEASE_DURATION_US - 3 * SECOND // 2
PROMPT_SIGN_US = 2 * SECOND // 5  # likewise, of the answer to the first sign of life requested on it
MAX_UNKNOWN_INTERVALS = 64


@dataclass(frozen=True, slots=True)
class Interval:
    """From the opening of one connection to that of the next."""

    begin: int
    end: int


@dataclass(slots=True)
class AwaitedConnection:
    """A connection whose interval is not proven. `trusted` is whether any message on it is a proof."""

    interval: Interval
    opened_at: int
    trusted: bool
    answered_late: bool = False


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A message of the server, on the connection of this number, which was established `age` ago.

    `answers_first_sign` is whether it answers the first
    request for a sign of life on the connection."""

    connection: int
    age: int
    answers_first_sign: bool = False

    @property
    def is_prompt(self) -> bool:
        """Whether nothing that the server said first on the connection can have been lost before it."""
        return self.age <= (PROMPT_SIGN_US if self.answers_first_sign else PROMPT_MESSAGE_US)


@dataclass(slots=True)
class UnprovenIntervals:
    """The unproven intervals of one server. Connections have numbers in the order of their opening."""

    last_opened_at: int = 0
    _awaited: dict[int, AwaitedConnection] = field(default_factory=dict)
    _unknown: list[Interval] = field(default_factory=list)

    def reset(self, now: int) -> None:
        """No session stands at the server, so no end can be missed."""
        self.last_opened_at = now
        self._awaited.clear()
        self._unknown.clear()

    def awaits(self, connection: int) -> bool:
        """Whether a connection has to be read for the proof of its interval."""
        awaited = self._awaited.get(connection)
        return awaited is not None and not awaited.answered_late

    def sign_due(self, connection: int, now: int, oldest_session: int) -> bool:
        """Whether a sign of life has to be requested on a connection on which none was requested before."""
        awaited = self._awaited.get(connection)
        if awaited is None:
            return False
        unproven_since = max(awaited.interval.begin, oldest_session)
        return not awaited.trusted or now - unproven_since >= SIGN_DUE_AFTER_US

    @property
    def awaits_confirmation(self) -> bool:
        """Whether an answer was late, so that another connection has to confirm it."""
        return any(awaited.answered_late for awaited in self._awaited.values())

    @property
    def answered_until(self) -> int:
        """The opening of the latest connection on which a late answer awaits confirmation; 0 without one."""
        late = (awaited.opened_at for awaited in self._awaited.values() if awaited.answered_late)
        return max(late, default=0)

    @property
    def unknown_count(self) -> int:
        """The number of intervals that stay unknown for good."""
        return len(self._unknown)

    def opened(self, connection: int, now: int, opened_at: int, trusted: bool) -> None:
        """A connection that was begun at `opened_at` is established."""
        interval = Interval(self.last_opened_at, now)
        self._awaited[connection] = AwaitedConnection(interval, opened_at, trusted)
        self.last_opened_at = max(self.last_opened_at, opened_at)

    def distrust(self) -> None:
        """Something was lost: a message no longer proves that all before it on its connection was read."""
        for awaited in self._awaited.values():
            awaited.trusted = False

    def received(self, message: ReceivedMessage, opened_in_silence: bool) -> list[Interval]:
        """A message was received. Returns the intervals that it proves.

        `opened_in_silence` is whether a silence in which the server was doubted ended after the opening."""
        awaited = self._awaited.get(message.connection)
        if awaited is None:
            return []
        proves = message.is_prompt or awaited.trusted
        if not proves and not message.answers_first_sign:
            return []
        confirmed = proves or self._has_late_answer_before(message.connection)
        if confirmed and not opened_in_silence:
            return self._prove(message.connection)
        awaited.answered_late = True
        return []

    def _has_late_answer_before(self, connection: int) -> bool:
        return any(awaited.answered_late for number, awaited in self._awaited.items() if number < connection)

    def _prove(self, connection: int) -> list[Interval]:
        """Prove the interval of a connection, and those of earlier ones whose answer was late."""
        proven = [
            number
            for number, awaited in self._awaited.items()
            if number == connection or (awaited.answered_late and number < connection)
        ]
        return [self._awaited.pop(number).interval for number in proven]

    def ended(self, connection: int) -> Interval | None:
        """A connection has ended. Returns its interval if that stays unknown for good.

        An answer that came late on it may still be confirmed by another connection."""
        if not self.awaits(connection):
            return None
        awaited = self._awaited.pop(connection)
        self._unknown.append(awaited.interval)
        if len(self._unknown) > MAX_UNKNOWN_INTERVALS:
            first, second, *others = self._unknown
            self._unknown = [Interval(first.begin, second.end), *others]
        return awaited.interval

    def forget_before(self, oldest_session: int) -> None:
        """Forget the unknown intervals that ended before the oldest session began to stand."""
        self._unknown = [interval for interval in self._unknown if interval.end >= oldest_session]
        for connection, awaited in list(self._awaited.items()):
            if awaited.answered_late and awaited.interval.end < oldest_session:
                del self._awaited[connection]

    def expiry_cutoff(self, now: int) -> int | None:
        """Sessions that have stood since the returned time or longer are over, as their end may have been
        missed and no answer came in time; None if no session is."""
        limit = now - LEASE_DURATION_US
        return max((min(one.end, limit) for one in self._unanswered() if one.begin < limit), default=None)

    @property
    def unanswered_end(self) -> int | None:
        """The end of the latest interval without an answer; None if there is none."""
        return max((interval.end for interval in self._unanswered()), default=None)

    def _unanswered(self) -> list[Interval]:
        awaited = [one.interval for one in self._awaited.values() if not one.answered_late]
        return [*self._unknown, *awaited]
