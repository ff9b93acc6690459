"""The shared configuration: transactions checked whole, the same versions everywhere, history and rolling
back."""

from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ponddoor.config.machine import (
    Change,
    Machine,
    MalformedError,
    assembled,
    formed,
    packed,
    shown,
    taken_apart,
    unpacked,
)
from ponddoor.settings.sexpr import parse
from ponddoor.settings.site import check, loads
from tests.front.conftest import site_text

TEXT = site_text(fronts=2, ports=[1, 2, 3, 4, 5, 6], list_port=9)
FILM = "(group film (start-target 1s) (setup-timeout 3s) (utility 2))"


def began() -> Machine:
    machine = Machine()
    outcome = machine.apply(1, packed(Change("me", "first", 5, taken_apart(parse(TEXT, "t")))))
    assert outcome.version == 1, outcome
    return machine


def change(sets: dict[str, str] | None = None, drops: list[str] | None = None, **needs: int) -> Change:
    return Change("me", "a reason", 7, sets or {}, drops or [], needs)


@pytest.fixture
def machine() -> Machine:
    return began()


def test_a_file_taken_apart_and_put_together_says_the_same(machine: Machine) -> None:
    site, again = loads(TEXT), machine.site
    assert again is not None
    for part in (
        "facts",
        "zones",
        "kinds",
        "titles",
        "limits",
        "servers",
        "listing",
        "fronts",
        "words",
        "seats",
    ):
        assert getattr(again, part) == getattr(site, part), part
    assert check(parse(shown(machine.items), "t"), "t", Path()).facts == site.facts


@pytest.mark.parametrize("name", ["planning", "cooperative", "air", "seats"])
def test_so_do_the_examples(name: str) -> None:
    path = Path(__file__).parents[2] / "examples" / f"{name}.pond"
    nodes = parse(path.read_text(), str(path))
    machine = Machine(path.parent)
    assert machine.apply(1, packed(change(taken_apart(nodes)))).version == 1
    assert machine.site is not None and machine.site.facts == check(nodes, str(path), path.parent).facts


def test_a_change_applies_whole_or_not_at_all(machine: Machine) -> None:
    before = dict(machine.items)
    bad = machine.apply(2, packed(change({"groups/film": FILM, "ladder": "(ladder)"})))
    assert bad.why == "unusable" and any("rung" in problem for problem in bad.problems)
    assert (machine.items, machine.number) == (before, 1)
    good = machine.apply(3, packed(change({"groups/film": FILM})))
    assert good.version == 2 and machine.site is not None
    assert machine.site.group_names() == ("clips", "film")  # what is new comes last: numbers stay
    assert machine.items["groups/film"].version == 2 and machine.items["ladder"].version == 1


def test_preconditions_name_what_is_stale(machine: Machine) -> None:
    key = "groups/film"
    assert machine.tried(Change("a", "b", 1, {key: FILM}, needs={key: 0})).version == 2
    machine.apply(2, packed(Change("a", "b", 1, {key: FILM}, needs={key: 0})))
    late = machine.apply(
        3, packed(Change("c", "d", 1, {key: FILM.replace("2)", "3)")}, needs={key: 0, "ladder": 1}))
    )
    assert (late.version, late.why, late.stale) == (0, "stale", ((key, 2),))


@pytest.mark.parametrize(
    ("key", "text", "told"),
    [
        ("groups/film", "(group other)", "expected (group film ...)"),
        ("groups/film", "(group film", "the end of the file"),
        ("limits", "(limits) (limits)", "2 forms"),
        ("limits", "(ladder)", "expected (limits ...)"),
        ("limits/x", "(limits x)", "expected"),
        ("groups", "(groups (group a))", "expected it under groups/NAME"),
        ("limits", "(limits " + "x" * 200_001 + ")", "200000 at most"),
    ],
)
def test_an_item_is_one_form_that_its_key_names(machine: Machine, key: str, text: str, told: str) -> None:
    outcome = machine.tried(change({key: text}))
    assert outcome.why == "malformed" and told in outcome.problems[0]
    with pytest.raises(MalformedError):
        formed(key, text)


