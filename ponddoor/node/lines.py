"""Lines out of a stream of bytes, free of I/O and bounded."""

from dataclasses import dataclass, field


class UnreadableError(Exception):
    """What came does not follow the protocol; whoever sent it is not to be trusted any more."""


@dataclass(slots=True)
class Lines:
    """Cuts a stream at its line feeds. `most` is the longest line, in bytes."""

    most: int
    _rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now. Raises UnreadableError for one over the limit."""
        *whole, rest = data.split(b"\n")
        if whole:
            whole[0] = bytes(self._rest) + whole[0]
            self._rest.clear()
        if len(self._rest) + len(rest) > self.most or any(len(line) > self.most for line in whole):
            self._rest.clear()
            raise UnreadableError(f"a line of more than {self.most} bytes")
        self._rest += rest
        return whole

    @property
    def partial(self) -> bool:
        """Whether a line has begun and not ended."""
        return bool(self._rest)
