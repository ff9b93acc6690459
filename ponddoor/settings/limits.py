"""What one front takes at most, apart from the file that says so: a node has these bounds without one."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """What one front takes at most. Times in microseconds, sizes in bytes."""

    in_hand: int
    held: int
    connections: int
    per_address: int
    header_bytes: int
    body_bytes: int
    header_time: int
    idle_time: int
    write_time: int
    loop_lag: int
    repeats: int
    repeat_time: int
    followers: int
    drain_time: int
