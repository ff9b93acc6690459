"""Free ports of a process: enough of them for all that it ever plays, and no two alike."""

import multiprocessing

from ponddoor.rehearse.run import free_ports

CALLS = 400  # more than there are blocks of ports


def test_many_small_rehearsals_of_one_process_find_ports() -> None:
    ports = [port for _ in range(CALLS) for port in free_ports(3)]
    assert len(set(ports)) == 3 * CALLS


def test_a_forked_process_has_ports_of_its_own() -> None:
    ours = free_ports(3)
    with multiprocessing.get_context("fork").Pool(1) as pool:
        theirs = pool.apply(free_ports, (40,))
    assert not {*ours, *free_ports(40)} & set(theirs)
