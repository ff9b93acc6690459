"""A moment before all others, and chance from the seed that the host gives."""

LONG_AGO = -(1 << 60)


class SeededRandom:
    """A linear congruential generator; its high bits are used."""

    def __init__(self, seed: int) -> None:
        self._state = seed

    def draw(self, below: int) -> int:
        self._state = (self._state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return ((self._state >> 32) * below) >> 32
