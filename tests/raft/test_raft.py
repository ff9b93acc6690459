"""Raft's core: its answers one by one, the simulation, and the guards taken out."""

from typing import Any

import pytest

from ponddoor.raft.core import (
    Accepted,
    Append,
    Appended,
    BrokenPromiseError,
    Commit,
    Effect,
    Entry,
    Kind,
    Limits,
    Members,
    Raft,
    Readable,
    Refused,
    Role,
    Send,
    Snapshot,
    Vote,
    Voted,
    WriteEntries,
    WriteSnapshot,
    WriteVote,
    as_voter,
    with_learner,
    without,
)
from ponddoor.raft.mutants import MUTANTS, changing, compacting, crowded, stale
from ponddoor.raft.simulation import Schedule, Simulation, ViolatedError, drawn, explore, shrunk
from ponddoor.raft.storage import UnknownRecordError, kept_of, record_of

THREE = Members(frozenset({0, 1, 2}))


def run(raft: Raft, effects: list[Effect]) -> list[Effect]:
    """All effects, with every write durable at once."""
    seen: list[Effect] = []
    while effects:
        effect, effects = effects[0], effects[1:]
        seen.append(effect)
        if isinstance(effect, (WriteVote, WriteEntries, WriteSnapshot)):
            effects += raft.durable(effect.number)
    return seen


def made(members: Members = THREE, me: int = 0, **limits: Any) -> Raft:
    return Raft(me, members, Limits(**limits), 1)


def leading(members: Members = THREE, **limits: Any) -> Raft:
    """Member 0, elected by all others, its first entry committed."""
    raft = made(members, **limits)
    while raft.role is Role.FOLLOWER:
        run(raft, raft.tick())
    others = sorted(members.voters - {0})
    for pre in (True, False):
        for member in others:
            if raft.role is Role.CANDIDATE and raft.standing_pre is pre:
                run(raft, raft.heard(member, Voted(raft.term + pre, True, pre)))
    assert raft.role is Role.LEADER
    for member in others:
        run(raft, raft.heard(member, Appended(raft.term, True, raft.last_index, raft.round)))
    assert raft.commit == 1
    return raft


def kinds(effects: list[Effect]) -> list[str]:
    return [type(effect).__name__ for effect in effects]


def test_one_alone_leads_and_commits_by_itself() -> None:
    raft = made(Members(frozenset({0})))
    while raft.role is not Role.LEADER:
        run(raft, raft.tick())
    got = run(raft, raft.propose(1, b"x", "c", 1))
    assert Accepted(1, 2, 1) in got
    assert [effect.entry.data for effect in got if isinstance(effect, Commit)] == [b"x"]
    assert Readable(2, 2) in run(raft, raft.read(2))


def test_nothing_counts_before_it_is_durable() -> None:
    raft = made(Members(frozenset({0})))
    while raft.role is Role.FOLLOWER:
        effects = raft.tick()
    assert raft.role is Role.CANDIDATE and kinds(effects) == ["WriteVote"]
    assert kinds(raft.durable(1)) == ["WriteEntries"]  # it leads only now, and its entry is not committed
    assert raft.commit == 0
    assert kinds(raft.durable(2)) == ["Commit"]


def test_a_vote_is_given_once_a_term_and_only_to_who_has_as_much() -> None:
    raft = made()
    assert Send(1, Voted(5, True)) in run(raft, raft.heard(1, Vote(5, 0, 0)))
    assert Send(2, Voted(5, False)) in run(raft, raft.heard(2, Vote(5, 0, 0)))
    run(raft, raft.heard(1, Append(5, 0, 0, (Entry(5, 1),), 0, 1)))
    assert run(raft, raft.heard(2, Vote(6, 0, 0))) == []  # it hears a leader
    assert Send(2, Voted(6, False)) in run(raft, raft.heard(2, Vote(6, 0, 0, forced=True)))


