"""The cores with one guard taken out each, and schedules where it matters: the simulation must find every one
(tests, `ponddoor fleet mutants`)."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from ponddoor.fleet.counts import Counts
from ponddoor.fleet.evidence import Evidence, Observation
from ponddoor.fleet.presence import Presence
from ponddoor.fleet.shares import Shares
from ponddoor.fleet.simulation import Schedule, drawn
from ponddoor.fleet.view import Fleet, Terms
from ponddoor.interface.facts import SiteFacts


class Unfenced(Shares):
    """A keeper that takes what was lent to an earlier life of its own."""

    def accept_lease(self, now: int, front: int, ours: bool, number: int, groups: tuple[int, ...]) -> bool:
        return super().accept_lease(now, front, True, number, groups)


class Endless(Shares):
    """A lease that runs on at the keeper."""

    def _borrower_lease(self) -> int:
        return 4 * self.lease


class Marginless(Shares):
    """Leases without the margin for drift."""

    def _lender_lease(self) -> int:
        return self.lease

    def _borrower_lease(self) -> int:
        return self.lease


class Twice(Shares):
    """A part is lent to whoever is asked next."""

    def may_lend(self, now: int, group: int, keeper: int, life: int) -> bool:
        return True


class Hasty(Shares):
    """Who has just begun uses its part at once, whatever its earlier life has lent."""

    def may_use_own(self, now: int, group: int) -> bool:
        self._own_share_usable_at = now
        return super().may_use_own(now, group)


class Greedy(Shares):
    """A front uses its own part, lent or not."""

    def may_use_own(self, now: int, group: int) -> bool:
        return now >= self._own_share_usable_at


class Lifeless(Counts):
    """Words of an earlier life count like any other."""

    def update(
        self,
        now: int,
        front: int,
        life: int,
        stamp: int,
        whole: bool,
        rows: Iterable[tuple[int, float, bool]],
    ) -> set[int]:
        held = self.origins.get(front)
        return super().update(
            now, front, life if held is None else max(life, held.incarnation), stamp, whole, rows
        )


class Stampless(Counts):
    """The last word to come counts, in whatever order it was said."""

    def update(
        self,
        now: int,
        front: int,
        life: int,
        stamp: int,
        whole: bool,
        rows: Iterable[tuple[int, float, bool]],
    ) -> set[int]:
        held = self.origins.get(front)
        if held is not None and held.incarnation == life:
            for key, _, _ in list(rows):
                if key in held.cells:
                    held.cells[key].stamp = min(held.cells[key].stamp, stamp - 1)
        return super().update(now, front, life, stamp, whole, rows)


class Forgetful(Presence):
    """Words of an earlier life are heard like any other."""

    def accept_message(self, now: int, front: int, life: int) -> bool:
        member = self.members.get(front)
        return super().accept_message(
            now, front, max(life, member.incarnation) if member is not None else life
        )


class _With(Fleet):
    """A fleet with another kind of a core."""

    shares_kind: type[Shares] = Shares
    counts_kind: type[Counts] = Counts
    evidence_kind: type[Evidence] = Evidence
    presence_kind: type[Presence] = Presence
    drift: float = 0.01

    def __init__(self, facts: SiteFacts, now: int, terms: Terms, groups: int) -> None:
        super().__init__(facts, now, terms, groups)
        self.shares = self.shares_kind(facts.fronts, now, terms.lease, self.drift)
        self.counts = self.counts_kind()
        self.evidence = self.evidence_kind(terms.evidence_ttl)
        life, seed = self.presence.incarnation, facts.seed
        self.presence = self.presence_kind(facts.me, facts.fronts, life, now, terms.timing, seed)


class ManyVoices(Evidence):
    """Each word is a voice of its own, whoever says it."""

    def record(self, now: int, witness: int, life: int, stamp: int, server: int, seen: Observation) -> bool:
        return super().record(now, witness * 100_000 + stamp, life, stamp, server, seen)


def _made(**kinds: Any) -> type[Fleet]:
    return type("_Made", (_With,), kinds)


def restarting(seed: int) -> Schedule:
    """Fronts that crash often, and words that arrive long after they were sent."""
    return replace(drawn(seed), crashes=20, slow=0.3, double=0.3, loss=0.0, cuts=0, fronts=5, late=2_000_000,
                   walls=0.0, rogues=0, down=300_000)  # fmt: skip


def drifting(seed: int) -> Schedule:
    """Clocks that drift far, as far as the margin then allows, and keepers that are asked in turn."""
    return replace(
        drawn(seed), drift=0.2, loss=0.0, slow=0.0, crashes=0, pauses=0, cuts=6, fronts=5, rogues=0
    )


def lying(seed: int) -> Schedule:
    """One front talks nonsense."""
    return replace(drawn(seed), rogues=1, fronts=5, loss=0.0)


def cut_up(seed: int) -> Schedule:
    """Many cuts: keepers are asked in turn."""
    return replace(drawn(seed), cuts=6, crashes=0, pauses=0, fronts=5, seconds=20)


WIDE = _made(drift=0.2)  # with its margin as wide as `drifting` needs it
MUTANTS: dict[str, tuple[type[Fleet], Any]] = {
    "the fence": (_made(shares_kind=Unfenced), restarting),
    "the expiry": (_made(shares_kind=Endless), cut_up),
    "the drift margin": (_made(shares_kind=Marginless, drift=0.2), drifting),
    "one holder of a part": (_made(shares_kind=Twice), cut_up),
    "silence after a start": (_made(shares_kind=Hasty), restarting),
    "the safe part": (_made(shares_kind=Greedy), drawn),
    "the life": (_made(counts_kind=Lifeless, presence_kind=Forgetful), restarting),
    "the stamp": (_made(counts_kind=Stampless), restarting),
    "independence": (_made(evidence_kind=ManyVoices), lying),
}
