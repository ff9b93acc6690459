"""The rules of the protocol page, judged from what passed on the sockets.

Bounds are the page's, with its slack of 50 ms; the stand-ins' own lateness, as measured, is added."""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

from ponddoor.soak.records import (
    FOREVER,
    AnswerKind,
    Attempt,
    AttemptEnd,
    NodeLife,
    Opening,
    Request,
    Session,
    SessionEnd,
    Violation,
)

SLACK_S = 0.05  # the page: each time limit is longer by this on sockets
LATE_ANSWER_S = 0.5  # up to this after its time an answer only earns nothing
CROSSING_S = 0.05  # a set-up that crosses a close is sent again
EXCUSED_AFTER_SIGTERM_S = 0.7
RELEASE_S = 1.0
RELEASE_WITHOUT_CONNECTION_S = 8.0
HAND_OVER_S = 0.2  # what is handed over counts so much later
GONE_CLIENT_S = 0.1
MUTE_AT_LEAST_S = 3.0  # a server that pauses for less is not given up
CUT_AFTER_MUTE_S = 1.5  # a connect and a release that were under way as it was heard again
PROMPTLY_S = 0.5  # a connection on which nothing passed in this time may have lost what passes first
LIST_S = 6.0  # after a failed call a change counts as told so long after it could be had
READY_S = 10.0
START_FAILED_S = 30.0
MAX_ATTEMPTS = 3
AFTER_PAUSE_S = 0.2  # within which a process that runs again answers what is due
LAG_AROUND_S = 0.2  # a lateness of the stand-ins counts so long before and after it was noted


