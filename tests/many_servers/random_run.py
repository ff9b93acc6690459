"""A run of one front over random events; the seed determines every event and every action."""

from random import Random

import xxhash

from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface import words

from .harness import SECOND, FrontHarness, make_facts, make_row

STEPS = 700
PEERS = 5
FAILURES = (ev.Result.FULL, ev.Result.ERROR, ev.Result.CONNECT_FAILED, ev.Result.RESET, ev.Result.TIMEOUT)


class RandomRun:
    """A front with many servers that gets STEPS random events; `play` runs it."""

    def __init__(self, seed: int, servers: int, fronts: int, racks: int | None = None) -> None:
        self.rng = Random(seed)
        self.harness = FrontHarness(make_facts(servers, fronts, racks, seed), servers)
        # The server and attempt of requests whose SETUP has no outcome yet, and of sessions that play
        self.pending: dict[int, tuple[int, int]] = {}
        self.playing: dict[int, tuple[int, int]] = {}
        self.attempts: dict[int, int] = {}
        self.newest_server = servers
        self.last_stamp = 0

    def play(self) -> str:
        """Run all steps; returns a digest of all actions with their times."""
        for _ in range(STEPS):
            self.process(self.harness.run_until(self.harness.now + self.rng.randrange(SECOND // 8)))
            self.step()
        digest = xxhash.xxh64()
        for time, action in self.harness.log:
            digest.update(f"{time} {action!r}".encode())
        return digest.hexdigest()

    def process(self, actions: list[act.Action]) -> None:
        """Record the SETUPs that are sent, and answer the messages to peers."""
        for action in actions:
            match action:
                case act.Setup():
                    attempt = self.attempts.get(action.req_id, -1) + 1
                    self.attempts[action.req_id] = attempt
                    self.pending[action.req_id] = action.server, attempt
                case act.SendPeerMessage():
                    self.answer_message(action)

    def answer_message(self, sent: act.SendPeerMessage) -> None:
        """Answer a ping always, and a query for holders half of the time."""
        match words.unpack(sent.payload):
            case words.HoldersQuery(number) if sent.peer is not None and self.rng.random() < 0.5:
                server = self.rng.randrange(1, self.newest_server + 1)
                status = words.ServerStatus(
                    server, 400.0, 300.0, 0, self.rng.random() < 0.5, 0, words.SetupOutcomes(0, 0), True
                )
                self.receive(sent.peer, words.QueryReply(1, number, 0, (status,)))
            case words.Ping(number) if sent.peer is not None:
                self.receive(sent.peer, words.Ack(number, 1, 0, (), sent.peer))

    def receive(self, peer: int, message: words.Message) -> None:
        if peer != self.harness.site.me:
            self.process(self.harness.feed(ev.PeerMessage(peer, words.pack(message)[0])))

    def step(self) -> None:
        """Pass one random event to the front."""
        kinds = (self.request, self.request, self.request, self.setup_outcome, self.setup_outcome,
                 self.session_end, self.viewer_left, self.news, self.report, self.note,
                 self.rate_update)  # fmt: skip
        self.rng.choice(kinds)()

    def request(self) -> None:
        _, actions = self.harness.request(self.rng.randrange(1000))
        self.process(actions)

    def setup_outcome(self) -> None:
        if not self.pending:
            return
        number = self.rng.choice(sorted(self.pending))
        server, attempt = self.pending.pop(number)
        if self.rng.random() < 0.75:
            self.playing[number] = server, attempt
            self.process(
                self.harness.feed(ev.Started(number, attempt, server, self.rng.randrange(SECOND // 5)))
            )
            return
        failure = self.rng.choice(FAILURES)
        report = {"link_asked": self.rng.random()} if self.rng.random() < 0.5 else {}
        self.process(self.harness.feed(ev.Ended(number, attempt, server, failure, False, 1000, report)))

    def session_end(self) -> None:
        if self.playing:
            number = self.rng.choice(sorted(self.playing))
            server, attempt = self.playing.pop(number)
            self.process(
                self.harness.feed(ev.Ended(number, attempt, server, ev.Result.SERVED, True, 1000, {}))
            )

    def viewer_left(self) -> None:
        if self.pending:
            number = self.rng.choice(sorted(self.pending))
            server, attempt = self.pending.pop(number)
            self.process(self.harness.feed(ev.ViewerLeft(number)))
            cancelled = ev.Ended(number, attempt, server, ev.Result.CANCELLED, True, 1000, {})
            self.process(self.harness.feed(cancelled))

    def news(self) -> None:
        """Rows change, servers go or new ones come, or the whole list is sent."""
        site, servers = self.harness.site, range(1, self.newest_server + 1)
        chosen = self.rng.sample(servers, min(8, len(servers)))
        states = (ev.ServerState.READY, ev.ServerState.READY, ev.ServerState.DRAINING, ev.ServerState.GONE)
        rows = [make_row(site, server, self.rng.choice(states)) for server in chosen]
        if self.rng.random() < 0.3:
            self.newest_server += 1
            rows.append(ev.ServerRow(self.newest_server, 0, 0, self.newest_server % site.plant.cells,
                                     ev.ServerState.READY, 1.0, self.harness.now))  # fmt: skip
        scope = ev.NewsScope.CHANGES
        if self.rng.random() < 0.1:
            scope = ev.NewsScope.FULL
            rows = [
                make_row(site, server)
                for server in range(1, self.newest_server + 1)
                if self.rng.random() < 0.9
            ]
            rows.append(make_row(site, self.newest_server))
        self.process(self.harness.feed(ev.ServerNews(scope, tuple(rows))))

    def report(self) -> None:
        server = self.rng.randrange(1, self.newest_server + 1)
        report = {"link_asked": round(self.rng.random(), 3), "uplink_asked": round(self.rng.random(), 3)}
        self.process(self.harness.feed(ev.Probed(server, 1000, ev.Result.SERVED, report)))

    def note(self) -> None:
        if self.playing:
            number = self.rng.choice(sorted(self.playing))
            server, _ = self.playing[number]
            kind, value = self.rng.choice(
                ((ev.NoteKind.DELIVERED, 0.6), (ev.NoteKind.DELIVERED, 1.0), (ev.NoteKind.LINK_ASKED, 0.8))
            )
            self.process(self.harness.feed(ev.Note(number, kind, value, server)))

    def rate_update(self) -> None:
        self.last_stamp += 1
        peer = self.rng.choice([p for p in range(PEERS) if p != self.harness.site.me])
        rates = tuple(
            words.ServerRate(
                self.rng.randrange(1, self.newest_server + 1),
                float(self.rng.randrange(2000)),
                words.Sample(0.5, 100_000),
                warm=self.rng.random() < 0.5,
            )
            for _ in range(4)
        )
        self.receive(peer, words.RateUpdate(1, self.last_stamp, rates, self.rng.random() < 0.3))
