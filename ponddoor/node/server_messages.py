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
from ponddoor.node.server_connection import PendingSetup, ServerConnection

WRITE_BUFFER_LIMIT = 1 << 18  # bytes that a server may leave unread
log = structlog.get_logger("servers")
Outgoing = fx.SendSetup | fx.SendTeardown | fx.SendRung | fx.SendProbe


class MessageOwner(Protocol):
    """What messages need of the shell that owns all links."""

    engine: Engine
    groups: tuple[str, ...]
    connect_timeout: int

    @property
    def apply(self) -> Apply: ...
    def count(self, what: str) -> None: ...
    def new_id(self) -> str: ...
    def fail_unsent(self, item: Outgoing, why: ev.Result) -> None: ...
    def setup_answered(
        self,
        sess: str,
        attempt: int,
        server: int,
        result: ev.Result | None,
        report: dict[str, float],
        passed: str = "",
    ) -> None: ...
    def probe_answered(self, server: int, lag: int, result: ev.Result, report: dict[str, float]) -> None: ...


class MessageLink(Protocol):
    """What messages need of their link."""

    number: int
    entry: Entry
    refresh: ConnectionRefresh

    @property
    def servers(self) -> MessageOwner: ...
    def message_received(self, now: int, connection: ServerConnection) -> None: ...
    def request_timed_out(self, now: int, since: int) -> None: ...
    def connection_failed(self, connection: ServerConnection, why: str) -> None: ...


@dataclass(slots=True)
class ServerMessages:
    """The messages of one link, on whichever connection. `tests` are the probes without an answer."""

    link: MessageLink
    probes: dict[str, tuple[int, asyncio.TimerHandle]] = field(default_factory=dict)

    def write(self, connection: ServerConnection, item: Outgoing) -> None:
        """Write what the decisions want; a server that reads nothing loses the connection."""
        log.debug("to-server", server=server_id(self.link.number), item=item)
        match item:
            case fx.SendSetup():
                self._send_setup(connection, item)
            case fx.SendTeardown(sess, attempt):
                self._send_teardown(connection, sess, attempt)
            case fx.SendRung(sess, _, _, rung):
                connection.write(codec.encode_rung(sess, rung))
            case fx.SendProbe():
                self._send_probe(connection)
        if connection.unsent_bytes > WRITE_BUFFER_LIMIT:
            self.link.connection_failed(connection, "does not read")

    def _send_setup(self, connection: ServerConnection, item: fx.SendSetup) -> None:
        servers, sess = self.link.servers, item.sess
        if self.link.entry.state != "ready":  # it was when this was decided
            servers.fail_unsent(item, ev.Result.MOOT)
            return
        group = servers.groups[item.ask.service_group]
        line = codec.encode_setup(sess, item.ask, group, item.rung, item.timeout)
        if (
            len(line) > codec.MAX_LINE_BYTES
        ):  # the server would end the connection, with all that is open on it
            servers.count("too-long")
            servers.fail_unsent(item, ev.Result.MOOT)
            return
        # An end is not to be taken for that of an attempt given up here before
        connection.abandoned_setups.pop(sess, None)
        # Nor may a release of that attempt, sent again, end what is set up now
        connection.unacknowledged_releases.pop(sess, None)
        self.link.refresh.forget_release(sess)
        connection.setups[sess] = PendingSetup(item.attempt, clock(), item.timeout)
        connection.write(line)

    def _send_probe(self, connection: ServerConnection) -> None:
        sess, servers = self.link.servers.new_id(), self.link.servers
        within = servers.connect_timeout / SECOND
        limit = asyncio.get_running_loop().call_later(within, self._probe_timed_out, sess)
        self.probes[sess] = (clock(), limit)
        connection.write(codec.encode_probe(sess, True))

    def _probe_timed_out(self, sess: str) -> None:
        if sess in self.probes:
            now, (began, _) = clock(), self.probes.pop(sess)
            self.link.request_timed_out(now, began)
            self.link.servers.probe_answered(self.link.number, now - began, ev.Result.TIMEOUT, {})

    def take_pending_probes(self) -> list[int]:
        """When the probes without an answer began; they wait no longer."""
        tests, self.probes = self.probes, {}
        for _, limit in tests.values():
            limit.cancel()
        return [began for began, _ in tests.values()]

    def _send_teardown(self, connection: ServerConnection, sess: str, attempt: int) -> None:
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
            self.link.request_timed_out(now, out.sent_at)

    def handle_line(self, connection: ServerConnection, line: bytes) -> None:
        """A line has come. What it says of sessions we do not know, or twice, is of no interest.

        Raises UnreadableError for one that is no message."""
        said = codec.decode_line(line)
        self.link.message_received(clock(), connection)
        log.debug("server-says", server=server_id(self.link.number), said=said)
        match said:
            case codec.SetupAccepted(sess, passed):
                self._setup_accepted(connection, sess, passed)
            case codec.SessionEnded():
                self._session_ended(connection, said)
            case codec.ReleaseAcknowledged(sess):
                connection.unacknowledged_releases.pop(sess, None)
            case codec.ProbeAnswered(sess, well, report):
                self._probe_answered(sess, ev.Result.SERVED if well else ev.Result.ERROR, report)
            case codec.SessionNote(sess, kind, value):
                servers, held = self.link.servers, self.link.servers.engine.find(sess)
                if held is not None and held.server == self.link.number:
                    servers.apply(lambda now: servers.engine.note_on(now, sess, kind, value))

    def _setup_accepted(self, connection: ServerConnection, sess: str, passed: str) -> None:
        out = connection.setups.pop(sess, None)
        attempt = connection.abandoned_setups.pop(sess, None) if out is None else out.attempt
        if attempt is not None:
            self.link.servers.setup_answered(sess, attempt, self.link.number, None, {}, passed)

    def _session_ended(self, connection: ServerConnection, said: codec.SessionEnded) -> None:
        """A SETUP has failed, or a session that stood is over."""
        servers, sess = self.link.servers, said.sess
        if (out := connection.setups.pop(sess, None)) is not None:
            servers.setup_answered(sess, out.attempt, self.link.number, said.before, said.report)
            return
        was_given_up = connection.abandoned_setups.pop(sess, None) is not None
        held = servers.engine.find(sess)
        if not was_given_up and held is not None and held.server == self.link.number:
            attempt = held.attempt
            servers.apply(lambda now: servers.engine.stream_ended(now, sess, attempt, said.after))

    def _probe_answered(self, sess: str, result: ev.Result, report: dict[str, float]) -> None:
        if sess in self.probes:
            began, limit = self.probes.pop(sess)
            limit.cancel()
            self.link.servers.probe_answered(self.link.number, clock() - began, result, report)