@dataclass(slots=True)
class Oracle:
    """Collects the records of a run; `verdict` judges them."""

    drain_grace_s: float
    lives: list[NodeLife] = field(default_factory=list)
    requests: dict[str, Request] = field(default_factory=dict)
    attempts: dict[str, list[Attempt]] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)
    server_troubles: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    mute_spans: dict[tuple[str, int], list[tuple[float, float]]] = field(default_factory=dict)
    openings: dict[tuple[str, int], list[Opening]] = field(default_factory=dict)  # by server and node
    cut_for_unknown: int = 0  # sessions that stood, and were ended as the page wants for an unknown interval
    discovery_troubles: list[tuple[float, float]] = field(default_factory=list)
    events: list[tuple[float, int]] = field(default_factory=list)  # of the list: when published, its number
    known_at: dict[tuple[int, int], float] = field(default_factory=dict)  # (life, event): when it was told
    removed: set[str] = field(default_factory=set)  # servers that the list has told gone
    lags: list[tuple[float, float]] = field(default_factory=list)  # in order: when noted, how late
    violations: list[Violation] = field(default_factory=list)
    ended_at: float = 0.0  # the end of the run
    _longest_lag: float = 0.0

    def note_mute(self, server: str, node: int, at: float) -> None:
        """From now on no proof that a server is alive can reach a node. What a node may miss between two
        silences, since it connects once a second or so, does not part them."""
        spans = self.mute_spans.setdefault((server, node), [])
        if spans and at - spans[-1][1] < CUT_AFTER_MUTE_S:
            spans[-1] = (spans[-1][0], FOREVER)
        elif not spans or spans[-1][1] < FOREVER:
            spans.append((at, FOREVER))

    def note_heard_again(self, server: str, node: int, at: float) -> None:
        """From now on it can."""
        spans = self.mute_spans.get((server, node), [])
        if spans and spans[-1][1] == FOREVER:
            spans[-1] = (spans[-1][0], at)

    def note_opening(self, server: str, node: int, opening: Opening) -> None:
        """A node has opened a connection to a server."""
        self.openings.setdefault((server, node), []).append(opening)

    def broken(self, rule: str, at: float, what: str) -> None:
        """Note a violation."""
        self.violations.append(Violation(rule, at, what))

    def lateness(self, since: float, until: float) -> float:
        """By how much the stand-ins may have noted things too late: their longest stall in a span."""
        first = bisect_left(self.lags, (since - LAG_AROUND_S, 0.0))
        last = bisect_right(self.lags, (until + LAG_AROUND_S + self.longest_lag, FOREVER))
        stalls = (lag for at, lag in self.lags[first:last] if at - lag <= until + LAG_AROUND_S)
        return max(stalls, default=0.0)

    @property
    def longest_lag(self) -> float:
        """The stand-ins' longest stall of the run, in seconds."""
        return self._longest_lag

    def note_lag(self, at: float, lag: float) -> None:
        """The stand-ins' loop ran `lag` seconds late, as noted at its end."""
        self.lags.append((at, lag))
        self._longest_lag = max(self._longest_lag, lag)

    def verdict(self, ended_at: float) -> list[Violation]:
        """All violations, in order of time."""
        self.ended_at = ended_at
        for request in self.requests.values():
            self._judge_request(request, ended_at)
            self._judge_attempts(request)
        for session in self.sessions.values():
            self._judge_session(session, ended_at)
        for number, life in enumerate(self.lives):
            self._judge_life(life, ended_at)
            self._judge_list(number, life, ended_at)
        return sorted(self.violations, key=lambda one: one.at)

    # Requests

    def _judge_request(self, request: Request, ended_at: float) -> None:
        if len(request.answers) > 1:
            kinds = ", ".join(kind.value for _, kind in request.answers)
            self.broken("one answer", request.answers[1][0], f"{request.id} was answered {kinds}")
        limit = request.deadline_at + LATE_ANSWER_S + SLACK_S
        limit = min(
            _once_running(request.life, limit), _in_running_time(request.life, request.sent_at, limit)
        )
        limit += self.lateness(request.sent_at, min(limit, ended_at))
        if request.answers:
            at, kind = request.answers[0]
            if at > limit and not request.link_troubled:
                self.broken("lost", at, f"{request.id} was answered {at - limit:.3f} s too late")
            if kind is AnswerKind.STANDS and request.id not in self.sessions:
                self.broken("lost", at, f"{request.id} was served by no server")
            self._judge_refusal(request, at, kind)
            return
        if request.link_troubled:
            return  # who knows what reached the node, and when its answer left
        if request.given_up_at <= limit or self._crossed_a_close(request):
            return
        if request.by_bad_client and request.connection_ended_at < limit:
            return
        if self._excused_by_end(request, limit):
            return
        if request.connection_ended_at < limit:
            if request.life.killed_at <= request.connection_ended_at and not _lost_at_kill(request):
                return
            after = request.connection_ended_at - request.sent_at
            self.broken(
                "lost",
                request.connection_ended_at,
                f"{request.id} of node {request.life.node}: its connection ended {after:.3f} s after "
                f"it was sent, {_since_sigterm(request)}, with no answer",
            )
        elif limit <= ended_at:
            self.broken(
                "lost",
                limit,
                f"{request.id} of node {request.life.node}: never answered, {_since_sigterm(request)}",
            )

    def _crossed_a_close(self, request: Request) -> bool:
        """The node may close a connection where all else was answered; stand-ins may notice it too late."""
        ended_at = request.connection_ended_at
        late = self.lateness(ended_at - request.crossing_s, ended_at) if request.resent else 0.0
        return request.resent and request.crossing_s <= CROSSING_S + late

    def _excused_by_end(self, request: Request, limit: float) -> bool:
        life = request.life
        return life.killed_at < limit and life.killed_at <= life.exited_at and not _lost_at_kill(request)

    def _judge_refusal(self, request: Request, at: float, kind: AnswerKind) -> None:
        ran = [
            one
            for one in self.attempts.get(request.id, [])
            if one.arrived_at < at and one.end is not AttemptEnd.REFUSED
        ]
        if request.once and kind is AnswerKind.REFUSED and ran:
            self.broken("no set-up twice", at, f"{request.id} was refused though it may have run")

    def _judge_attempts(self, request: Request) -> None:
        attempts = self.attempts.get(request.id, [])
        if len(attempts) > MAX_ATTEMPTS:
            self.broken("attempts", attempts[-1].arrived_at, f"{request.id} had {len(attempts)} attempts")
        for number, attempt in enumerate(attempts):
            at = attempt.arrived_at
            late = SLACK_S + self.lateness(at, at) + _paused(request.life, request.sent_at, at)
            if self._troubled(attempt.server, at, at):
                continue  # it has read only now what had reached it before
            left_at = min(request.given_up_at, request.connection_ended_at)
            if at > left_at + GONE_CLIENT_S + late and not request.link_troubled:
                self.broken("client gone", at, f"{request.id} was sent on after its client had left")
            spans = request.life.drained.get(attempt.server, [])
            told = next((begin for begin, end in spans if begin <= at < end), FOREVER)
            if at > told + self.drain_grace_s + late:
                self.broken(
                    "drain",
                    at,
                    f"{request.id} went to {attempt.server} of which node "
                    f"{request.life.node} had been told {at - told:.3f} s before",
                )
            for earlier in attempts[:number]:
                noted_late = max(late, SLACK_S + self.lateness(at, at + self.longest_lag))
                if earlier.ended_at > at + noted_late and not self._troubled(earlier.server, at, at + late):
                    self.broken(
                        "no set-up twice",
                        at,
                        f"{request.id} was out at {earlier.server} and {attempt.server}",
                    )
                if request.once and earlier.end is not AttemptEnd.REFUSED:
                    self.broken(
                        "no set-up twice",
                        at,
                        f"{request.id} may have run at {earlier.server} and was sent to {attempt.server}",
                    )

    # Sessions

    def _judge_session(self, session: Session, ended_at: float) -> None:
        request = self.requests.get(session.request)
        viewer_has_it = request is None or any(kind is AnswerKind.STANDS for _, kind in request.answers)
        if viewer_has_it:
            self._judge_release_to_viewer(session, ended_at)
            self._judge_cut(session)
        self._judge_release_to_server(session, request, viewer_has_it, ended_at)

    def _judge_release_to_viewer(self, session: Session, ended_at: float) -> None:
        told, over_at = session.told_node_at, session.ended_at
        if session.end is SessionEnd.NODE:
            if session.viewer_ends_at < FOREVER:
                return
            told = over_at
        if told == FOREVER and _died_with_its_process(session):
            return
        if session.handed_over_at < FOREVER:
            told = max(told, session.handed_over_at + HAND_OVER_S)
            over_at = max(over_at, session.handed_over_at + HAND_OVER_S)
        since, bound = told, RELEASE_S
        # By then it is due, whatever was written where
        if told + RELEASE_S > over_at + RELEASE_WITHOUT_CONNECTION_S:
            since, bound = over_at, RELEASE_WITHOUT_CONNECTION_S
        limit = since + bound + SLACK_S
        limit = _in_running_time(session.life, since, limit)
        limit += self.lateness(since, min(limit, ended_at))
        if session.viewer_released_at < limit:
            return  # who ends its session is owed no release
        if _connected(session.life, since, limit):
            self._judge_heard(session, since, limit, bound, ended_at)
            return
        # A connection that is sound only later is one that a release could be sent on
        last = over_at + RELEASE_WITHOUT_CONNECTION_S + SLACK_S
        last = _in_running_time(session.life, over_at, last) + self.lateness(over_at, min(last, ended_at))
        if session.viewer_released_at >= last and _connected_for(
            session.life, since, last, RELEASE_S + SLACK_S
        ):
            self._judge_heard(session, over_at, last, RELEASE_WITHOUT_CONNECTION_S, ended_at)

    def _judge_heard(
        self, session: Session, since: float, limit: float, bound: float, ended_at: float
    ) -> None:
        alive = session.life.sigterm_at > limit and session.life.over_at > limit and limit < ended_at
        if not alive or session.heard_at <= limit:
            return
        how = session.end.value if session.end is not None else "-"
        self.broken(
            "release",
            limit,
            f"session {session.request} of node {session.life.node} at {session.server} ended "
            f"({how}); its viewer had not heard in {bound:g} s: {_heard(session, since)}",
        )

    def _judge_cut(self, session: Session) -> None:
        """A session that stands may be ended by its node only after a long silence of its server."""
        # The server may read the release long after the node has decided, its viewer hears at once
        at, life = min(session.ended_at, session.heard_at), session.life
        if session.end is not SessionEnd.NODE or session.viewer_ends_at < FOREVER:
            return
        if min(life.sigterm_at, life.over_at) <= at or session.server in self.removed:
            return
        late = SLACK_S + self.lateness(at - MUTE_AT_LEAST_S, at)
        for begin, end in self.mute_spans.get((session.server, life.node), []):
            long = min(end, at) - begin >= MUTE_AT_LEAST_S - late
            if begin <= at and long and end >= at - CUT_AFTER_MUTE_S - late:
                return
        if self._may_have_ended_unheard(session, at, late):
            self.cut_for_unknown += 1
            return
        self.broken(
            "cut",
            at,
            f"session {session.request} of node {life.node} at {session.server} was ended by the node "
            "while it stood, and its server could be heard",
        )

    def _may_have_ended_unheard(self, session: Session, at: float, late: float) -> bool:
        """Whether the one connection that was owed what ended in some interval brought nothing promptly, and
        the time to tell of it was nearly over. The protocol page: a server sends its release "on the next
        connection to be opened as well", no other; "within 8 s of its end"."""
        openings = self.openings.get((session.server, session.life.node), [])
        begins = [session.up_at, *(opening.at for opening in openings)]
        for begin, opening in zip(begins, openings, strict=False):
            heard_promptly = opening.first_message_at - opening.at <= PROMPTLY_S
            due_at = max(begin, session.up_at) + RELEASE_WITHOUT_CONNECTION_S - RELEASE_S
            if not heard_promptly and session.up_at <= opening.at + late and due_at <= at + late:
                return True
        return False

    def _judge_release_to_server(
        self, session: Session, request: Request | None, viewer_has_it: bool, ended_at: float
    ) -> None:
        over_at = session.viewer_released_at
        if request is not None and not viewer_has_it and not request.link_troubled:
            answered_at = request.answers[0][0] if request.answers else FOREVER
            gone_at = min(answered_at, request.given_up_at, request.connection_ended_at)
            if session.up_at > gone_at + GONE_CLIENT_S:  # before that the two crossed, and it may play on
                over_at = min(over_at, session.up_at)
        limit = over_at + RELEASE_S + SLACK_S
        if limit >= ended_at or session.ended_at <= limit:
            return
        limit = _in_running_time(session.life, over_at, limit)
        limit += self.lateness(over_at, limit)
        alive = session.life.sigterm_at > limit and session.life.over_at > limit
        if alive and session.ended_at > limit and not self._troubled(session.server, over_at - 1.0, limit):
            self.broken(
                "left standing",
                limit,
                f"session {session.request} stands at {session.server} "
                f"{RELEASE_S:g} s after its viewer was done",
            )

    def _troubled(self, server: str, since: float, until: float) -> bool:
        return any(begin <= until and end >= since for begin, end in self.server_troubles.get(server, []))

    # Processes and the list

    def _judge_life(self, life: NodeLife, ended_at: float) -> None:
        if life.exited_at < life.killed_at and (life.sigterm_at > life.exited_at or life.exit_code != 0):
            self.broken("crash", life.exited_at, f"node {life.node} ended by itself with {life.exit_code}")
        limit = life.started_at + START_FAILED_S
        if life.ready_at > limit and min(life.over_at, life.sigterm_at, ended_at) > limit:
            self.broken("start", limit, f"node {life.node} was not ready in {START_FAILED_S:g} s")

    def _judge_list(self, number: int, life: NodeLife, ended_at: float) -> None:
        for published_at, event in self.events:
            since = self._reachable_since(max(published_at, life.ready_at))
            limit = since + LIST_S + SLACK_S
            if limit >= min(life.sigterm_at, life.over_at, ended_at) or self._discovery_fails(since, limit):
                continue
            limit = _in_running_time(life, since, limit)
            limit += self.lateness(since, limit)
            if self.known_at.get((number, event), FOREVER) > limit:
                self.broken(
                    "list",
                    limit,
                    f"node {life.node} had not asked for event {event} {LIST_S:g} s "
                    "after discovery had it and could be reached",
                )

    def _reachable_since(self, at: float) -> float:
        for begin, end in sorted(self.discovery_troubles):
            if begin <= at < end:
                at = end
        return at

    def _discovery_fails(self, since: float, until: float) -> bool:
        return any(begin < until and end > since for begin, end in self.discovery_troubles)


