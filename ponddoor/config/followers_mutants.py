"""The core of a follower with one guard taken out each, and schedules where it matters: the simulation must
find every one (tests, `ponddoor config followers simulate --without`)."""

from dataclasses import replace
from typing import Any

from ponddoor.config.followers import Quick, Schedule, drawn, returning
from ponddoor.front.follower import State
from ponddoor.settings.site import Site


class GoesBack(Quick):
    """Takes what an instance has, older or newer."""

    def _newer_than_in_force(self, number: int) -> bool:
        return number != self.version

    def _behind_own_state(self, number: int) -> bool:
        return False

    def _newer_than_verified(self, number: int) -> bool:
        return number != self.verified.number


class Partial(Quick):
    """Takes what comes, whatever it follows, finds or adds up to."""

    def _is_next_version(self, line: Any) -> bool:
        return True

    def _matches_held_items(self, line: Any) -> bool:
        return True

    def _digest_matches(self, digest: str, told: str) -> bool:
        return True


class Gullible(Quick):
    """Does not look at the digest."""

    def _digest_matches(self, digest: str, told: str) -> bool:
        return True


class Careless(Quick):
    """Takes what this front can't use."""

    def _rejection_reasons(self, site: Site) -> tuple[str, ...]:
        return ()


class Forgetful(Quick):
    """Begins with nothing, whatever was kept."""

    def _restore(self, kept: bytes) -> tuple[State, State]:
        return State(), State()


class Undated(Quick):
    """Tells the life that its clock says, whatever it told before."""

    def _restore(self, kept: bytes) -> tuple[State, State]:
        wall = self.life
        try:
            return super()._restore(kept)
        finally:
            self.life = wall


class Hasty(Quick):
    """A version is in force first and kept afterwards."""

    def _persists_first(self) -> bool:
        return False


class Content(Quick):
    """Beats alone are enough."""

    def _lines_overdue(self, now: int) -> bool:
        return False


class Patient(Quick):
    """Waits for ever for an instance that has fallen silent."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.silence_timeout_us = 3600 * 1_000_000


class Greedy(Quick):
    """Asks for the whole state wherever it comes to."""

    def _needs_full_state(self, now: int) -> bool:
        return True


class StepByStep(Quick):
    """Never asks for the whole state by itself: an absence is made up for step by step."""

    def _needs_full_state(self, now: int) -> bool:
        return False


class LastOnly(Quick):
    """Of a burst it looks at the last alone."""

    def _earlier_in_burst(self) -> list[State]:
        return []


class Growing(Quick):
    """Waits a minute between two tries of an outage."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.schedule.period = 60_000_000


class Homeless(Quick):
    """Asks around as fast while all are apart as when one is."""

    def _leader_unknown(self, now: int) -> list[Any]:
        self.unhealthy.clear()
        return super()._leader_unknown(now)


class Loyal(Quick):
    """Stays with an instance that has heard of no leader."""

    def _leader_unknown(self, now: int) -> list[Any]:
        out = super()._leader_unknown(now)
        self.switch_at = None
        return out


class Mute(Quick):
    """Tells what it has in force when it comes to an instance, and not when it changes."""

    def _schedule_report(self, now: int) -> None:
        if not self.reports_made:
            super()._schedule_report(now)


def restarting(seed: int) -> Schedule:
    """Fronts and instances that crash often."""
    return replace(drawn(seed - seed % 20), seed=seed, crashes=10, kills=8, hunted=0.4, fronts=4, lag=0.5)


def spoilt(seed: int) -> Schedule:
    """Much that comes is spoilt."""
    return replace(drawn(seed - seed % 20), seed=seed, spoilt=0.1, breaks=0.0, versions=30, fronts=4)


def dropping(seed: int) -> Schedule:
    """Lines are lost while connections stand, and connections are half open."""
    return replace(drawn(seed - seed % 20), seed=seed, dropped=0.3, breaks=0.05, fronts=6)


def away(seed: int) -> Schedule:
    """Fleets that were cut off together."""
    return returning(seed * 20 + 19)


MUTANTS: dict[str, tuple[type[Quick], Any]] = {
    "never back": (GoesBack, restarting),
    "whole or not at all": (Partial, spoilt),
    "the digest": (Gullible, spoilt),
    "refusal kept": (Careless, drawn),
    "the floor after a restart": (Forgetful, restarting),
    "kept before in force": (Hasty, restarting),
    "lines that are missing": (Content, dropping),
    "silence": (Patient, dropping),
    "the whole state once": (Greedy, dropping),
    "the whole state after an absence": (StepByStep, away),
    "the last good of a burst": (LastOnly, drawn),
    "an even return": (Growing, away),
    "a seldom look while apart": (Homeless, away),
    "another than one that is apart": (Loyal, away),
    "a report of each change": (Mute, drawn),
    "the life": (Undated, restarting),
}