def test_a_vote_waits_for_the_disk() -> None:
    raft = made()
    assert kinds(raft.heard(1, Vote(5, 0, 0))) == ["WriteVote", "WriteVote"]
    assert raft.durable(1) == []
    assert raft.durable(2) == [Send(1, Voted(5, True))]


def test_a_follower_says_where_logs_part_and_overwrites_from_there() -> None:
    raft = made()
    first = tuple(Entry(1, n) for n in (1, 2)) + tuple(Entry(2, n) for n in (3, 4, 5))
    run(raft, raft.heard(1, Append(2, 0, 0, first, 2, 1)))
    [told] = [e.message for e in run(raft, raft.heard(2, Append(4, 5, 3, (), 2, 1))) if isinstance(e, Send)]
    assert told == Appended(4, False, 2, 1, 2)
    run(raft, raft.heard(2, Append(4, 2, 1, (Entry(4, 3),), 3, 2)))
    assert [entry.term for entry in raft.log] == [1, 1, 4] and raft.commit == 3
    with pytest.raises(BrokenPromiseError):
        raft.heard(2, Append(4, 2, 1, (Entry(5, 3),), 3, 3))


def test_what_is_refused_says_why() -> None:
    def why(effects: list[Effect]) -> list[str]:
        return [effect.why for effect in effects if isinstance(effect, Refused)]

    follower = made()
    assert why(follower.propose(1, b"x")) == why(follower.read(2)) == ["not-leading"]
    raft = leading(proposals=2, entry_bytes=10, reads=1)
    assert why(raft.propose(1, b"x" * 11)) == ["too-large"]
    run(raft, raft.propose(2, b"a"))
    run(raft, raft.propose(3, b"b"))
    assert why(raft.propose(4, b"c")) == ["too-many-proposals"]
    raft.read(5)
    assert why(raft.read(6)) == ["too-many-reads"]
    assert why(raft.hand_over(7, 9)) == ["no-voter"]
    raft.hand_over(8, 1)
    assert why(raft.propose(9, b"d")) == ["handing-over"]


def test_members_change_one_at_a_time_and_learners_first() -> None:
    def why(members: Members) -> list[str]:
        return [
            effect.why for effect in run(raft, raft.change_members(1, members)) if isinstance(effect, Refused)
        ]

    raft = leading(caught_up=0)
    assert why(without(without(THREE, 1), 2)) == ["more-than-one"]
    assert why(as_voter(THREE, 3)) == ["not-caught-up"]
    assert why(with_learner(THREE, 3)) == []
    assert why(without(raft.members, 2)) == ["change-under-way"]
    run(raft, raft.heard(1, Appended(raft.term, True, raft.last_index, raft.round)))
    assert why(as_voter(raft.members, 3)) == ["not-caught-up"]
    run(raft, raft.heard(3, Appended(raft.term, True, raft.last_index, raft.round)))
    assert why(as_voter(raft.members, 3)) == [] and raft.members.voters == {0, 1, 2, 3}


def test_a_leader_that_hears_no_quorum_steps_down_and_answers_its_reads() -> None:
    raft = leading()
    raft.read(7)
    seen: list[Effect] = []
    for _ in range(12):
        seen += run(raft, raft.tick())
    assert raft.role is Role.FOLLOWER and Refused(7, "not-leading", None) in seen


def test_a_snapshot_comes_in_pieces_and_goes_on_where_it_was_lost() -> None:
    leader, follower = leading(piece=4), made(me=1, piece=4)
    run(leader, leader.propose(1, b"x"))
    run(leader, leader.heard(2, Appended(leader.term, True, 2, leader.round)))
    run(leader, leader.compact(b"0123456789"))
    leader.progress[1].next, leader.progress[1].match = 1, 0
    lost, queue = (
        1,
        [
            e.message
            for _ in range(3)
            for e in run(leader, leader.tick())
            if isinstance(e, Send) and e.to == 1
        ],
    )
    for _ in range(40):
        messages, queue = queue, []
        for message in messages:
            if lost and getattr(message, "offset", 0) == 4:
                lost -= 1
                continue
            for effect in run(follower, follower.heard(0, message)):
                if isinstance(effect, Send):
                    queue += [
                        e.message
                        for e in run(leader, leader.heard(1, effect.message))
                        if isinstance(e, Send) and e.to == 1
                    ]
        queue += [e.message for e in run(leader, leader.tick()) if isinstance(e, Send) and e.to == 1]
        leader.progress[2].heard = 0
    assert follower.snapshot.data == b"0123456789" and follower.applied == 2 and lost == 0


