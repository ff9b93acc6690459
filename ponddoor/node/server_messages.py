"""What is written to one server and what its lines mean; the codec has their form."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

import structlog

from ponddoor.front import effects as fx
from ponddoor.front.engine import Engine
from ponddoor.front.pump import SECOND, Apply, clock
from ponddoor.front.roster import Entry
from ponddoor.interface import events as ev
from ponddoor.node import server_codec as codec
from ponddoor.node.board_codec import server_id
from ponddoor.node.connection_refresh import ConnectionRefresh
from ponddoor.node.server_connection import ServerConnection, SetupOut

WRITE_BUFFER_LIMIT = 1 << 18  # bytes that a server may leave unread
log = structlog.get_logger("servers")
Item = fx.SendSetup | fx.SendTeardown | fx.SendRung | fx.SendProbe


class MessageOwner(Protocol):
    """What messages need of the shell that owns all links."""

    engine: Engine
    groups: tuple[str, ...]
    connect_timeout: int

    @property
    def apply(self) -> Apply: ...
    def count(self, what: str) -> None: ...
    def new_id(self) -> str: ...
    def never_sent(self, item: Item, why: ev.Result) -> None: ...
    def answered(
        self,
        sess: str,
        attempt: int,
        server: int,
        result: ev.Result | None,
        report: dict[str, float],
        passed: str = "",
    ) -> None: ...
    def probed(self, server: int, lag: int, result: ev.Result, report: dict[str, float]) -> None: ...


class MessageLink(Protocol):
    """What messages need of their link."""

    number: int
    entry: Entry
    refresh: ConnectionRefresh

    @property
    def servers(self) -> MessageOwner: ...
    def heard(self, now: int, connection: ServerConnection) -> None: ...
    def unanswered(self, now: int, since: int) -> None: ...
    def connection_failed(self, connection: ServerConnection, why: str) -> None: ...


@dataclass(slots=True)
class ServerMessages:
    """The messages of one link, on whichever connection. `tests` are the probes without an answer."""

    link: MessageLink
    tests: dict[str, tuple[int, asyncio.TimerHandle]] = field(default_factory=dict)

    def write(self, connection: ServerConnection, item: Item) -> None:
        """Write what the decisions want; a server that reads nothing loses the connection."""
        log.debug("to-server", server=server_id(self.link.number), item=item)
        match item:
            case fx.SendSetup():
                self._set_up(connection, item)
            case fx.SendTeardown(sess, attempt):
                self._tear_down(connection, sess, attempt)
            case fx.SendRung(sess, _, _, rung):
                connection.write(codec.rung(sess, rung))
            case fx.SendProbe():
                self._probe(connection)
        if connection.unsent > WRITE_BUFFER_LIMIT:
            self.link.connection_failed(connection, "does not read")

    def _set_up(self, connection: ServerConnection, item: fx.SendSetup) -> None:
        servers, sess = self.link.servers, item.sess
        if self.link.entry.state != "ready":  # it was when this was decided
            servers.never_sent(item, ev.Result.MOOT)
            return
        group = servers.groups[item.ask.service_group]
        line = codec.setup(sess, item.ask, group, item.rung, item.timeout)
        if len(line) > codec.MOST:  # the server would end the connection, with all that is open on it
            servers.count("too-long")
            servers.never_sent(item, ev.Result.MOOT)
            return
        # An end is not to be taken for that of an attempt given up here before
        connection.given_up.pop(sess, None)
        # Nor may a release of that attempt, sent again, end what is set up now
        connection.released.pop(sess, None)
        self.link.refresh.forget_release(sess)
        connection.setups[sess] = SetupOut(item.attempt, clock(), item.timeout)
        connection.write(line)

    def _probe(self, connection: ServerConnection) -> None:
        sess, servers = self.link.servers.new_id(), self.link.servers
        within = servers.connect_timeout / SECOND
        limit = asyncio.get_running_loop().call_later(within, self._probe_late, sess)
        self.tests[sess] = (clock(), limit)
        connection.write(codec.test(sess, True))

    def _probe_late(self, sess: str) -> None:
        if sess in self.tests:
            now, (began, _) = clock(), self.tests.pop(sess)
            self.link.unanswered(now, began)
            self.link.servers.probed(self.link.number, now - began, ev.Result.TIMEOUT, {})

    def take_tests(self) -> list[int]:
        """When the probes without an answer began; they wait no longer."""
        tests, self.tests = self.tests, {}
        for _, limit in tests.values():
            limit.cancel()
        return [began for began, _ in tests.values()]

    def _tear_down(self, connection: ServerConnection, sess: str, attempt: int) -> None:
        """Give up a SETUP that is out, or release a session that stands."""
        now, out = clock(), connection.setups.get(sess)
        if out is None or out.attempt != attempt:
            retired = self.link.refresh.connection_of_setup(sess, attempt)
            if retired is None:
                connection.release(now, sess)
            else:
                retired.give_up(sess)
            return
        connection.give_up(sess)
        if now >= out.sent_at + out.timeout:
            self.link.unanswered(now, out.sent_at)

    def take(self, connection: ServerConnection, line: bytes) -> None:
        """A line has come. What it says of sessions we do not know, or twice, is of no interest.

        Raises UnreadableError for one that is no message."""
        said = codec.decode_line(line)
        self.link.heard(clock(), connection)
        log.debug("server-says", server=server_id(self.link.number), said=said)
        match said:
            case codec.Stands(sess, passed):
                self._stands(connection, sess, passed)
            case codec.Ended():
                self._ended(connection, said)
            case codec.Heard(sess):
                connection.released.pop(sess, None)
            case codec.Tested(sess, well, report):
                self._tested(sess, ev.Result.SERVED if well else ev.Result.ERROR, report)
            case codec.Noted(sess, kind, value):
                servers, held = self.link.servers, self.link.servers.engine.find(sess)
                if held is not None and held.server == self.link.number:
                    servers.apply(lambda now: servers.engine.note_on(now, sess, kind, value))

    def _stands(self, connection: ServerConnection, sess: str, passed: str) -> None:
        out = connection.setups.pop(sess, None)
        attempt = connection.given_up.pop(sess, None) if out is None else out.attempt
        if attempt is not None:
            self.link.servers.answered(sess, attempt, self.link.number, None, {}, passed)

    def _ended(self, connection: ServerConnection, said: codec.Ended) -> None:
        """A SETUP has failed, or a session that stood is over."""
        servers, sess = self.link.servers, said.sess
        if (out := connection.setups.pop(sess, None)) is not None:
            servers.answered(sess, out.attempt, self.link.number, said.before, said.report)
            return
        was_given_up = connection.given_up.pop(sess, None) is not None
        held = servers.engine.find(sess)
        if not was_given_up and held is not None and held.server == self.link.number:
            attempt = held.attempt
            servers.apply(lambda now: servers.engine.stream_ended(now, sess, attempt, said.after))

    def _tested(self, sess: str, result: ev.Result, report: dict[str, float]) -> None:
        if sess in self.tests:
            began, limit = self.tests.pop(sess)
            limit.cancel()
            self.link.servers.probed(self.link.number, clock() - began, result, report)
