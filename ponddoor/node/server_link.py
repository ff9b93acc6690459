"""One server on the platform, and the connection to it, which carries every SETUP there.

What a connection's end means is told to the engine: refused, nothing ran and no session is left there;
broken, its SETUPs are lost and no session that plays; silent for long, the machine is taken to be gone."""

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import structlog

from ponddoor.front import effects as fx
from ponddoor.front.backoff import ConnectBackoff
from ponddoor.front.pump import SECOND, clock, once_read
from ponddoor.front.roster import Entry
from ponddoor.interface import events as ev
from ponddoor.node import server_codec as codec
from ponddoor.node.descriptors import is_local
from ponddoor.node.lines import Lines, UnreadableError
from ponddoor.web.connecting import connect_within
from ponddoor.web.unread import has_unread

if TYPE_CHECKING:
    from ponddoor.node.servers import Servers

RELEASE_LIMIT = 8 * SECOND  # the protocol: what could not be released sooner must be, so long after its end
# What the protocol leaves is shared: a quarter of a second for the look that sees the silence, a half for the
# release, and before that time for seven connects of a quarter of a second.
SILENT_LIMIT = (
    RELEASE_LIMIT - 3 * SECOND // 4
)  # a server that we depend on and that is silent so long is gone
SIGN_OF_LIFE_AFTER = SILENT_LIMIT - 7 * SECOND // 4  # of silence, a sign of life is asked for
LEAST_TRIES = 3  # connect timeouts that are left at least, where the settings have longer ones
ADDRESS_REUSED_AFTER = SECOND  # a server told gone that is answered for so long: a new one has its address
PARTIAL_LINE_LIMIT = SECOND // 4  # a line that takes longer than this to end does not end
MOST_WAITING = 1000  # messages that wait for one connection
MOST_PENDING_RELEASES = 1000  # for a server out of reach, or unread on a connection that may end
OF_USE_AFTER = SECOND  # a connection that ends sooner, and on which nothing was heard, has failed
RELEASE_SETTLED = SECOND  # a release on a connection that is open so long after has been read
WRITE_BUFFER_LIMIT = 1 << 18  # bytes that a server may leave unread
log = structlog.get_logger("servers")
Item = fx.SendSetup | fx.SendTeardown | fx.SendRung | fx.SendProbe


class ServerConnection(asyncio.Protocol):
    """One connection. `setups` are out on it, `given_up` those an answer may still cross, `released` when
    sessions were released on it that the server has not acknowledged."""

    def __init__(self, link: "ServerLink") -> None:
        self.link, self.lines = link, Lines(codec.MOST)
        self.transport: asyncio.Transport | None = None
        self.setups: dict[str, int] = {}
        self.given_up: dict[str, int] = {}
        self.released: dict[str, int] = {}
        self.partial_since: int | None = None
        self.opened_at = clock()
        self.heard = False  # the server has said something on it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        now = self.link.heard_at = clock()
        try:
            lines = self.lines.feed(data)
            if lines:  # what is left has begun only now
                self.partial_since = None
            for line in lines:
                if self.link.connection is self:
                    self.heard = True
                    self.link.backoff.succeeded()
                    self.link.take(self, line)
        except UnreadableError as problem:
            self.link.servers.count("spoilt")
            self.link.connection_failed(self, f"spoilt: {problem}")
        self.partial_since = (self.partial_since or now) if self.lines.partial else None

    def connection_lost(self, exc: Exception | None) -> None:
        self.link.connection_failed(self, f"closed: {exc}")

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)


