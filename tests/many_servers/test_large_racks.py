"""The sums that a front keeps of racks with very many servers equal the plain sums."""

import pytest

from ponddoor.decide import MAX_COMPARED

from .drawn_day import DrawnDay


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("racks", [1, 2])
def test_sums_of_a_large_rack_are_the_plain_sums_over_a_drawn_day(seed: int, racks: int) -> None:
    day = DrawnDay(seed, 300, 8, racks)
    day.play()
    front = day.driven.front
    for number, mates in enumerate(front.by_rack):
        assert len(mates) > MAX_COMPARED
        held = front.rack_load(number)
        assert set(held.residual_kb) == set(held.demand_kb) == {s.row.server for s in mates}
        assert held.total_demand_kb == pytest.approx(sum(held.demand_kb.values()), abs=1e-3)
        assert held.positive_residual_kb == pytest.approx(
            sum(max(kb, 0.0) for kb in held.residual_kb.values()), rel=1e-9
        )
        known = sum(s.link.known_demand[-1][1] for s in mates)
        assert front.uplinks[number].known_demand[-1][1] == pytest.approx(known, abs=1e-3)


def test_the_best_that_is_drawn_of_very_many_holders_is_of_the_best_tenth() -> None:
    """Of 32 drawn none is of the best tenth with a chance of 0.9 to the 32nd, 3.4%."""
    day = DrawnDay(1, 400, 200, 4)
    day.play()
    front, span = day.driven.front, day.driven.site.plant.cells
    idle = front.idle_by_server(front.table.ready)
    tenth = sorted(idle.values())[-len(idle) // 10]
    found = [max(idle[s.row.server] for s in front.candidate_holders(home, span)) for home in range(100)]
    assert sum(kb >= tenth for kb in found) >= 90