def test_what_can_not_be_is_refused_and_said(machine: Machine) -> None:
    assert machine.tried(change(drops=["groups/none"])).why == "no-such-key"
    assert machine.tried(change({"ladder": machine.items["ladder"].text})).why == "changes-nothing"
    assert machine.apply(2, b"\xc1").why == "malformed" and machine.number == 1
    with pytest.raises(MalformedError):
        unpacked(b"")
    with pytest.raises(MalformedError):
        machine.restore(b"nothing")
    with pytest.raises(MalformedError):
        taken_apart(parse("(site a) (site b)", "t"))


def test_history_difference_and_rolling_back(machine: Machine) -> None:
    machine.apply(2, packed(change({"groups/film": FILM})))
    machine.apply(3, packed(change({"limits": "(limits (drain-time 1s))"}, ["groups/film"])))
    assert [(s.key, s.before is None, s.after is None) for s in machine.difference(1, 3)] == [
        ("limits", False, False)
    ]
    assert [step.key for step in machine.difference(2, 3)] == ["groups/film", "limits"]
    back = machine.rollback(2, "me", "it was better", 9)
    machine.apply(4, packed(back))
    assert machine.number == 4 and machine.difference(2, 4) == []
    assert (machine.history[-1].who, machine.history[-1].why, machine.history[-1].index) == (
        "me",
        "it was better",
        4,
    )
    stale = machine.rollback(3, "me", "again", 9)
    machine.apply(5, packed(change({"limits": "(limits (drain-time 2s))"})))
    assert machine.apply(6, packed(stale)).why == "stale"
    with pytest.raises(KeyError, match="are kept"):
        machine.difference(9, 1)


def test_a_snapshot_holds_all_of_it(machine: Machine) -> None:
    machine.apply(2, packed(change({"groups/film": FILM})))
    other = Machine()
    other.restore(machine.state())
    assert (other.number, other.items, other.history, other.site) == (
        2,
        machine.items,
        machine.history,
        machine.site,
    )
    assert other.state() == machine.state()
    assert str(assembled(other.items)) == str(assembled(machine.items))


class TwoMachines(RuleBasedStateMachine):
    """Whatever is changed, two machines that apply the same bytes are the same, and old versions come
    back."""

    def __init__(self) -> None:
        super().__init__()
        self.one, self.two, self.index = began(), began(), 1
        self.seen = {1: str(assembled(self.one.items))}

    @rule(
        name=st.sampled_from(["a", "b", "c"]),
        utility=st.integers(-1, 3),
        drop=st.booleans(),
        needs=st.integers(0, 4),
    )
    def change(self, name: str, utility: int, drop: bool, needs: int) -> None:
        key = f"groups/{name}"
        text = f"(group {name} (start-target 1s) (setup-timeout 3s) (utility {utility}))"
        data = packed(
            Change("x", "y", 0, {} if drop else {key: text}, [key] if drop else [], {"ladder": needs % 2})
        )
        self.index += 1
        assert self.one.apply(self.index, data) == self.two.apply(self.index, data)
        self.seen[self.one.number] = str(assembled(self.one.items))

    @rule(back=st.integers(1, 20))
    def roll_back(self, back: int) -> None:
        number = max(1, self.one.number - back)
        data = packed(self.one.rollback(number, "x", "y", 0))
        self.index += 1
        outcome = self.one.apply(self.index, data)
        assert self.two.apply(self.index, data) == outcome
        same = {s.key for s in self.one.difference(self.one.number, number)}
        assert (outcome.version and not same) or outcome.why == "changes-nothing"
        self.seen[self.one.number] = str(assembled(self.one.items))

    @rule()
    def snapshot(self) -> None:
        self.two = Machine()
        self.two.restore(self.one.state())

    @invariant()
    def both_are_the_same(self) -> None:
        assert self.one.items == self.two.items and self.one.site == self.two.site


TestTwoMachines = TwoMachines.TestCase
TestTwoMachines.settings = settings(max_examples=15, stateful_step_count=12, deadline=None)
