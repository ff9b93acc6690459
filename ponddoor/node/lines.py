"""Splits a byte stream into lines of bounded length. Does no I/O."""

from dataclasses import dataclass, field


class UnreadableError(Exception):
    """What came does not follow the protocol; whoever sent it is not to be trusted any more."""


@dataclass(slots=True)
class LineReader:
    """Cuts a stream at its line feeds. `max_line_bytes` bounds one line, without its line feed."""

    max_line_bytes: int
    _rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now. Raises UnreadableError for one over the limit."""
        *whole, rest = data.split(b"\n")
        if whole:
            whole[0] = bytes(self._rest) + whole[0]
            self._rest.clear()
        if len(self._rest) + len(rest) > self.max_line_bytes or any(
            len(line) > self.max_line_bytes for line in whole
        ):
            self._rest.clear()
            raise UnreadableError(f"a line of more than {self.max_line_bytes} bytes")
        self._rest += rest
        return whole

    @property
    def partial(self) -> bool:
        """Whether a line has begun and not ended."""
        return bool(self._rest)
