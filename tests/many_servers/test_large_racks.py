"""The sums that a front keeps incrementally for racks with very many servers equal the plain sums."""

import pytest

from ponddoor.decide import MAX_COMPARED

from .random_run import RandomRun


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("racks", [1, 2])
def test_sums_of_a_large_rack_equal_the_plain_sums_after_random_events(seed: int, racks: int) -> None:
    run = RandomRun(seed, 300, 8, racks)
    run.play()
    front = run.harness.front
    for number, servers in enumerate(front.by_rack):
        assert len(servers) > MAX_COMPARED
        load = front.rack_load(number)
        assert set(load.residual_kb) == set(load.demand_kb) == {s.row.server for s in servers}
        assert load.total_demand_kb == pytest.approx(sum(load.demand_kb.values()), abs=1e-3)
        assert load.positive_residual_kb == pytest.approx(
            sum(max(kb, 0.0) for kb in load.residual_kb.values()), rel=1e-9
        )
        demand = sum(s.link.known_demand[-1][1] for s in servers)
        assert front.uplinks[number].known_demand[-1][1] == pytest.approx(demand, abs=1e-3)


def test_the_best_of_the_sampled_holders_is_mostly_among_the_best_tenth_of_all() -> None:
    """That none of 32 sampled holders is among the best tenth has a probability of 0.9 to the 32nd, 3.4%."""
    run = RandomRun(1, 400, 200, 4)
    run.play()
    front, span = run.harness.front, run.harness.site.plant.cells
    idle = front.idle_by_server(front.table.ready)
    best_tenth_kb = sorted(idle.values())[-len(idle) // 10]
    best_sampled = [
        max(idle[s.row.server] for s in front.candidate_holders(home, span)) for home in range(100)
    ]
    assert sum(kb >= best_tenth_kb for kb in best_sampled) >= 90
