"""Requests in turn over their connections, and the measured cost of one."""

from random import Random

from ponddoor.obligations.request_queue import INITIAL_COST_US, RequestCost, RequestQueue


def queue_of(requests: dict[str, int]) -> RequestQueue[str, str]:
    queue = RequestQueue[str, str]()
    for connection, count in requests.items():
        for number in range(count):
            queue.add(connection, f"{connection}{number}", f"{connection}{number}")
    return queue


def test_each_connection_is_served_in_its_turn() -> None:
    queue = queue_of({"a": 4, "b": 1, "c": 2})
    assert [queue.take() for _ in range(8)] == ["a0", "b0", "c0", "a1", "c1", "a2", "a3", None]


def test_the_newest_request_of_the_longest_queue_is_refused_first() -> None:
    queue = queue_of({"a": 1, "b": 4, "c": 3})
    assert [queue.take_from_longest() for _ in range(4)] == ["b3", "b2", "c2", "b1"]


def test_requests_that_end_are_not_counted_any_more() -> None:
    rng, queue, kept = Random(1), RequestQueue[int, str](), set[tuple[int, str]]()
    for number in range(2000):
        connection, session = rng.randrange(5), f"{number}"
        match rng.randrange(5):
            case 0 | 1 | 2:
                queue.add(connection, session, session)
                kept.add((connection, session))
            case 3 if kept:
                ended = rng.choice(sorted(kept))
                queue.discard(*ended)
                kept.discard(ended)
            case _:
                queue.discard_connection(connection)
                kept = {one for one in kept if one[0] != connection}
        assert len(queue) == len(kept)
    taken = [queue.take() for _ in range(len(kept))]
    assert {session for _, session in kept} == set(taken) and queue.take() is None


def test_cost_follows_the_requests_measured_last() -> None:
    cost = RequestCost()
    assert cost.mean_us == INITIAL_COST_US
    for _ in range(100):
        cost.record(40_000, 4)
    assert 9_000 < cost.mean_us <= 10_000
    for _ in range(100):
        cost.record(4_000, 4)
    assert cost.mean_us < 1_500