@dataclass(slots=True, eq=False)
class ServerLink:
    """What a front holds towards one server."""

    servers: "Servers"
    number: int
    entry: Entry
    connection: ServerConnection | None = None
    connecting: asyncio.Task[None] | None = None
    waiting: list[Item] = field(default_factory=list)
    pending_releases: dict[str, None] = field(default_factory=dict)  # for the next connection
    tests: dict[str, tuple[int, asyncio.TimerHandle]] = field(default_factory=dict)
    heard_at: int = 0
    used_at: int = 0
    sign_asked_at: int = 0
    gone_since: int | None = None
    later: asyncio.TimerHandle | None = None
    backoff: ConnectBackoff = field(init=False)

    def __post_init__(self) -> None:
        self.backoff = ConnectBackoff(self.servers.random)

    def say(self, item: Item) -> None:
        """Write a message, or keep it until the connection is there; a SETUP, until all is read."""
        self.used_at = clock()
        self.servers.used(self)
        if self.connection is not None and not isinstance(item, fx.SendSetup):
            self._write(self.connection, item)
        elif len(self.waiting) < MOST_WAITING:
            self.waiting.append(item)
            if self.connection is None:
                self.connect()
            else:
                self._send_once_read(item)
        else:
            self.servers.count("too-many-waiting")
            self.servers.never_sent(item, ev.Result.MOOT)

    @property
    def needed(self) -> bool:
        """Whether the connection carries something, or sessions play there."""
        busy = self.waiting or self.tests or (self.connection is not None and self.connection.setups)
        return bool(busy or self.servers.engine.plays_at(self.number))

    @property
    def active(self) -> bool:
        """Whether time alone can bring something here."""
        connects = self.connection is not None or self.connecting is not None or self.later is not None
        return bool(connects or self.pending_releases or self.needed)

    def send_waiting(self) -> None:
        """What waits may go out, each message for itself."""
        for item in self.waiting:
            self._send_once_read(item)

    def _send_once_read(self, item: Item) -> None:
        """It goes out once all that has come by now is read: its viewer may have left, or its server drain,
        with the message that says so unread."""
        if self.servers.informed:
            once_read(lambda: self._send(item))

    def _send(self, item: Item) -> None:
        if self.connection is None:
            return
        place = next((at for at, one in enumerate(self.waiting) if one is item), None)
        if place is not None:
            del self.waiting[place]
            self._write(self.connection, item)

    def connect(self) -> None:
        """Connect now or, after failures, once the backoff allows it: what waits is answered by then."""
        if self.connection is not None or self.connecting is not None:
            return
        if self.backoff.wait(clock()):
            self.servers.count("connects-held-back")
            self._fail_waiting(ev.Result.CONNECT_FAILED)
            if self.pending_releases:
                self.connect_in_turn()
            return
        self._no_later()
        if not self.servers.make_room():
            self.servers.count("no-room")
            self._fail_waiting(ev.Result.MOOT)
        else:
            self.connecting = asyncio.create_task(self._connect())
            self.servers.connected[self] = None
            self.servers.used(self)

    def connect_in_turn(self) -> None:
        """Connect after this front's part of a connect timeout: fronts that lost a server together do not
        connect to it together. No SETUP waits for it."""
        if self.connection is None and self.connecting is None and self.later is None:
            self.servers.used(self)
            wait = max(self.servers.turn(), self.backoff.wait(clock()) + 1) / SECOND
            self.later = asyncio.get_running_loop().call_later(wait, self._connect_later)

    def _connect_later(self) -> None:
        self.later = None
        self.connect()

    def _no_later(self) -> None:
        if self.later is not None:
            self.later.cancel()
            self.later = None

    async def _connect(self) -> None:
        host, _, port = self.entry.address.rpartition(":")
        connection, limit = ServerConnection(self), self.servers.connect_timeout / SECOND
        try:
            opened = await connect_within(limit, host, int(port))
            await asyncio.get_running_loop().create_connection(lambda: connection, sock=opened)
        except (OSError, TimeoutError) as problem:
            self.connecting = None
            self.servers.connected.pop(self, None)
            if isinstance(problem, OSError) and is_local(problem):
                self._no_descriptor(problem)
            else:
                self.backoff.failed(clock())
                self._unreached(isinstance(problem, ConnectionRefusedError))
            return
        self.connecting = None
        if connection.transport is None or connection.transport.is_closing():
            self.servers.connected.pop(self, None)
            self.backoff.failed(clock())
            self._unreached(False)
            return
        self.connection, self.heard_at = connection, clock()
        pending, self.pending_releases = self.pending_releases, {}
        for sess in pending:
            self._write_release(connection, sess)
        self.send_waiting()

    def _no_descriptor(self, problem: OSError) -> None:
        """The machine gives us no connection: nothing ran, and the server is not to blame."""
        self.servers.count("no-descriptor")
        log.warning("no-descriptor", server=f"{self.number:08x}", why=str(problem))
        self._fail_waiting(ev.Result.MOOT)

    def _unreached(self, refused: bool) -> None:
        """No connection came up: nothing that waited for it ran. Refused, the process is dead."""
        if refused:
            self.pending_releases.clear()
            self.waiting = [item for item in self.waiting if not isinstance(item, fx.SendTeardown)]
            self.servers.lose(self)
        self._fail_waiting(ev.Result.CONNECT_FAILED)

    def _fail_waiting(self, why: ev.Result) -> None:
        """What waits is answered as never sent; releases wait for the next connection."""
        waiting, self.waiting = self.waiting, []
        for item in waiting:
            if isinstance(item, fx.SendTeardown):
                self.keep_release(item.sess)
            else:
                self.servers.never_sent(item, why)

    def keep_release(self, sess: str) -> None:
        """A release that can't be sent now goes out first on the next connection."""
        self.servers.used(self)
        if len(self.pending_releases) < MOST_PENDING_RELEASES:
            self.pending_releases[sess] = None
        else:
            self.servers.count("too-many-pending-releases")

    def _write(self, connection: ServerConnection, item: Item) -> None:
        log.debug("to-server", server=self.number, item=item)
        match item:
            case fx.SendSetup(sess, attempt, _, ask, rung, timeout):
                if self.entry.state != "ready":  # it was when this was decided
                    self.servers.never_sent(item, ev.Result.MOOT)
                    return
                line = codec.setup(sess, ask, self.servers.groups[ask.service_group], rung, timeout)
                if len(line) > codec.MOST:  # the server would end the connection, with all that is open on it
                    self.servers.count("too-long")
                    self.servers.never_sent(item, ev.Result.MOOT)
                    return
                # An end is not to be taken for that of an attempt given up here before
                connection.given_up.pop(sess, None)
                connection.setups[sess] = attempt
                connection.write(line)
            case fx.SendTeardown(sess, attempt):
                if connection.setups.get(sess) == attempt:
                    del connection.setups[sess]
                    connection.given_up[sess] = attempt
                    if len(connection.given_up) > MOST_PENDING_RELEASES:
                        del connection.given_up[next(iter(connection.given_up))]
                    connection.write(codec.give_up(sess))
                else:
                    self._write_release(connection, sess)
            case fx.SendRung(sess, _, _, rung):
                connection.write(codec.rung(sess, rung))
            case fx.SendProbe():
                sess = self.servers.new_id()
                limit = asyncio.get_running_loop().call_later(
                    self.servers.connect_timeout / SECOND, self._test_late, sess
                )
                self.tests[sess] = (clock(), limit)
                connection.write(codec.test(sess, True))
        if (
            connection.transport is not None
            and connection.transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT
        ):
            self.connection_failed(connection, "does not read")

    def _write_release(self, connection: ServerConnection, sess: str) -> None:
        """A release is pending until it is acknowledged, or until the connection has outlived it."""
        now = clock()
        while connection.released:
            oldest = next(iter(connection.released))
            if (
                len(connection.released) < MOST_PENDING_RELEASES
                and now - connection.released[oldest] < RELEASE_SETTLED
            ):
                break
            del connection.released[oldest]
        connection.released[sess] = now
        connection.write(codec.release(sess))

    def withdraw(self, sess: str, attempt: int) -> bool:
        """Take back a SETUP that has not gone out yet."""
        kept = [
            one
            for one in self.waiting
            if not (isinstance(one, fx.SendSetup) and (one.sess, one.attempt) == (sess, attempt))
        ]
        found = len(kept) < len(self.waiting)
        self.waiting = kept
        return found

    def take(self, connection: ServerConnection, line: bytes) -> None:
        """A line has come. What it says of sessions we do not know, or twice, is of no interest."""
        said = codec.read(line)
        log.debug("server-says", server=self.number, said=said)
        match said:
            case codec.Stands(sess, passed):
                attempt = connection.setups.pop(sess, None)
                if attempt is None:
                    attempt = connection.given_up.pop(sess, None)
                if attempt is not None:
                    self.servers.answered(sess, attempt, self.number, None, {}, passed)
            case codec.Ended(sess, before, after, report):
                attempt = connection.setups.pop(sess, None)
                held = self.servers.engine.find(sess)
                if attempt is not None:
                    self.servers.answered(sess, attempt, self.number, before, report)
                elif (
                    connection.given_up.pop(sess, None) is None
                    and held is not None
                    and held.server == self.number
                ):
                    number = held.attempt
                    self.servers.apply(lambda now: self.servers.engine.stream_ended(now, sess, number, after))
            case codec.Heard(sess):
                connection.released.pop(sess, None)
            case codec.Tested(sess, well, report):
                if sess in self.tests:
                    began, limit = self.tests.pop(sess)
                    limit.cancel()
                    self.servers.probed(
                        self.number, clock() - began, ev.Result.SERVED if well else ev.Result.ERROR, report
                    )
            case codec.Noted(sess, kind, value):
                held = self.servers.engine.find(sess)
                if held is not None and held.server == self.number:
                    self.servers.apply(lambda now: self.servers.engine.note_on(now, sess, kind, value))

    def _test_late(self, sess: str) -> None:
        if sess in self.tests:
            began, _ = self.tests.pop(sess)
            self.servers.probed(self.number, clock() - began, ev.Result.TIMEOUT, {})

    def close_connection(self, connection: ServerConnection, why: str) -> None:
        """The connection is sound and not needed: what was written to it still leaves."""
        if connection.transport is not None:
            connection.transport.close()
        self.connection_failed(connection, why)

    def connection_failed(self, connection: ServerConnection, why: str) -> None:
        """The connection is of no use any more: its SETUPs are lost, sessions that play are not."""
        if connection.transport is not None:
            connection.transport.abort()
        if self.connection is not connection:
            return
        if not connection.heard and clock() - connection.opened_at < OF_USE_AFTER:
            self.backoff.failed(clock())
        self.connection = None
        self.servers.connected.pop(self, None)
        setups, connection.setups = connection.setups, {}
        tests, self.tests = self.tests, {}
        unheard = [sess for sess, at in connection.released.items() if clock() - at < RELEASE_SETTLED]
        for sess in unheard:
            self.servers.count("releases-repeated")
            self.keep_release(sess)
        log.info(
            "connection-broke", server=f"{self.number:08x}", why=why, setups=len(setups), tests=len(tests)
        )
        for sess, attempt in setups.items():
            self.servers.answered(sess, attempt, self.number, ev.Result.RESET, {})
        for began, limit in tests.values():
            limit.cancel()
            self.servers.probed(self.number, clock() - began, ev.Result.RESET, {})
        if self.waiting:
            self.connect()
        elif unheard:
            self.connect_in_turn()
        if self.servers.engine.plays_at(self.number):
            if self.entry.state == "gone":
                self.servers.lose(self)
            else:
                self.connect_in_turn()

    def look(self, now: int, idle: int) -> None:
        """What time alone brings: half lines, silence, idle connections, connections that are wanted."""
        connection, needed = self.connection, self.servers.engine.plays_at(self.number)
        quiet = min(
            SIGN_OF_LIFE_AFTER,
            max(SILENT_LIMIT // 2, SILENT_LIMIT - LEAST_TRIES * self.servers.connect_timeout),
        )
        if connection is None:
            if needed or self.pending_releases:
                self.connect_in_turn()
            if needed and now - self.heard_at > SILENT_LIMIT:
                self._silent()
            return
        if needed and self.entry.state == "gone":
            # A new server that has taken the address answers for the one that has gone
            self.gone_since = self.gone_since or now
            if now - self.gone_since > ADDRESS_REUSED_AFTER:
                self.connection_failed(connection, "gone, and something answers there")
                return
        needed = needed or bool(connection.setups)
        if has_unread(connection.transport):
            return  # what it says is read first: this process may have stood meanwhile
        if connection.partial_since is not None and now - connection.partial_since > PARTIAL_LINE_LIMIT:
            self.servers.count("partial-line")
            self.connection_failed(connection, "partial line")
        elif needed and now - self.heard_at > SILENT_LIMIT and now - self.sign_asked_at < SILENT_LIMIT:
            self.connection_failed(connection, "silent")
            self._silent()
        elif needed and now - max(self.heard_at, self.sign_asked_at) > quiet:
            self.sign_asked_at = now
            connection.write(codec.test(self.servers.new_id(), False))
        elif not needed and not self.tests and now - self.used_at > idle:
            self.close_connection(connection, "idle")

    def _silent(self) -> None:
        """A machine that gives no sign: what plays there is over, and owed a release."""
        for held in self.servers.engine.playing_at(self.number):
            self.keep_release(held.sess)
        self.servers.lose(self)

    @property
    def unsent(self) -> bool:
        """Whether something is still to be written here."""
        if self.waiting or self.pending_releases:
            return True
        transport = self.connection.transport if self.connection is not None else None
        return transport is not None and transport.get_write_buffer_size() > 0

    def close(self) -> None:
        """What has been written still leaves."""
        self._no_later()
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.close()
        if self.connecting is not None:
            self.connecting.cancel()
        self.servers.connected.pop(self, None)
        for _, limit in self.tests.values():
            limit.cancel()
