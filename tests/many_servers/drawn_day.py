"""A day drawn from a seed on one front: every event and every action is a function of the seed."""

from random import Random

import xxhash

from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface import words

from .fleet import SECOND, DrivenFront, facts, row

STEPS = 700
PEERS = 5
ENDS = (ev.Result.FULL, ev.Result.ERROR, ev.Result.CONNECT_FAILED, ev.Result.RESET, ev.Result.TIMEOUT)


class DrawnDay:
    """Plays a day; `digest` names all actions with their times."""

    def __init__(self, seed: int, servers: int, fronts: int, racks: int | None = None) -> None:
        self.rng = Random(seed)
        self.driven = DrivenFront(facts(servers, fronts, racks, seed), servers)
        self.out: dict[int, tuple[int, int]] = {}  # request: its server and attempt
        self.playing: dict[int, tuple[int, int]] = {}
        self.attempts: dict[int, int] = {}
        self.newest = servers
        self.stamp = 0

    def play(self) -> str:
        """The digest of the whole day."""
        for _ in range(STEPS):
            self.take(self.driven.run_until(self.driven.now + self.rng.randrange(SECOND // 8)))
            self.step()
        digest = xxhash.xxh64()
        for at, action in self.driven.log:
            digest.update(f"{at} {action!r}".encode())
        return digest.hexdigest()

    def take(self, actions: list[act.Action]) -> None:
        """Note the SETUPs that went out, and answer each peer's question now and then."""
        for action in actions:
            match action:
                case act.Setup():
                    attempt = self.attempts.get(action.req_id, -1) + 1
                    self.attempts[action.req_id] = attempt
                    self.out[action.req_id] = action.server, attempt
                case act.SendPeerMessage():
                    self.answer(action)

    def answer(self, told: act.SendPeerMessage) -> None:
        match words.unpack(told.payload):
            case words.HoldersQuery(number) if told.peer is not None and self.rng.random() < 0.5:
                server = self.rng.randrange(1, self.newest + 1)
                room = words.ServerStatus(
                    server, 400.0, 300.0, 0, self.rng.random() < 0.5, 0, words.SetupOutcomes(0, 0), True
                )
                self.word(told.peer, words.QueryReply(1, number, 0, (room,)))
            case words.Ping(number) if told.peer is not None:
                self.word(told.peer, words.Ack(number, 1, 0, (), told.peer))

    def word(self, peer: int, word: words.Message) -> None:
        if peer != self.driven.site.me:
            self.take(self.driven.do(ev.PeerMessage(peer, words.pack(word)[0])))

    def step(self) -> None:
        """One thing happens."""
        kinds = (self.ask, self.ask, self.ask, self.answered, self.answered, self.ended, self.left,
                 self.news, self.report, self.note, self.telling)  # fmt: skip
        self.rng.choice(kinds)()

    def ask(self) -> None:
        _, actions = self.driven.request(self.rng.randrange(1000))
        self.take(actions)

    def answered(self) -> None:
        if not self.out:
            return
        number = self.rng.choice(sorted(self.out))
        server, attempt = self.out.pop(number)
        if self.rng.random() < 0.75:
            self.playing[number] = server, attempt
            self.take(self.driven.do(ev.Started(number, attempt, server, self.rng.randrange(SECOND // 5))))
            return
        end = self.rng.choice(ENDS)
        report = {"link_asked": self.rng.random()} if self.rng.random() < 0.5 else {}
        self.take(self.driven.do(ev.Ended(number, attempt, server, end, False, 1000, report)))

    def ended(self) -> None:
        if self.playing:
            number = self.rng.choice(sorted(self.playing))
            server, attempt = self.playing.pop(number)
            self.take(self.driven.do(ev.Ended(number, attempt, server, ev.Result.SERVED, True, 1000, {})))

    def left(self) -> None:
        if self.out:
            number = self.rng.choice(sorted(self.out))
            server, attempt = self.out.pop(number)
            self.take(self.driven.do(ev.ViewerLeft(number)))
            end = ev.Ended(number, attempt, server, ev.Result.CANCELLED, True, 1000, {})
            self.take(self.driven.do(end))

    def news(self) -> None:
        """Rows change, go, come anew, or the whole list is told."""
        site, servers = self.driven.site, range(1, self.newest + 1)
        chosen = self.rng.sample(servers, min(8, len(servers)))
        states = (ev.ServerState.READY, ev.ServerState.READY, ev.ServerState.DRAINING, ev.ServerState.GONE)
        rows = [row(site, server, self.rng.choice(states)) for server in chosen]
        if self.rng.random() < 0.3:
            self.newest += 1
            rows.append(ev.ServerRow(self.newest, 0, 0, self.newest % site.plant.cells,
                                     ev.ServerState.READY, 1.0, self.driven.now))  # fmt: skip
        scope = ev.NewsScope.CHANGES
        if self.rng.random() < 0.1:
            scope = ev.NewsScope.FULL
            rows = [row(site, server) for server in range(1, self.newest + 1) if self.rng.random() < 0.9]
            rows.append(row(site, self.newest))
        self.take(self.driven.do(ev.ServerNews(scope, tuple(rows))))

    def report(self) -> None:
        server = self.rng.randrange(1, self.newest + 1)
        report = {"link_asked": round(self.rng.random(), 3), "uplink_asked": round(self.rng.random(), 3)}
        self.take(self.driven.do(ev.Probed(server, 1000, ev.Result.SERVED, report)))

    def note(self) -> None:
        if self.playing:
            number = self.rng.choice(sorted(self.playing))
            server, _ = self.playing[number]
            kind, value = self.rng.choice(
                ((ev.NoteKind.DELIVERED, 0.6), (ev.NoteKind.DELIVERED, 1.0), (ev.NoteKind.LINK_ASKED, 0.8))
            )
            self.take(self.driven.do(ev.Note(number, kind, value, server)))

    def telling(self) -> None:
        self.stamp += 1
        peer = self.rng.choice([p for p in range(PEERS) if p != self.driven.site.me])
        rates = tuple(
            words.ServerRate(
                self.rng.randrange(1, self.newest + 1),
                float(self.rng.randrange(2000)),
                words.Sample(0.5, 100_000),
                warm=self.rng.random() < 0.5,
            )
            for _ in range(4)
        )
        self.word(peer, words.RateUpdate(1, self.stamp, rates, self.rng.random() < 0.3))