def _lost_at_kill(request: Request) -> bool:
    """Whether SIGKILL, coming at the page's earliest, counts a request without an answer as lost."""
    return request.sent_at > request.life.sigterm_at + EXCUSED_AFTER_SIGTERM_S


def _since_sigterm(request: Request) -> str:
    sigterm_at = request.life.sigterm_at
    return "no SIGTERM" if sigterm_at == FOREVER else f"{request.sent_at - sigterm_at:.3f} s after SIGTERM"


def _paused(life: NodeLife, since: float, until: float) -> float:
    """For how long a process was stopped within a span."""
    return sum(max(0.0, min(end, until) - max(begin, since)) for begin, end in life.pauses)


def _in_running_time(life: NodeLife, since: float, limit: float) -> float:
    """A limit of a process that may be stopped meanwhile, also in the time that it is given more."""
    extended = limit + _paused(life, since, limit)
    while (further := limit + _paused(life, since, extended)) > extended:
        extended = further
    return extended


def _once_running(life: NodeLife, limit: float) -> float:
    """A limit, or shortly after the end of the pause in which it falls: a process that runs at its limit has
    to keep it, however long it was stopped before."""
    for begin, end in sorted(life.pauses):
        if begin - AFTER_PAUSE_S <= limit <= end + AFTER_PAUSE_S:
            limit = end + AFTER_PAUSE_S
    return limit


def _connected(life: NodeLife, since: float, until: float) -> bool:
    """Whether one connection of viewers was open through the whole span."""
    return any(opened <= since and ended >= until for opened, ended in life.connected)


def _connected_for(life: NodeLife, since: float, until: float, seconds: float) -> bool:
    """Whether one connection of viewers was open for so long within a span."""
    return any(min(ended, until) - max(opened, since) >= seconds for opened, ended in life.connected)


def _died_with_its_process(session: Session) -> bool:
    """Whether the end of a session was known to a killed process alone, which had no link to tell anybody.

    The protocol page: a server sends its release "on the next connection to be opened as well", no other."""
    repeated_to = session.repeated_to
    if repeated_to is not None and repeated_to is not session.life and repeated_to.sigterm_at == FOREVER:
        return True  # that connection was killed with its process before it brought the release
    if session.told_before is None:
        return False
    told_at, life = session.told_before
    could_tell = _connected_for(life, told_at, life.over_at, RELEASE_S + SLACK_S)
    return life.sigterm_at == FOREVER and not could_tell


def _heard(session: Session, since: float) -> str:
    """When a viewer heard of a session's end."""
    return "never heard" if session.heard_at == FOREVER else f"heard after {session.heard_at - since:.3f} s"