def test_what_is_kept_is_what_was_written() -> None:
    entries = (
        Entry(1, 1, Kind.EMPTY),
        Entry(1, 2, Kind.VALUE, b"\xff", "c", 3),
        Entry(1, 3, Kind.MEMBERS, members=THREE),
    )
    over = (Entry(2, 3, Kind.VALUE, b"y"),)
    held = Snapshot(2, 1, THREE, b"s", (("c", 3, 2),))
    writes: list[WriteVote | WriteEntries | WriteSnapshot] = [
        WriteVote(1, 2, 1),
        WriteEntries(2, entries),
        WriteEntries(3, over),
        WriteSnapshot(4, held, False),
    ]
    records: list[Any] = [record_of(write) for write in writes]
    kept = kept_of(None, records)
    assert (kept.term, kept.vote, kept.snapshot, kept.entries) == (2, 1, held, list(over))
    assert kept_of(kept.state(), []) == kept
    assert kept_of(None, records[:3]).entries == [*entries[:2], *over]
    with pytest.raises(UnknownRecordError):
        kept_of(None, [["later", 1]])
    raft = made()
    with pytest.raises(BrokenPromiseError):
        raft.recover(1, None, [Entry(1, 2)])


def test_a_schedule_is_the_same_again() -> None:
    first, second = (Simulation(drawn(1)).run() for _ in range(2))
    assert first == second and first.committed > 20


@pytest.mark.parametrize("first", range(0, 200, 50))
def test_no_promise_is_broken_in_drawn_schedules(first: int) -> None:
    assert explore(first, 50) == (50, "")


def test_who_learns_late_that_it_won_a_term_that_is_left_behind_breaks_nothing() -> None:
    """It stood still while the others elected another and committed in a later term."""
    world = Simulation(Schedule(809, members=5, spare=0, clients=1, seconds=9, crashes=3, cuts=1, changes=0))
    world.run()
    assert world.committed_in[1] == 2 and list(world.leaders)[:2] == [2, 1]


@pytest.mark.parametrize("shape", [crowded, changing, stale, compacting])
def test_none_is_broken_where_guards_matter(shape: Any) -> None:
    assert explore(80, 8, shape=shape) == (8, "")


FOUND = {
    "old terms are not counted": 114,
    "one change at a time, of a sure leader": 83,
    "a round before a read": 120,
}


@pytest.mark.parametrize("name", MUTANTS)
def test_each_guard_that_is_taken_out_is_found(name: str) -> None:
    make, shape = MUTANTS[name]
    _, problem = explore(FOUND.get(name, 0), 20, make, shape)
    assert problem
    seed = int(problem.split()[1].rstrip(":"))
    with pytest.raises(ViolatedError, match=f"seed {seed}:"):
        Simulation(shape(seed), make).run()


def test_a_failing_schedule_is_shrunk() -> None:
    make, shape = MUTANTS["clients' sessions"]
    least = shrunk(shape(0), make)
    with pytest.raises(ViolatedError):
        Simulation(least, make).run()
    assert least.crashes + least.pauses + least.changes + least.cuts < sum(
        getattr(shape(0), name) for name in ("crashes", "pauses", "changes", "cuts")
    )
    assert shrunk(Schedule(1, seconds=2)) == Schedule(1, seconds=2)
