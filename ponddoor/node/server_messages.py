"""The messages to and from one media server: what is written, and what received lines mean. Their encoding is
in `server_codec`."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

import structlog

from ponddoor.front import effects as fx
from ponddoor.front.engine import Engine, Phase
from ponddoor.front.pump import SECOND, Apply, clock
from ponddoor.front.roster import Entry
from ponddoor.interface import events as ev
from ponddoor.node import server_codec as codec
from ponddoor.node.board_codec import server_id
from ponddoor.node.connection_refresh import ConnectionRefresh
from ponddoor.node.link_releases import LinkReleases
from ponddoor.node.server_connection import PendingSetup, ServerConnection
from ponddoor.obligations.early_ends import EarlyEnds

MAX_UNSENT_BYTES = 1 << 18  # on one connection; beyond that its server has stopped reading
log = structlog.get_logger("servers")
Outgoing = fx.SendSetup | fx.SendTeardown | fx.SendRung | fx.SendProbe


class MessageOwner(Protocol):
    """What messages need of the object that owns all links."""

    engine: Engine
    groups: tuple[str, ...]
    connect_timeout: int
    early_ends: EarlyEnds[int]

    @property
    def apply(self) -> Apply: ...
    def count(self, event: str) -> None: ...
    def new_id(self) -> str: ...
    def fail_unsent(self, item: Outgoing, result: ev.Result) -> None: ...
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
    releases: LinkReleases

    @property
    def servers(self) -> MessageOwner: ...
    def message_received(self, now: int, connection: ServerConnection, probe_id: str) -> None: ...
    def request_timed_out(self, now: int, since: int) -> None: ...
    def connection_failed(self, connection: ServerConnection, reason: str) -> None: ...


@dataclass(slots=True)
class ServerMessages:
    """The messages of one link, on all its connections. `probes` are the unanswered probes by their id, with
    the time at which they were sent, their connection and the timer of their timeout."""

    link: MessageLink
    probes: dict[str, tuple[int, ServerConnection, asyncio.TimerHandle]] = field(default_factory=dict)

    def write(self, connection: ServerConnection, item: Outgoing) -> None:
        """Write the message for an effect of the engine. A connection that the server does not read fails."""
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
        if connection.unsent_bytes > MAX_UNSENT_BYTES:
            self.link.connection_failed(connection, f"server leaves over {MAX_UNSENT_BYTES} bytes unread")

    def _send_setup(self, connection: ServerConnection, item: fx.SendSetup) -> None:
        servers, sess = self.link.servers, item.sess
        if self.link.entry.state != "ready":  # the state has changed since the engine decided
            servers.fail_unsent(item, ev.Result.MOOT)
            return
        group = servers.groups[item.request.service_group]
        line = codec.encode_setup(sess, item.request, group, item.rung, item.timeout)
        # The server would close a connection with a longer line, and so fail all that is open on it
        if len(line) > codec.MAX_LINE_BYTES:
            servers.count("too-long")
            servers.fail_unsent(item, ev.Result.MOOT)
            return
        # A later end of the session must not be taken for that of an attempt that was given up here
        connection.abandoned_setups.pop(sess, None)
        # A release of an earlier attempt must not be sent again: it would end the new session
        connection.releases.proven(sess)
        self.link.refresh.forget_release(sess)
        servers.early_ends.forget(self.link.number, sess)
        connection.setups[sess] = PendingSetup(item.attempt, clock(), item.timeout)
        connection.write(line)

    def _send_probe(self, connection: ServerConnection) -> None:
        probe_id, servers = self.link.servers.new_id(), self.link.servers
        timeout_s = servers.connect_timeout / SECOND
        timer = asyncio.get_running_loop().call_later(timeout_s, self._probe_timed_out, probe_id)
        self.probes[probe_id] = (clock(), connection, timer)
        connection.write(codec.encode_probe(probe_id, True))

    def _probe_timed_out(self, probe_id: str) -> None:
        if probe_id in self.probes:
            now, (sent_at, _, _) = clock(), self.probes.pop(probe_id)
            self.link.request_timed_out(now, sent_at)
            self.link.servers.probe_answered(self.link.number, now - sent_at, ev.Result.TIMEOUT, {})

    def take_pending_probes(self) -> list[int]:
        """Stop waiting for all unanswered probes. Returns the times at which they were sent."""
        probes, self.probes = self.probes, {}
        for _, _, timer in probes.values():
            timer.cancel()
        return [sent_at for sent_at, _, _ in probes.values()]

    def _send_teardown(self, connection: ServerConnection, sess: str, attempt: int) -> None:
        """Give up an unanswered SETUP, on whichever connection it was sent, or release a session."""
        now, setup = clock(), connection.setups.get(sess)
        if setup is None or setup.attempt != attempt:
            retiring = self.link.refresh.connection_of_setup(sess, attempt)
            if retiring is not None:
                retiring.give_up(sess)
            elif setup is not None or self._is_superseded(sess, attempt):
                self.link.servers.count("releases-superseded")
            else:
                self.link.releases.send(connection, now, sess, now)
            return
        connection.give_up(sess)
        if now >= setup.sent_at + setup.timeout:
            self.link.request_timed_out(now, setup.sent_at)

    def _is_superseded(self, sess: str, attempt: int) -> bool:
        """Whether a later attempt of a session plays at this server, or is out on a retiring connection.
        Releasing the earlier one would end it, as the server knows sessions by their id alone."""
        if any(sess in connection.setups for connection in self.link.refresh.retiring):
            return True
        held = self.link.servers.engine.find(sess)
        return (
            held is not None
            and held.phase is Phase.PLAYING
            and (held.server == self.link.number and held.attempt > attempt)
        )

    def handle_line(self, connection: ServerConnection, line: bytes) -> None:
        """Process a received line. Messages about unknown sessions and repeated messages are ignored.

        Raises UnreadableError if the line is not a valid message."""
        message = codec.decode_line(line)
        probe_id = message.sess if isinstance(message, codec.ProbeAnswered) else ""
        self.link.message_received(clock(), connection, probe_id)
        log.debug("server-says", server=server_id(self.link.number), said=message)
        match message:
            case codec.SetupAccepted(sess, passed):
                self._setup_accepted(connection, sess, passed)
            case codec.SessionEnded():
                self._session_ended(connection, message)
            case codec.ReleaseAck(sess):
                self.link.releases.acknowledge(connection, sess)
            case codec.ProbeAnswered(sess, healthy, report):
                self._probe_answered(
                    connection, sess, ev.Result.SERVED if healthy else ev.Result.ERROR, report
                )
            case codec.SessionNote(sess, kind, value):
                servers, held = self.link.servers, self.link.servers.engine.find(sess)
                if held is not None and held.server == self.link.number:
                    servers.apply(lambda now: servers.engine.session_note(now, sess, kind, value))

    def _setup_accepted(self, connection: ServerConnection, sess: str, passed: str) -> None:
        setup = connection.setups.pop(sess, None)
        if setup is not None:
            connection.releases.read_through(setup.sent_at)
        attempt = connection.abandoned_setups.pop(sess, None) if setup is None else setup.attempt
        if attempt is not None:
            self.link.servers.setup_answered(sess, attempt, self.link.number, None, {}, passed)

    def _session_ended(self, connection: ServerConnection, message: codec.SessionEnded) -> None:
        """A SETUP has failed, or a session that stood is over."""
        servers, sess = self.link.servers, message.sess
        if (setup := connection.setups.pop(sess, None)) is not None:
            connection.releases.read_through(setup.sent_at)
            servers.setup_answered(
                sess, setup.attempt, self.link.number, message.setup_result, message.report
            )
            return
        if connection.abandoned_setups.pop(sess, None) is not None:
            return
        held = servers.engine.find(sess)
        if held is None:
            servers.count("ends-not-held")
            servers.early_ends.remember(clock(), self.link.number, sess, message.end_reason)
        elif held.server == self.link.number:
            attempt, reason = held.attempt, message.end_reason
            # The process before this one may have moved it, and its message to the viewer be lost with it
            if held.handed_over and reason == "viewer-gone":
                reason = "over"
            servers.apply(lambda now: servers.engine.stream_ended(now, sess, attempt, reason))

    def _probe_answered(
        self, connection: ServerConnection, probe_id: str, result: ev.Result, report: dict[str, float]
    ) -> None:
        connection.sign_received(probe_id)
        if probe_id in self.probes:
            sent_at, sent_on, timer = self.probes.pop(probe_id)
            timer.cancel()
            if sent_on is connection:
                connection.releases.read_through(sent_at)
            self.link.servers.probe_answered(self.link.number, clock() - sent_at, result, report)
