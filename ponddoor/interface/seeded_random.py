"""A time before all others, and random numbers that are reproducible from the host's seed."""

LONG_AGO = -(1 << 60)  # microseconds


class SeededRandom:
    """A linear congruential generator with 64 bits of state, of which the upper 32 bits are used."""

    def __init__(self, seed: int) -> None:
        self._state = seed

    def draw(self, bound: int) -> int:
        """A random whole number from 0 to `bound` - 1."""
        self._state = (self._state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return ((self._state >> 32) * bound) >> 32
