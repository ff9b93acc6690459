"""Splits a byte stream into lines of bounded length. Does no I/O."""

from dataclasses import dataclass, field


class UnreadableError(Exception):
    """Input that violates the protocol. The connection that it came on cannot be used any more."""


@dataclass(slots=True)
class LineReader:
    """Splits a stream at line feeds. `max_line_bytes` bounds a line without its line feed."""

    max_line_bytes: int
    _rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines completed by `data`. Raises UnreadableError if a line is over the limit."""
        *lines, rest = data.split(b"\n")
        if lines:
            lines[0] = bytes(self._rest) + lines[0]
            self._rest.clear()
        if len(self._rest) + len(rest) > self.max_line_bytes or any(
            len(line) > self.max_line_bytes for line in lines
        ):
            self._rest.clear()
            raise UnreadableError(f"line is longer than {self.max_line_bytes} bytes")
        self._rest += rest
        return lines

    @property
    def partial(self) -> bool:
        """Whether a line has been received in part."""
        return bool(self._rest)
